#include "libtrefoilarch/tieradmission.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <random>
#include <string>
#include <vector>

using namespace trefoilarch;

/**
 * Guards against entries that reject requests of a tier while others accept
 * less urgent ones. Entries of unequal load share a service in virtual time;
 * each estimates the wait wrongly, by a factor of its own, and may lose
 * updates.
 */
namespace {

enum Tier : uint8_t
{
  Call,
  Quote,
  Draft,
};
constexpr size_t kTiers = 3;

constexpr Millis kStep{ 10 };
constexpr Millis kEnd{ 24000 };

/** Quotes surge from here on, first beyond what drafts leave, then beyond what
 * the service can do. */
constexpr Millis kSurge{ 4000 };
constexpr Millis kLargeSurge{ 9000 };
constexpr Millis kSurgeEnd{ 14000 };
constexpr Millis kRecovered{ 19000 };

/** Requests a second of each tier in a calm fleet, and their work. */
constexpr std::array kRates = { 40.0, 100.0, 60.0 };
constexpr std::array kWork = { 500.0, 2000.0, 8000.0 };

/** Work a millisecond. */
constexpr double kCapacity = 900;

/** Wait from which a request of each tier is late, in milliseconds. */
constexpr std::array kMaxWait = { 650.0, 500.0, 400.0 };

constexpr const char* kService = "engines";

struct FleetOptions
{
  uint64_t mSeed = 1;
  size_t mEntries = 5;
  Millis mInterval{ 40 };
  double mLoss = 0;
  /** The first entries send and receive no reports. */
  size_t mOld = 0;
  /** The last entries lose the others during the surge. */
  size_t mCut = 0;
};

/** Requests of one second at connected entries. */
struct Second
{
  std::array<int, kTiers> mAsked{};
  std::array<int, kTiers> mRejected{};
};

struct Outcome
{
  std::vector<Second> mSeconds;
  /** Quotes that a connected entry rejected within 1.5 s after another one
   * accepted a draft. */
  int mRejectedTooSoon = 0;
  size_t mMaxReports = 0;

  int Asked(Tier aTier, Millis aFrom, Millis aTo) const
  {
    return Sum(&Second::mAsked, aTier, aFrom, aTo);
  }
  int Rejected(Tier aTier, Millis aFrom, Millis aTo) const
  {
    return Sum(&Second::mRejected, aTier, aFrom, aTo);
  }
  double RejectedShare(Tier aTier, Millis aFrom, Millis aTo) const
  {
    return static_cast<double>(Rejected(aTier, aFrom, aTo)) /
           std::max(1, Asked(aTier, aFrom, aTo));
  }

private:
  int Sum(std::array<int, kTiers> Second::*aFigure,
          Tier aTier,
          Millis aFrom,
          Millis aTo) const
  {
    int sum = 0;
    for (int64_t each = aFrom.Count() / 1000; each < aTo.Count() / 1000;
         ++each) {
      sum += (mSeconds[static_cast<size_t>(each)].*aFigure)[aTier];
    }
    return sum;
  }
};

class Fleet
{
public:
  explicit Fleet(FleetOptions aOptions)
    : mOptions(aOptions)
    , mRandom(aOptions.mSeed)
  {
    std::uniform_real_distribution<double> error(0.6, 1.4);
    std::uniform_real_distribution<double> load(0.3, 1.7);
    for (size_t each = 0; each < mOptions.mEntries; ++each) {
      mEntries.push_back({ .mTiers = TierAdmission(mOptions.mSeed + each),
                           .mError = error(mRandom) });
      mLoads.push_back(load(mRandom));
    }
    mOutcome.mSeconds.resize(static_cast<size_t>(kEnd.Count() / 1000));
  }

