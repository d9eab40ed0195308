#include "platformfleet.h"
#include "readers.h"

#include "integration/await.h"
#include "integration/rawcaller.h"

#include <algorithm>
#include <atomic>
#include <criterion/criterion.h>
#include <set>
#include <thread>

using namespace platformtest;
using integration::Await;
using nlohmann::json;

/** Callers and upstreams that read slowly or not at all, at a gate of the
 * smallest size. */
namespace {

constexpr double kSmallestGateMb = 88;
/** A quarter of the gate's memory. */
constexpr double kAnswerBufferBytes = 22.0 * 1048576;
constexpr int64_t kMaxLateMs = 300;
constexpr int kEventGapMs = 20;
/** A phone's receive buffer; one of a host would take whole answers. */
constexpr int kSmallBuffer = 4096;

/** A policy that allows hundreds of long streams to one upstream. */
json
PolicyOfLongStreams()
{
  json policy = PlatformFleet::MakePolicy(2, { "key-1" });
  for (json& route : policy["routes"]) {
    route["timeoutMs"] = 60000;
    route["targetLatencyMs"] = 20000;
  }
  policy["services"][0]["maxConns"] = 12000;
  policy["services"][0].erase("engine");
  return policy;
}

void
PutPolicy(PlatformFleet& aFleet, const json& aPolicy)
{
  aFleet.PutPolicy(aPolicy);
  cr_assert(Await([&] {
    const auto taken = aFleet.LogOf(0, "policy_taken");
    return !taken.empty() && taken.back().at("version") == 2;
  }));
}

void
PutLongStreams(PlatformFleet& aFleet)
{
  PutPolicy(aFleet, PolicyOfLongStreams());
}

std::string
StreamCall(const std::string& aId, int aEvents, int aGapMs, int aPadding)
{
  const std::string plan = "stream,count=" + std::to_string(aEvents) +
                           ",gap=" + std::to_string(aGapMs) +
                           ",pad=" + std::to_string(aPadding);
  return PlatformFleet::Text({ .mId = aId,
                               .mMethod = "POST",
                               .mPath = "/stream/x",
                               .mPlan = plan,
                               .mDeadlineMs = 60000 });
}

/** Value of a metric in the gate's text; 0 if it is absent. */
double
Metric(const PlatformFleet& aFleet, const std::string& aName)
{
  const std::string text = aFleet.Metrics();
  const size_t found = text.find("\n" + aName + " ");
  return found == std::string::npos
           ? 0
           : std::stod(text.substr(found + aName.size() + 2));
}

/** Callers that read well: each reads a stream of a second and is replaced by
 * the next until the end; all must be whole and in time. */
struct GoodCallers
{
  size_t mServed = 0;
  size_t mIncomplete = 0;
  int64_t mMaxLateMs = 0;
};

GoodCallers
RunGoodCallers(PlatformFleet& aFleet,
               size_t aAtATime,
               size_t aAll,
               const std::function<void()>& aEachRound)
{
  constexpr int kEvents = 50;
  GoodCallers good;
  Readers readers;
  size_t started = 0;
  while (good.mServed + good.mIncomplete < aAll) {
    while (readers.Open() < aAtATime && started < aAll) {
      readers.Start(
        aFleet.GateAddress(0),
        StreamCall(
          "good-" + std::to_string(started++), kEvents, kEventGapMs, 200));
    }
    for (const FinishedRead& each : readers.ReadFor(20)) {
      (each.mComplete ? good.mServed : good.mIncomplete)++;
      good.mMaxLateMs =
        std::max(good.mMaxLateMs, each.mLongestPauseMs - kEventGapMs);
    }
    aEachRound();
  }
  return good;
}

void
ExpectGood(const GoodCallers& aGood, size_t aAll)
{
  cr_expect(aGood.mServed == aAll,
            "%zu served, %zu incomplete",
            aGood.mServed,
            aGood.mIncomplete);
  cr_expect(aGood.mMaxLateMs <= kMaxLateMs,
            "late by %d ms",
            static_cast<int>(aGood.mMaxLateMs));
}

void
ExpectMemoryWithin(PlatformFleet& aFleet, double aMb, const char* aCase)
{
  const double peak = PeakMemoryMb(aFleet.Gate(0).Id());
  cr_log_info("%s: peak memory %.1f MB", aCase, peak);
  cr_expect(peak > 0 && peak < aMb, "%.1f MB", peak);
}

} // namespace

