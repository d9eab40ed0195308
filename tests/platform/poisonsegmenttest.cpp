#include "crashingupstreams.h"
#include "platformfleet.h"
#include "repeatload.h"

#include "integration/await.h"
#include "integration/httpcall.h"
#include "libtrefoilio/systemclock.h"

#include <criterion/criterion.h>

#include <atomic>
#include <chrono>
#include <sstream>
#include <thread>

using namespace platformtest;
using integration::Await;

/**
 * Guards against prompt segments that crash one engine after the other, with no
 * two requests alike. Sound requests share their caller and all other segments.
 */
namespace {

constexpr size_t kGates = 4;

/** Attempts with the segment that may reach upstreams later than the stable
 * window after its fifth crash. */
constexpr size_t kMaxLate = 3;
constexpr size_t kFifth = 5;
constexpr int64_t kStableWindowMs = 3000;
constexpr int kCrashDelayMs = 60;

const std::string kSharedSegment = "5c1e07a2:800";
const std::string kDeadSegment = "dead01:400";
const std::string kOtherDeadSegment = "dead02:400";

void
Pause(int aMillis)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMillis));
}

int64_t
Now()
{
  return trefoilio::MonotonicNow().Count();
}

FleetOptions
FourGates()
{
  return {
    .mWorkers = 0, .mGates = kGates, .mRetrySlack = 200, .mPeers = true
  };
}

/** A request whose last segment and body no other request has. */
void
SetPrompt(GateCall& aCall, const std::string& aSecondSegment, int aNumber)
{
  const std::string own = aCall.mPath + " " + std::to_string(aNumber);
  aCall.mBody = own;
  std::ostringstream segments;
  segments << kSharedSegment << "," << aSecondSegment << "," << std::hex
           << std::hash<std::string>{}(own) << ":250";
  aCall.mHeaders = { { "X-Prompt-Prefix", segments.str() } };
}

Repeater
DeadAt(const std::string& aPath, const std::string& aSegment, double aPerSecond)
{
  return { .mCall = { .mMethod = "POST",
                      .mPath = aPath,
                      .mPlan = "crash,delay=" + std::to_string(kCrashDelayMs) },
           .mPerSecond = aPerSecond,
           .mVary = [aSegment](GateCall& aCall, int aNumber) {
             SetPrompt(aCall, aSegment, aNumber);
           } };
}

/** Sound requests with the same first segment and a few second segments. */
Repeater
SoundAt(double aPerSecond)
{
  return { .mCall = { .mMethod = "POST",
                      .mPath = "/resume/sound",
                      .mPlan = "stream,count=5,gap=40" },
           .mPerSecond = aPerSecond,
           .mVary = [](GateCall& aCall, int aNumber) {
             SetPrompt(
               aCall, "50" + std::to_string(aNumber % 7) + ":400", aNumber);
           } };
}

/** Crashes by the path's requests later than the stable window after the fifth,
 * and the time of the fifth; 0 if there were fewer. */
struct LateCrashes
{
  size_t mAll = 0;
  size_t mLate = 0;
  int64_t mFifthAt = 0;
};

LateCrashes
LateCrashesOf(const CrashingUpstreams& aUpstreams, const std::string& aPath)
{
  LateCrashes late;
  for (const UpstreamCrash& each : aUpstreams.Crashes()) {
    if (each.mPath != aPath) {
      continue;
    }
    late.mAll++;
    if (late.mAll == kFifth) {
      late.mFifthAt = each.mAtMs;
    }
    const int64_t bound = late.mFifthAt + kStableWindowMs + kCrashDelayMs;
    late.mLate += late.mFifthAt > 0 && each.mAtMs > bound ? 1 : 0;
  }
  return late;
}

void
ExpectBounded(const CrashingUpstreams& aUpstreams, const std::string& aPath)
{
  const LateCrashes late = LateCrashesOf(aUpstreams, aPath);
  cr_expect(late.mLate <= kMaxLate,
            "%s: %zu late of %zu",
            aPath.c_str(),
            late.mLate,
            late.mAll);
}

