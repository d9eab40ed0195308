#include "trace.h"
#include "virtualengine.h"
#include "virtualtime.h"

#include "libtrefoilarch/sidecarcore.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>

using namespace trefoilarch;
using namespace replay;

namespace {

constexpr size_t kQueueLimit = 40;
constexpr size_t kKeptPlaces = 4;
constexpr Millis kFloorSpan{ 2000 };
constexpr int kClasses = 6;
constexpr const char* kEntry = "e";

/** Class n: two of tier 0, one of each lower tier, and one more of tier 3. */
ServiceLevel
LevelOf(int aClass)
{
  const Tier tiers[kClasses] = { 0, 0, 1, 2, 3, 3 };
  return { .mClass = std::string(1, static_cast<char>('a' + aClass)),
           .mWorkspace = "w",
           .mTier = tiers[aClass],
           .mFloor = aClass % 2 == 0 ? 0.05 : 0.2,
           .mFirstTokenTarget = Millis(300 * (tiers[aClass] + 1)),
           .mBetweenTokenTarget = Millis(60 * (tiers[aClass] + 1)) };
}

/** How a random load behaves; chances from 0 to 1. */
struct Behaviour
{
  double mArrivalsPerSecond = 20;
  double mNeverStarts = 0;
  double mWithdraws = 0;
  double mIdempotent = 0.7;
  double mSlowdowns = 0;
  uint32_t mLeastDeadline = 500;
};

/**
 * One sidecar with an engine under a random load, whose every action is
 * checked against a naive record of what was asked and said.
 */
class RandomLoad
{
public:
  RandomLoad(uint64_t aSeed, Behaviour aBehaviour)
    : mRandom(aSeed)
    , mBehaviour(aBehaviour)
    , mCore({ .mIncarnation = 1,
              .mQueueLimit = kQueueLimit,
              .mFloorSpan = kFloorSpan,
              .mGrantSpan = Millis(100),
              .mMostRunning = 16,
              .mSeed = aSeed })
    , mEngine(mTime,
              { .mMostRunning = 16, .mStepMillis = 18 },
              [this](uint64_t aId, bool aLast) { OnToken(aId, aLast); })
  {
    Do(mCore.OnMessage(
      kEntry, Hello{ .mEntry = kEntry, .mDataCentre = "" }, mTime.Now()));
  }

  void Play(Millis aSpan)
  {
    PlanArrival(aSpan);
    PlanSlowdown(aSpan);
    Beat(aSpan + Millis(60000));
    mTime.RunUntil(aSpan + Millis(60000));
    for (const auto& [number, request] : mRequests) {
      RC_ASSERT(request.mState == State::Ended);
    }
    Do(mCore.Drain(mTime.Now()));
    RC_ASSERT(mCore.Idle());
    RC_ASSERT(mCore.CurrentLoad().mTokensInFlight == 0);
    const auto dump = nlohmann::json::parse(mCore.DumpState(mTime.Now()));
    RC_ASSERT(dump["counters"]["floor_starts"].get<size_t>() >= mOutOfOrder);
    mFloorStarts += dump["counters"]["floor_starts"].get<size_t>();
    mShed += dump["counters"]["shed"].get<size_t>();
  }

  /**
   * Overload until aSpan; then the last caller that was told that its deadline
   * can't be met comes back when it was told to, and nobody else comes.
   * Whether it was served then; nothing if there was no such caller.
   */
  std::optional<bool> PlayReturn(Millis aSpan)
  {
    PlanArrival(aSpan);
    Beat(aSpan + Millis(60000));
    mTime.RunUntil(aSpan);
    if (!mSentAway) {
      return std::nullopt;
    }
    const Offer last = *mSentAway;
    const uint64_t number = mNext;
    mTime.At(mReturnAt, [this, last] { Arrive(last); });
    mTime.RunUntil(std::max(mReturnAt, aSpan) + Millis(60000));
    return mRequests.at(number).mBegun;
  }

  size_t mFloorStarts = 0;
  size_t mShed = 0;
  size_t mOutOfOrder = 0;

private:
  enum class State
  {
    Waiting,
    Granted,
    Running,
    Ended,
  };

  struct Request
  {
    Offer mOffer;
    Millis mDeadlineAt;
    State mState = State::Waiting;
    bool mBegun = false;
  };

  struct ClassRecord
  {
    size_t mInFlight = 0;
    uint64_t mRegularAtStart = 0;
    Millis mSince;
  };

