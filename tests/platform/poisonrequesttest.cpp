#include "crashingupstreams.h"
#include "platformfleet.h"
#include "repeatload.h"

#include "integration/await.h"
#include "integration/httpcall.h"
#include "libtrefoilio/systemclock.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <chrono>
#include <strings.h>
#include <thread>

using namespace platformtest;
using integration::Await;
using integration::ChildProcess;

/**
 * Callers saw drafts and answers fail for a third of a minute at a time: all
 * engines ended one after the other, came back, and ended again. The same few
 * requests came again and again, with the same path, caller and body, and each
 * ended the engine that ran it. The cause: nothing told that two requests were
 * the same, so every arrival at every entry began from nothing. The evidence:
 * each end broke all connections to an engine at the same moment, at all
 * entries, and its address refused from then on; ends went on at two or three a
 * second for as long as a wave lasted, and here, where the requests are known,
 * at the rate at which they come.
 */
namespace {

constexpr size_t kGates = 4;

/** Upstreams that one request may end. */
constexpr size_t kMostCrashes = 3;

/** Retries that may reach an upstream after the last of these. */
constexpr size_t kMostRetries = 3;

void
Pause(int aSeconds)
{
  std::this_thread::sleep_for(std::chrono::seconds(aSeconds));
}

FleetOptions
FourGates()
{
  return {
    .mWorkers = 0, .mGates = kGates, .mRetrySlack = 200, .mPeers = true
  };
}

nlohmann::json
QuarantineOf(const PlatformFleet& aFleet, size_t aGate)
{
  return integration::GetJson("http://" + aFleet.OperatorAddress(aGate) +
                              "/v1/quarantine");
}

/** Whether every gate holds back so many requests. */
bool
AllHold(const PlatformFleet& aFleet, size_t aRequests)
{
  for (size_t gate = 0; gate < kGates; ++gate) {
    if (QuarantineOf(aFleet, gate).at("quarantined").size() != aRequests) {
      return false;
    }
  }
  return true;
}

bool
IsNowhereHeld(const PlatformFleet& aFleet)
{
  return AllHold(aFleet, 0);
}

bool
TellsWhenToReturn(const trefoilio::HttpReply& aReply)
{
  return std::any_of(
    aReply.mHeaders.begin(), aReply.mHeaders.end(), [](const auto& aHeader) {
      return strcasecmp(aHeader.first.c_str(), "Retry-After") == 0;
    });
}

} // namespace

Test(poisonrequests,
     one_that_crashes_upstreams_is_soon_run_no_more,
     .timeout = 90)
{
  const PlatformFleet fleet(FourGates());
  cr_assert(fleet.AwaitPeers());
  CrashingUpstreams upstreams(fleet, { .mUpstreams = 14, .mSeed = 3 });
  RepeatLoad load(fleet,
                  kGates,
                  { PoisonAt("/safe/poison", 8),
                    PoisonAt("/resume/poison", 6),
                    PoisonAt("/once/poison", 4),
                    HarmlessAt(15) },
                  40,
                  7);
  Pause(12);
  const int64_t settled = trefoilio::MonotonicNow().Count();
  Pause(6);
  load.Stop();
  for (const auto& [path, crashes] : CrashesByPath(upstreams)) {
    cr_expect(crashes <= kMostCrashes + kMostRetries,
              "%s ended %zu upstreams",
              path.c_str(),
              crashes);
  }
  const auto others = load.OutcomesOf("/safe/other", settled);
  cr_expect(CountServed(others) == others.size(),
            "%zu of %zu others served",
            CountServed(others),
            others.size());
  const auto often = load.OutcomesOf("/safe/often", settled);
  cr_expect(CountServed(often) == often.size(),
            "%zu of %zu alike served",
            CountServed(often),
            often.size());
}

Test(poisonrequests,
     upstreams_that_come_back_under_their_ids_count_alike,
     .timeout = 90)
{
  const PlatformFleet fleet(FourGates());
  cr_assert(fleet.AwaitPeers());
  CrashingUpstreams upstreams(fleet,
                              { .mUpstreams = 6, .mSeed = 5, .mSameId = true });
  RepeatLoad load(fleet, kGates, { PoisonAt("/safe/poison", 5) }, 20, 11);
  Pause(12);
  load.Stop();
  const size_t crashes = CrashesByPath(upstreams)["/safe/poison"];
  cr_expect(crashes >= kMostCrashes, "%zu", crashes);
  cr_expect(crashes <= kMostCrashes + kMostRetries, "%zu", crashes);
}

