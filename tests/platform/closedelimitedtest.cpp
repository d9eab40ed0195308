#include "platformfleet.h"

#include "integration/await.h"
#include "integration/rawcaller.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

#include <chrono>
#include <csignal>
#include <optional>
#include <string>
#include <thread>

using namespace platformtest;
using integration::Await;
using integration::ConnectionEnd;
using integration::RawAnswer;
using nlohmann::json;

namespace {

constexpr const char* kLastChunk = "0\r\n\r\n";

/** Long enough for retries, and for an end that a gate waits for. */
constexpr int kReadTimeoutMs = 2000;

RawAnswer
Ask(const PlatformFleet& aFleet,
    const std::string& aPath,
    const std::string& aPlan,
    const trefoilio::HttpHeaders& aHeaders = {})
{
  const integration::RawCaller caller(aFleet.GateAddress(0));
  caller.Send(PlatformFleet::Text({ .mMethod = "POST",
                                    .mPath = aPath,
                                    .mPlan = aPlan,
                                    .mHeaders = aHeaders }));
  return caller.ReadAnswer(kLastChunk, kReadTimeoutMs);
}

bool
HasText(const RawAnswer& aAnswer, const std::string& aText)
{
  return aAnswer.mText.find(aText) != std::string::npos;
}

bool
IsChunked(const RawAnswer& aAnswer)
{
  return HasText(aAnswer, "Transfer-Encoding: chunked\r\n");
}

/** Expects an answer whose only end is that of its connection. */
void
ExpectCloseDelimited(const RawAnswer& aAnswer)
{
  cr_expect(HasText(aAnswer, "Connection: close\r\n"));
  cr_expect(!IsChunked(aAnswer));
  cr_expect(!HasText(aAnswer, "Content-Length:"));
}

/** Expects that the caller can tell that the answer was broken off. */
void
ExpectCutShort(const RawAnswer& aAnswer)
{
  cr_expect(!HasText(aAnswer, "Content-Length:"));
  if (IsChunked(aAnswer)) {
    cr_expect(!aAnswer.mText.ends_with(kLastChunk));
    cr_expect(aAnswer.mEnd != ConnectionEnd::Open);
  } else {
    cr_expect(aAnswer.mEnd == ConnectionEnd::Reset);
  }
}

void
ExpectEventsOnce(const RawAnswer& aAnswer, int aCount)
{
  for (int event = 1; event <= aCount; ++event) {
    const std::string line = "data: event " + std::to_string(event) + "\n";
    const size_t position = aAnswer.mText.find(line);
    cr_expect(position != std::string::npos, "event %d", event);
    cr_expect(aAnswer.mText.find(line, position + 1) == std::string::npos,
              "event %d twice",
              event);
  }
  const std::string next = "event " + std::to_string(aCount + 1);
  cr_expect(!HasText(aAnswer, next));
}

/** The last line of the gate's log for a request that has ended. */
json
EndedRequest(const PlatformFleet& aFleet)
{
  cr_assert(Await([&] { return !aFleet.LogOf(0, "request_ended").empty(); }));
  return aFleet.LogOf(0, "request_ended").back();
}

/** Answers one request with a part of an unframed stream and closes. Accepts
 * one further connection, and then neither keeps it nor listens any more. */
class DyingUpstream
{
public:
  DyingUpstream()
    : mAcceptor(mLoop, Tcp::endpoint(Tcp::v4(), 0))
    , mThread([this] { Serve(); })
  {
  }
  ~DyingUpstream() { mThread.join(); }

  std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(mAcceptor.local_endpoint().port());
  }

private:
  using Tcp = boost::asio::ip::tcp;

  void Serve()
  {
    {
      Tcp::socket request = mAcceptor.accept();
      boost::asio::streambuf head;
      boost::asio::read_until(request, head, "\r\n\r\n");
      boost::asio::write(
        request,
        boost::asio::buffer(
          std::string("HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\n"
                      "Connection: close\r\n\r\nid: 1\ndata: event 1\n\n")));
    }
    const Tcp::socket probe = mAcceptor.accept();
    mAcceptor.close();
  }