void
ExpectAllServed(const RepeatLoad& aLoad,
                const std::string& aPath,
                int64_t aSince)
{
  const auto all = aLoad.OutcomesOf(aPath, aSince);
  cr_expect(!all.empty());
  cr_expect(CountServed(all) == all.size(),
            "%s: %zu of %zu served",
            aPath.c_str(),
            CountServed(all),
            all.size());
}

nlohmann::json
QuarantinedAt(const PlatformFleet& aFleet, size_t aGate)
{
  return integration::GetJson("http://" + aFleet.OperatorAddress(aGate) +
                              "/v1/quarantine")
    .at("quarantined");
}

/** Whether all gates have the segment in quarantine, or none has. */
bool
AllQuarantine(const PlatformFleet& aFleet,
              const std::string& aSegment,
              bool aQuarantined)
{
  for (size_t gate = 0; gate < kGates; ++gate) {
    bool found = false;
    for (const auto& each : QuarantinedAt(aFleet, gate)) {
      found = found || each.value("segment", "") == aSegment;
    }
    if (found != aQuarantined) {
      return false;
    }
  }
  return true;
}

} // namespace

Test(poisonsegments,
     a_segment_that_crashes_upstreams_is_soon_refused,
     .timeout = 90)
{
  const PlatformFleet fleet(FourGates());
  cr_assert(fleet.AwaitPeers());
  CrashingUpstreams upstreams(fleet, { .mUpstreams = 14, .mSeed = 3 });
  RepeatLoad load(fleet,
                  kGates,
                  { DeadAt("/resume/dead", kDeadSegment, 8), SoundAt(40) },
                  10,
                  7);
  Pause(12000);
  const int64_t settled = Now();
  Pause(5000);
  load.Stop();
  ExpectBounded(upstreams, "/resume/dead");
  ExpectAllServed(load, "/resume/sound", settled);
  ExpectAllServed(load, "/safe/other", settled);
  for (const CallOutcome& each : load.OutcomesOf("/resume/dead", settled)) {
    cr_expect(each.mStatus == 503, "%d", each.mStatus);
  }
}

Test(poisonsegments,
     two_segments_that_crash_upstreams_are_refused,
     .timeout = 90)
{
  const PlatformFleet fleet(FourGates());
  cr_assert(fleet.AwaitPeers());
  CrashingUpstreams upstreams(fleet, { .mUpstreams = 14, .mSeed = 5 });
  RepeatLoad load(fleet,
                  kGates,
                  { DeadAt("/resume/dead", kDeadSegment, 5),
                    DeadAt("/once/dead", kOtherDeadSegment, 4),
                    SoundAt(30) },
                  10,
                  11);
  Pause(14000);
  const int64_t settled = Now();
  Pause(5000);
  load.Stop();
  ExpectBounded(upstreams, "/resume/dead");
  ExpectBounded(upstreams, "/once/dead");
  ExpectAllServed(load, "/resume/sound", settled);
}

Test(poisonsegments,
     a_segment_that_was_harmless_before_is_refused_once_it_crashes_upstreams,
     .timeout = 90)
{
  const PlatformFleet fleet(FourGates());
  cr_assert(fleet.AwaitPeers());
  CrashingUpstreams upstreams(fleet, { .mUpstreams = 14, .mSeed = 13 });
  static std::atomic<bool> sCrashes = false;
  Repeater dead = DeadAt("/resume/dead", kDeadSegment, 6);
  dead.mVary = [](GateCall& aCall, int aNumber) {
    SetPrompt(aCall, kDeadSegment, aNumber);
    if (!sCrashes) {
      aCall.mPlan = "stream,count=5,gap=40";
    }
  };
  RepeatLoad load(fleet, kGates, { dead, SoundAt(30) }, 10, 17);
  Pause(4000);
  sCrashes = true;
  Pause(12000);
  const int64_t settled = Now();
  Pause(4000);
  load.Stop();
  ExpectBounded(upstreams, "/resume/dead");
  ExpectAllServed(load, "/resume/sound", settled);
}