  static AttemptKey KeyOf(uint64_t aNumber)
  {
    return { .mRequest = { .mHigh = 0, .mLow = aNumber }, .mAttempt = 1 };
  }

  bool Chance(double aShare)
  {
    return std::uniform_real_distribution<double>(0, 1)(mRandom) < aShare;
  }

  uint32_t Between(uint32_t aLeast, uint32_t aMost)
  {
    return std::uniform_int_distribution<uint32_t>(aLeast, aMost)(mRandom);
  }

  void PlanArrival(Millis aEnd)
  {
    std::exponential_distribution<double> gap(mBehaviour.mArrivalsPerSecond /
                                              1000);
    const Millis at = mTime.Now() + Millis(std::lround(gap(mRandom)));
    if (at < aEnd) {
      mTime.At(at, [this, aEnd] {
        Arrive();
        PlanArrival(aEnd);
      });
    }
  }

  /** The entry gives signs of life. */
  void Beat(Millis aEnd)
  {
    Do(mCore.OnMessage(kEntry, EntryHeartbeat{}, mTime.Now()));
    if (mTime.Now() < aEnd) {
      mTime.After(Millis(500), [this, aEnd] { Beat(aEnd); });
    }
  }

  void PlanSlowdown(Millis aEnd)
  {
    if (mTime.Now() >= aEnd) {
      return mEngine.SetSlow(1);
    }
    mEngine.SetSlow(Chance(mBehaviour.mSlowdowns) ? 5 : 1);
    mTime.After(Millis(3000), [this, aEnd] { PlanSlowdown(aEnd); });
  }

  void Arrive()
  {
    Arrive({ .mKey = {},
             .mLevel = LevelOf(static_cast<int>(Between(0, 5))),
             .mDeadline = Millis(Between(mBehaviour.mLeastDeadline, 20000)),
             .mFirstTokenDue = Millis(Between(100, 2000)),
             .mPromptTokens = Between(20, 3000),
             .mOutputTokens = Between(0, 200),
             .mIdempotent = Chance(mBehaviour.mIdempotent) });
  }

  void Arrive(Offer aOffer)
  {
    const uint64_t number = mNext++;
    aOffer.mKey = KeyOf(number);
    mRequests[number] = { .mOffer = aOffer,
                          .mDeadlineAt = mTime.Now() + aOffer.mDeadline };
    ClassRecord& record = mClasses[aOffer.mLevel.mClass];
    if (WaitingOf(aOffer.mLevel.mClass) == 1) {
      Restart(record);
    }
    Do(mCore.OnMessage(kEntry, aOffer, mTime.Now()));
    if (Chance(mBehaviour.mWithdraws)) {
      mTime.After(Millis(Between(1, 5000)), [this, number] {
        Do(mCore.OnMessage(
          kEntry, Withdraw{ .mKey = KeyOf(number) }, mTime.Now()));
      });
    }
  }

  void Do(const SidecarActions& aActions)
  {
    mHighestGranted = kTierCount;
    for (const SidecarAction& action : aActions) {
      if (const auto* send = std::get_if<SendToEntry>(&action)) {
        if (const auto* grant = std::get_if<Grant>(&send->mMessage)) {
          mHighestGranted = std::min(
            mHighestGranted, RequestOf(grant->mKey).mOffer.mLevel.mTier);
        }
      }
    }
    for (const SidecarAction& action : aActions) {
      std::visit([this](const auto& aOne) { Check(aOne); }, action);
    }
    CheckNobodyOverstays();
    Plan();
  }

  void Plan()
  {
    const Millis wake = std::max(mCore.NextWake(), mTime.Now());
    if (wake >= mWake || wake >= Millis::Never()) {
      return;
    }
    mWake = wake;
    mTime.At(wake, [this, wake] {
      if (mWake != wake) {
        return;
      }
      mWake = Millis::Never();
      Do(mCore.OnTick(mTime.Now()));
    });
  }

  Request& RequestOf(const AttemptKey& aKey)
  {
    return mRequests.at(aKey.mRequest.mLow);
  }

  size_t WaitingOf(const std::string& aClass) const
  {
    return static_cast<size_t>(
      std::count_if(mRequests.begin(), mRequests.end(), [&](const auto& aPair) {
        return aPair.second.mState == State::Waiting &&
               aPair.second.mOffer.mLevel.mClass == aClass;
      }));
  }