  boost::asio::io_context mLoop;
  Tcp::acceptor mAcceptor;
  std::thread mThread;
};

/** Answers a request with a part of an unframed stream. Its process ends at
 * once, and is back at its address on demand. */
class RestartingUpstream
{
public:
  RestartingUpstream()
    : mAcceptor(std::in_place, mLoop, Tcp::endpoint(Tcp::v4(), 0))
    , mEndpoint(mAcceptor->local_endpoint())
  {
  }

  std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(mEndpoint.port());
  }

  void BeginAnswer()
  {
    mConnection.emplace(mAcceptor->accept());
    boost::asio::streambuf head;
    boost::asio::read_until(*mConnection, head, "\r\n\r\n");
    boost::asio::write(*mConnection,
                       boost::asio::buffer(std::string(
                         "HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\n"
                         "Connection: close\r\n\r\nid: 1\ndata: event 1\n\n")));
  }
  /** Sends as much as a gate takes whose caller does not read. */
  void FillGate()
  {
    mConnection->non_blocking(true);
    const std::string block(65536, 'b');
    boost::system::error_code error;
    while (!error) {
      boost::asio::write(*mConnection, boost::asio::buffer(block), error);
      if (error == boost::asio::error::would_block) {
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        mConnection->write_some(boost::asio::buffer(block), error);
      }
    }
  }
  void Crash()
  {
    mAcceptor.reset();
    mConnection.reset();
  }
  void StartAgain() { mAcceptor.emplace(mLoop, mEndpoint); }

private:
  using Tcp = boost::asio::ip::tcp;

  boost::asio::io_context mLoop;
  std::optional<Tcp::acceptor> mAcceptor;
  Tcp::endpoint mEndpoint;
  std::optional<Tcp::socket> mConnection;
};

/** Longer than a frozen gate may take another process for the same one. */
constexpr std::chrono::milliseconds kFreeze{ 700 };

} // namespace

Test(closedelimited, a_complete_stream_without_framing_is_not_framed_anew)
{
  const PlatformFleet fleet;
  for (const char* path : { "/stream/x", "/resume/x" }) {
    const RawAnswer answer =
      Ask(fleet, path, "stream,count=6,gap=2,framing=close");
    ExpectCloseDelimited(answer);
    ExpectEventsOnce(answer, 6);
    cr_expect(answer.mText.ends_with("data: event 6\n\n"), "%s", path);
    cr_expect(answer.mEnd == ConnectionEnd::Closed, "%s", path);
  }
}

Test(closedelimited, a_stream_cut_inside_an_event_is_not_framed_as_complete)
{
  for (const char* how : { "reset", "close", "crash" }) {
    const PlatformFleet fleet;
    const RawAnswer answer =
      Ask(fleet,
          "/stream/x",
          std::string("stream,count=6,gap=2,cut=3,framing=close,how=") + how);
    ExpectEventsOnce(answer, 3);
    ExpectCutShort(answer);
    const json ended = EndedRequest(fleet);
    cr_expect(ended.at("outcome") != "served", "%s", how);
  }
}

Test(closedelimited, a_resumable_stream_cut_inside_an_event_is_continued)
{
  for (const char* how : { "reset", "close", "crash" }) {
    const PlatformFleet fleet({ .mWorkers = 3 });
    const RawAnswer answer =
      Ask(fleet,
          "/resume/x",
          std::string("stream,count=8,gap=2,cut=3,once=1,framing=close,how=") +
            how);
    ExpectCloseDelimited(answer);
    ExpectEventsOnce(answer, 8);
    cr_expect(answer.mEnd == ConnectionEnd::Closed, "%s", how);
    if (how != std::string("crash")) {
      cr_expect(fleet.RunsOf("1").size() == 2);
    }
  }
}

