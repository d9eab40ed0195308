#include "fairsharefleet.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <random>

namespace fairsharefleet {

using namespace trefoilarch;

namespace {

constexpr Millis kTick{ 5 };
/** In small and in large fleets. */
constexpr Millis kUpdateInterval{ 500 };
constexpr Millis kSlowUpdateInterval{ 2000 };
/** Callers with less time left don't return. */
constexpr Millis kMinLeft{ 20 };
constexpr size_t kMaxReports = 16;
constexpr size_t kMaxHeard = 40;

struct Call
{
  const WorkspaceLoad* mLoad = nullptr;
  size_t mEntry = 0;
  double mCostMs = 0;
  Millis mArrivedAt;
  Millis mQueuedAt;
};

struct Update
{
  size_t mFrom = 0;
  size_t mTo = 0;
  uint64_t mSequence = 0;
  std::shared_ptr<const std::vector<WorkspaceDemandReport>> mReports;
};

struct Entry
{
  FairShare mShare;
  double mBias = 1;
  std::vector<uint64_t> mLastSequence;
};

class Fleet
{
public:
  Fleet(const FleetOptions& aOptions, uint32_t aSeed)
    : mOptions(aOptions)
    , mRandom(aSeed)
  {
    for (size_t entry = 0; entry < mOptions.mEntries; ++entry) {
      mEntries.push_back(NewEntry());
    }
  }

  Outcomes Run()
  {
    for (; mNow < mOptions.mCountUntil + mOptions.mCallerTime; mNow += kTick) {
      Arrive();
      Return();
      Exchange();
      Serve();
    }
    return mOutcomes;
  }

private:
  double Draw(double aFrom, double aTo)
  {
    return std::uniform_real_distribution<double>(aFrom, aTo)(mRandom);
  }

  Entry NewEntry()
  {
    Entry entry{ .mShare = FairShare({ .mSeed = mRandom() }),
                 .mBias = Draw(0.9, 1.1),
                 .mLastSequence = std::vector<uint64_t>(mOptions.mEntries) };
    entry.mShare.SetWeights(mOptions.mWeights);
    entry.mShare.SetEntries(mOptions.mEntries,
                            std::min(mOptions.mEntries - 1, kMaxHeard));
    return entry;
  }

  void Arrive()
  {
    for (const WorkspaceLoad& load : mOptions.mLoads) {
      const bool flood = mNow >= load.mFloodFrom && mNow < load.mFloodUntil;
      const double rate = load.mRate * (flood ? load.mFloodFactor : 1);
      std::poisson_distribution<int> arrivals(
        rate * static_cast<double>(kTick.Count()) / 1000);
      for (int left = rate > 0 ? arrivals(mRandom) : 0; left > 0; --left) {
        const bool toFirst =
          flood && load.mOneEntry && Draw(0, load.mFloodFactor) > 1;
        Call call{ .mLoad = &load,
                   .mEntry = toFirst ? 0 : mRandom() % mOptions.mEntries,
                   .mCostMs = mOptions.mCostMs * Draw(0.5, 1.5),
                   .mArrivedAt = mNow };
        Count(call, &Outcome::mAsked);
        Ask(call);
      }
    }
  }

  void Return()
  {
    while (!mReturns.empty() && mReturns.begin()->first <= mNow) {
      const Call call = mReturns.begin()->second;
      mReturns.erase(mReturns.begin());
      Ask(call);
    }
  }

  void Ask(Call aCall)
  {
    AddTo(mOutcomes[aCall.mLoad->mName].mAttempts, aCall.mCostMs);
    Entry& entry = mEntries[aCall.mEntry];
    Contention contention;
    double queued = 0;
    for (size_t tier = 0; tier < kTierCount; ++tier) {
      queued += mQueued[tier];
      contention.mPressure[tier] = queued / mOptions.mCapacity * 1000 /
                                   AsDouble(mOptions.mBound) * entry.mBias *
                                   Draw(0.9, 1.1);
    }
    const Millis left = aCall.mArrivedAt + mOptions.mCallerTime - mNow;
    ShareVerdict verdict;
    if (mOptions.mHasPart) {
      verdict = entry.mShare.Admit({ .mService = "svc",
                                     .mWorkspace = aCall.mLoad->mName,
                                     .mTier = aCall.mLoad->mTier,
                                     .mCostMs = aCall.mCostMs,
                                     .mCallerTime = left },
                                   contention,
                                   mNow);
    }
    if (!verdict.mAdmitted) {
      Count(aCall, &Outcome::mRefused);
      if (left > kMinLeft) {
        mReturns.emplace(mNow + verdict.mReturnAfter, aCall);
      }
      return;
    }
    AddTo(mOutcomes[aCall.mLoad->mName].mTimeline, aCall.mCostMs);
    aCall.mQueuedAt = mNow;
    mQueues[aCall.mLoad->mTier].push_back(aCall);
    mQueued[aCall.mLoad->mTier] += aCall.mCostMs;
  }