  Outcome Run()
  {
    std::discrete_distribution<size_t> chosen(mLoads.begin(), mLoads.end());
    for (; mNow < kEnd; mNow += kStep) {
      mPending = std::max(
        0.0, mPending - kCapacity * static_cast<double>(kStep.Count()));
      for (size_t tier = 0; tier < kTiers; ++tier) {
        const double rate = kRates[tier] * Factor(static_cast<Tier>(tier));
        std::poisson_distribution<int> arrivals(
          rate * static_cast<double>(kStep.Count()) / 1000);
        for (int count = arrivals(mRandom); count > 0; --count) {
          Ask(chosen(mRandom), static_cast<Tier>(tier));
        }
      }
      Exchange();
    }
    return mOutcome;
  }

private:
  struct Entry
  {
    TierAdmission mTiers;
    double mError = 1;
    Millis mDraftAcceptedAt{ -10000 };
    uint64_t mSequence = 0;
  };

  double Factor(Tier aTier) const
  {
    if (aTier != Quote || mNow < kSurge || mNow >= kSurgeEnd) {
      return 1;
    }
    return mNow < kLargeSurge ? 3 : 6;
  }

  /** Whether the entry exchanges reports with others. */
  bool IsConnected(size_t aEntry) const
  {
    const bool cut = aEntry + mOptions.mCut >= mOptions.mEntries &&
                     mNow >= kSurge && mNow < kSurgeEnd;
    return aEntry >= mOptions.mOld && !cut;
  }

  void Ask(size_t aEntry, Tier aTier)
  {
    Entry& entry = mEntries[aEntry];
    const double wait = mPending / kCapacity * entry.mError;
    const bool rejected = entry.mTiers.Rejects(
      { .mService = kService,
        .mPriority = aTier,
        .mWork = kWork[aTier],
        .mLate = wait > kMaxWait[aTier] },
      [](const auto&) { return false; },
      mNow);
    if (IsConnected(aEntry)) {
      Second& second =
        mOutcome.mSeconds[static_cast<size_t>(mNow.Count() / 1000)];
      second.mAsked[aTier]++;
      second.mRejected[aTier] += rejected ? 1 : 0;
      const bool tooSoon = rejected && aTier == Quote && HearsDrafts();
      mOutcome.mRejectedTooSoon += tooSoon ? 1 : 0;
    }
    if (rejected) {
      return;
    }
    mPending += kWork[aTier];
    if (aTier == Draft) {
      entry.mDraftAcceptedAt = mNow;
    }
  }

  /** Whether a connected entry has recently accepted a draft. */
  bool HearsDrafts() const
  {
    for (size_t each = 0; each < mEntries.size(); ++each) {
      // A report takes one interval.
      const Millis age = mNow - mEntries[each].mDraftAcceptedAt;
      if (IsConnected(each) && age < Millis(1500) && age > mOptions.mInterval) {
        return true;
      }
    }
    return false;
  }

  void Exchange()
  {
    constexpr size_t kReceivers = 40;
    std::bernoulli_distribution lost(mOptions.mLoss);
    const auto steps =
      static_cast<size_t>(mOptions.mInterval.Count() / kStep.Count());
    const auto now = static_cast<size_t>(mNow.Count() / kStep.Count());
    const size_t all = mEntries.size();
    for (size_t from = mOptions.mOld; from < all; ++from) {
      if ((now + from) % steps != 0) {
        continue;
      }
      const std::vector<TierReport> reports =
        mEntries[from].mTiers.Reports(mNow);
      mOutcome.mMaxReports = std::max(mOutcome.mMaxReports, reports.size());
      if (reports.empty()) {
        continue;
      }
      const TierUpdate update{ .mFrom = std::to_string(from),
                               .mSequence = ++mEntries[from].mSequence,
                               .mReports = reports };
      for (size_t next = 1; next < std::min(all, kReceivers + 1); ++next) {
        const size_t to = (from + next) % all;
        const bool arrives =
          IsConnected(from) && IsConnected(to) && !lost(mRandom);
        if (arrives) {
          mEntries[to].mTiers.OnPeerUpdate(update, mNow);
        }
      }
    }
  }

