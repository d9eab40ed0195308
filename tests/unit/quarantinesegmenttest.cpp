#include "quarantinefleet.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <cstdlib>

using namespace trefoilarch;
using namespace quarantinetest;

namespace {

/** Attempts with a dead segment that may reach upstreams later than the stable
 * window after its fifth crash. */
constexpr size_t kMaxLate = 3;

/** Part of the innocent requests that have to be sent at the first attempt
 * later than twice the stable window after the fifth crash. */
constexpr double kMinSentShare = 0.5;

/** Simulation runs per test; more by TREFOILARCH_HISTORIES. */
uint64_t
RunCount()
{
  const char* wanted = std::getenv("TREFOILARCH_HISTORIES");
  return wanted == nullptr ? 30 : std::strtoull(wanted, nullptr, 10);
}

/** Totals of several runs. */
struct Totals
{
  size_t mSegments = 0;
  size_t mCrashes = 0;
  size_t mMaxLate = 0;
  size_t mLateInnocents = 0;
  size_t mLateRefused = 0;
  size_t mInnocents = 0;
  size_t mRefused = 0;
  size_t mMessages = 0;
  size_t mNames = 0;
  Millis mMaxWait;
};

Totals
RunAll(FleetOptions aOptions, uint64_t aRuns = RunCount())
{
  Totals totals;
  for (uint64_t seed = 1; seed <= aRuns; ++seed) {
    aOptions.mSeed = seed;
    const FleetResult result = QuarantineFleet(aOptions).Run();
    for (const size_t late : result.mLateSegmentAttempts) {
      totals.mMaxLate = std::max(totals.mMaxLate, late);
      cr_expect(late <= kMaxLate,
                "seed %d: %zu late attempts",
                static_cast<int>(seed),
                late);
    }
    for (const size_t crashes : result.mSegmentCrashes) {
      totals.mSegments++;
      totals.mCrashes += crashes;
    }
    totals.mLateInnocents += result.mLateInnocents;
    totals.mLateRefused += result.mLateRefused;
    totals.mInnocents += result.mInnocents;
    totals.mRefused += result.mRefused;
    totals.mMessages += result.mMessages;
    totals.mNames += result.mNames;
    totals.mMaxWait = std::max(totals.mMaxWait, result.mMaxWait);
  }
  if (std::getenv("TREFOILARCH_PRINT") != nullptr) {
    std::fprintf(stderr,
                 "crashes %.1f a segment, late %zu at the most, late innocents "
                 "refused %zu of %zu, all %zu of %zu, wait %lld ms, messages "
                 "%zu, names %zu\n",
                 static_cast<double>(totals.mCrashes) /
                   static_cast<double>(std::max<size_t>(1, totals.mSegments)),
                 totals.mMaxLate,
                 totals.mLateRefused,
                 totals.mLateInnocents,
                 totals.mRefused,
                 totals.mInnocents,
                 static_cast<long long>(totals.mMaxWait.Count()),
                 totals.mMessages,
                 totals.mNames);
  }
  return totals;
}

/** Few attempts with the dead segments are late, and innocent requests with the
 * same first segment are sent. */
void
ExpectBounded(const FleetOptions& aOptions, uint64_t aRuns = RunCount())
{
  const Totals totals = RunAll(aOptions, aRuns);
  cr_expect(totals.mCrashes > 0);
  const auto sent =
    static_cast<double>(totals.mLateInnocents - totals.mLateRefused);
  cr_expect(sent >= kMinSentShare * static_cast<double>(totals.mLateInnocents),
            "%zu of %zu innocents refused",
            totals.mLateRefused,
            totals.mLateInnocents);
}

/** At this share, a busy route has no rejected innocent request in a day. */
constexpr double kNegligibleShare = 0.0001;

} // namespace

Test(quarantinesegments, few_attempts_are_late_at_any_rate, .timeout = 120)
{
  for (const double rate : { 0.7, 2.0, 6.0, 20.0 }) {
    ExpectBounded(
      { .mPoisons = 0, .mDeadSegments = 1, .mDeadPerSecond = rate });
  }
}

