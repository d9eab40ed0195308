#include "libtrefoilarch/connectionshares.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <numeric>
#include <string>
#include <vector>

using namespace trefoilarch;

namespace {

constexpr ConnectionLimits kLimits{ .mAll = 24, .mFixedShare = 4 };
constexpr size_t kEntries = 4;
constexpr Millis kInterval{ 200 };
const UpstreamId kUpstream = "u";

/** Entries that need connections to one upstream and report their use. */
class Entries
{
public:
  Entries()
  {
    for (ConnectionShares& each : mShares) {
      each.SetEntries(kEntries);
    }
  }

  /** Each entry uses what it needs, up to its limit, and reports it. */
  void Step(const std::vector<uint32_t>& aNeeds)
  {
    mNow += kInterval;
    for (size_t each = 0; each < kEntries; ++each) {
      if (!mGone[each]) {
        Use(each, aNeeds[each]);
      }
    }
    for (size_t each = 0; each < kEntries; ++each) {
      if (!mGone[each] && mShares[each].IsReporting(mNow)) {
        Report(each);
      }
    }
  }
  /** The entry's process ends, and its connections with it. */
  void End(size_t aEntry)
  {
    mGone[aEntry] = true;
    mUses[aEntry] = 0;
  }

  uint32_t UseOf(size_t aEntry) const { return mUses[aEntry]; }
  uint32_t All() const
  {
    return std::accumulate(mUses.begin(), mUses.end(), 0U);
  }

private:
  void Use(size_t aEntry, uint32_t aNeed)
  {
    ConnectionShares& shares = mShares[aEntry];
    if (2 * aNeed >= kLimits.mFixedShare) {
      shares.OnBusy(mNow);
    }
    mUses[aEntry] = std::min(aNeed, shares.Limit(kUpstream, kLimits, mNow));
  }
  void Report(size_t aEntry)
  {
    const ConnectionUseUpdate update{
      .mFrom = std::to_string(aEntry),
      .mProcess = 1,
      .mSequence = ++mSequence,
      .mBusy = mShares[aEntry].IsBusy(mNow),
      .mUses = { { .mUpstream = kUpstream, .mConnections = mUses[aEntry] } }
    };
    mShares[aEntry].OnReported(update.mUses);
    for (size_t each = 0; each < kEntries; ++each) {
      if (each != aEntry) {
        mShares[each].OnPeerUpdate(update, mNow);
      }
    }
  }

  Millis mNow{ 10000 };
  uint64_t mSequence = 0;
  std::vector<ConnectionShares> mShares =
    std::vector<ConnectionShares>(kEntries);
  std::vector<uint32_t> mUses = std::vector<uint32_t>(kEntries);
  std::vector<bool> mGone = std::vector<bool>(kEntries);
};

/** Steps within the stable window of three seconds. */
constexpr int kWindowSteps = 14;

} // namespace

Test(connectionshares, an_entry_with_most_callers_uses_what_others_leave)
{
  Entries entries;
  for (int step = 0; step < kWindowSteps; ++step) {
    entries.Step({ 16, 2, 1, 1 });
    cr_expect(entries.All() <= kLimits.mAll);
  }
  cr_expect(entries.UseOf(0) == 16, "%u", entries.UseOf(0));
}

Test(connectionshares, callers_may_move_to_another_entry)
{
  for (const bool ends : { true, false }) {
    Entries entries;
    for (int step = 0; step < kWindowSteps; ++step) {
      entries.Step({ 16, 2, 1, 1 });
    }
    if (ends) {
      entries.End(0);
    }
    for (int step = 0; step < kWindowSteps; ++step) {
      entries.Step({ 0, 16, 1, 1 });
      cr_expect(entries.All() <= kLimits.mAll);
    }
    cr_expect(entries.UseOf(1) == 16, "%u", entries.UseOf(1));
  }
}

Test(connectionshares, entries_that_are_all_busy_stay_within_the_limit)
{
  Entries entries;
  for (int step = 0; step < 50; ++step) {
    entries.Step({ 20, 20, 20, 20 });
    cr_expect(
      entries.All() <= kLimits.mAll, "step %d: %u", step, entries.All());
  }
  for (size_t each = 0; each < kEntries; ++each) {
    cr_expect(entries.UseOf(each) >= kLimits.mFixedShare);
  }
}

Test(connectionshares, large_fleets_use_fixed_shares_and_report_nothing)
{
  ConnectionShares shares;
  shares.SetEntries(340);
  shares.OnBusy(Millis(10000));
  cr_expect(!shares.IsReporting(Millis(10000)));
  cr_expect(shares.Limit(kUpstream, kLimits, Millis(10000)) ==
            kLimits.mFixedShare);
}
