#include "randomload.h"

#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <set>

namespace replay {

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

} // namespace

RandomLoad::RandomLoad(uint64_t aSeed, Behaviour aBehaviour)
  : mRandom(aSeed)
  , mBehaviour(aBehaviour)
  , mCore({ .mIncarnation = 1,
            .mQueueLimit = kQueueLimit,
            .mFloorStartDelay = kFloorSpan,
            .mGrantTimeout = Millis(100),
            .mMaxRunning = 16,
            .mSeed = aSeed })
  , mEngine(mTime,
            { .mMaxRunning = 16, .mStepMillis = 18 },
            [this](uint64_t aId, bool aLast) { OnToken(aId, aLast); })
{
  Do(mCore.OnMessage(
    kEntry, Hello{ .mEntry = kEntry, .mDataCentre = "" }, mTime.Now()));
}

void
RandomLoad::Play(Millis aSpan)
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

std::optional<bool>
RandomLoad::PlayReturn(Millis aSpan)
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

AttemptKey
RandomLoad::KeyOf(uint64_t aNumber)
{
  return { .mRequest = { .mHigh = 0, .mLow = aNumber }, .mAttempt = 1 };
}

bool
RandomLoad::Chance(double aShare)
{
  return std::uniform_real_distribution<double>(0, 1)(mRandom) < aShare;
}

uint32_t
RandomLoad::Between(uint32_t aLeast, uint32_t aMost)
{
  return std::uniform_int_distribution<uint32_t>(aLeast, aMost)(mRandom);
}

void
RandomLoad::PlanArrival(Millis aEnd)
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

void
RandomLoad::Beat(Millis aEnd)
{
  Do(mCore.OnMessage(kEntry, EntryHeartbeat{}, mTime.Now()));
  if (mTime.Now() < aEnd) {
    mTime.After(Millis(500), [this, aEnd] { Beat(aEnd); });
  }
}

void
RandomLoad::PlanSlowdown(Millis aEnd)
{
  if (mTime.Now() >= aEnd) {
    return mEngine.SetSlow(1);
  }
  mEngine.SetSlow(Chance(mBehaviour.mSlowdowns) ? 5 : 1);
  mTime.After(Millis(3000), [this, aEnd] { PlanSlowdown(aEnd); });
}

void
RandomLoad::Arrive()
{
  Arrive({ .mKey = {},
           .mLevel = LevelOf(static_cast<int>(Between(0, 5))),
           .mDeadline = Millis(Between(mBehaviour.mLeastDeadline, 20000)),
           .mFirstTokenDue = Millis(Between(100, 2000)),
           .mPromptTokens = Between(20, 3000),
           .mOutputTokens = Between(0, 200),
           .mIdempotent = Chance(mBehaviour.mIdempotent) });
}

void
RandomLoad::Arrive(Offer aOffer)
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

void
RandomLoad::Do(const SidecarActions& aActions)
{
  mHighestGranted = kTierCount;
  for (const SidecarAction& action : aActions) {
    if (const auto* send = std::get_if<SendToEntry>(&action)) {
      if (const auto* grant = std::get_if<Grant>(&send->mMessage)) {
        mHighestGranted =
          std::min(mHighestGranted, RequestOf(grant->mKey).mOffer.mLevel.mTier);
      }
    }
  }
  for (const SidecarAction& action : aActions) {
    std::visit([this](const auto& aOne) { Check(aOne); }, action);
  }
  CheckNobodyOverstays();
  Plan();
}

void
RandomLoad::Plan()
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

RandomLoad::Request&
RandomLoad::RequestOf(const AttemptKey& aKey)
{
  return mRequests.at(aKey.mRequest.mLow);
}

size_t
RandomLoad::WaitingOf(const std::string& aClass) const
{
  return static_cast<size_t>(
    std::count_if(mRequests.begin(), mRequests.end(), [&](const auto& aPair) {
      return aPair.second.mState == State::Waiting &&
             aPair.second.mOffer.mLevel.mClass == aClass;
    }));
}

void
RandomLoad::Restart(ClassRecord& aRecord) const
{
  aRecord.mRegularAtStart = mRegularStarts;
  aRecord.mSince = mTime.Now();
}

void
RandomLoad::Check(const SendToEntry& aSend)
{
  std::visit([this](const auto& aMessage) { Hear(aMessage); }, aSend.mMessage);
}

void
RandomLoad::Check(const StartCall& aStart)
{
  Request& request = RequestOf(aStart.mKey);
  RC_ASSERT(request.mState == State::Granted);
  request.mState = State::Running;
  mEngine.Start({ .mId = aStart.mKey.mRequest.mLow,
                  .mPriority = aStart.mTier,
                  .mPromptTokens = request.mOffer.mPromptTokens,
                  .mOutputTokens = Between(1, 300) });
}

void
RandomLoad::Check(const CancelCall& aCancel)
{
  RC_ASSERT(RequestOf(aCancel.mKey).mState == State::Running);
  mEngine.Cancel(aCancel.mKey.mRequest.mLow);
}

void
RandomLoad::Hear(const Grant& aGrant)
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
    Do(mCore.OnMessage(kEntry, Start{ .mKey = key, .mCall = {} }, mTime.Now()));
  });
}

void
RandomLoad::CheckTurn(const ServiceLevel& aLevel)
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

void
RandomLoad::Hear(const Decline& aDecline)
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

void
RandomLoad::CheckShed(const ServiceLevel& aLevel) const
{
  for (int i = 0; i < kClasses; ++i) {
    const ServiceLevel other = LevelOf(i);
    if (other.mTier > aLevel.mTier) {
      RC_ASSERT(WaitingOf(other.mClass) <= kKeptPlaces);
    }
  }
}

void
RandomLoad::Hear(const Failed& aFailed)
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

void
RandomLoad::Hear(const Finished& aFinished)
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

void
RandomLoad::Hear(const Voided& aVoided)
{
  Request& request = RequestOf(aVoided.mKey);
  RC_ASSERT(request.mState != State::Running);
  if (request.mState != State::Ended) {
    End(request);
  }
}

void
RandomLoad::Hear(const Chunk& aChunk)
{
  Request& request = RequestOf(aChunk.mKey);
  RC_ASSERT(request.mState == State::Running);
  request.mBegun = true;
}

void
RandomLoad::End(Request& aRequest)
{
  ClassRecord& record = mClasses[aRequest.mOffer.mLevel.mClass];
  if (aRequest.mState != State::Waiting && --record.mInFlight == 0) {
    record.mSince = mTime.Now();
  }
  aRequest.mState = State::Ended;
}

void
RandomLoad::CheckNobodyOverstays() const
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

void
RandomLoad::OnToken(uint64_t aId, bool aLast)
{
  Do(mCore.OnCall(CallData{ .mKey = KeyOf(aId), .mData = "t", .mTokens = 1 },
                  mTime.Now()));
  if (aLast) {
    Do(mCore.OnCall(CallDone{ .mKey = KeyOf(aId) }, mTime.Now()));
  }
}

} // namespace replay