Test(quarantinesegments, two_dead_segments_are_told_apart, .timeout = 120)
{
  for (const double rate : { 1.0, 4.0, 10.0 }) {
    ExpectBounded(
      { .mPoisons = 0, .mDeadSegments = 2, .mDeadPerSecond = rate });
  }
}

Test(quarantinesegments, a_sound_segment_may_be_first_seen_at_a_crash)
{
  ExpectBounded({ .mPoisons = 0,
                  .mDeadSegments = 2,
                  .mDeadPerSecond = 20,
                  .mOthersPerSecond = 20 });
}

Test(quarantinesegments, a_harmless_segment_may_become_dead)
{
  for (const double rate : { 0.5, 6.0 }) {
    ExpectBounded({ .mPoisons = 0,
                    .mDeadSegments = 1,
                    .mDeadPerSecond = rate,
                    .mHarmlessUntilMs = 5000,
                    .mDurationMs = 40000 });
  }
}

Test(quarantinesegments, the_first_segment_of_all_may_be_dead)
{
  RunAll({ .mPoisons = 0, .mDeadSegments = 1, .mSharedIsDead = true });
}

Test(quarantinesegments, lost_updates_keep_the_bound, .timeout = 120)
{
  ExpectBounded(
    { .mEntries = 5, .mLoss = 0.3, .mPoisons = 0, .mDeadSegments = 1 });
}

Test(quarantinesegments, replaced_and_isolated_entries_keep_the_bound)
{
  ExpectBounded(
    { .mPoisons = 0, .mDeadSegments = 1, .mReplacesEntries = true });
  ExpectBounded({ .mIsolatedEntry = true, .mPoisons = 0, .mDeadSegments = 1 });
}

Test(quarantinesegments, poison_requests_and_dead_segments_are_told_apart)
{
  ExpectBounded({ .mPoisons = 2, .mPoisonsPerSecond = 3, .mDeadSegments = 1 });
}

/** Upstreams go on crashing by requests of the old entry. */
Test(quarantinesegments, an_old_entry_does_not_harm_sound_segments)
{
  ExpectBounded(
    { .mEntries = 5, .mPoisons = 0, .mDeadSegments = 1, .mOldEntries = 1 });
}

Test(quarantinesegments, a_large_fleet_keeps_the_bound, .timeout = 200)
{
  ExpectBounded({ .mEntries = 340,
                  .mUpstreams = 900,
                  .mPoisons = 0,
                  .mDeadSegments = 1,
                  .mDeadPerSecond = 10,
                  .mOthersPerSecond = 300,
                  .mDurationMs = 12000 },
                1);
}

/** An entry may use 18 KB/s for all control. A name takes 18 bytes, a datagram
 * with its headers some 60. */
Test(quarantinesegments, ordinary_crashes_cost_a_large_fleet_little)
{
  const FleetOptions options{ .mEntries = 340,
                              .mUpstreams = 900,
                              .mPoisons = 0,
                              .mDeadSegments = 1,
                              .mDeadPerSecond = 10,
                              .mHarmlessUntilMs = 1000000,
                              .mOthersPerSecond = 900,
                              .mCrashesPerSecond = 2,
                              .mDurationMs = 8000 };
  const Totals totals = RunAll(options, 1);
  const auto bytes =
    static_cast<double>(18 * totals.mNames + 60 * totals.mMessages);
  const double perSecond = bytes / 340 / 8;
  cr_expect(perSecond < 18000, "%.0f bytes a second", perSecond);
}

Test(quarantinesegments, no_segment_is_quarantined_for_ordinary_crashes)
{
  FleetOptions options{ .mPoisons = 0,
                        .mDeadSegments = 1,
                        .mDeadPerSecond = 2,
                        .mHarmlessUntilMs = 1000000,
                        .mCrashesPerSecond = 1,
                        .mRackSize = 4 };
  const Totals totals = RunAll(options);
  cr_expect(static_cast<double>(totals.mRefused) <=
              kNegligibleShare * static_cast<double>(totals.mInnocents),
            "%zu of %zu refused",
            totals.mRefused,
            totals.mInnocents);
}
