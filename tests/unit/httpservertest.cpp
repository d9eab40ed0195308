#include "libtrefoilio/httpserver.h"

#include "rawsocket.h"

#include "libtrefoilio/callrunner.h"
#include "libtrefoilio/httpclient.h"
#include "libtrefoilio/streamstate.h"

#include <criterion/criterion.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <thread>

using namespace trefoilio;
using namespace std::chrono_literals;
using trefoilarch::Millis;

namespace {

/** Only exceeded if something hangs. */
constexpr std::chrono::seconds kHangTimeout{ 20 };

/** Counter that threads can wait on. */
class Counter
{
public:
  void Add()
  {
    {
      std::lock_guard lock(mMutex);
      ++mCount;
    }
    mChanged.notify_all();
  }

  bool Reaches(int aCount, std::chrono::milliseconds aTimeout = kHangTimeout)
  {
    std::unique_lock lock(mMutex);
    return mChanged.wait_for(lock, aTimeout, [&] { return mCount >= aCount; });
  }

  int Value()
  {
    std::lock_guard lock(mMutex);
    return mCount;
  }

private:
  std::mutex mMutex;
  std::condition_variable mChanged;
  int mCount = 0;
};

/** Records the callbacks of a call. */
class Recorder
{
public:
  CallHooks Hooks()
  {
    return { .mOnHead =
               [this](int aStatus, HttpHeaders aHeaders) {
                 std::lock_guard lock(mMutex);
                 mStatus = aStatus;
                 mHeaders = std::move(aHeaders);
               },
             .mOnData =
               [this](const std::string& aData) {
                 {
                   std::lock_guard lock(mMutex);
                   mBody += aData;
                 }
                 mChunks.Add();
               },
             .mOnEnd =
               [this](CallEnd aEnd) {
                 mEnd = aEnd;
                 mEnds.Add();
               } };
  }

  std::string Body()
  {
    std::lock_guard lock(mMutex);
    return mBody;
  }

  Counter mChunks;
  Counter mEnds;
  std::atomic<CallEnd> mEnd = CallEnd::Complete;
  std::atomic<int> mStatus = 0;

private:
  std::mutex mMutex;
  HttpHeaders mHeaders;
  std::string mBody;
};

/** Produces ten numbered lines, then the given end. */
StreamSource
TenLines(StreamStep aEnd)
{
  return [aEnd, line = 0](std::string& aOut) mutable {
    if (line == 10) {
      return aEnd;
    }
    aOut = "line " + std::to_string(line++) + "\n";
    return StreamStep::Data;
  };
}

/** Produces an unlimited number of lines, one every 20 ms. */
StreamSource
Endless()
{
  return [](std::string& aOut) {
    std::this_thread::sleep_for(20ms);
    aOut = ": keep-alive\n";
    return StreamStep::Data;
  };
}

/** A server whose response depends on the path. */
class Fixture
{
public:
  explicit Fixture(HttpServerOptions aOptions = {})
    : mServer(
        std::move(aOptions),
        [this](const HttpRequest& aRequest) { return Answer(aRequest); },
        [this](BadInput aKind) {
          mBadInputs[static_cast<size_t>(aKind)].Add();
          return HttpReply{ .mStatus = 413, .mBody = "bad input" };
        })
  {
  }

  std::string Url(const std::string& aTarget) const
  {
    return "http://127.0.0.1:" + std::to_string(mServer.Port()) + aTarget;
  }

  Counter& BadInputCounter(BadInput aKind)
  {
    return mBadInputs[static_cast<size_t>(aKind)];
  }

  Counter mHandledRequests;
  Counter mClosedStreams;
  Counter mDisconnects;
  Counter mBadInputs[5];

private:
  HttpReply Answer(const HttpRequest& aRequest)
  {
    mHandledRequests.Add();
    const std::string& target = aRequest.mTarget;
    const auto closed = [this] { mClosedStreams.Add(); };
    if (target.starts_with("/empty/")) {
      return { .mStatus = std::stoi(target.substr(7)) };
    }
    if (target.starts_with("/lines")) {
      return { .mStream = TenLines(StreamStep::End), .mOnClosed = closed };
    }
    if (target.starts_with("/cut")) {
      return { .mStream = TenLines(StreamStep::Abort), .mOnClosed = closed };
    }
    if (target.starts_with("/endless")) {
      return { .mStream = Endless(), .mOnClosed = closed };
    }
    if (target.starts_with("/wait")) {
      while (!aRequest.mCallerLeft()) {
        std::this_thread::sleep_for(10ms);
      }
      mDisconnects.Add();
      return {};
    }
    return { .mHeaders = { { "X-Echo", "yes" }, { "X-Bad", "a\r\nX-Evil: b" } },
             .mBody = aRequest.mMethod + " " + target + " " +
                      std::string(FindHeader(aRequest.mHeaders, "x-one")) +
                      " " + aRequest.mBody };
  }

