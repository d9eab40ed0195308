#include "platformfleet.h"

#include "integration/await.h"
#include "integration/rawcaller.h"

#include <criterion/criterion.h>

using namespace platformtest;
using nlohmann::json;
using trefoilio::FindHeader;
using trefoilio::HttpReply;

namespace {

std::string
SealOf(const HttpReply& aReply)
{
  return std::string(FindHeader(aReply.mHeaders, "X-Response-Seal"));
}

void
ExpectServed(const HttpReply& aReply)
{
  cr_expect(aReply.mStatus == 200, "status %d", aReply.mStatus);
  cr_expect(aReply.mBody == std::string(100, 'b'));
  cr_expect(!SealOf(aReply).empty());
}

/** Expects a complete chunked stream with events 1 to aCount, each once. */
void
ExpectEachEventOnce(const std::string& aText, int aCount)
{
  for (int event = 1; event <= aCount; ++event) {
    const std::string line = "data: event " + std::to_string(event) + "\n";
    const size_t position = aText.find(line);
    cr_expect(position != std::string::npos, "event %d", event);
    cr_expect(aText.find(line, position + 1) == std::string::npos);
  }
  cr_expect(aText.ends_with("0\r\n\r\n"));
}

} // namespace

Test(answerintegrity, a_good_answer_is_forwarded_unchanged)
{
  const PlatformFleet fleet;
  const HttpReply reply = fleet.Call({ .mId = "a",
                                       .mHeaders = { { "X-Kv-Hold", "mine" },
                                                     { "X-Tenant", "other" },
                                                     { "X-Model", "m" } } });
  ExpectServed(reply);
  const json headers = fleet.RunsOf("a").at(0).at("headers");
  cr_expect(headers.at("X-Tenant") == "desk");
  cr_expect(headers.at("X-Expect-Instance") == "i-0");
  cr_expect(headers.at("X-Model") == "m");
  cr_expect(!headers.contains("X-Kv-Hold"));
  cr_expect(!headers.contains("X-Credential"));
  cr_expect(std::stoi(headers.at("X-Deadline-Ms").get<std::string>()) <= 3000);
}

Test(answerintegrity, a_failure_of_the_upstream_keeps_its_status_and_seal)
{
  const PlatformFleet fleet;
  const HttpReply reply =
    fleet.Call({ .mMethod = "POST", .mPath = "/once/x", .mPlan = "error" });
  cr_expect(reply.mStatus == 500);
  cr_expect(SealOf(reply) == "seal-i-0");
}

Test(answerintegrity, idempotent_requests_are_retried_elsewhere)
{
  const PlatformFleet fleet({ .mWorkers = 2, .mRetrySlack = 200 });
  for (const char* plan : { "error", "cut_head", "cut_body", "garbage" }) {
    fleet.SetPlan(0, plan, 1);
    fleet.SetPlan(1, plan, 0);
    // Either the first worker serves, or the second after the first has failed.
    for (int each = 0; each < 4; ++each) {
      const std::string id = std::string(plan) + std::to_string(each);
      ExpectServed(fleet.Call({ .mId = id }));
      cr_expect(fleet.RunsOf(id).size() <= 2);
    }
  }
}

Test(answerintegrity,
     a_request_that_may_run_once_does_so_and_is_never_reported_as_not_run)
{
  const PlatformFleet fleet({ .mWorkers = 3 });
  for (const char* plan :
       { "cut_head", "cut_body", "garbage", "unsealed", "no_length_cut" }) {
    const HttpReply reply = fleet.Call({ .mId = plan,
                                         .mMethod = "POST",
                                         .mPath = "/once/x",
                                         .mPlan = plan,
                                         .mBody = "booking" });
    cr_expect(reply.mStatus == 502, "%s: %d", plan, reply.mStatus);
    cr_expect(SealOf(reply).empty());
    cr_expect(fleet.RunsOf(plan).size() == 1, "%s", plan);
  }
}

Test(answerintegrity, a_refusal_by_the_upstream_is_forwarded_as_not_run)
{
  const PlatformFleet fleet;
  const HttpReply reply =
    fleet.Call({ .mMethod = "POST", .mPath = "/once/x", .mPlan = "not_run" });
  cr_expect(reply.mStatus == 429 || reply.mStatus == 503);
  cr_expect(!FindHeader(reply.mHeaders, "Retry-After").empty());
  cr_expect(fleet.RunsOf("1").empty());
}

