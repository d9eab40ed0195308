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
 * Guards against requests that crash one engine after the other. A few
 * identical requests came again and again, with the same path, caller and body,
 * and each crashed the engine that ran it, so that all drafts and answers
 * failed for a third of a minute at a time. Requests were not recognised as
 * identical, so no entry learned from earlier crashes. Each crash broke all
 * connections to an engine at once, at all entries, and its address refused
 * connections from then on; the crashes went on at two or three per second
 * during such a wave, and at the rate of the requests in this test.
 */
namespace {

constexpr size_t kGates = 4;

/** Maximum number of upstreams that one request may crash. */
constexpr size_t kMaxCrashes = 3;

/** Retries that may still reach an upstream after the last of these crashes. */
constexpr size_t kMaxRetries = 3;

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

/** Whether every gate has this many requests in quarantine. */
bool
AllQuarantine(const PlatformFleet& aFleet, size_t aRequests)
{
  for (size_t gate = 0; gate < kGates; ++gate) {
    if (QuarantineOf(aFleet, gate).at("quarantined").size() != aRequests) {
      return false;
    }
  }
  return true;
}

bool
IsNowhereQuarantined(const PlatformFleet& aFleet)
{
  return AllQuarantine(aFleet, 0);
}

bool
HasRetryAfter(const trefoilio::HttpReply& aReply)
{
  return std::any_of(
    aReply.mHeaders.begin(), aReply.mHeaders.end(), [](const auto& aHeader) {
      return strcasecmp(aHeader.first.c_str(), "Retry-After") == 0;
    });
}

} // namespace

Test(poisonrequests, a_crashing_request_is_soon_quarantined, .timeout = 90)
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
    cr_expect(crashes <= kMaxCrashes + kMaxRetries,
              "%s crashed %zu upstreams",
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
            "%zu of %zu frequent ones served",
            CountServed(often),
            often.size());
}

Test(poisonrequests,
     crashes_of_upstreams_that_keep_their_ids_count,
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
  cr_expect(crashes >= kMaxCrashes, "%zu", crashes);
  cr_expect(crashes <= kMaxCrashes + kMaxRetries, "%zu", crashes);
}

/** Racks lose power, and a frequent request runs at each of them. */
Test(poisonrequests, a_request_is_served_while_racks_lose_power, .timeout = 90)
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

Test(poisonrequests,
     a_crash_during_an_answer_without_a_length_counts,
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
  cr_expect(crashes >= kMaxCrashes, "%zu", crashes);
  cr_expect(crashes <= kMaxCrashes + kMaxRetries, "%zu", crashes);
}

/** A gate that starts later learns the quarantine from the others. */
Test(poisonrequests, a_restarted_gate_does_not_run_it, .timeout = 90)
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
  cr_expect(after <= kMaxCrashes + kMaxRetries, "%zu", after);
  cr_expect(after == before, "%zu more", after - before);
}

/** Operators see the quarantined requests and release them, at all gates. */
Test(poisonrequests, an_operator_releases_a_request, .timeout = 90)
{
  const PlatformFleet fleet(FourGates());
  cr_assert(fleet.AwaitPeers());
  CrashingUpstreams upstreams(fleet, { .mUpstreams = 10, .mSeed = 23 });
  GateCall call = PoisonAt("/safe/poison", 1).mCall;
  for (int each = 0; each < 30 && IsNowhereQuarantined(fleet); ++each) {
    fleet.Call(call, each % kGates);
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  cr_assert(Await([&] { return AllQuarantine(fleet, 1); }));
  const auto quarantined = QuarantineOf(fleet, 1).at("quarantined").at(0);
  const std::string fingerprint = quarantined.at("fingerprint");
  cr_expect(fleet.Metrics(1).find("trefoilarch_gate_quarantined_requests 1") !=
            std::string::npos);
  const auto refused = fleet.Call(call, 1);
  cr_expect(refused.mStatus == 503);
  cr_expect(HasRetryAfter(refused));
  const auto released =
    integration::PostJson("http://" + fleet.OperatorAddress(1) +
                            "/v1/quarantine/release/" + fingerprint,
                          {});
  cr_expect(released["status"] == 200);
  cr_expect(Await([&] { return AllQuarantine(fleet, 0); }));
  // Run with a plan that succeeds, as if the fault had been fixed.
  call.mPlan = "ok";
  for (size_t gate = 0; gate < kGates; ++gate) {
    cr_expect(fleet.Call(call, gate).mStatus == 200);
  }
}
