#include "libtrefoilarch/schedule.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <string>
#include <vector>

using namespace trefoilarch;

namespace {

constexpr Millis kFloorStartDelay{ 2000 };
constexpr size_t kReservedPlaces = 4;
constexpr uint64_t kCapacity = 20000;

AttemptKey
KeyOf(uint64_t aNumber)
{
  return { .mRequest = { .mHigh = 0, .mLow = aNumber }, .mAttempt = 1 };
}

/** Class number n has tier n / 2, so each tier has two classes. */
ServiceLevel
LevelOf(int aClass, int aWorkspace)
{
  return { .mClass = std::string(1, static_cast<char>('a' + aClass)),
           .mWorkspace = std::string(1, static_cast<char>('A' + aWorkspace)),
           .mTier = static_cast<Tier>(aClass / 2),
           .mFloor = aClass % 2 == 0 ? 0.1 : 0.25,
           .mWeight = 1.0 + aWorkspace };
}

/** A schedule and a naive model of its contents. */
class Model
{
public:
  void Add(int aClass, int aWorkspace, uint64_t aTokens, Millis aStartBy)
  {
    const WaitingRequest request{ .mKey = KeyOf(mNextKey++),
                                  .mLevel = LevelOf(aClass, aWorkspace),
                                  .mTokens = aTokens,
                                  .mStartBy = aStartBy };
    mSchedule.Add(request, mNow);
    mWaiting.push_back(request);
    ClassRecord& record = mClasses[request.mLevel.mClass];
    if (CountOf(request.mLevel.mClass) == 1) {
      ResetWait(record);
    }
  }

  void RemoveOne(size_t aPick)
  {
    if (mWaiting.empty()) {
      return;
    }
    const AttemptKey key = mWaiting[aPick % mWaiting.size()].mKey;
    mSchedule.Remove(key);
    Forget(key);
  }

  void TakeRegular()
  {
    mSchedule.TakeLate(mNow);
    const auto dispatch = mSchedule.NextRegularDispatch();
    RC_ASSERT(dispatch.has_value() == !mWaiting.empty());
    if (!dispatch) {
      return;
    }
    const WaitingRequest request = Find(dispatch->mKey);
    for (const WaitingRequest& other : mWaiting) {
      RC_ASSERT(other.mLevel.mTier >= request.mLevel.mTier);
      if (other.mLevel.mTier == request.mLevel.mTier && !IsLate(other)) {
        RC_ASSERT(!IsLate(request));
      }
    }
    for (auto& [name, record] : mClasses) {
      if (name != request.mLevel.mClass) {
        ++record.mOthersStarts;
      }
    }
    Start(*dispatch);
    TakeFloors();
  }

  /** As the sidecar does after regular dispatches and at each wake-up. */
  void TakeFloors()
  {
    while (const auto dispatch = mSchedule.NextFloorDispatch(kCapacity, mNow)) {
      Start(*dispatch);
    }
    for (const auto& [name, record] : mClasses) {
      if (CountOf(name) == 0) {
        continue;
      }
      const double floor = LevelOf(name[0] - 'a', 0).mFloor;
      if (record.mFloorTokens == 0) {
        RC_ASSERT(record.mOthersStarts < std::ceil(1 / floor));
      }
      if (record.mRunning.empty()) {
        RC_ASSERT(mNow - record.mWaitingSince < kFloorStartDelay);
      }
    }
  }

  void EndOne(int aClass)
  {
    ClassRecord& record = mClasses[LevelOf(aClass, 0).mClass];
    if (record.mRunning.empty()) {
      return;
    }
    const Started ended = record.mRunning.back();
    mSchedule.OnEnded(ended.mLevel, ended.mFloorTokens, mNow);
    record.mFloorTokens -= ended.mFloorTokens;
    record.mRunning.pop_back();
    if (record.mRunning.empty()) {
      record.mWaitingSince = mNow;
    }
  }

  void AdvanceTime(Millis aDuration)
  {
    const Millis until = mNow + aDuration;
    while (mSchedule.NextWake() <= until) {
      mNow = std::max(mNow, mSchedule.NextWake());
      mSchedule.TakeLate(mNow);
      TakeFloors();
    }
    mNow = until;
    for (const auto& [name, record] : mClasses) {
      if (CountOf(name) > 0 && record.mRunning.empty()) {
        RC_ASSERT(mNow - record.mWaitingSince <= kFloorStartDelay);
      }
    }
    TakeFloors();
  }