/** The load: 1000 callers, 100 at a time, and one at 1 kB/s for longer than the
 * stall time-out. */
Test(slowreaders,
     a_slow_caller_is_served_beside_a_thousand_others,
     .timeout = 90)
{
  PlatformFleet fleet({ .mMemoryMb = kSmallestGateMb });
  PutLongStreams(fleet);
  SlowReader slow(fleet.GateAddress(0), kSmallBuffer);
  slow.Send(StreamCall("slow", 2000, 0, 1000));
  const auto good =
    RunGoodCallers(fleet, 100, 1500, [&] { slow.ReadPaced(1000); });
  ExpectGood(good, 1500);
  cr_expect(slow.Seconds() > 12, "longer than the time-out");
  cr_expect(slow.IsOpen(), "a caller that reads a little is not cut off");
  cr_expect(slow.Received() >= 9000);
  cr_expect(fleet.LogOf(0, "caller_stalled").empty());
  // One caller's bound: 256 KB.
  cr_expect(Metric(fleet, "trefoilarch_gate_answer_bytes") < 300000);
  cr_log_info("late by %d ms", static_cast<int>(good.mMaxLateMs));
  ExpectMemoryWithin(fleet, kSmallestGateMb, "one at 1 kB/s");
}

/** The load: 330 callers that read nothing of 800 KB each, in three waves,
 * which is ten times the bound of all answers, beside 50 good ones. */