/** Racks fall, and a request that many ask alike is at each that does. */
Test(poisonrequests, a_request_beside_falling_racks_is_served_on, .timeout = 90)
{
  const PlatformFleet fleet(FourGates());
  cr_assert(fleet.AwaitPeers());
  CrashingUpstreams upstreams(fleet, { .mUpstreams = 12, .mSeed = 9 });
  RepeatLoad load(fleet, kGates, { HarmlessAt(30) }, 20, 13);
  Pause(2);
  for (size_t rack = 0; rack < 12; rack += 3) {
    upstreams.KillAtOnce(rack, 3);
    Pause(1);
  }
  Pause(4);
  const int64_t settled = trefoilio::MonotonicNow().Count();
  Pause(3);
  load.Stop();
  for (const char* path : { "/safe/often", "/safe/other" }) {
    const auto all = load.OutcomesOf(path, settled);
    cr_expect(CountServed(all) == all.size(),
              "%s: %zu of %zu",
              path,
              CountServed(all),
              all.size());
  }
}

/** A gate that starts when the others know already learns it from them. */
Test(poisonrequests,
     one_that_crashes_upstreams_in_an_answer_without_a_length_is_run_no_more,
     .timeout = 90)
{
  const PlatformFleet fleet(FourGates());
  cr_assert(fleet.AwaitPeers());
  CrashingUpstreams upstreams(fleet, { .mUpstreams = 14, .mSeed = 27 });
  Repeater poison = PoisonAt("/safe/poison", 8);
  poison.mCall.mPlan = "crash_body,delay=60";
  RepeatLoad load(fleet, kGates, { poison }, 20, 29);
  Pause(14);
  load.Stop();
  const size_t crashes = CrashesByPath(upstreams)["/safe/poison"];
  cr_expect(crashes >= kMostCrashes, "%zu", crashes);
  cr_expect(crashes <= kMostCrashes + kMostRetries, "%zu", crashes);
}

Test(poisonrequests, a_gate_that_starts_later_runs_it_no_more, .timeout = 90)
{
  PlatformFleet fleet(FourGates());
  cr_assert(fleet.AwaitPeers());
  CrashingUpstreams upstreams(fleet, { .mUpstreams = 10, .mSeed = 21 });
  {
    const RepeatLoad load(
      fleet, kGates, { PoisonAt("/safe/poison", 8) }, 20, 17);
    Pause(8);
  }
  const size_t before = CrashesByPath(upstreams)["/safe/poison"];
  fleet.RestartGate(2);
  fleet.AwaitReady();
  const GateCall poison = PoisonAt("/safe/poison", 1).mCall;
  for (int each = 0; each < 20; ++each) {
    fleet.Call(poison, 2);
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  const size_t after = CrashesByPath(upstreams)["/safe/poison"];
  cr_expect(after <= kMostCrashes + kMostRetries, "%zu", after);
  cr_expect(after == before, "%zu more", after - before);
}

/** Operators see what is held back and let it go, at all gates. */
Test(poisonrequests, an_operator_lets_one_go, .timeout = 90)
{
  const PlatformFleet fleet(FourGates());
  cr_assert(fleet.AwaitPeers());
  CrashingUpstreams upstreams(fleet, { .mUpstreams = 10, .mSeed = 23 });
  GateCall call = PoisonAt("/safe/poison", 1).mCall;
  for (int each = 0; each < 30 && IsNowhereHeld(fleet); ++each) {
    fleet.Call(call, each % kGates);
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  cr_assert(Await([&] { return AllHold(fleet, 1); }));
  const auto held = QuarantineOf(fleet, 1).at("quarantined").at(0);
  const std::string fingerprint = held.at("fingerprint");
  cr_expect(fleet.Metrics(1).find("trefoilarch_gate_quarantined_requests 1") !=
            std::string::npos);
  const auto refused = fleet.Call(call, 1);
  cr_expect(refused.mStatus == 503);
  cr_expect(TellsWhenToReturn(refused));
  const auto told =
    integration::PostJson("http://" + fleet.OperatorAddress(1) +
                            "/v1/quarantine/release/" + fingerprint,
                          {});
  cr_expect(told["status"] == 200);
  cr_expect(Await([&] { return AllHold(fleet, 0); }));
  // It is another request's turn now: what crashed is mended.
  call.mPlan = "ok";
  for (size_t gate = 0; gate < kGates; ++gate) {
    cr_expect(fleet.Call(call, gate).mStatus == 200);
  }
}