  void CheckShed(int aClass) const
  {
    const ServiceLevel level = LevelOf(aClass, 0);
    const auto victim = mSchedule.VictimFor(level);
    Tier lowest = 0;
    for (const WaitingRequest& request : mWaiting) {
      if (CountOf(request.mLevel.mClass) > kReservedPlaces) {
        lowest = std::max(lowest, request.mLevel.mTier);
      }
    }
    RC_ASSERT(victim.has_value() == (lowest > level.mTier));
    if (!victim) {
      return;
    }
    const WaitingRequest& shed = Find(*victim);
    RC_ASSERT(shed.mLevel.mTier == lowest);
    for (const WaitingRequest& request : mWaiting) {
      if (request.mLevel.mClass == shed.mLevel.mClass) {
        RC_ASSERT(request.mKey.mRequest <= shed.mKey.mRequest);
      }
    }
  }

  void CheckAhead(int aClass) const
  {
    const ServiceLevel level = LevelOf(aClass, 0);
    uint64_t higher = 0;
    uint64_t own = 0;
    for (const WaitingRequest& request : mWaiting) {
      higher += request.mLevel.mTier < level.mTier ? request.mTokens : 0;
      own += request.mLevel.mTier == level.mTier ? request.mTokens : 0;
    }
    const uint64_t ahead = mSchedule.TokensAhead(level, true);
    RC_ASSERT(ahead >= higher);
    RC_ASSERT(ahead <= higher + own);
  }

  void CheckSums() const
  {
    uint64_t tokens = 0;
    for (const WaitingRequest& request : mWaiting) {
      tokens += request.mTokens;
    }
    RC_ASSERT(mSchedule.Size() == mWaiting.size());
    RC_ASSERT(mSchedule.Tokens() == tokens);
  }

private:
  struct Started
  {
    ServiceLevel mLevel;
    uint64_t mFloorTokens = 0;
  };

  struct ClassRecord
  {
    std::vector<Started> mRunning{};
    uint64_t mFloorTokens = 0;
    uint64_t mOthersStarts = 0;
    Millis mWaitingSince{};
  };

  void ResetWait(ClassRecord& aRecord) const
  {
    aRecord.mOthersStarts = 0;
    aRecord.mWaitingSince = mNow;
  }

  void Start(const Dispatch& aDispatch)
  {
    const WaitingRequest request = Find(aDispatch.mKey);
    const uint64_t floorTokens = aDispatch.mFloor ? request.mTokens : 0;
    mSchedule.Take(aDispatch, mNow);
    Forget(aDispatch.mKey);
    ClassRecord& record = mClasses[request.mLevel.mClass];
    if (aDispatch.mFloor) {
      CheckFloorCapacity(request, record);
    }
    record.mFloorTokens += floorTokens;
    ResetWait(record);
    record.mRunning.push_back({ request.mLevel, floorTokens });
  }

  /**
   * Floor starts stay within their fraction of the capacity, except for a
   * single one.
   */
  static void CheckFloorCapacity(const WaitingRequest& aRequest,
                                 const ClassRecord& aRecord)
  {
    const uint64_t tokens = aRecord.mFloorTokens + aRequest.mTokens;
    RC_ASSERT(aRecord.mFloorTokens == 0 ||
              static_cast<double>(tokens) <=
                aRequest.mLevel.mFloor * kCapacity);
  }

  bool IsLate(const WaitingRequest& aRequest) const
  {
    return aRequest.mStartBy < mNow;
  }

  size_t CountOf(const std::string& aClass) const
  {
    return static_cast<size_t>(std::count_if(
      mWaiting.begin(), mWaiting.end(), [&](const WaitingRequest& aRequest) {
        return aRequest.mLevel.mClass == aClass;
      }));
  }

  std::vector<WaitingRequest>::const_iterator FindPosition(
    const AttemptKey& aKey) const
  {
    const auto found = std::find_if(
      mWaiting.begin(), mWaiting.end(), [&](const WaitingRequest& aRequest) {
        return aRequest.mKey == aKey;
      });
    RC_ASSERT(found != mWaiting.end());
    return found;
  }

  const WaitingRequest& Find(const AttemptKey& aKey) const
  {
    return *FindPosition(aKey);
  }

