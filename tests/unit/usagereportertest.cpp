#include "libtrefoilarch/usagereporter.h"

#include "usagefleet.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <string>

using namespace trefoilarch;
using usagefleet::FleetOptions;
using usagefleet::FleetResult;
using usagefleet::UsageFleet;

namespace {

constexpr uint32_t kHistories = 20;

/** The sums and largest errors of many histories. */
FleetResult
RunHistories(const char* aName,
             FleetOptions aOptions,
             uint32_t aHistories = kHistories)
{
  FleetResult total;
  for (uint32_t seed = 1; seed <= aHistories; ++seed) {
    aOptions.mSeed = seed;
    const FleetResult result = UsageFleet(aOptions).Run();
    total.mWindows += result.mWindows;
    total.mMissed += result.mMissed;
    total.mWrong += result.mWrong;
    total.mLargestError = std::max(total.mLargestError, result.mLargestError);
    total.mLargestErrorOfRows =
      std::max(total.mLargestErrorOfRows, result.mLargestErrorOfRows);
    total.mUpdates += result.mUpdates;
    total.mStoreCalls += result.mStoreCalls;
    total.mReceiverCalls += result.mReceiverCalls;
    total.mSkipped += result.mSkipped;
    cr_expect(result.mViolation.empty(),
              "%s, seed %u: %s",
              aName,
              seed,
              result.mViolation.c_str());
  }
  std::printf("%s: %llu windows, %llu missed, %llu skipped, %llu off by over "
              "5%%, largest "
              "error %.1f%% (%.1f%% with rows), %llu updates, %llu calls to "
              "the store, %llu to the receiver\n",
              aName,
              static_cast<unsigned long long>(total.mWindows),
              static_cast<unsigned long long>(total.mMissed),
              static_cast<unsigned long long>(total.mSkipped),
              static_cast<unsigned long long>(total.mWrong),
              total.mLargestError * 100,
              total.mLargestErrorOfRows * 100,
              static_cast<unsigned long long>(total.mUpdates),
              static_cast<unsigned long long>(total.mStoreCalls),
              static_cast<unsigned long long>(total.mReceiverCalls));
  return total;
}

void
ExpectAllWithinTolerance(const char* aName, const FleetOptions& aOptions)
{
  const FleetResult total = RunHistories(aName, aOptions);
  cr_expect(total.mWindows > 0);
  cr_expect(total.mMissed == 0, "%s", aName);
  cr_expect(total.mWrong == 0, "%s", aName);
}

} // namespace

Test(usagereporter, usage_is_exact_enough_without_faults)
{
  ExpectAllWithinTolerance("no faults", {});
}

Test(usagereporter, usage_is_exact_enough_if_updates_are_lost)
{
  ExpectAllWithinTolerance("a fifth of updates lost", { .mLossPercent = 20 });
}

Test(usagereporter, usage_is_exact_enough_if_entries_are_killed)
{
  ExpectAllWithinTolerance("kills", { .mKills = 3 });
}

Test(usagereporter, usage_is_exact_enough_if_entries_are_cut_off)
{
  ExpectAllWithinTolerance("cuts", { .mCuts = 3 });
}

Test(usagereporter, usage_is_exact_enough_if_entries_freeze)
{
  ExpectAllWithinTolerance("freezes", { .mFreezes = 3 });
}

Test(usagereporter, usage_is_exact_enough_if_the_store_has_outages)
{
  ExpectAllWithinTolerance("outages", { .mOutages = 3 });
}

Test(usagereporter, usage_is_exact_enough_if_half_of_the_clocks_jump)
{
  ExpectAllWithinTolerance("clocks", { .mClocksJump = true });
  const FleetResult own =
    RunHistories("clocks, windows by the hosts' own",
                 { .mClocksJump = true, .mUsesAgreedTime = false });
  cr_expect(own.mWrong > 0);
}

Test(usagereporter, usage_is_exact_enough_if_the_store_is_restored)
{
  ExpectAllWithinTolerance(
    "restores after short outages",
    { .mMaxOutage = 1000, .mRestores = 2, .mMaxCopyAge = 6000 });
}

Test(usagereporter, a_window_is_not_reported_twice_if_holders_go_with_the_store)
{
  RunHistories("restores and all faults",
               { .mLossPercent = 5,
                 .mKills = 6,
                 .mCuts = 3,
                 .mFreezes = 3,
                 .mOutages = 1,
                 .mRestores = 4,
                 .mClocksJump = true });
}

Test(usagereporter, a_window_that_nobody_can_vouch_for_is_not_reported)
{
  const FleetResult total =
    RunHistories("restores after long outages", { .mRestores = 3 });
  cr_expect(total.mSkipped > 0);
  cr_expect(total.mMissed <= total.mSkipped);
  cr_expect(total.mWrong == 0);
}

Test(usagereporter, a_large_fleet_under_restores_reports_no_window_twice)
{
  constexpr uint32_t kLargeHistories = 2;
  RunHistories("340 entries, restores and kills",
               { .mKills = 40,
                 .mCuts = 10,
                 .mFreezes = 10,
                 .mRestores = 3,
                 .mHosts = 340 },
               kLargeHistories);
}

