#include "randomload.h"

#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <set>

namespace replay {

namespace {

constexpr size_t kQueueLimit = 40;
constexpr size_t kReservedQueuePlaces = 4;
constexpr Millis kFloorStartDelay{ 2000 };
constexpr int kClasses = 6;
constexpr const char* kEntry = "e";

/** The level of a class: two classes have tier 0, two tier 3, and tiers 1 and 2
 * have one each. */
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

RandomLoad::RandomLoad(uint64_t aSeed, RandomLoadOptions aOptions)
  : mRandom(aSeed)
  , mOptions(aOptions)
  , mCore({ .mIncarnation = 1,
            .mQueueLimit = kQueueLimit,
            .mFloorStartDelay = kFloorStartDelay,
            .mGrantTimeout = Millis(100),
            .mMaxRunning = 16,
            .mSeed = aSeed })
  , mEngine(mTime,
            { .mMaxRunning = 16, .mStepMillis = 18 },
            [this](uint64_t aId, bool aLast) { OnToken(aId, aLast); })
{
  RunActions(mCore.OnMessage(
    kEntry, Hello{ .mEntry = kEntry, .mDataCentre = "" }, mTime.Now()));
}

void
RandomLoad::Play(Millis aDuration)
{
  ScheduleArrival(aDuration);
  ScheduleSlowdown(aDuration);
  SendHeartbeats(aDuration + Millis(60000));
  mTime.RunUntil(aDuration + Millis(60000));
  for (const auto& [number, request] : mRequests) {
    RC_ASSERT(request.mState == State::Ended);
  }
  RunActions(mCore.Drain(mTime.Now()));
  RC_ASSERT(mCore.Idle());
  RC_ASSERT(mCore.CurrentLoad().mTokensInFlight == 0);
  const auto dump = nlohmann::json::parse(mCore.DumpState(mTime.Now()));
  RC_ASSERT(dump["counters"]["floor_starts"].get<size_t>() >= mOutOfOrder);
  mFloorStarts += dump["counters"]["floor_starts"].get<size_t>();
  mShed += dump["counters"]["shed"].get<size_t>();
}

std::optional<bool>
RandomLoad::PlayRetry(Millis aDuration)
{
  ScheduleArrival(aDuration);
  SendHeartbeats(aDuration + Millis(60000));
  mTime.RunUntil(aDuration);
  if (!mUnmeetableOffer) {
    return std::nullopt;
  }
  const Offer last = *mUnmeetableOffer;
  const uint64_t number = mNextNumber;
  mTime.At(mRetryAt, [this, last] { Arrive(last); });
  mTime.RunUntil(std::max(mRetryAt, aDuration) + Millis(60000));
  return mRequests.at(number).mResponseStarted;
}

AttemptKey
RandomLoad::KeyOf(uint64_t aNumber)
{
  return { .mRequest = { .mHigh = 0, .mLow = aNumber }, .mAttempt = 1 };
}

bool
RandomLoad::RandomBool(double aProbability)
{
  return std::uniform_real_distribution<double>(0, 1)(mRandom) < aProbability;
}

uint32_t
RandomLoad::RandomBetween(uint32_t aMin, uint32_t aMax)
{
  return std::uniform_int_distribution<uint32_t>(aMin, aMax)(mRandom);
}

void
RandomLoad::ScheduleArrival(Millis aEnd)
{
  std::exponential_distribution<double> gap(mOptions.mArrivalsPerSecond / 1000);
  const Millis at = mTime.Now() + Millis(std::lround(gap(mRandom)));
  if (at < aEnd) {
    mTime.At(at, [this, aEnd] {
      Arrive();
      ScheduleArrival(aEnd);
    });
  }
}

void
RandomLoad::SendHeartbeats(Millis aEnd)
{
  RunActions(mCore.OnMessage(kEntry, EntryHeartbeat{}, mTime.Now()));
  if (mTime.Now() < aEnd) {
    mTime.After(Millis(500), [this, aEnd] { SendHeartbeats(aEnd); });
  }
}

void
RandomLoad::ScheduleSlowdown(Millis aEnd)
{
  if (mTime.Now() >= aEnd) {
    return mEngine.SetSlowdown(1);
  }
  mEngine.SetSlowdown(RandomBool(mOptions.mSlowdownProbability) ? 5 : 1);
  mTime.After(Millis(3000), [this, aEnd] { ScheduleSlowdown(aEnd); });
}

void
RandomLoad::Arrive()
{
  Arrive({ .mKey = {},
           .mLevel = LevelOf(static_cast<int>(RandomBetween(0, 5))),
           .mDeadline = Millis(RandomBetween(mOptions.mMinDeadline, 20000)),
           .mFirstTokenDue = Millis(RandomBetween(100, 2000)),
           .mPromptTokens = RandomBetween(20, 3000),
           .mOutputTokens = RandomBetween(0, 200),
           .mIdempotent = RandomBool(mOptions.mIdempotentProbability) });
}

void
RandomLoad::Arrive(Offer aOffer)
{
  const uint64_t number = mNextNumber++;
  aOffer.mKey = KeyOf(number);
  mRequests[number] = { .mOffer = aOffer,
                        .mDeadlineAt = mTime.Now() + aOffer.mDeadline };
  ClassRecord& record = mClasses[aOffer.mLevel.mClass];
  if (WaitingCount(aOffer.mLevel.mClass) == 1) {
    RestartFloorWait(record);
  }
  RunActions(mCore.OnMessage(kEntry, aOffer, mTime.Now()));
  if (RandomBool(mOptions.mWithdrawProbability)) {
    mTime.After(Millis(RandomBetween(1, 5000)), [this, number] {
      RunActions(mCore.OnMessage(
        kEntry, Withdraw{ .mKey = KeyOf(number) }, mTime.Now()));
    });
  }
}

void
RandomLoad::RunActions(const SidecarActions& aActions)
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
    std::visit([this](const auto& aAction) { Check(aAction); }, action);
  }
  CheckWaitingTimes();
  ScheduleTick();
}