Test(poisonsegments,
     a_restarted_gate_refuses_the_segment_without_the_store,
     .timeout = 90)
{
  PlatformFleet fleet(FourGates());
  cr_assert(fleet.AwaitPeers());
  CrashingUpstreams upstreams(fleet, { .mUpstreams = 10, .mSeed = 21 });
  RepeatLoad load(fleet,
                  kGates,
                  { DeadAt("/resume/dead", kDeadSegment, 8), SoundAt(20) },
                  10,
                  19);
  Pause(9000);
  for (size_t gate = 0; gate < kGates; ++gate) {
    load.ExcludeGate(gate);
    Pause(300);
    fleet.RestartGate(gate);
    fleet.AwaitReady();
    Pause(1500);
  }
  load.ExcludeGate(SIZE_MAX);
  fleet.Control({ { "fault", "down" } });
  Pause(6000);
  load.Stop();
  ExpectBounded(upstreams, "/resume/dead");
}

Test(poisonsegments,
     sound_segments_are_served_while_racks_lose_power,
     .timeout = 90)
{
  const PlatformFleet fleet(FourGates());
  cr_assert(fleet.AwaitPeers());
  CrashingUpstreams upstreams(fleet, { .mUpstreams = 12, .mSeed = 9 });
  RepeatLoad load(fleet, kGates, { SoundAt(40) }, 10, 13);
  Pause(2000);
  for (size_t rack = 0; rack < 12; rack += 3) {
    upstreams.KillAtOnce(rack, 3);
    Pause(700);
  }
  cr_expect(AllQuarantine(fleet, "5c1e07a2", false));
  Pause(4000);
  const int64_t settled = Now();
  Pause(3000);
  load.Stop();
  ExpectAllServed(load, "/resume/sound", settled);
}

Test(poisonsegments, an_operator_sees_and_releases_a_segment, .timeout = 90)
{
  const PlatformFleet fleet(FourGates());
  cr_assert(fleet.AwaitPeers());
  CrashingUpstreams upstreams(fleet, { .mUpstreams = 12, .mSeed = 23 });
  {
    const RepeatLoad load(
      fleet,
      kGates,
      { DeadAt("/resume/dead", kDeadSegment, 8), SoundAt(20) },
      10,
      29);
    cr_assert(Await([&] { return AllQuarantine(fleet, "dead01", true); }));
    Pause(3000);
  }
  GateCall call{ .mId = "last", .mPath = "/resume/dead", .mPlan = "ok" };
  SetPrompt(call, kDeadSegment, 1000);
  cr_expect(fleet.Call(call, 1).mStatus == 503);
  nlohmann::json ended;
  cr_assert(Await([&] {
    for (const auto& each : fleet.LogOf(1, "request_ended")) {
      ended = each.at("id") == call.mId ? each : ended;
    }
    return !ended.is_null();
  }));
  cr_expect(ended.value("quarantined_segment", "") == "dead01");
  std::string fingerprint;
  for (const auto& each : QuarantinedAt(fleet, 1)) {
    if (each.value("segment", "") == "dead01") {
      fingerprint = each.at("fingerprint").get<std::string>();
    }
  }
  const auto released =
    integration::PostJson("http://" + fleet.OperatorAddress(1) +
                            "/v1/quarantine/release/" + fingerprint,
                          {});
  cr_expect(released["status"] == 200);
  cr_expect(Await([&] { return AllQuarantine(fleet, "dead01", false); }));
  for (size_t gate = 0; gate < kGates; ++gate) {
    cr_expect(fleet.Call(call, gate).mStatus == 200);
  }
}