  HttpServer mServer;
};

} // namespace

Test(httpserver, request_arrives_as_sent)
{
  Fixture fixture;
  const std::string body("a\0b\r\n\xff", 6);
  const auto reply = SendHttp({ .mMethod = "PATCH",
                                .mTarget = fixture.Url("/a%20b/c?d=e%26f&g"),
                                .mHeaders = { { "X-One", "two" } },
                                .mBody = body },
                              Millis(20000));
  cr_assert(reply);
  cr_assert(reply->mStatus == 200);
  cr_assert(reply->mBody == "PATCH /a%20b/c?d=e%26f&g two " + body);
  cr_assert(FindHeader(reply->mHeaders, "x-echo") == "yes");
  cr_assert(FindHeader(reply->mHeaders, "X-Bad").empty());
  cr_assert(FindHeader(reply->mHeaders, "X-Evil").empty());
}

Test(httpserver, status_of_an_empty_answer_arrives)
{
  Fixture fixture;
  for (const int status : { 200, 204, 304, 404, 503 }) {
    const auto reply =
      SendHttp({ .mMethod = "GET",
                 .mTarget = fixture.Url("/empty/" + std::to_string(status)) },
               Millis(5000));
    cr_assert(reply && reply->mStatus == status, "%d", status);
  }
}

Test(httpserver, stream_is_complete_truncated_or_not_started)
{
  Fixture fixture;
  CallRunner runner({});
  Recorder whole;
  runner.Start({ .mMethod = "GET", .mTarget = fixture.Url("/lines") },
               whole.Hooks());
  cr_assert(whole.mEnds.Reaches(1));
  cr_assert(whole.mEnd == CallEnd::Complete);
  cr_assert(whole.Body().ends_with("line 8\nline 9\n"));
  cr_assert(fixture.mClosedStreams.Reaches(1));

  Recorder cut;
  runner.Start({ .mMethod = "GET", .mTarget = fixture.Url("/cut") },
               cut.Hooks());
  cr_assert(cut.mEnds.Reaches(1));
  cr_assert(cut.mEnd == CallEnd::Broken);
  cr_assert(cut.Body() == whole.Body());
  cr_assert(fixture.mClosedStreams.Reaches(2));

  Recorder head;
  runner.Start({ .mMethod = "HEAD", .mTarget = fixture.Url("/lines") },
               head.Hooks());
  cr_assert(head.mEnds.Reaches(1));
  cr_assert(head.Body().empty());
  cr_assert(fixture.mClosedStreams.Reaches(3));
  cr_assert(fixture.mClosedStreams.Value() == 3);
}

Test(httpserver, truncation_is_visible_without_chunks)
{
  Fixture fixture;
  const auto port = fixture.Url("").substr(17);
  RawSocket socket(static_cast<uint16_t>(std::stoi(port)));
  cr_assert(socket.Send("GET /cut HTTP/1.0\r\n\r\n"));
  socket.ReadAll();
  cr_assert(socket.Reset());
  RawSocket whole(static_cast<uint16_t>(std::stoi(port)));
  cr_assert(whole.Send("GET /lines HTTP/1.0\r\n\r\n"));
  cr_assert(whole.ReadAll().ends_with("line 9\n"));
  cr_assert(!whole.Reset());
}

Test(httpserver, disconnected_caller_is_detected)
{
  Fixture fixture;
  CallRunner runner({});
  Recorder stream;
  const uint64_t call = runner.Start(
    { .mMethod = "POST", .mTarget = fixture.Url("/endless") }, stream.Hooks());
  cr_assert(stream.mChunks.Reaches(3));
  runner.Cancel(call);
  cr_assert(fixture.mClosedStreams.Reaches(1));

  Recorder wait;
  const uint64_t second = runner.Start(
    { .mMethod = "POST", .mTarget = fixture.Url("/wait") }, wait.Hooks());
  cr_assert(fixture.mHandledRequests.Reaches(2));
  runner.Cancel(second);
  cr_assert(fixture.mDisconnects.Reaches(1));
  cr_assert(stream.mEnds.Value() == 0);
  cr_assert(wait.mEnds.Value() == 0);
}

Test(httpserver, stream_ends_at_the_first_step_after_a_disconnect)
{
  int ends[2];
  cr_assert(socketpair(AF_UNIX, SOCK_STREAM, 0, ends) == 0);
  int steps = 0;
  int closed = 0;
  {
    StreamState state(
      [&](std::string& aOut) {
        if (++steps == 2) {
          close(ends[1]);
        }
        aOut = "abc";
        return StreamStep::Data;
      },
      [&] { ++closed; },
      ends[0],
      false);
    char out[2];
    cr_assert(state.Read(out, 2) == 2);
    cr_assert(state.Read(out, 2) == 1);
    cr_assert(state.Read(out, 2) < 0);
    cr_assert(state.Read(out, 2) < 0);
    cr_assert(steps == 2);
    state.Close();
  }
  cr_assert(closed == 1);
  close(ends[0]);
}

