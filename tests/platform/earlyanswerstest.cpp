#include "platformfleet.h"

#include "integration/await.h"
#include "integration/rawcaller.h"
#include "integration/rawupstream.h"

#include <criterion/criterion.h>

#include <chrono>
#include <string>
#include <thread>
#include <vector>

using namespace platformtest;
using integration::Await;
using integration::ConnectionEnd;
using integration::RawAnswer;
using integration::RawUpstream;
using Socket = RawUpstream::Tcp::socket;

/** Upstreams that answer an upload before they have read it. */
namespace {

constexpr int kReadTimeoutMs = 4000;
constexpr size_t kUploadBytes = 3000000;
/** More than a gate keeps of an answer before it forwards it. */
constexpr size_t kLongPartBytes = 100000;
/** Of a gate's own answers. */
constexpr const char* kFailureEnd = "}";
constexpr const char* kOk = "HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\n";

/** How a connection ends whose request was not read. */
struct Ending
{
  const char* mName;
  std::function<void(Socket&)> mEnd;
};

void
Sleep(int aMillis)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMillis));
}

std::vector<Ending>
Endings()
{
  const auto stopWriting = [](Socket& aSocket) {
    boost::system::error_code ignored;
    aSocket.shutdown(Socket::shutdown_send, ignored);
  };
  return {
    { "reset at once", [](Socket& aSocket) { RawUpstream::Reset(aSocket); } },
    { "reset after 20 ms",
      [](Socket& aSocket) {
        Sleep(20);
        RawUpstream::Reset(aSocket);
      } },
    { "reset after 100 ms",
      [](Socket& aSocket) {
        Sleep(100);
        RawUpstream::Reset(aSocket);
      } },
    { "closed with bytes unread", [](Socket&) {} },
    { "half closed",
      [stopWriting](Socket& aSocket) {
        stopWriting(aSocket);
        Sleep(500);
      } },
    { "half closed and reset",
      [stopWriting](Socket& aSocket) {
        stopWriting(aSocket);
        RawUpstream::Reset(aSocket);
      } },
  };
}

/** Allows uploads, and replaces the fleet's upstream. */
void
ListAlone(const PlatformFleet& aFleet, const RawUpstream& aUpstream)
{
  nlohmann::json policy = PlatformFleet::MakePolicy(2, { "key-1" });
  policy["limits"]["maxBodyBytes"] = 2 * kUploadBytes;
  aFleet.PutPolicy(policy);
  cr_assert(Await([&] {
    const auto taken = aFleet.LogOf(0, "policy_taken");
    return !taken.empty() && taken.back().at("version") == 2;
  }));
  aFleet.Unlist("i-0");
  const size_t listed = aFleet.LogOf(0, "upstream_listed").size();
  aFleet.ListAs("raw", aUpstream.Address());
  cr_assert(Await([&] {
    return !aFleet.LogOf(0, "upstream_unlisted").empty() &&
           aFleet.LogOf(0, "upstream_listed").size() > listed;
  }));
}

/** Reads the answer until it ends so, or its connection does. */
RawAnswer
Upload(const PlatformFleet& aFleet,
       const std::string& aPath,
       const std::string& aId,
       const std::string& aEnd)
{
  const integration::RawCaller caller(aFleet.GateAddress(0));
  caller.Send(PlatformFleet::Text({ .mId = aId,
                                    .mMethod = "POST",
                                    .mPath = aPath,
                                    .mBody = std::string(kUploadBytes, 'u') }));
  return caller.ReadAnswer(aEnd, kReadTimeoutMs);
}

/** Uploads to an upstream that answers at once with a part of a body. */
void
ExpectNoneComplete(const std::string& aPart, const std::string& aPath)
{
  constexpr int kCallers = 3;
  for (const Ending& ending : Endings()) {
    const PlatformFleet fleet;
    const RawUpstream upstream([&](Socket& aSocket) {
      RawUpstream::Write(aSocket,
                         kOk + std::string("Connection: close\r\n\r\n"));
      RawUpstream::Write(aSocket, aPart);
      ending.mEnd(aSocket);
    });
    ListAlone(fleet, upstream);
    for (int caller = 0; caller < kCallers; ++caller) {
      const RawAnswer answer =
        Upload(fleet, aPath, "upload-" + std::to_string(caller), kFailureEnd);
      const std::string head = answer.mText.substr(0, answer.mText.find('\r'));
      const bool failed = head.starts_with("HTTP/1.1 502");
      const bool cutShort = answer.mEnd == ConnectionEnd::Reset;
      cr_expect(failed || cutShort,
                "%s on %s: %s, %zu bytes",
                ending.mName,
                aPath.c_str(),
                head.c_str(),
                answer.mText.size());
    }
    if (aPath == "/once/x") {
      cr_expect(upstream.Requests() <= kCallers, "%s", ending.mName);
    }
  }
}

} // namespace

// A failed write took the socket's error, and the next read met a plain end.
Test(earlyanswers, a_part_before_the_upload_is_read_is_not_complete)
{
  ExpectNoneComplete(std::string(1000, 'b'), "/once/x");
  ExpectNoneComplete(std::string(1000, 'b'), "/safe/x");
}

Test(earlyanswers, a_forwarded_part_before_the_upload_is_read_is_cut_short)
{
  ExpectNoneComplete(std::string(kLongPartBytes, 'b'), "/once/x");
}

Test(earlyanswers, events_before_the_upload_is_read_are_not_a_complete_stream)
{
  const std::string events = "id: 1\ndata: event 1\n\nid: 2\ndata: event 2\n\n";
  ExpectNoneComplete(events, "/stream/x");
  ExpectNoneComplete(events, "/resume/x");
}

Test(earlyanswers, a_whole_answer_before_a_reset_is_delivered)
{
  for (const size_t size : { size_t{ 40 }, size_t{ 60000 } }) {
    for (const Ending& ending : Endings()) {
      if (ending.mName == std::string("reset at once") && size > 40) {
        // A reset discards what was not yet transmitted.
        continue;
      }
      const PlatformFleet fleet;
      const std::string body(size, 'b');
      const RawUpstream upstream([&](Socket& aSocket) {
        RawUpstream::Write(aSocket,
                           kOk + std::string("Content-Length: ") +
                             std::to_string(size) + "\r\n\r\n" + body);
        ending.mEnd(aSocket);
      });
      ListAlone(fleet, upstream);
      const RawAnswer answer =
        Upload(fleet, "/once/x", "whole", "\r\n\r\n" + body);
      cr_expect(answer.mText.starts_with("HTTP/1.1 200") &&
                  answer.mText.ends_with("\r\n\r\n" + body),
                "%s: %zu bytes",
                ending.mName,
                answer.mText.size());
      cr_expect(upstream.Requests() == 1);
    }
  }
}