Test(closedelimited, a_copied_stream_cut_inside_an_event_is_continued)
{
  const PlatformFleet fleet({ .mWorkers = 3 });
  const RawAnswer answer =
    Ask(fleet,
        "/stream/x",
        "stream,count=8,gap=2,cut=3,once=1,framing=close,how=close",
        { { "X-Token-Usage", "500,400" } });
  ExpectCloseDelimited(answer);
  ExpectEventsOnce(answer, 8);
  cr_expect(answer.mEnd == ConnectionEnd::Closed);
  cr_expect(fleet.RunsOf("1").size() == 2);
}

Test(closedelimited,
     a_stream_that_ends_between_events_is_not_framed_as_complete)
{
  const PlatformFleet fleet;
  const RawAnswer answer =
    Ask(fleet,
        "/stream/x",
        "stream,count=6,gap=2,cut=3,at=between,framing=close,how=close");
  ExpectEventsOnce(answer, 3);
  ExpectCloseDelimited(answer);
}

Test(closedelimited, a_crash_between_events_cuts_the_answer_short)
{
  const PlatformFleet fleet;
  const RawAnswer answer =
    Ask(fleet,
        "/stream/x",
        "stream,count=6,gap=2,cut=3,at=between,framing=close,how=crash");
  ExpectEventsOnce(answer, 3);
  ExpectCutShort(answer);
  cr_expect(EndedRequest(fleet).at("outcome") != "served");
}

Test(closedelimited,
     a_resumable_stream_is_continued_after_a_crash_between_events)
{
  const PlatformFleet fleet({ .mWorkers = 3 });
  const RawAnswer answer =
    Ask(fleet,
        "/resume/x",
        "stream,count=8,gap=2,cut=3,once=1,at=between,framing=close,how=crash");
  ExpectEventsOnce(answer, 8);
  cr_expect(answer.mEnd == ConnectionEnd::Closed);
}

Test(closedelimited, a_stream_that_ends_before_its_first_event_is_no_success)
{
  const PlatformFleet fleet;
  for (const char* at : { "inside", "between" }) {
    const RawAnswer answer =
      Ask(fleet,
          "/stream/x",
          std::string("stream,count=6,cut=0,framing=close,how=close,at=") + at);
    cr_expect(answer.mText.starts_with("HTTP/1.1 502"), "%s", at);
  }
}

Test(closedelimited,
     a_resumable_stream_that_ends_before_its_first_event_is_retried)
{
  const PlatformFleet fleet({ .mWorkers = 2, .mRetrySlack = 200 });
  for (const char* at : { "inside", "between" }) {
    fleet.SetPlan(
      0,
      std::string("stream,count=6,cut=0,framing=close,how=close,at=") + at,
      1);
    for (int each = 0; each < 4; ++each) {
      ExpectEventsOnce(Ask(fleet, "/resume/x", "stream,count=6,gap=2"), 6);
    }
  }
}

Test(closedelimited,
     a_chunked_stream_is_not_ended_by_the_close_of_a_resumed_run)
{
  const PlatformFleet fleet({ .mWorkers = 3 });
  const RawAnswer answer =
    Ask(fleet,
        "/resume/x",
        "stream,count=8,gap=2,cut=3,once=1,resume_framing=close");
  cr_expect(IsChunked(answer));
  ExpectEventsOnce(answer, 8);
  ExpectCutShort(answer);
}

Test(closedelimited, a_plain_answer_without_a_length_keeps_its_framing)
{
  const PlatformFleet fleet;
  for (const char* size : { "0", "100", "200000" }) {
    for (const char* path : { "/safe/x", "/once/x" }) {
      const RawAnswer answer =
        Ask(fleet, path, std::string("no_length,size=") + size);
      ExpectCloseDelimited(answer);
      cr_expect(answer.mText.ends_with("\r\n\r\n" +
                                       std::string(std::stoul(size), 'b')));
      cr_expect(answer.mEnd == ConnectionEnd::Closed, "%s of %s", path, size);
    }
  }
}

Test(closedelimited, a_forwarded_plain_answer_that_is_reset_is_cut_short)
{
  const PlatformFleet fleet;
  const RawAnswer answer = Ask(fleet, "/once/x", "no_length_cut,size=400000");
  cr_expect(HasText(answer, "HTTP/1.1 200"));
  ExpectCutShort(answer);
}