  void Restart(ClassRecord& aRecord) const
  {
    aRecord.mRegularAtStart = mRegularStarts;
    aRecord.mSince = mTime.Now();
  }

  void Check(const SendToEntry& aSend)
  {
    std::visit([this](const auto& aMessage) { Hear(aMessage); },
               aSend.mMessage);
  }

  void Check(const StartCall& aStart)
  {
    Request& request = RequestOf(aStart.mKey);
    RC_ASSERT(request.mState == State::Granted);
    request.mState = State::Running;
    mEngine.Start({ .mId = aStart.mKey.mRequest.mLow,
                    .mPriority = aStart.mTier,
                    .mPromptTokens = request.mOffer.mPromptTokens,
                    .mOutputTokens = Between(1, 300) });
  }

  void Check(const CancelCall& aCancel)
  {
    RC_ASSERT(RequestOf(aCancel.mKey).mState == State::Running);
    mEngine.Cancel(aCancel.mKey.mRequest.mLow);
  }

  void Hear(const Grant& aGrant)
  {
    Request& request = RequestOf(aGrant.mKey);
    RC_ASSERT(request.mState == State::Waiting);
    CheckTurn(request.mOffer.mLevel);
    request.mState = State::Granted;
    ClassRecord& record = mClasses[request.mOffer.mLevel.mClass];
    ++record.mInFlight;
    Restart(record);
    if (Chance(mBehaviour.mNeverStarts)) {
      return;
    }
    mTime.After(Millis(1), [this, key = aGrant.mKey] {
      Do(mCore.OnMessage(
        kEntry, Start{ .mKey = key, .mCall = {} }, mTime.Now()));
    });
  }

  /** A start before a waiting request of a higher tier is a floor start, and
   * the class was owed it. */
  void CheckTurn(const ServiceLevel& aLevel)
  {
    const bool higherWaits =
      std::any_of(mRequests.begin(), mRequests.end(), [&](const auto& aPair) {
        return aPair.second.mState == State::Waiting &&
               aPair.second.mOffer.mLevel.mTier < aLevel.mTier;
      });
    if (!higherWaits) {
      ++mRegularStarts;
      return;
    }
    ++mOutOfOrder;
    const ClassRecord& record = mClasses[aLevel.mClass];
    const auto others =
      static_cast<double>(mRegularStarts - record.mRegularAtStart);
    const bool byTime =
      record.mInFlight == 0 && mTime.Now() - record.mSince >= kFloorSpan;
    RC_ASSERT(byTime || others >= std::ceil(1 / aLevel.mFloor));
  }

  void Hear(const Decline& aDecline)
  {
    Request& request = RequestOf(aDecline.mKey);
    RC_ASSERT(request.mState == State::Waiting);
    RC_ASSERT(aDecline.mRetryAfter > Millis());
    if (aDecline.mKind == ErrorKind::DeadlineUnmeetable) {
      mSentAway = request.mOffer;
      mReturnAt = mTime.Now() + aDecline.mRetryAfter;
    }
    if (aDecline.mKind == ErrorKind::Shed) {
      CheckShed(request.mOffer.mLevel);
    }
    End(request);
  }

  void CheckShed(const ServiceLevel& aLevel) const
  {
    for (int i = 0; i < kClasses; ++i) {
      const ServiceLevel other = LevelOf(i);
      if (other.mTier > aLevel.mTier) {
        RC_ASSERT(WaitingOf(other.mClass) <= kKeptPlaces);
      }
    }
  }

  void Hear(const Failed& aFailed)
  {
    Request& request = RequestOf(aFailed.mKey);
    RC_ASSERT(request.mState == State::Running);
    if (aFailed.mKind == ErrorKind::Shed) {
      RC_ASSERT(request.mOffer.mIdempotent);
      RC_ASSERT(!request.mBegun);
      RC_ASSERT(mHighestGranted < request.mOffer.mLevel.mTier);
    }
    End(request);
  }

  void Hear(const Finished& aFinished)
  {
    Request& request = RequestOf(aFinished.mKey);
    RC_ASSERT(request.mState == State::Running);
    End(request);
    mTime.After(Millis(1), [this, aFinished] {
      Do(mCore.OnMessage(
        kEntry,
        Ack{ .mKey = aFinished.mKey, .mNextChunk = aFinished.mChunks },
        mTime.Now()));
    });
  }