  void Serve()
  {
    mBudget += mOptions.mCapacity * AsDouble(kTick) / 1000;
    for (size_t tier = 0; tier < kTierCount; ++tier) {
      auto& queue = mQueues[tier];
      while (!queue.empty() && mBudget > 0) {
        const Call call = queue.front();
        queue.pop_front();
        mQueued[tier] -= call.mCostMs;
        const Millis waited = mNow - call.mQueuedAt;
        // A caller gives up when twice the bound has passed.
        mBudget -= waited > mOptions.mBound * 2 ? 0 : call.mCostMs;
        if (waited <= mOptions.mBound) {
          Count(call, &Outcome::mInTime);
        }
      }
    }
    mBudget = std::min(mBudget, 0.0);
  }

  void Exchange()
  {
    while (!mUpdates.empty() && mUpdates.begin()->first <= mNow) {
      const Update update = mUpdates.begin()->second;
      mUpdates.erase(mUpdates.begin());
      Receive(update);
    }
    for (size_t from = 0; from < mEntries.size(); ++from) {
      // Entries send at different times.
      const auto phase = static_cast<int64_t>(from * 35);
      const Millis interval =
        mEntries.size() > kMaxHeard + 1 ? kSlowUpdateInterval : kUpdateInterval;
      if ((mNow.Count() + phase) % interval.Count() == 0) {
        Send(from);
      }
    }
    if (mNow.Count() > 0 &&
        mNow.Count() % mOptions.mKillInterval.Count() == 0) {
      mEntries[mRandom() % mEntries.size()] = NewEntry();
    }
  }

  void Send(size_t aFrom)
  {
    Update update{ .mFrom = aFrom,
                   .mSequence = ++mSequence,
                   .mReports =
                     std::make_shared<const std::vector<WorkspaceDemandReport>>(
                       mEntries[aFrom].mShare.TakeReports(kMaxReports, mNow)) };
    const size_t others = std::min(mEntries.size() - 1, kMaxHeard);
    const bool cut = mNow >= mOptions.mCutFrom;
    for (size_t each = 1; each <= others; ++each) {
      update.mTo = (aFrom + each) % mEntries.size();
      if ((cut && update.mTo % 2 != aFrom % 2) ||
          mRandom() % 100 < mOptions.mLossPercent) {
        continue;
      }
      const bool twice = mRandom() % 100 < mOptions.mDuplicatePercent;
      for (int copy = 0; copy < (twice ? 2 : 1); ++copy) {
        mUpdates.emplace(mNow + Millis(static_cast<int64_t>(mRandom() % 300)),
                         update);
      }
    }
  }

  void Receive(const Update& aUpdate)
  {
    Entry& entry = mEntries[aUpdate.mTo];
    uint64_t& last = entry.mLastSequence[aUpdate.mFrom];
    if (aUpdate.mSequence < last) {
      return;
    }
    last = aUpdate.mSequence;
    const std::string from = std::to_string(aUpdate.mFrom);
    for (const WorkspaceDemandReport& report : *aUpdate.mReports) {
      entry.mShare.OnPeerReport(from, report, mNow);
    }
  }

  void Count(const Call& aCall, double Outcome::*aFigure)
  {
    if (aCall.mArrivedAt >= mOptions.mCountFrom &&
        aCall.mArrivedAt < mOptions.mCountUntil) {
      mOutcomes[aCall.mLoad->mName].*aFigure += 1;
      mOutcomes[""].*aFigure += 1;
    }
  }

  void AddTo(std::vector<double>& aTimeline, double aCostMs) const
  {
    const auto slot = static_cast<size_t>(mNow.Count() / 500);
    aTimeline.resize(std::max(aTimeline.size(), slot + 1));
    aTimeline[slot] += aCostMs;
  }

  static double AsDouble(Millis aTime)
  {
    return static_cast<double>(aTime.Count());
  }

  FleetOptions mOptions;
  std::mt19937 mRandom;
  std::vector<Entry> mEntries;
  std::deque<Call> mQueues[kTierCount];
  double mQueued[kTierCount] = {};
  double mBudget = 0;
  std::multimap<Millis, Call> mReturns;
  std::multimap<Millis, Update> mUpdates;
  uint64_t mSequence = 0;
  Millis mNow;
  Outcomes mOutcomes;
};

} // namespace

Outcomes
Run(const FleetOptions& aOptions, uint32_t aSeed)
{
  return Fleet(aOptions, aSeed).Run();
}

std::vector<WorkspaceLoad>
UsualLoad(const FleetOptions& aOptions, double aUtilization, size_t aCount)
{
  double sum = 0;
  for (size_t each = 1; each <= aCount; ++each) {
    sum += 1.0 / static_cast<double>(each);
  }
  const double total = aUtilization * aOptions.mCapacity / aOptions.mCostMs;
  std::vector<WorkspaceLoad> loads;
  for (size_t each = 1; each <= aCount; ++each) {
    loads.push_back({ .mName = "w" + std::to_string(each),
                      .mRate = total / sum / static_cast<double>(each) });
  }
  return loads;
}

} // namespace fairsharefleet