Test(closedelimited, an_error_body_without_a_length_keeps_its_framing)
{
  const PlatformFleet fleet;
  for (const char* path : { "/once/x", "/stream/x" }) {
    const RawAnswer answer = Ask(fleet, path, "no_length,size=40,status=500");
    cr_expect(answer.mText.starts_with("HTTP/1.1 500"), "%s", path);
    ExpectCloseDelimited(answer);
    cr_expect(answer.mText.ends_with(std::string(40, 'b')));
    cr_expect(answer.mEnd == ConnectionEnd::Closed);
  }
}

Test(closedelimited, a_killed_gate_cuts_the_answer_short)
{
  PlatformFleet fleet;
  const integration::RawCaller caller(fleet.GateAddress(0));
  caller.Send(
    PlatformFleet::Text({ .mMethod = "POST",
                          .mPath = "/stream/x",
                          .mPlan = "stream,count=90,gap=20,framing=close" }));
  const RawAnswer begun = caller.ReadAnswer("event 3\n\n", kReadTimeoutMs);
  cr_assert(HasText(begun, "event 3\n\n"));
  fleet.Gate(0).Signal(SIGKILL);
  const RawAnswer rest = caller.ReadAnswer("", kReadTimeoutMs);
  cr_expect(!IsChunked(begun));
  cr_expect(rest.mEnd == ConnectionEnd::Reset);
}

Test(closedelimited,
     a_copied_stream_is_not_promised_the_length_of_its_first_run)
{
  const PlatformFleet fleet({ .mWorkers = 3 });
  const RawAnswer answer =
    Ask(fleet,
        "/stream/x",
        "stream,count=8,gap=2,cut=3,once=1,framing=length,how=close",
        { { "X-Token-Usage", "500,400" } });
  cr_expect(IsChunked(answer));
  cr_expect(!HasText(answer, "Content-Length:"));
  ExpectEventsOnce(answer, 8);
}

Test(closedelimited, an_unknown_transfer_coding_is_no_answer)
{
  const PlatformFleet fleet;
  const RawAnswer answer = Ask(fleet, "/once/x", "gzip");
  cr_expect(answer.mText.starts_with("HTTP/1.1 502"));
}

Test(closedelimited, a_cut_run_is_recorded_as_broken_and_its_crash_as_such)
{
  const PlatformFleet fleet;
  Ask(fleet, "/stream/x", "stream,count=6,gap=2,cut=3,framing=close,how=crash");
  const std::string metrics = fleet.Metrics();
  cr_expect(metrics.find("attempts_total{outcome=\"broken\"} 1") !=
              std::string::npos,
            "%s",
            metrics.c_str());
  cr_expect(metrics.find("attempts_total{outcome=\"good\"}") ==
            std::string::npos);
  cr_expect(Await([&] { return !fleet.LogOf(0, "upstream_crashed").empty(); }));
}

Test(closedelimited,
     a_crash_is_found_though_the_process_still_accepts_for_a_moment)
{
  const PlatformFleet fleet;
  DyingUpstream upstream;
  fleet.Unlist("i-0");
  fleet.ListAs("i-dying", upstream.Address());
  const auto listed = [&] { return fleet.LogOf(0, "upstream_listed").size(); };
  cr_assert(Await([&] { return listed() >= 2; }));
  const RawAnswer answer = Ask(fleet, "/stream/x", "ok");
  cr_expect(HasText(answer, "event 1\n"), "%s", answer.mText.c_str());
  ExpectCutShort(answer);
}