void
RandomLoad::ScheduleTick()
{
  const Millis wake = std::max(mCore.NextWake(), mTime.Now());
  if (wake >= mWakeTime || wake >= Millis::Never()) {
    return;
  }
  mWakeTime = wake;
  mTime.At(wake, [this, wake] {
    if (mWakeTime != wake) {
      return;
    }
    mWakeTime = Millis::Never();
    RunActions(mCore.OnTick(mTime.Now()));
  });
}

RandomLoad::Request&
RandomLoad::RequestOf(const AttemptKey& aKey)
{
  return mRequests.at(aKey.mRequest.mLow);
}

size_t
RandomLoad::WaitingCount(const std::string& aClass) const
{
  return static_cast<size_t>(
    std::count_if(mRequests.begin(), mRequests.end(), [&](const auto& aPair) {
      return aPair.second.mState == State::Waiting &&
             aPair.second.mOffer.mLevel.mClass == aClass;
    }));
}

void
RandomLoad::RestartFloorWait(ClassRecord& aRecord) const
{
  aRecord.mRegularStartsBefore = mRegularStarts;
  aRecord.mIdleSince = mTime.Now();
}

void
RandomLoad::Check(const SendToEntry& aSend)
{
  std::visit([this](const auto& aMessage) { OnReceived(aMessage); },
             aSend.mMessage);
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
                  .mOutputTokens = RandomBetween(1, 300) });
}

void
RandomLoad::Check(const CancelCall& aCancel)
{
  RC_ASSERT(RequestOf(aCancel.mKey).mState == State::Running);
  mEngine.Cancel(aCancel.mKey.mRequest.mLow);
}

