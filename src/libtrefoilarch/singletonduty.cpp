#include "singletonduty.h"

#include <algorithm>

namespace trefoilarch {

namespace {

/** After this time the store is read again, as clocks differ in rate. */
constexpr Millis kMaxReadingAge{ 30000 };

} // namespace

SingletonDuty::SingletonDuty(DutyOptions aOptions)
  : mOptions(std::move(aOptions))
{
}

DutyActions
SingletonDuty::SetWanted(bool aWanted, Millis aNow)
{
  DutyActions out;
  if (aWanted != mState.mWanted) {
    mState.mWanted = aWanted;
    mState.mNextStoreAt = aNow;
  }
  Advance(out, aNow);
  return out;
}

DutyActions
SingletonDuty::OnTick(Millis aNow)
{
  DutyActions out;
  Advance(out, aNow);
  return out;
}

DutyActions
SingletonDuty::OnRead(const DutyRowsRead& aRead, Millis aNow)
{
  DutyActions out;
  mState.mStoreBusy = false;
  mState.mNextStoreAt = aNow + mOptions.mRetryInterval;
  if (aRead.mReached && AcceptEra(out, aRead.mEra, aNow)) {
    mState.mClock = aRead.mClock;
    ApplyRead(out, aRead, aNow);
  }
  Advance(out, aNow);
  return out;
}

DutyActions
SingletonDuty::OnWritten(const DutyRowsWritten& aWritten, Millis aNow)
{
  DutyActions out;
  mState.mStoreBusy = false;
  // Unless the write is done, the store is read before the next one.
  mState.mRecordVersion = 0;
  mState.mNextStoreAt = aNow;
  const bool isUnknown = aWritten.mOutcome == DutyWriteOutcome::Unknown;
  const uint64_t era = Era();
  if (isUnknown || !AcceptEra(out, aWritten.mEra, aNow)) {
    mState.mNextStoreAt = aNow + mOptions.mRetryInterval;
  } else {
    mState.mClock = aWritten.mClock ? aWritten.mClock : mState.mClock;
    // In a new era the record has to be written anew.
    if (aWritten.mOutcome == DutyWriteOutcome::Done && Era() == era) {
      OnWriteDone(out, aWritten.mVersion, aNow);
    }
  }
  mState.mWrittenReport.reset();
  mState.mWrittenRemovals.clear();
  mState.mWrittenSkips.clear();
  mState.mWritesHolderRow = false;
  Advance(out, aNow);
  return out;
}

DutyActions
SingletonDuty::OnCallEnded(DutyCallOutcome aOutcome,
                           const std::string& aDetail,
                           Millis aNow)
{
  DutyActions out;
  if (!mState.mCalled) {
    return out;
  }
  const DutyReport report = *mState.mCalled;
  mState.mCalled.reset();
  if (aOutcome == DutyCallOutcome::Failed) {
    mState.mCallBackoff = std::clamp(mState.mCallBackoff * 2,
                                     mOptions.mRetryInterval,
                                     mOptions.mMaxCallBackoff);
    mState.mNextCallAt = aNow + mState.mCallBackoff;
    out.emplace_back(DutyEvent::Of(DutyEventKind::CallFailed, report, aDetail));
  } else {
    mState.mCallBackoff = Millis(0);
    Finish(report);
    const bool accepted = aOutcome == DutyCallOutcome::Accepted;
    out.emplace_back(DutyEvent::Of(accepted ? DutyEventKind::Accepted
                                            : DutyEventKind::Rejected,
                                   report,
                                   aDetail));
  }
  Advance(out, aNow);
  return out;
}

void
SingletonDuty::OnHolderHeard(uint64_t aFencingToken, Millis aNow)
{
  const bool isOwn = mState.mHolding || mState.mRecordVersion != 0;
  if (isOwn || !mState.mClock || aFencingToken < mState.mHighestFencingToken) {
    return;
  }
  const Millis leaseEnd = aNow + mOptions.mLeaseDuration;
  const Millis nextReading = mState.mClock->mReceivedAt + kMaxReadingAge;
  mState.mNextStoreAt =
    std::max(mState.mNextStoreAt, std::min(leaseEnd, nextReading));
}

void
SingletonDuty::OnFixedHeard(const std::string& aSubject, uint64_t aPeriod)
{
  uint64_t& highest = mState.mHighestFixed[aSubject];
  highest = std::max(highest, aPeriod);
}

bool
SingletonDuty::MayPropose(const std::string& aSubject,
                          uint64_t aPeriod,
                          Millis aNow) const
{
  return mState.mWanted && IsHeld(aNow) && !mState.mProposed &&
         aPeriod > LastFixed(aSubject);
}

DutyActions
SingletonDuty::Propose(DutyReport aReport, Millis aNow)
{
  DutyActions out;
  if (MayPropose(aReport.mSubject, aReport.mPeriod, aNow)) {
    mState.mProposed = std::move(aReport);
    mState.mNextStoreAt = aNow;
    Advance(out, aNow);
  }
  return out;
}

bool
SingletonDuty::IsHeld(Millis aNow, Millis aDuration) const
{
  return mState.mHolding && aNow + aDuration < mState.mHeldUntil;
}

bool
SingletonDuty::MayCall(const CallReceiver& aCall, Millis aNow) const
{
  return mState.mCalled && mState.mCalled->IsSameAs(aCall.mReport) &&
         aCall.mFencingToken == mState.mRecord.mFencingToken &&
         IsHeld(aNow, aCall.mTimeout);
}

void
SingletonDuty::Advance(DutyActions& aOut, Millis aNow)
{
  if (mState.mHolding && aNow >= mState.mHeldUntil) {
    StopHolding(aOut, DutyEventKind::Lost, "the lease has expired");
  }
  DropExpired(aOut, aNow);
  AdvanceStore(aOut, aNow);
  AdvanceCalls(aOut, aNow);
}

void
SingletonDuty::AdvanceStore(DutyActions& aOut, Millis aNow)
{
  const bool active =
    mState.mWanted || mState.mHolding || mState.mRecordVersion != 0;
  if (mState.mStoreBusy || !active || aNow < mState.mNextStoreAt) {
    return;
  }
  const bool tooOld =
    !mState.mClock || aNow - mState.mClock->mReceivedAt > kMaxReadingAge;
  if (mState.mRecordVersion == 0 || tooOld) {
    mState.mStoreBusy = true;
    aOut.emplace_back(ReadDutyRows{});
  } else if (mState.mWanted) {
    Renew(aOut, aNow);
  } else if (!mState.mCalled) {
    Release(aOut, aNow);
  }
}

void
SingletonDuty::AdvanceCalls(DutyActions& aOut, Millis aNow)
{
  const bool due = !mState.mCalled && !mState.mUnaccepted.empty() &&
                   aNow >= mState.mNextCallAt;
  if (!due || !mState.mWanted || aNow < mState.mMayCallFrom ||
      !IsHeld(aNow, mOptions.mCallTimeout)) {
    return;
  }
  mState.mCalled = mState.mUnaccepted.front();
  aOut.emplace_back(DutyEvent::Of(DutyEventKind::ReportSent, *mState.mCalled));
  aOut.emplace_back(CallReceiver{ .mReport = *mState.mCalled,
                                  .mFencingToken = mState.mRecord.mFencingToken,
                                  .mTimeout = mOptions.mCallTimeout });
}

void
SingletonDuty::Hold(DutyActions& aOut, Millis aNow)
{
  mState.mHeldUntil =
    mState.mClock->BeforeUntil(mState.mRecord.mExpiresAt - mOptions.mMargin);
  if (aNow >= mState.mHeldUntil) {
    mState.mNextStoreAt = aNow; // too late to be of use
    return;
  }
  if (!mState.mHolding) {
    mState.mHolding = true;
    mState.mMayCallFrom = FirstCallAt();
    aOut.emplace_back(DutyEvent{ .mKind = DutyEventKind::Gained });
  }
}

void
SingletonDuty::StopHolding(DutyActions& aOut,
                           DutyEventKind aKind,
                           const char* aWhy)
{
  if (mState.mHolding) {
    mState.mHolding = false;
    aOut.emplace_back(DutyEvent{ .mKind = aKind, .mDetail = aWhy });
  }
}

} // namespace trefoilarch