// The end of a process that was leaving used to go unnoticed.
Test(closedelimited, an_answer_of_a_killed_upstream_that_left_is_cut_short)
{
  for (const std::string state : { "draining", "unlisted", "stated" }) {
    PlatformFleet fleet;
    if (state == "stated") {
      fleet.SetLeaving(0, "1");
    }
    const integration::RawCaller caller(fleet.GateAddress(0));
    caller.Send(
      PlatformFleet::Text({ .mMethod = "POST",
                            .mPath = "/stream/x",
                            .mPlan = "stream,count=90,gap=20,framing=close" }));
    const RawAnswer begun = caller.ReadAnswer("event 3\n\n", kReadTimeoutMs);
    cr_assert(HasText(begun, "event 3\n\n"));
    if (state == "draining") {
      fleet.List(0, "draining");
    } else if (state == "unlisted") {
      fleet.Unlist("i-0");
    }
    // Long enough for the list to be read.
    std::this_thread::sleep_for(std::chrono::milliseconds(700));
    fleet.Worker(0).Signal(SIGKILL);
    const RawAnswer rest = caller.ReadAnswer("", kReadTimeoutMs);
    cr_expect(!HasText(rest, "event 90\n"), "%s", state.c_str());
    cr_expect(rest.mEnd == ConnectionEnd::Reset, "%s", state.c_str());
  }
}

// A gate that was frozen took the new process for the one that answered.
Test(closedelimited, a_process_that_is_back_does_not_complete_an_answer)
{
  PlatformFleet fleet;
  RestartingUpstream upstream;
  fleet.Unlist("i-0");
  fleet.ListAs("i-back", upstream.Address());
  const auto listed = [&] { return fleet.LogOf(0, "upstream_listed").size(); };
  cr_assert(Await([&] { return listed() >= 2; }));
  const integration::RawCaller caller(fleet.GateAddress(0));
  caller.Send(PlatformFleet::Text({ .mMethod = "POST", .mPath = "/stream/x" }));
  upstream.BeginAnswer();
  const RawAnswer begun = caller.ReadAnswer("event 1\n\n", kReadTimeoutMs);
  cr_assert(HasText(begun, "event 1\n\n"));
  fleet.Gate(0).Signal(SIGSTOP);
  upstream.Crash();
  upstream.StartAgain();
  std::this_thread::sleep_for(kFreeze);
  fleet.Gate(0).Signal(SIGCONT);
  const RawAnswer rest = caller.ReadAnswer("", kReadTimeoutMs);
  cr_expect(rest.mEnd == ConnectionEnd::Reset);
}

// The end is read long after the process was replaced.
Test(closedelimited, a_crash_behind_a_slow_caller_cuts_the_answer_short)
{
  PlatformFleet fleet;
  RestartingUpstream upstream;
  fleet.Unlist("i-0");
  fleet.ListAs("i-back", upstream.Address());
  const auto listed = [&] { return fleet.LogOf(0, "upstream_listed").size(); };
  cr_assert(Await([&] { return listed() >= 2; }));
  const integration::RawCaller caller(fleet.GateAddress(0));
  caller.Send(PlatformFleet::Text({ .mMethod = "POST", .mPath = "/once/x" }));
  upstream.BeginAnswer();
  upstream.FillGate();
  upstream.Crash();
  std::this_thread::sleep_for(kFreeze);
  upstream.StartAgain();
  std::this_thread::sleep_for(kFreeze);
  const RawAnswer answer = caller.ReadAnswer("", kReadTimeoutMs);
  cr_expect(HasText(answer, "event 1\n"));
  cr_expect(answer.mEnd == ConnectionEnd::Reset);
}

Test(closedelimited, a_long_answer_is_complete_though_its_upstream_leaves)
{
  for (const std::string state : { "draining", "unlisted" }) {
    const PlatformFleet fleet;
    const integration::RawCaller caller(fleet.GateAddress(0));
    caller.Send(
      PlatformFleet::Text({ .mMethod = "POST",
                            .mPath = "/stream/x",
                            .mPlan = "stream,count=40,gap=30,framing=close" }));
    const RawAnswer begun = caller.ReadAnswer("event 3\n\n", kReadTimeoutMs);
    if (state == "draining") {
      fleet.List(0, "draining");
    } else {
      fleet.Unlist("i-0");
    }
    const RawAnswer rest = caller.ReadAnswer("", kReadTimeoutMs);
    cr_expect(HasText(rest, "event 40\n"), "%s", state.c_str());
    cr_expect(rest.mEnd == ConnectionEnd::Closed, "%s", state.c_str());
  }
}