Test(slowreaders, callers_that_read_nothing_are_cut_off_alone, .timeout = 90)
{
  constexpr size_t kWave = 110;
  constexpr size_t kSilent = 3 * kWave;
  PlatformFleet fleet({ .mMemoryMb = kSmallestGateMb });
  PutLongStreams(fleet);
  std::vector<std::unique_ptr<SlowReader>> silent;
  const auto startWave = [&] {
    for (size_t each = 0; each < kWave; ++each) {
      const std::string id = "silent-" + std::to_string(silent.size());
      silent.push_back(
        std::make_unique<SlowReader>(fleet.GateAddress(0), kSmallBuffer));
      silent.back()->Send(StreamCall(id, 100, 40, 8000));
    }
  };
  startWave();
  // In a thread of its own, as a reader must not wait for it.
  std::atomic<double> mostHeld = 0;
  std::jthread sampler([&](const std::stop_token& aStop) {
    while (!aStop.stop_requested()) {
      mostHeld = std::max(mostHeld.load(),
                          Metric(fleet, "trefoilarch_gate_answer_bytes"));
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
  });
  const auto good = RunGoodCallers(fleet, 50, 500, [&] {
    constexpr double kSecondsPerWave = 2.5;
    const size_t waves = silent.size() / kWave;
    const double nextAt = static_cast<double>(waves) * kSecondsPerWave;
    if (waves < 3 && silent.front()->Seconds() > nextAt) {
      startWave();
    }
  });
  sampler.request_stop();
  sampler.join();
  ExpectGood(good, 500);
  cr_expect(mostHeld > kAnswerBufferBytes / 2, "the load reaches the bound");
  cr_expect(mostHeld <= kAnswerBufferBytes, "%.0f bytes", mostHeld.load());
  std::set<std::string> cut;
  size_t lines = 0;
  const auto countOf = [&](const char* aReason) {
    return Metric(fleet,
                  "trefoilarch_gate_cut_callers_total{reason=\"" +
                    std::string(aReason) + "\"}");
  };
  cr_expect(countOf("answer_buffer_full") > 0, "the bound is reached");
  cr_expect(Await([&] {
    return countOf("caller_stalled") + countOf("answer_buffer_full") == kSilent;
  }));
  const auto victims = fleet.LogOf(0, "answer_cut");
  cr_expect(std::ranges::all_of(victims,
                                [](const json& aLine) {
                                  const std::string id = aLine.at("id");
                                  return id.starts_with("silent-") &&
                                         std::stoul(id.substr(7)) < kWave;
                                }),
            "the oldest stalls are given up first");
  // The log leaves out lines beyond 400 a second.
  for (const char* event : { "caller_stalled", "answer_cut" }) {
    for (const json& line : fleet.LogOf(0, event)) {
      cut.insert(line.at("id"));
      lines++;
    }
  }
  cr_expect(lines == cut.size(), "one line for each");
  cr_expect(!cut.contains("good-0"));
  cr_log_info("held %.0f bytes, stalled %.0f, at the bound %.0f, late by %d ms",
              mostHeld.load(),
              countOf("caller_stalled"),
              countOf("answer_buffer_full"),
              static_cast<int>(good.mMaxLateMs));
  for (const json& line : fleet.LogOf(0, "request_ended")) {
    const bool isCut = line.at("outcome") == "answer_cut";
    cr_expect(isCut || !cut.contains(line.at("id")), "%s", line.dump().c_str());
    cr_expect(isCut == line.contains("why"));
  }
  cr_expect(Metric(fleet, "trefoilarch_gate_answer_bytes") == 0);
  ExpectMemoryWithin(fleet, kSmallestGateMb, "330 that read nothing");
}

/** The load: 28 bodies of 1 MB to an upstream that reads none, of which this
 * gate's share is 16 MB as one of four. */
Test(slowreaders,
     an_upstream_that_reads_no_body_gets_its_share_at_most,
     .timeout = 60)
{
  constexpr size_t kBodies = 28;
  PlatformFleet fleet({ .mGates = 4,
                        .mMemoryMb = kSmallestGateMb,
                        .mCallerStallMs = 1000,
                        .mPeers = true });
  cr_assert(fleet.AwaitPeers());
  PutLongStreams(fleet);
  std::vector<std::unique_ptr<integration::RawCaller>> callers;
  for (size_t each = 0; each < kBodies; ++each) {
    callers.push_back(
      std::make_unique<integration::RawCaller>(fleet.GateAddress(0)));
    cr_assert(callers.back()->Send(
      PlatformFleet::Text({ .mId = "body-" + std::to_string(each),
                            .mMethod = "POST",
                            .mPath = "/once/x",
                            .mPlan = "unread",
                            .mBody = std::string(1000000, 'b'),
                            .mDeadlineMs = 30000 })));
  }
  cr_expect(fleet.Call({ .mId = "beside" }).mStatus == 200);
  size_t refused = 0;
  size_t broken = 0;
  for (const auto& each : callers) {
    const std::string answer = each->ReadUntil("}");
    if (answer.find("\"ran\":\"no\"") != std::string::npos) {
      cr_expect(answer.find("Retry-After") != std::string::npos);
      refused++;
    } else if (answer.find("outcome_unknown") != std::string::npos) {
      broken++;
    }
  }
  cr_log_info("%zu refused, %zu broken", refused, broken);
  cr_expect(refused + broken == kBodies);
  cr_expect(refused > 0 && broken > 0);
  // What exceeds the share is in the kernel's buffers, at most 300 KB each.
  cr_expect(broken * 700000 <= 16777216);
  const auto attempts = [&](const char* aOutcome, const char* aReason) {
    const auto lines = fleet.LogOf(0, "attempt_ended");
    return static_cast<size_t>(
      std::ranges::count_if(lines, [&](const json& aLine) {
        return aLine.at("outcome") == aOutcome && aLine.at("why") == aReason;
      }));
  };
  cr_expect(Await([&] {
    return attempts("broken",
                    "the body was not read within the stall time-out") ==
             broken &&
           attempts("not_sent", "bodies to the upstream are not yet written") ==
             refused;
  }));
  ExpectMemoryWithin(fleet, kSmallestGateMb, "an upstream that reads no body");
}

/** The load: one request with a body whose answer takes 3 s, three times the
 * stall time-out. Guards against a written body that counts as stalled. */
Test(slowreaders, a_long_answer_after_a_body_is_not_cut_off, .timeout = 60)
{
  PlatformFleet fleet({ .mMemoryMb = kSmallestGateMb, .mCallerStallMs = 1000 });
  PutLongStreams(fleet);
  integration::RawCaller caller(fleet.GateAddress(0));
  cr_assert(
    caller.Send(PlatformFleet::Text({ .mId = "long",
                                      .mMethod = "POST",
                                      .mPath = "/stream/x",
                                      .mPlan = "stream,count=30,gap=100",
                                      .mBody = std::string(2000, 'b'),
                                      .mDeadlineMs = 20000 })));
  const std::string answer = caller.ReadUntil("\r\n0\r\n\r\n");
  cr_expect(answer.find("event 30\n") != std::string::npos);
  cr_expect(fleet.LogOf(0, "attempt_ended").empty());
}

/** The load: one caller that reads 400 KB at 50 kB/s, while its connection is
 * closed when idle for 1.5 s. Guards against taking a connection for idle while
 * the end of an answer is not yet written. */
Test(slowreaders, a_slow_caller_is_not_idle, .timeout = 60)
{
  constexpr size_t kEvents = 50;
  constexpr size_t kPadding = 8000;
  constexpr double kAtMostSeconds = 20;
  PlatformFleet fleet({ .mMemoryMb = kSmallestGateMb });
  json policy = PolicyOfLongStreams();
  policy["limits"]["idleTimeoutMs"] = 500;
  PutPolicy(fleet, policy);
  SlowReader slow(fleet.GateAddress(0), 4 * kSmallBuffer);
  slow.Send(StreamCall("slow", kEvents, 0, kPadding));
  while (slow.IsOpen() && slow.Received() < kEvents * kPadding &&
         slow.Seconds() < kAtMostSeconds) {
    slow.ReadPaced(50000);
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  cr_log_info("%zu bytes in %.1f s", slow.Received(), slow.Seconds());
  cr_expect(slow.Received() >= kEvents * kPadding);
}

/** The load: one caller that reads nothing for 3 s and then all of 800 KB.
 * Guards against a pause that is taken for the upstream's. */
Test(slowreaders, a_pause_for_a_slow_caller_is_not_the_upstreams, .timeout = 60)
{
  constexpr double kSilentSeconds = 3;
  PlatformFleet fleet({ .mMemoryMb = kSmallestGateMb });
  PutLongStreams(fleet);
  SlowReader slow(fleet.GateAddress(0), kSmallBuffer);
  slow.Send(StreamCall("slow", 100, 0, 8000));
  json ended;
  cr_assert(Await([&] {
    if (slow.Seconds() > kSilentSeconds) {
      slow.ReadPaced(10000000);
    }
    const auto lines = fleet.LogOf(0, "request_ended");
    ended = lines.empty() ? json() : lines.back();
    return !lines.empty();
  }));
  cr_expect(ended.at("outcome") == "served");
  cr_expect(ended.at("took_ms") >= 3000, "the upstream had to wait");
  cr_expect(ended.at("longest_pause_ms") < 1500, "%s", ended.dump().c_str());
}

/** The load: one caller that sends two requests at once and begins to read 1.5
 * MB of the second answer after a second. Guards against hooks of the second
 * request that the end of the first removes. */
Test(slowreaders, a_request_sent_ahead_is_answered_to_its_end, .timeout = 60)
{
  constexpr size_t kEvents = 150;
  constexpr size_t kPadding = 10000;
  constexpr double kSilentSeconds = 1;
  constexpr double kAtMostSeconds = 10;
  PlatformFleet fleet({ .mMemoryMb = kSmallestGateMb });
  PutLongStreams(fleet);
  SlowReader slow(fleet.GateAddress(0), kSmallBuffer);
  slow.Send(PlatformFleet::Text({ .mId = "first", .mPlan = "ok,delay=200" }) +
            StreamCall("second", kEvents, 2, kPadding));
  while (slow.IsOpen() && slow.Received() < kEvents * kPadding &&
         slow.Seconds() < kAtMostSeconds) {
    if (slow.Seconds() > kSilentSeconds) {
      slow.ReadPaced(10000000);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  cr_expect(
    slow.Received() >= kEvents * kPadding, "%zu bytes", slow.Received());
}