  FleetOptions mOptions;
  std::mt19937_64 mRandom;
  std::vector<Entry> mEntries;
  std::vector<double> mLoads;
  Millis mNow;
  /** Work that the service has accepted and not done. */
  double mPending = 0;
  Outcome mOutcome;
};

/** Expects that no tier is rejected in a larger share than 1/12 in any five
 * seconds in which less urgent requests are accepted in numbers. */
void
ExpectTiersKept(const Outcome& aOutcome, uint64_t aSeed)
{
  constexpr Millis kWindow{ 5000 };
  constexpr double kMaxShare = 1.0 / 12;
  for (Millis from(0); from + kWindow <= kEnd; from += Millis(1000)) {
    const Millis to = from + kWindow;
    const double quotes = aOutcome.RejectedShare(Quote, from, to);
    const double drafts = aOutcome.RejectedShare(Draft, from, to);
    cr_expect(quotes <= kMaxShare || quotes < drafts,
              "seed %lu: %.3f of the quotes and %.3f of the drafts rejected "
              "from %ld ms on",
              aSeed,
              quotes,
              drafts,
              from.Count());
  }
  cr_expect(aOutcome.Rejected(Call, Millis(0), kEnd) == 0);
}

constexpr uint64_t kSeeds = 10;

void
ForAllSeeds(FleetOptions aOptions,
            const std::function<void(const Outcome&)>& aCheck)
{
  for (aOptions.mSeed = 1; aOptions.mSeed <= kSeeds; ++aOptions.mSeed) {
    const Outcome outcome = Fleet(aOptions).Run();
    ExpectTiersKept(outcome, aOptions.mSeed);
    aCheck(outcome);
  }
}

} // namespace

Test(tieradmission, none_is_rejected_while_unequal_entries_accept_less_urgent)
{
  ForAllSeeds({}, [](const Outcome& aOutcome) {
    cr_expect(aOutcome.Rejected(Quote, kSurge, kSurgeEnd) > 0);
    cr_expect(aOutcome.mRejectedTooSoon == 0,
              "%d quotes rejected",
              aOutcome.mRejectedTooSoon);
  });
}

Test(tieradmission, lost_updates_dont_break_tiers)
{
  ForAllSeeds({ .mLoss = 0.3 }, [](const Outcome& aOutcome) {
    cr_expect(aOutcome.Rejected(Quote, kSurge, kSurgeEnd) > 0);
  });
}

Test(tieradmission, entries_of_a_large_fleet_keep_tiers)
{
  ForAllSeeds({ .mEntries = 340, .mInterval = Millis(640), .mLoss = 0.03 },
              [](const Outcome& aOutcome) {
                cr_expect(aOutcome.Rejected(Quote, kLargeSurge, kSurgeEnd) > 0);
              });
}

/** More urgent requests that fit once drafts are shed are accepted. */
Test(tieradmission, overload_is_shed_from_the_least_urgent_until_the_rest_fits)
{
  ForAllSeeds({}, [](const Outcome& aOutcome) {
    const Millis settled = kSurge + Millis(2000);
    cr_expect(aOutcome.RejectedShare(Quote, settled, kLargeSurge) < 0.02,
              "%.3f",
              aOutcome.RejectedShare(Quote, settled, kLargeSurge));
    cr_expect(aOutcome.RejectedShare(Draft, Millis(0), kSurge) < 0.02);
    cr_expect(aOutcome.RejectedShare(Draft, kRecovered, kEnd) < 0.02);
  });
}

/** Neither an entry without peers nor one of an older version holds up the
 * others. */
Test(tieradmission, entries_cut_off_and_old_ones_dont_stop_the_others)
{
  for (const FleetOptions& options :
       { FleetOptions{ .mCut = 1 }, FleetOptions{ .mOld = 1 } }) {
    int rejected = 0;
    ForAllSeeds(options, [&](const Outcome& aOutcome) {
      rejected += aOutcome.Rejected(Quote, kLargeSurge, kSurgeEnd);
      cr_expect(aOutcome.RejectedShare(Draft, kRecovered, kEnd) < 0.02,
                "%.3f",
                aOutcome.RejectedShare(Draft, kRecovered, kEnd));
    });
    cr_expect(rejected > 0);
  }
}

Test(tieradmission, a_calm_fleet_sends_no_reports)
{
  TierAdmission tiers(1);
  for (Millis now(0); now < Millis(5000); now += kStep) {
    const bool rejected = tiers.Rejects(
      { .mService = kService }, [](const auto&) { return false; }, now);
    cr_assert(!rejected);
    cr_assert(tiers.Reports(now).empty());
  }
}