Test(answerintegrity, an_answer_to_another_request_is_skipped)
{
  const PlatformFleet fleet;
  ExpectServed(fleet.Call({ .mId = "own", .mPlan = "stray" }));
}

Test(answerintegrity, a_second_answer_is_discarded)
{
  const PlatformFleet fleet;
  for (int each = 0; each < 5; ++each) {
    ExpectServed(
      fleet.Call({ .mId = "x" + std::to_string(each), .mPlan = "extra" }));
  }
}

Test(answerintegrity, an_answer_without_a_length_ends_with_its_connection)
{
  const PlatformFleet fleet;
  ExpectServed(fleet.Call({ .mPlan = "no_length" }));
}

Test(answerintegrity, an_address_reused_by_another_upstream_runs_nothing)
{
  const PlatformFleet fleet;
  fleet.Unlist("i-0");
  fleet.ListAs("i-gone", fleet.WorkerAddress(0));
  cr_assert(integration::Await([&] {
    return fleet.Call({ .mId = "r", .mMethod = "POST", .mPath = "/once/x" })
             .mStatus != 200;
  }));
  const size_t before = fleet.Runs(0).size();
  const HttpReply reply =
    fleet.Call({ .mId = "r2", .mMethod = "POST", .mPath = "/once/x" });
  cr_expect(reply.mStatus == 429 || reply.mStatus == 503);
  cr_expect(fleet.Runs(0).size() == before);
}

Test(answerintegrity, an_interrupted_stream_never_looks_complete)
{
  const PlatformFleet fleet;
  const integration::RawCaller caller(fleet.GateAddress(0));
  caller.Send(PlatformFleet::Text({ .mMethod = "POST",
                                    .mPath = "/stream/x",
                                    .mPlan = "stream,count=6,cut=3" }));
  const std::string text = caller.ReadAll(3000);
  cr_expect(text.find("event 3") != std::string::npos);
  cr_expect(text.find("event 4") == std::string::npos);
  cr_expect(!text.ends_with("0\r\n\r\n"));
  cr_expect(fleet.RunsOf("1").size() == 1);
}

Test(answerintegrity, a_resumable_stream_continues_without_gap_or_repetition)
{
  const PlatformFleet fleet({ .mWorkers = 3 });
  const integration::RawCaller caller(fleet.GateAddress(0));
  caller.Send(PlatformFleet::Text({ .mMethod = "POST",
                                    .mPath = "/resume/x",
                                    .mPlan = "stream,count=8,cut=3" }));
  const std::string text = caller.ReadAll(1500);
  ExpectEachEventOnce(text, 8);
  const auto runs = fleet.RunsOf("1");
  cr_expect(runs.size() == 3);
  cr_expect(
    text.find("seal-i-" + std::to_string(runs.at(0).at("worker").get<int>())) !=
      std::string::npos ||
    runs.size() == 3);
}

Test(answerintegrity, smuggled_requests_are_refused)
{
  const PlatformFleet fleet;
  const std::string start = "POST /safe/x HTTP/1.1\r\nHost: svc.example\r\n"
                            "X-Request-Id: s\r\nX-Credential: key-1\r\n";
  const std::string hidden = "GET /safe/hidden HTTP/1.1\r\n"
                             "Host: svc.example\r\nX-Request-Id: h\r\n"
                             "X-Credential: key-1\r\n\r\n";
  for (const std::string& framing :
       { std::string("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n"),
         std::string("Transfer-Encoding: chunked\r\nContent-Length: 4\r\n"),
         std::string("Content-Length: 4\r\nContent-Length: 9\r\n"),
         std::string("Transfer-Encoding: identity, chunked\r\n"),
         std::string("Transfer-Encoding: xchunked\r\n"),
         std::string("Content-Length: +4\r\n") }) {
    const integration::RawCaller caller(fleet.GateAddress(0));
    std::string text = start;
    text += framing;
    text += "\r\n0\r\n\r\n";
    text += hidden;
    caller.Send(text);
    const std::string reply = caller.ReadAll(2000);
    cr_expect(reply.starts_with("HTTP/1.1 400"), "%s", framing.c_str());
    cr_expect(reply.find("HTTP/1.1", 8) == std::string::npos);
  }
  cr_expect(fleet.RunsOf("h").empty());
  cr_expect(fleet.RunsOf("s").empty());
}

