#include "brokenanswers.h"

#include "await.h"
#include "fleet.h"
#include "httpcall.h"
#include "rawcaller.h"
#include "rawupstream.h"
#include "temporaryfolder.h"

#include "libtrefoilio/httpclient.h"
#include "libtrefoilio/systemclock.h"

#include <criterion/criterion.h>

#include <atomic>
#include <chrono>
#include <fstream>
#include <future>
#include <sstream>
#include <string>
#include <sys/wait.h>

using namespace integration;
using trefoilio::CallEnd;
using Socket = RawUpstream::Tcp::socket;

/** Each reader of answers beside upstreams that send broken ones. */
namespace {

constexpr trefoilarch::Millis kTimeout{ 5000 };
constexpr int kReadTimeoutMs = 5000;
constexpr size_t kUploadBytes = 3000000;
constexpr const char* kCaller = "X-Trefoilarch-Workspace: agents\r\n"
                                "Authorization: Bearer secret-of-agents\r\n";

/** Writes the answer, and leaves the connection to its peer. */
void
WriteAndWait(Socket& aSocket, const std::string& aAnswer)
{
  RawUpstream::Write(aSocket, aAnswer);
  char byte = 0;
  boost::system::error_code ignored;
  aSocket.read_some(boost::asio::buffer(&byte, 1), ignored);
}

/** Sends one of the broken answers to each request. */
class BrokenUpstream
{
public:
  explicit BrokenUpstream(uint16_t aPort = 0)
    : mUpstream(
        [this](Socket& aSocket) {
          WriteAndWait(aSocket, mAnswers[mNext].mBytes);
        },
        aPort)
  {
  }