  void Hear(const Voided& aVoided)
  {
    Request& request = RequestOf(aVoided.mKey);
    RC_ASSERT(request.mState != State::Running);
    if (request.mState != State::Ended) {
      End(request);
    }
  }

  void Hear(const Chunk& aChunk)
  {
    Request& request = RequestOf(aChunk.mKey);
    RC_ASSERT(request.mState == State::Running);
    request.mBegun = true;
  }

  template<typename Other>
  void Hear(const Other&)
  {
  }

  void End(Request& aRequest)
  {
    ClassRecord& record = mClasses[aRequest.mOffer.mLevel.mClass];
    if (aRequest.mState != State::Waiting && --record.mInFlight == 0) {
      record.mSince = mTime.Now();
    }
    aRequest.mState = State::Ended;
  }

  /** Nobody waits past its deadline, and no class without anything in flight
   * past its floor span. */
  void CheckNobodyOverstays() const
  {
    std::set<std::string> waiting;
    for (const auto& [number, request] : mRequests) {
      if (request.mState != State::Waiting) {
        continue;
      }
      RC_ASSERT(mTime.Now() <= request.mDeadlineAt);
      waiting.insert(request.mOffer.mLevel.mClass);
    }
    for (const std::string& name : waiting) {
      const ClassRecord& record = mClasses.at(name);
      if (record.mInFlight == 0) {
        RC_ASSERT(mTime.Now() - record.mSince <= kFloorSpan);
      }
    }
  }

  void OnToken(uint64_t aId, bool aLast)
  {
    Do(mCore.OnCall(CallData{ .mKey = KeyOf(aId), .mData = "t", .mTokens = 1 },
                    mTime.Now()));
    if (aLast) {
      Do(mCore.OnCall(CallDone{ .mKey = KeyOf(aId) }, mTime.Now()));
    }
  }

  std::mt19937_64 mRandom;
  Behaviour mBehaviour;
  VirtualTime mTime;
  SidecarCore mCore;
  VirtualEngine mEngine;
  std::map<uint64_t, Request> mRequests;
  std::map<std::string, ClassRecord> mClasses;
  uint64_t mNext = 1;
  uint64_t mRegularStarts = 0;
  Tier mHighestGranted = kTierCount;
  /** The last one that was told its deadline can't be met. */
  std::optional<Offer> mSentAway;
  Millis mReturnAt;
  Millis mWake = Millis::Never();
};

} // namespace

/**
 * Over random arrivals, lengths, engine speeds, withdrawals and grants that
 * nobody starts: no request of a higher tier is shed or preempted for a lower
 * one, a start out of order is a floor start that was owed, no class starves,
 * none is lost or answered twice, and a request that was given up is told at
 * once when to come back.
 */
Test(sidecarload, keeps_its_promises)
{
  size_t floorStarts = 0;
  size_t shed = 0;
  const bool holds = rc::check([&] {
    const auto percent = [](int aMost) {
      return *rc::gen::inRange(0, aMost + 1) / 100.0;
    };
    RandomLoad load(
      *rc::gen::arbitrary<uint64_t>(),
      { .mArrivalsPerSecond = static_cast<double>(*rc::gen::inRange(1, 60)),
        .mNeverStarts = percent(20),
        .mWithdraws = percent(30),
        .mIdempotent = percent(100),
        .mSlowdowns = percent(50) });
    load.Play(Millis(15000));
    floorStarts += load.mFloorStarts;
    shed += load.mShed;
  });
  cr_assert(holds);
  cr_assert_gt(floorStarts, 0);
  cr_assert_gt(shed, 0);
}

/**
 * A time to come back is honest: of those who keep to it, while nobody else
 * comes, nearly all are served. The estimate can't be better than the lengths
 * that it is made from, which are random here.
 */
Test(sidecarload, who_comes_back_when_told_is_served)
{
  int returned = 0;
  int served = 0;
  const bool holds = rc::check([&] {
    RandomLoad load(
      *rc::gen::arbitrary<uint64_t>(),
      { .mArrivalsPerSecond = static_cast<double>(*rc::gen::inRange(20, 80)),
        .mLeastDeadline = 5000 });
    const auto outcome = load.PlayReturn(Millis(15000));
    returned += outcome ? 1 : 0;
    served += outcome.value_or(false) ? 1 : 0;
  });
  cr_assert(holds);
  cr_assert_gt(returned, 20);
  cr_assert_geq(served * 10, returned * 9, "%d of %d", served, returned);
}