Test(answerintegrity, chunked_and_expected_bodies_arrive_complete)
{
  const PlatformFleet fleet;
  const integration::RawCaller caller(fleet.GateAddress(0));
  caller.Send("POST /once/x HTTP/1.1\r\nHost: svc.example\r\n"
              "X-Request-Id: c\r\nX-Credential: key-1\r\n"
              "Transfer-Encoding: chunked\r\nExpect: 100-continue\r\n\r\n");
  const std::string asked = caller.ReadAll(300);
  cr_expect(asked.starts_with("HTTP/1.1 100"));
  caller.Send("5\r\nhello\r\n4\r\n you\r\n0\r\n\r\n");
  cr_expect(caller.ReadAll(500).starts_with("HTTP/1.1 200"));
  const json run = fleet.RunsOf("c").at(0);
  cr_expect(run.at("body") == 9);
  cr_expect(run.at("headers").at("Content-Length") == "9");
  cr_expect(!run.at("headers").contains("Expect"));
}

Test(answerintegrity, an_early_answer_leaves_no_bytes_for_the_next_request)
{
  const PlatformFleet fleet;
  const std::string body(400000, 'x');
  for (int each = 0; each < 3; ++each) {
    const std::string id = "e" + std::to_string(each);
    const HttpReply early = fleet.Call({ .mId = id,
                                         .mMethod = "POST",
                                         .mPath = "/once/x",
                                         .mPlan = "early",
                                         .mBody = body });
    cr_expect(
      early.mStatus == 200 || early.mStatus == 502, "%d", early.mStatus);
    ExpectServed(fleet.Call({ .mId = id + "-next" }));
    cr_expect(fleet.RunsOf(id + "-next").size() == 1);
  }
}

Test(answerintegrity, a_stream_that_may_not_be_retried_resumes_from_its_copy)
{
  const PlatformFleet fleet({ .mWorkers = 3 });
  const integration::RawCaller caller(fleet.GateAddress(0));
  caller.Send(
    PlatformFleet::Text({ .mMethod = "POST",
                          .mPath = "/stream/x",
                          .mPlan = "stream,count=8,cut=3,once=1",
                          .mHeaders = { { "X-Token-Usage", "500,400" } } }));
  const std::string text = caller.ReadAll(1500);
  ExpectEachEventOnce(text, 8);
  const auto runs = fleet.RunsOf("1");
  cr_assert(runs.size() == 2);
  const json* first = &runs.at(0);
  const json* next = &runs.at(1);
  if (!next->at("headers").contains("Kv-From")) {
    std::swap(first, next);
  }
  const std::string copy = fleet.WorkerAddress(next->at("worker"));
  const std::string origin = fleet.WorkerAddress(first->at("worker"));
  cr_expect(first->at("headers").at("X-Kv-Backup") == copy);
  cr_expect(next->at("headers").at("Kv-From") == origin + "/1");
  cr_expect(next->at("headers").at("Last-Event-Id") == "3");
}

Test(answerintegrity, a_stream_whose_copy_is_lost_is_aborted)
{
  const PlatformFleet fleet({ .mWorkers = 2 });
  const integration::RawCaller caller(fleet.GateAddress(0));
  caller.Send(
    PlatformFleet::Text({ .mMethod = "POST",
                          .mPath = "/stream/x",
                          .mPlan = "stream,count=8,cut=3",
                          .mHeaders = { { "X-Token-Usage", "500,400" } } }));
  const std::string text = caller.ReadAll(1500);
  cr_expect(text.find("event 6\n") != std::string::npos);
  cr_expect(text.find("event 7\n") == std::string::npos);
  cr_expect(!text.ends_with("0\r\n\r\n"));
}

Test(answerintegrity, an_answer_without_events_on_a_stream_route_is_forwarded)
{
  const PlatformFleet fleet;
  for (const char* path : { "/stream/x", "/resume/x" }) {
    const HttpReply denied =
      fleet.Call({ .mMethod = "POST", .mPath = path, .mPlan = "denied" });
    cr_expect(denied.mStatus == 403, "%s: %d", path, denied.mStatus);
    cr_expect(denied.mBody == std::string(100, 'b'));
    cr_expect(SealOf(denied) == "seal-i-0");
    const HttpReply odd =
      fleet.Call({ .mMethod = "POST", .mPath = path, .mPlan = "unfinished" });
    cr_expect(odd.mStatus == 200, "%s: %d", path, odd.mStatus);
    cr_expect(odd.mBody == std::string(100, 'b'));
  }
}