  std::string Url() const { return "http://" + mUpstream.Address(); }
  const std::vector<BrokenAnswer>& Answers() const { return mAnswers; }
  void SetNext(size_t aNext) { mNext = aNext; }

private:
  const std::vector<BrokenAnswer> mAnswers = BrokenAnswers();
  std::atomic<size_t> mNext = 0;
  RawUpstream mUpstream;
};

/** Ends the upstream stand-in's process; returns its port. */
uint16_t
TakePort(Fleet& aFleet)
{
  const std::string url = aFleet.Upstream().UpstreamUrl();
  aFleet.Upstream().mUpstream->Kill();
  return static_cast<uint16_t>(std::stoi(url.substr(url.rfind(':') + 1)));
}

std::string
ServiceRequest(const std::string& aMethod, const std::string& aBody = "")
{
  std::string text = aMethod + " /v1/services/booking/seats/7 HTTP/1.1\r\n";
  text += "Host: entry\r\n";
  text += kCaller;
  text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n";
  return text + aBody;
}

std::string
ChatRequestText(bool aStream)
{
  const std::string body = std::string(R"({"model":"base","stream":)") +
                           (aStream ? "true" : "false") +
                           R"(,"messages":[{"role":"user","content":"a"}]})";
  return "POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\n" +
         std::string(kCaller) +
         "Content-Type: application/json\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string
Ask(const Fleet& aFleet, const std::string& aRequest)
{
  const RawCaller caller(aFleet.EntryUrl());
  caller.Send(aRequest);
  return caller.ReadAnswer("}\n", kReadTimeoutMs).mText;
}

/** Expects no success for any of the answers, and none that keeps the caller
 * waiting. */
void
ExpectNoneReaches(Fleet& aFleet, const std::vector<std::string>& aRequests)
{
  constexpr int64_t kMaxMs = 3000;
  BrokenUpstream broken(TakePort(aFleet));
  for (size_t each = 0; each < broken.Answers().size(); ++each) {
    broken.SetNext(each);
    for (const std::string& request : aRequests) {
      const int64_t sentAt = trefoilio::MonotonicNow().Count();
      const RawCaller caller(aFleet.EntryUrl());
      caller.Send(request);
      const std::string answer = caller.ReadUntil("}", kReadTimeoutMs);
      const int64_t elapsed = trefoilio::MonotonicNow().Count() - sentAt;
      const std::string name = broken.Answers()[each].mName + " to " +
                               request.substr(0, request.find(' ', 5));
      cr_expect(answer.starts_with("HTTP/1.1 5"),
                "%s: %s",
                name.c_str(),
                answer.c_str());
      cr_expect(elapsed < kMaxMs, "%s: %ld ms", name.c_str(), elapsed);
    }
  }
}

/** Runs a program until it ends, and returns what it has printed. */
std::vector<std::string>
Output(const std::string& aProgram,
       const std::vector<std::string>& aArguments,
       int& aExitCode)
{
  ChildProcess process(aProgram, aArguments);
  cr_assert(Await([&] { return process.HasEnded(); }));
  aExitCode = WEXITSTATUS(process.Status());
  return process.LinesWith("");
}

} // namespace

Test(daemonbrokenanswers, none_of_a_service_reaches_a_caller, .timeout = 300)
{
  Fleet fleet({ .mEngines = 0, .mServices = 1 });
  ExpectNoneReaches(fleet, { ServiceRequest("GET"), ServiceRequest("POST") });
}

Test(daemonbrokenanswers, none_of_an_engine_reaches_a_caller, .timeout = 300)
{
  Fleet fleet({ .mEngines = 1 });
  ExpectNoneReaches(fleet, { ChatRequestText(true), ChatRequestText(false) });
}

Test(daemonbrokenanswers, none_is_the_reply_to_a_blocking_call)
{
  BrokenUpstream broken;
  for (size_t each = 0; each < broken.Answers().size(); ++each) {
    broken.SetNext(each);
    for (const char* method : { "GET", "POST" }) {
      const auto reply = trefoilio::SendHttp(
        { .mMethod = method, .mTarget = broken.Url() + "/x" }, kTimeout);
      cr_expect(!reply,
                "%s %s: %d",
                method,
                broken.Answers()[each].mName.c_str(),
                reply ? reply->mStatus : 0);
    }
  }
}

Test(daemonbrokenanswers, none_completes_a_concurrent_call)
{
  BrokenUpstream broken;
  trefoilio::CallRunner runner({});
  for (size_t each = 0; each < broken.Answers().size(); ++each) {
    broken.SetNext(each);
    std::promise<CallEnd> ended;
    runner.Start({ .mMethod = "GET", .mTarget = broken.Url() + "/x" },
                 { .mOnEnd = [&](CallEnd aEnd) { ended.set_value(aEnd); } });
    auto end = ended.get_future();
    const std::string& name = broken.Answers()[each].mName;
    cr_assert(end.wait_for(std::chrono::seconds(5)) ==
                std::future_status::ready,
              "%s",
              name.c_str());
    cr_expect(end.get() == CallEnd::Broken, "%s", name.c_str());
  }
}

Test(daemonbrokenanswers, none_is_an_operator_ports_answer, .timeout = 120)
{
  BrokenUpstream broken;
  for (size_t each = 0; each < broken.Answers().size(); ++each) {
    broken.SetNext(each);
    const std::string& name = broken.Answers()[each].mName;
    int exitCode = 0;
    Output(
      "trefoilarchctl", { "status", "--operator", broken.Url() }, exitCode);
    cr_expect(exitCode == 5, "status, %s: %d", name.c_str(), exitCode);
    Output("trefoilarchctl",
           { "drain", "engine-1", "--operator", broken.Url() },
           exitCode);
    cr_expect(exitCode == 6, "drain, %s: %d", name.c_str(), exitCode);
  }
}

Test(daemonbrokenanswers,
     none_counts_as_an_answer_of_a_load_run,
     .timeout = 120)
{
  BrokenUpstream broken;
  const TemporaryFolder folder;
  const std::string trace = folder.Path() + "/trace";
  int exitCode = 0;
  Output("trefoilload",
         { "generate", "--seed", "1", "--seconds", "1", "--out", trace },
         exitCode);
  cr_assert(exitCode == 0);
  for (size_t each = 0; each < broken.Answers().size(); ++each) {
    broken.SetNext(each);
    std::string text;
    for (const std::string& line : Output("trefoilload",
                                          { "run",
                                            "--trace",
                                            trace,
                                            "--entries",
                                            broken.Url(),
                                            "--speed-percent",
                                            "1000",
                                            "--json",
                                            "true" },
                                          exitCode)) {
      text += line;
    }
    const auto report = nlohmann::json::parse(text, nullptr, false);
    cr_assert(report.is_object(), "%s", text.c_str());
    const auto outcomes = report.value("outcomes", nlohmann::json::object());
    cr_expect(!outcomes.empty());
    for (const auto& [outcome, count] : outcomes.items()) {
      cr_expect(outcome == "failed" || outcome == "unanswered",
                "%s: %s",
                broken.Answers()[each].mName.c_str(),
                text.c_str());
    }
  }
}

// The answer was lost with the write that failed after it.
Test(daemonbrokenanswers,
     a_whole_answer_to_an_upload_before_a_reset_is_delivered)
{
  constexpr const char* kWhole = R"({"seat":7})";
  for (const int delay : { 0, 20, 100 }) {
    Fleet fleet({ .mEngines = 0, .mServices = 1 });
    const RawUpstream upstream(
      [&](Socket& aSocket) {
        RawUpstream::Write(aSocket,
                           "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n" +
                             std::string(kWhole));
        std::this_thread::sleep_for(std::chrono::milliseconds(delay));
        RawUpstream::Reset(aSocket);
      },
      TakePort(fleet));
    for (int each = 0; each < 4; ++each) {
      const std::string answer =
        Ask(fleet, ServiceRequest("POST", std::string(kUploadBytes, 'u')));
      cr_expect(answer.starts_with("HTTP/1.1 200") && answer.ends_with(kWhole),
                "%d ms: %s",
                delay,
                answer.c_str());
    }
  }
}

Test(daemonbrokenanswers, a_part_before_an_upload_is_read_is_no_answer)
{
  for (const int delay : { 0, 20, 100 }) {
    Fleet fleet({ .mEngines = 0, .mServices = 1 });
    const RawUpstream upstream(
      [&](Socket& aSocket) {
        RawUpstream::Write(aSocket,
                           "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart");
        std::this_thread::sleep_for(std::chrono::milliseconds(delay));
        RawUpstream::Reset(aSocket);
      },
      TakePort(fleet));
    for (int each = 0; each < 4; ++each) {
      const std::string answer =
        Ask(fleet, ServiceRequest("POST", std::string(kUploadBytes, 'u')));
      cr_expect(answer.starts_with("HTTP/1.1 5"), "%s", answer.c_str());
    }
  }
}
