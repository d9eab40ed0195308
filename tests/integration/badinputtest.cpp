#include "await.h"
#include "fleet.h"
#include "httpcall.h"
#include "rawcaller.h"

#include <criterion/criterion.h>

using namespace integration;
using trefoilload::CallOutcome;

namespace {

const std::string kRequestHead = "POST /v1/chat/completions HTTP/1.1\r\n"
                                 "Host: entry\r\n"
                                 "X-Trefoilarch-Workspace: public\r\n"
                                 "Content-Type: application/json\r\n";

/** Small limits that a test reaches quickly. */
FleetOptions
TightLimits()
{
  return { .mServices = 1,
           .mEntryFlags = { "--most-body-bytes",
                            "20000",
                            "--most-header-bytes",
                            "8000",
                            "--receive-seconds",
                            "1" } };
}

std::string
ChatBody(const std::string& aContent)
{
  return R"({"model":"base","messages":[{"role":"user","content":")" +
         aContent + R"("}]})";
}

std::string
RequestWithLength(const std::string& aBody)
{
  return kRequestHead + "Content-Length: " + std::to_string(aBody.size()) +
         "\r\n\r\n" + aBody;
}

void
ExpectStatus(const std::string& aAnswer,
             const std::string& aStatus,
             const std::string& aKind)
{
  cr_assert(aAnswer.starts_with("HTTP/1.1 " + aStatus) &&
              aAnswer.find("\"kind\":\"" + aKind + "\"") != std::string::npos,
            "expected %s %s: %s",
            aStatus.c_str(),
            aKind.c_str(),
            aAnswer.c_str());
}

/** The entry serves another request, and nothing else has run. */
void
ExpectUnharmed(Fleet& aFleet)
{
  const size_t before = aFleet.Executions().size();
  const auto call = aFleet.Send(ChatRequest("mid-call", 10));
  cr_assert(call->AwaitEnd().mOutcome == CallOutcome::Complete);
  cr_assert(aFleet.Executions().size() == before + 1);
}

/** Sums the metric samples whose line contains the text. */
double
SumCounter(const Fleet& aFleet, const std::string& aText)
{
  const std::string metrics =
    CallHttp("GET", aFleet.OperatorUrl() + "/metrics").mBody;
  double sum = 0;
  size_t line = 0;
  while (line < metrics.size()) {
    const size_t end = std::min(metrics.find('\n', line), metrics.size());
    const std::string text = metrics.substr(line, end - line);
    if (!text.starts_with('#') && text.find(aText) != std::string::npos) {
      sum += std::stod(text.substr(text.rfind(' ') + 1));
    }
    line = end + 1;
  }
  return sum;
}

} // namespace

Test(badinput, an_oversized_body_is_refused)
{
  Fleet fleet(TightLimits());
  const RawCaller caller(fleet.EntryUrl());
  cr_assert(caller.Send(RequestWithLength(ChatBody(std::string(30000, 'a')))));
  ExpectStatus(caller.ReadAll(), "413", "body_too_large");
  const RawCaller chunked(fleet.EntryUrl());
  chunked.Send(kRequestHead + "Transfer-Encoding: chunked\r\n\r\n");
  const std::string chunk(10000, 'a');
  for (int i = 0; i < 100 && chunked.Send("2710\r\n" + chunk + "\r\n"); ++i) {
  }
  chunked.Send("0\r\n\r\n");
  const std::string answer = chunked.ReadAll();
  cr_assert(
    answer.empty() || answer.starts_with("HTTP/1.1 413"), "%s", answer.c_str());
  cr_assert(SumCounter(fleet, "kind=\"body_too_large\"") >= 1);
  cr_assert(fleet.Executions().empty());
  ExpectUnharmed(fleet);
}

Test(badinput, oversized_headers_are_refused)
{
  Fleet fleet(TightLimits());
  const RawCaller caller(fleet.EntryUrl());
  caller.Send(kRequestHead + "X-Long: " + std::string(12000, 'a') + "\r\n" +
              "Content-Length: 2\r\n\r\n{}");
  ExpectStatus(caller.ReadAll(), "431", "header_too_large");
  cr_assert(SumCounter(fleet, "kind=\"header_too_large\"") >= 1);
  ExpectUnharmed(fleet);
}

Test(badinput, malformed_json_is_refused_and_counted)
{
  Fleet fleet(TightLimits());
  const RawCaller caller(fleet.EntryUrl());
  caller.Send(RequestWithLength("{\"model\":\"base\",\"messages\":[{]}"));
  ExpectStatus(caller.ReadAll(2000), "400", "invalid_request");
  cr_assert(SumCounter(fleet, "kind=\"invalid_request\"") >= 1);
  cr_assert(fleet.Executions().empty());
  ExpectUnharmed(fleet);
}

Test(badinput, a_truncated_body_never_runs)
{
  Fleet fleet(TightLimits());
  for (int i = 0; i < 10; ++i) {
    const RawCaller caller(fleet.EntryUrl());
    caller.Send(kRequestHead + "Content-Length: 500\r\n\r\n" + ChatBody("cut"));
  }
  ExpectUnharmed(fleet);
  cr_assert(fleet.Executions().size() == 1);
}

Test(badinput, a_slow_sender_times_out_and_delays_no_others)
{
  Fleet fleet(TightLimits());
  std::vector<std::unique_ptr<RawCaller>> slow;
  for (int i = 0; i < 20; ++i) {
    slow.push_back(std::make_unique<RawCaller>(fleet.EntryUrl()));
    slow.back()->Send(kRequestHead + "Content-Length: 500\r\n\r\n{\"model\":");
  }
  ExpectUnharmed(fleet);
  for (const auto& caller : slow) {
    ExpectStatus(caller->ReadAll(), "408", "slow_sender");
  }
  cr_assert(SumCounter(fleet, "kind=\"slow_sender\"") >= 20);
  cr_assert(fleet.Executions().size() == 1);
}

Test(badinput, headers_cannot_be_injected)
{
  Fleet fleet(TightLimits());
  const std::string path = "/v1/services/booking/a%0d%0aX-Evil:%201/b";
  const auto reply = CallHttp("POST",
                              fleet.EntryUrl() + path,
                              "x",
                              { { "X-Trefoilarch-Workspace", "agents" },
                                { "Authorization", "Bearer secret-of-agents" },
                                { "X-Trefoilarch-Class", "booking" },
                                { "X-Request-Id", "chosen-by-caller" } });
  for (const ExecutionRecord& execution : fleet.Executions()) {
    cr_assert(execution.mId.starts_with(trefoilio::FindHeader(
                reply.mHeaders, "X-Trefoilarch-Request-Id")),
              "%s",
              execution.mId.c_str());
  }
  const RawCaller caller(fleet.EntryUrl());
  caller.Send("POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\n"
              "X-Trefoilarch-Workspace: public\rX-Evil: 1\r\n"
              "Content-Length: 2\r\n\r\n{}");
  cr_assert(!caller.ReadAll(2000).starts_with("HTTP/1.1 200"));
  ExpectUnharmed(fleet);
}
