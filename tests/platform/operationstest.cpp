#include "platformfleet.h"

#include "integration/await.h"
#include "integration/rawcaller.h"
#include "integration/temporaryfolder.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <criterion/criterion.h>
#include <fstream>
#include <mutex>
#include <sys/wait.h>
#include <thread>

using namespace platformtest;
using integration::Await;
using nlohmann::json;

/**
 * The cases of docs/OPERATIONS.md, checked as the page describes: the lines
 * that contain the request's id, then the lines that those refer to.
 */
namespace {

/** The result of `grep '"id":"ID"'` over the gate's log. */
std::vector<json>
LinesOf(PlatformFleet& aFleet, const std::string& aId)
{
  std::vector<json> lines;
  for (const std::string& line :
       aFleet.Gate(0).LinesWith("\"id\":\"" + aId + "\"")) {
    lines.push_back(json::parse(line));
  }
  return lines;
}

json
AwaitLine(PlatformFleet& aFleet,
          const std::string& aId,
          const std::string& aEvent)
{
  json found;
  const bool came = Await([&] {
    for (json& line : LinesOf(aFleet, aId)) {
      if (line.at("event") == aEvent) {
        found = std::move(line);
        return true;
      }
    }
    return false;
  });
  cr_assert(came, "no %s line for %s", aEvent.c_str(), aId.c_str());
  return found;
}

} // namespace