  void Forget(const AttemptKey& aKey) { mWaiting.erase(FindPosition(aKey)); }

  Schedule mSchedule{ { .mFloorStartDelay = kFloorStartDelay,
                        .mReservedPlaces = kReservedPlaces } };
  Millis mNow{ 1 };
  uint64_t mNextKey = 1;
  std::vector<WaitingRequest> mWaiting;
  std::map<std::string, ClassRecord> mClasses;
};

} // namespace

/**
 * Over random arrivals, dispatches, ends, removals and pauses: tiers are strict
 * in regular dispatches, no request is lost or dispatched twice, each waiting
 * class starts within its documented bound, and the shed request is of the
 * lowest tier.
 */
Test(schedule, keeps_its_documented_guarantees)
{
  const bool holds = rc::check([] {
    Model model;
    const int steps = *rc::gen::inRange(1, 400);
    for (int i = 0; i < steps; ++i) {
      const int kind = *rc::gen::inRange(0, 10);
      const int ofClass = *rc::gen::inRange(0, 8);
      if (kind < 4) {
        model.Add(ofClass,
                  *rc::gen::inRange(0, 3),
                  *rc::gen::inRange<uint64_t>(1, 2000),
                  Millis(*rc::gen::inRange(0, 20000)));
      } else if (kind < 6) {
        model.TakeRegular();
      } else if (kind == 6) {
        model.EndOne(ofClass);
      } else if (kind == 7) {
        model.RemoveOne(*rc::gen::inRange<size_t>(0, 1000));
      } else if (kind == 8) {
        model.AdvanceTime(Millis(*rc::gen::inRange(0, 3000)));
      }
      model.CheckShed(ofClass);
      model.CheckAhead(ofClass);
      model.CheckSums();
    }
  });
  cr_assert(holds);
}

/**
 * Two workspaces of a class that always wait get tokens in proportion to their
 * weights, whatever the sizes of their requests, up to one request of each.
 */
Test(schedule, shares_are_fair_by_tokens)
{
  constexpr double kMaxTokens = 1000;
  const bool holds = rc::check([] {
    Schedule schedule;
    uint64_t number = 1;
    double served[2] = {};
    const auto add = [&](int aWorkspace) {
      schedule.Add({ .mKey = KeyOf(number++),
                     .mLevel = LevelOf(0, aWorkspace),
                     .mTokens = *rc::gen::inRange<uint64_t>(1, 1000),
                     .mStartBy = Millis(1000000) },
                   Millis());
    };
    for (const int workspace : { 0, 1, 0, 1 }) {
      add(workspace);
    }
    for (int i = 0; i < 300; ++i) {
      const Dispatch dispatch = *schedule.NextRegularDispatch();
      const WaitingRequest request = *schedule.Find(dispatch.mKey);
      const int workspace = request.mLevel.mWorkspace == "A" ? 0 : 1;
      schedule.Take(dispatch, Millis());
      served[workspace] += static_cast<double>(request.mTokens);
      add(workspace);
      const double first = served[0] / LevelOf(0, 0).mWeight;
      const double second = served[1] / LevelOf(0, 1).mWeight;
      RC_ASSERT(std::abs(first - second) <= 2 * kMaxTokens);
    }
  });
  cr_assert(holds);
}

/** A workspace gains no credit for the time in which it sent no requests. */
Test(schedule, absence_earns_no_credit)
{
  Schedule schedule;
  uint64_t number = 1;
  const auto add = [&](int aWorkspace) {
    schedule.Add({ .mKey = KeyOf(number++),
                   .mLevel = LevelOf(0, aWorkspace),
                   .mTokens = 100,
                   .mStartBy = Millis(1000000) },
                 Millis());
  };
  for (int i = 0; i < 200; ++i) {
    add(0);
  }
  for (int i = 0; i < 100; ++i) {
    schedule.Take(*schedule.NextRegularDispatch(), Millis());
  }
  for (int i = 0; i < 50; ++i) {
    add(1);
  }
  int ofFirst = 0;
  for (int i = 0; i < 30; ++i) {
    const Dispatch dispatch = *schedule.NextRegularDispatch();
    ofFirst += schedule.Find(dispatch.mKey)->mLevel.mWorkspace == "A" ? 1 : 0;
    schedule.Take(dispatch, Millis());
  }
  cr_assert_geq(ofFirst, 9);
  cr_assert_leq(ofFirst, 11);
}