Test(httpserver, limits_get_an_answer_and_are_counted)
{
  Fixture fixture({ .mMaxBodyBytes = 1000, .mMaxHeaderBytes = 2000 });
  const auto body = SendHttp({ .mMethod = "POST",
                               .mTarget = fixture.Url("/"),
                               .mBody = std::string(1001, 'x') },
                             Millis(20000));
  cr_assert(body && body->mBody == "bad input");
  cr_assert(fixture.BadInputCounter(BadInput::BodyTooLarge).Value() == 1);
  const auto header =
    SendHttp({ .mMethod = "GET",
               .mTarget = fixture.Url("/"),
               .mHeaders = { { "X-Long", std::string(3000, 'x') } } },
             Millis(20000));
  cr_assert(header && header->mBody == "bad input");
  cr_assert(fixture.BadInputCounter(BadInput::HeaderTooLarge).Value() == 1);
  const auto fits = SendHttp({ .mMethod = "POST",
                               .mTarget = fixture.Url("/"),
                               .mBody = std::string(1000, 'x') },
                             Millis(20000));
  cr_assert(fits && fits->mStatus == 200);
  cr_assert(fixture.mHandledRequests.Value() == 1);
}

Test(httpserver, endless_body_is_rejected_with_an_answer)
{
  Fixture fixture({ .mMaxBodyBytes = 1000 });
  const auto port = fixture.Url("").substr(17);
  RawSocket socket(static_cast<uint16_t>(std::stoi(port)));
  cr_assert(socket.Send("POST / HTTP/1.1\r\nHost: a\r\n"
                        "Content-Length: 100000000000\r\n\r\n"));
  const std::string block(size_t{ 64 } * 1024, 'x');
  std::thread sender([&] {
    while (socket.Send(block)) {
    }
  });
  const std::string answer = socket.ReadUntil("bad input");
  cr_assert(answer.starts_with("HTTP/1.1 413"));
  sender.join();
  cr_assert(fixture.BadInputCounter(BadInput::BodyTooLarge).Value() == 1);
  cr_assert(fixture.mHandledRequests.Value() == 0);
}

Test(httpserver, slow_and_broken_senders_are_disconnected)
{
  Fixture fixture({ .mReceiveSeconds = 1 });
  const auto port =
    static_cast<uint16_t>(std::stoi(fixture.Url("").substr(17)));
  RawSocket slow(port);
  cr_assert(slow.Send("POST / HTTP/1.1\r\nHost: a\r\n"
                      "Content-Length: 10\r\n\r\nabc"));
  cr_assert(slow.ReadAll().ends_with("bad input"));
  cr_assert(fixture.BadInputCounter(BadInput::SlowSender).Value() == 1);
  RawSocket slowHead(port);
  cr_assert(slowHead.Send("POST / HT"));
  cr_assert(slowHead.ReadAll().ends_with("bad input"));
  cr_assert(fixture.BadInputCounter(BadInput::SlowSender).Value() == 2);
  {
    RawSocket broken(port);
    cr_assert(broken.Send("POST / HTTP/1.1\r\nHost: a\r\n"
                          "Content-Length: 10\r\n\r\nabc"));
  }
  cr_assert(fixture.BadInputCounter(BadInput::Malformed).Reaches(1));
  RawSocket nonsense(port);
  cr_assert(nonsense.Send("nonsense\r\n\r\n"));
  nonsense.ReadAll();
  cr_assert(fixture.mHandledRequests.Value() == 0);
}

Test(httpserver, server_over_its_limit_answers_and_recovers)
{
  Fixture fixture({ .mMaxConnections = 2 });
  CallRunner runner({});
  Recorder first;
  Recorder second;
  Recorder third;
  const uint64_t heldCall = runner.Start(
    { .mMethod = "GET", .mTarget = fixture.Url("/endless") }, first.Hooks());
  runner.Start({ .mMethod = "GET", .mTarget = fixture.Url("/endless") },
               second.Hooks());
  cr_assert(first.mChunks.Reaches(1));
  cr_assert(second.mChunks.Reaches(1));
  runner.Start({ .mMethod = "GET", .mTarget = fixture.Url("/") },
               third.Hooks());
  cr_assert(third.mEnds.Reaches(1));
  cr_assert(third.Body() == "bad input");
  cr_assert(fixture.BadInputCounter(BadInput::TooManyConnections).Value() == 1);
  runner.Cancel(heldCall);
  cr_assert(fixture.mClosedStreams.Reaches(1));
}