Test(usagereporter, three_entries_under_restores_report_no_window_twice)
{
  RunHistories(
    "three entries, restores and kills",
    { .mKills = 6, .mCuts = 2, .mFreezes = 2, .mRestores = 4, .mHosts = 3 });
}

Test(usagereporter, there_is_one_report_at_most_under_all_faults_together)
{
  RunHistories("all faults",
               { .mLossPercent = 5,
                 .mKills = 4,
                 .mCuts = 3,
                 .mFreezes = 3,
                 .mOutages = 2,
                 .mClocksJump = true });
}

Test(usagereporter, updates_are_counted_once_however_often_they_arrive)
{
  UsageCollector collector({});
  const Millis unix(1000000);
  UsageUpdate update{ .mEntry = "e",
                      .mProcess = 1,
                      .mWindow = 200,
                      .mTotal = 5,
                      .mCounts = { { "w", 5 } } };
  collector.OnUpdate(update, unix, Millis(1));
  collector.OnUpdate(update, unix, Millis(2));
  update.mCounts = { { "w", 3 } };
  collector.OnUpdate(update, unix, Millis(3));
  cr_expect(collector.CountsOf(200).at("w") == 5);
  cr_expect(!collector.IsComplete(200, Millis(3)));
  update.mClosed = true;
  collector.OnUpdate(update, unix, Millis(4));
  cr_expect(collector.IsComplete(200, Millis(4)));
}

Test(usagereporter, a_replaced_process_is_not_waited_for)
{
  UsageCollector collector({});
  const Millis unix(1000000);
  collector.OnUpdate(
    { .mEntry = "e", .mProcess = 1, .mWindow = 200 }, unix, Millis(1));
  cr_expect(!collector.IsComplete(200, Millis(1)));
  collector.OnUpdate(
    { .mEntry = "e", .mProcess = 2, .mWindow = 201 }, unix, Millis(2));
  cr_expect(collector.IsComplete(200, Millis(2)));
}

Test(usagereporter, windows_far_from_the_present_are_ignored)
{
  UsageCollector collector({});
  const Millis unix(1000000);
  for (const uint64_t window : { 0ULL, 100ULL, 300ULL, 1ULL << 60U }) {
    collector.OnUpdate({ .mEntry = "e",
                         .mProcess = 1,
                         .mWindow = window,
                         .mTotal = 1,
                         .mCounts = { { "w", 1 } } },
                       unix,
                       Millis(1));
    cr_expect(collector.CountsOf(window).empty());
  }
}

Test(usagereporter, a_large_window_is_split_into_several_updates)
{
  UsageCounter counter({ .mEntry = "e", .mProcess = 1, .mMaxCounts = 2 });
  for (const char* workspace : { "a", "b", "c", "a" }) {
    counter.Count(workspace, Millis(6000));
  }
  const auto updates = counter.TakeDue(Millis(6100), Millis(0), Millis(0));
  cr_assert(updates.size() == 2);
  cr_expect(updates[0].mTotal == 4);
  cr_expect(updates[0].mCounts.size() == 2);
  cr_expect(updates[1].mCounts.size() == 1);
  cr_expect(counter.TakeDue(Millis(6200), Millis(0), Millis(100)).empty());
}

Test(usagereporter, a_window_is_sent_until_its_report_is_fixed)
{
  UsageCounter counter({ .mEntry = "e", .mProcess = 1 });
  counter.Count("a", Millis(6000));
  counter.TakeDue(Millis(6100), Millis(0), Millis(0));
  cr_expect(counter.HasEndedWindow(Millis(10000)));
  cr_expect(counter.TakeDue(Millis(10000), Millis(0), Millis(100)).size() == 2);
  cr_expect(!counter.HasEndedWindow(Millis(10100)));
  cr_expect(counter.TakeDue(Millis(12000), Millis(0), Millis(2000)).size() ==
            2);
  counter.OnFixed(1);
  const auto updates = counter.TakeDue(Millis(14000), Millis(0), Millis(4000));
  cr_assert(updates.size() == 1);
  cr_expect(updates.front().mWindow == 2);
}

Test(usagereporter, the_reply_with_the_smallest_delay_sets_the_time)
{
  AgreedTime time;
  cr_expect(time.UnixTime(Millis(7), Millis(1)) == Millis(7));
  time.OnReply({ .mFencingToken = 2, .mUnixTime = Millis(1000) }, Millis(10));
  time.OnReply({ .mFencingToken = 2, .mUnixTime = Millis(1005) }, Millis(20));
  cr_expect(time.UnixTime(Millis(7), Millis(20)) == Millis(1010));
  time.OnReply({ .mFencingToken = 1, .mUnixTime = Millis(9000) }, Millis(30));
  cr_expect(time.UnixTime(Millis(7), Millis(30)) == Millis(1020));
}