void
RandomLoad::OnReceived(const Grant& aGrant)
{
  Request& request = RequestOf(aGrant.mKey);
  RC_ASSERT(request.mState == State::Waiting);
  CheckStartOrder(request.mOffer.mLevel);
  request.mState = State::Granted;
  ClassRecord& record = mClasses[request.mOffer.mLevel.mClass];
  ++record.mInFlight;
  RestartFloorWait(record);
  if (RandomBool(mOptions.mNeverStartProbability)) {
    return;
  }
  mTime.After(Millis(1), [this, key = aGrant.mKey] {
    RunActions(
      mCore.OnMessage(kEntry, Start{ .mKey = key, .mCall = {} }, mTime.Now()));
  });
}

void
RandomLoad::CheckStartOrder(const ServiceLevel& aLevel)
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
    static_cast<double>(mRegularStarts - record.mRegularStartsBefore);
  const bool byTime = record.mInFlight == 0 &&
                      mTime.Now() - record.mIdleSince >= kFloorStartDelay;
  RC_ASSERT(byTime || others >= std::ceil(1 / aLevel.mFloor));
}

void
RandomLoad::OnReceived(const Decline& aDecline)
{
  Request& request = RequestOf(aDecline.mKey);
  RC_ASSERT(request.mState == State::Waiting);
  RC_ASSERT(aDecline.mRetryAfter > Millis());
  if (aDecline.mKind == ErrorKind::DeadlineUnmeetable) {
    mUnmeetableOffer = request.mOffer;
    mRetryAt = mTime.Now() + aDecline.mRetryAfter;
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
      RC_ASSERT(WaitingCount(other.mClass) <= kReservedQueuePlaces);
    }
  }
}

void
RandomLoad::OnReceived(const Failed& aFailed)
{
  Request& request = RequestOf(aFailed.mKey);
  RC_ASSERT(request.mState == State::Running);
  if (aFailed.mKind == ErrorKind::Shed) {
    RC_ASSERT(request.mOffer.mIdempotent);
    RC_ASSERT(!request.mResponseStarted);
    RC_ASSERT(mHighestGranted < request.mOffer.mLevel.mTier);
  }
  End(request);
}

void
RandomLoad::OnReceived(const Finished& aFinished)
{
  Request& request = RequestOf(aFinished.mKey);
  RC_ASSERT(request.mState == State::Running);
  End(request);
  mTime.After(Millis(1), [this, aFinished] {
    RunActions(mCore.OnMessage(
      kEntry,
      Ack{ .mKey = aFinished.mKey, .mNextChunk = aFinished.mChunks },
      mTime.Now()));
  });
}

void
RandomLoad::OnReceived(const Voided& aVoided)
{
  Request& request = RequestOf(aVoided.mKey);
  RC_ASSERT(request.mState != State::Running);
  if (request.mState != State::Ended) {
    End(request);
  }
}

void
RandomLoad::OnReceived(const Chunk& aChunk)
{
  Request& request = RequestOf(aChunk.mKey);
  RC_ASSERT(request.mState == State::Running);
  request.mResponseStarted = true;
}

void
RandomLoad::End(Request& aRequest)
{
  ClassRecord& record = mClasses[aRequest.mOffer.mLevel.mClass];
  if (aRequest.mState != State::Waiting && --record.mInFlight == 0) {
    record.mIdleSince = mTime.Now();
  }
  aRequest.mState = State::Ended;
}

void
RandomLoad::CheckWaitingTimes() const
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
      RC_ASSERT(mTime.Now() - record.mIdleSince <= kFloorStartDelay);
    }
  }
}

void
RandomLoad::OnToken(uint64_t aId, bool aLast)
{
  RunActions(mCore.OnCall(
    CallData{ .mKey = KeyOf(aId), .mData = "t", .mTokens = 1 }, mTime.Now()));
  if (aLast) {
    RunActions(mCore.OnCall(CallDone{ .mKey = KeyOf(aId) }, mTime.Now()));
  }
}

} // namespace replay