Test(operations, a_request_refused_early)
{
  PlatformFleet fleet({ .mWorkers = 1 });
  std::vector<std::thread> callers;
  std::atomic<int> refused = 0;
  std::mutex mutex;
  std::string id;
  for (int each = 0; each < 30; ++each) {
    callers.emplace_back([&, each] {
      const std::string own = "busy-" + std::to_string(each);
      const auto reply = fleet.Call(
        { .mId = own, .mMethod = "POST", .mPath = "/once/x", .mPlan = "hang" });
      if (reply.mStatus == 429) {
        refused++;
        const std::lock_guard lock(mutex);
        id = own;
      }
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(80));
  }
  for (std::thread& each : callers) {
    each.join();
  }
  cr_assert(refused > 0, "an overloaded route refuses");
  const json line = AwaitLine(fleet, id, "request_refused");
  cr_expect(line.at("kind") == "shed");
  cr_expect(line.at("why") == "would start too late");
  cr_expect(fleet.RunsOf(id).empty());
}

Test(operations, a_request_timed_out_at_an_upstream)
{
  PlatformFleet fleet;
  fleet.Call({ .mId = "slow", .mPlan = "hang", .mDeadlineMs = 500 });
  const json line = AwaitLine(fleet, "slow", "request_ended");
  cr_expect(line.at("outcome") == "deadline_exceeded");
  cr_expect(line.at("status") == 504);
  cr_expect(line.at("first_byte_ms") == 0);
  cr_expect(line.at("upstream") == "i-0");
  cr_expect(line.at("may_have_run") == true);
  cr_expect(line.at("took_ms") >= line.at("allowed_ms"));
}

Test(operations, an_answer_cut_in_mid_stream)
{
  PlatformFleet fleet;
  const integration::RawCaller caller(fleet.GateAddress(0));
  caller.Send(PlatformFleet::Text({ .mId = "cut",
                                    .mMethod = "POST",
                                    .mPath = "/stream/x",
                                    .mPlan = "stream,count=50,gap=50" }));
  cr_assert(Await([&] { return fleet.RunsOf("cut").size() == 1; }));
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  fleet.Worker(0).Kill();
  const json ended = AwaitLine(fleet, "cut", "request_ended");
  cr_expect(ended.at("outcome") == "answer_cut");
  cr_expect(ended.at("events") > 0);
  cr_expect(ended.at("attempts") == 1);
  const json attempt = AwaitLine(fleet, "cut", "attempt_ended");
  cr_expect(attempt.at("outcome") == "broken");
  cr_expect(attempt.at("upstream") == "i-0");
  cr_expect(attempt.at("started") == true);
  // As documented for operators, a crashed upstream leaves the list.
  fleet.Unlist("i-0");
  cr_expect(Await([&] {
    const auto lines = fleet.LogOf(0, "upstream_unlisted");
    return !lines.empty() && lines.back().at("upstream") == "i-0";
  }));
}

Test(operations, a_key_refused_on_a_stale_policy)
{
  PlatformFleet fleet({ .mRevokeMs = 2500 });
  fleet.Control({ { "fault", "down" } });
  std::this_thread::sleep_for(std::chrono::milliseconds(3000));
  fleet.Call({ .mId = "stale" });
  const json line = AwaitLine(fleet, "stale", "request_refused");
  cr_expect(line.at("kind") == "policy_stale");
  cr_expect(line.at("policy_age_ms") >= 2000);
  const auto lost = fleet.LogOf(0, "dependency_lost");
  cr_assert(!lost.empty());
  cr_expect(std::any_of(lost.begin(), lost.end(), [](const json& aLine) {
    return aLine.at("table") == "op" && aLine.at("why") == "status 503";
  }));
}

/** Distinguishes a gate with an outdated list from one that ignores that an
 * upstream is leaving. */
Test(operations, how_old_the_list_was_when_a_request_was_sent)
{
  PlatformFleet fleet;
  fleet.Control({ { "fault", "down" } });
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  fleet.Call({ .mId = "old" });
  cr_expect(AwaitLine(fleet, "old", "request_ended").at("list_age_ms") >= 1500);
  cr_assert(Await([&] { return !fleet.LogOf(0, "dependency_lost").empty(); }));
  const json lost = fleet.LogOf(0, "dependency_lost").front();
  cr_expect(lost.at("waited_ms") >= 0);
}

Test(operations, a_revoked_key)
{
  PlatformFleet fleet;
  fleet.PutPolicy(PlatformFleet::MakePolicy(8, { "key-1" }));
  cr_assert(
    Await([&] { return fleet.Call({ .mKey = "key-2" }).mStatus == 401; }));
  fleet.Call({ .mId = "gone", .mKey = "key-2" });
  const json line = AwaitLine(fleet, "gone", "request_refused");
  cr_expect(line.at("kind") == "bad_token");
  cr_expect(line.at("policy_version") == 8);
  const auto taken = fleet.LogOf(0, "policy_taken");
  cr_expect(taken.back().at("version") == 8);
  cr_expect(taken.back().at("before") == 1);
}

Test(operations, no_key_or_body_is_logged)
{
  PlatformFleet fleet;
  fleet.Call({ .mId = "secret",
               .mMethod = "POST",
               .mPath = "/once/x",
               .mPlan = "cut_head",
               .mKey = "key-1",
               .mBody = "a private story" });
  fleet.Call({ .mId = "wrong", .mKey = "another-secret" });
  AwaitLine(fleet, "wrong", "request_refused");
  cr_expect(fleet.Gate(0).LinesWith("key-1").empty());
  cr_expect(fleet.Gate(0).LinesWith("another-secret").empty());
  cr_expect(fleet.Gate(0).LinesWith("private story").empty());
}

Test(operations, a_log_that_nobody_reads_delays_no_answer)
{
  PlatformFleet fleet;
  fleet.Call({ .mId = "before" });
  AwaitLine(fleet, "before", "request_ended");
  fleet.Gate(0).HoldOutput(true);
  // Refusals of unknown keys, each with a line: far more than a pipe can hold.
  constexpr int kRequests = 1500;
  int64_t slowest = 0;
  for (int each = 0; each < kRequests; ++each) {
    const auto start = std::chrono::steady_clock::now();
    const auto reply = fleet.Call({ .mId = "held", .mKey = "unknown" });
    cr_assert(reply.mStatus == 401);
    const auto took = std::chrono::steady_clock::now() - start;
    slowest = std::max<int64_t>(
      slowest,
      std::chrono::duration_cast<std::chrono::milliseconds>(took).count());
  }
  cr_expect(slowest < 300, "%d ms", static_cast<int>(slowest));
  const size_t seen = LinesOf(fleet, "held").size();
  cr_expect(seen < kRequests / 2, "the log is still being read");
  fleet.Gate(0).HoldOutput(false);
  cr_expect(Await([&] { return LinesOf(fleet, "held").size() > seen; }));
}

/** Measured: 1 ms for the slowest answer. */
Test(operations,
     a_pipe_that_stays_full_for_30_seconds_makes_no_answer_late,
     .timeout = 60)
{
  PlatformFleet fleet;
  fleet.Gate(0).HoldOutput(true);
  using Clock = std::chrono::steady_clock;
  const auto call = [&](const char* aKey) {
    const auto start = Clock::now();
    const auto reply = fleet.Call({ .mId = "full", .mKey = aKey });
    cr_assert(reply.mStatus == 401 || reply.mStatus == 200);
    const auto took = Clock::now() - start;
    return std::chrono::duration_cast<std::chrono::milliseconds>(took).count();
  };
  // 400 lines of a kind are kept in a second: this fills pipe and ring.
  constexpr int kFilling = 1000;
  for (int each = 0; each < kFilling; ++each) {
    call("unknown");
  }
  const auto end = Clock::now() + std::chrono::seconds(30);
  int64_t slowest = 0;
  while (Clock::now() < end) {
    slowest = std::max<int64_t>(slowest, call("unknown"));
    slowest = std::max<int64_t>(slowest, call("key-1"));
    std::this_thread::sleep_for(std::chrono::milliseconds(40));
  }
  cr_expect(slowest < 300, "%d ms", static_cast<int>(slowest));
  cr_expect(LinesOf(fleet, "full").size() < kFilling, "the pipe is full");
  fleet.Gate(0).HoldOutput(false);
  cr_expect(Await([&] {
    fleet.Call({ .mId = "after" });
    const auto lines = LinesOf(fleet, "after");
    return std::any_of(lines.begin(), lines.end(), [](const json& aLine) {
      return aLine.contains("lines_left_out");
    });
  }));
}

Test(operations, the_tool_explains_a_request_with_the_events_around_it)
{
  PlatformFleet fleet({ .mWorkers = 1 });
  fleet.Call({ .mId = "lost",
               .mMethod = "POST",
               .mPath = "/once/x",
               .mPlan = "cut_head" });
  AwaitLine(fleet, "lost", "request_ended");
  fleet.Unlist("i-0");
  cr_assert(
    Await([&] { return !fleet.LogOf(0, "upstream_unlisted").empty(); }));
  const integration::TemporaryFolder folder;
  const std::string file = folder.Path() + "/gate.log";
  std::ofstream log(file);
  for (const std::string& line : fleet.Gate(0).LinesWith("{")) {
    log << "2026-12-02T10:00:00Z " << line << "\n";
  }
  log.close();
  integration::ChildProcess tool("trefoilarchctl", { "explain", "lost", file });
  cr_assert(Await([&] { return tool.HasEnded(); }));
  cr_expect(tool.Status() == 0);
  cr_expect(
    Await([&] { return !tool.LinesWith("upstream_unlisted").empty(); }));
  cr_expect(!tool.LinesWith("outcome=outcome_unknown").empty());
  cr_expect(!tool.LinesWith("may_have_run=true").empty());
  integration::ChildProcess none("trefoilarchctl", { "explain", "no", file });
  cr_assert(Await([&] { return none.HasEnded(); }));
  cr_expect(WEXITSTATUS(none.Status()) == 4);
}

Test(operations, the_tool_shows_the_fleet_as_a_gate_sees_it)
{
  const PlatformFleet fleet({ .mWorkers = 2 });
  fleet.List(1, "draining");
  std::this_thread::sleep_for(std::chrono::milliseconds(600));
  integration::ChildProcess tool(
    "trefoilarchctl",
    { "status", "--operator", "http://" + fleet.OperatorAddress(0) });
  cr_assert(Await([&] { return tool.HasEnded(); }));
  cr_expect(Await([&] { return !tool.LinesWith("i-0").empty(); }));
  cr_expect(!tool.LinesWith("draining").empty());
  cr_expect(!tool.LinesWith("policy version 1").empty());
}
