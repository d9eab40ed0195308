#include "dutymodelworld.h"

#include <algorithm>
#include <xxhash.h>

namespace dutymodel {

using namespace trefoilarch;

namespace {

/** A hash over the parts of a state. */
class Digest
{
public:
  void Add(int64_t aNumber)
  {
    mHash = XXH3_64bits_withSeed(&aNumber, sizeof(aNumber), mHash);
  }
  void Add(Millis aTime) { Add(aTime.Count()); }
  void Add(const std::string& aText)
  {
    mHash = XXH3_64bits_withSeed(aText.data(), aText.size(), mHash);
  }
  void Add(const DutyReport& aReport)
  {
    Add(static_cast<int64_t>(aReport.mPeriod));
    Add(aReport.mBody);
    Add(aReport.mExpiresAt);
  }
  void Add(const DutyRecord& aRecord)
  {
    Add(aRecord.mHolder);
    Add(static_cast<int64_t>(aRecord.mFencingToken));
    Add(aRecord.mExpiresAt);
    Add(static_cast<int64_t>(aRecord.mEra));
    Add(aRecord.mEraSince);
    Add(aRecord.mFixed);
    for (const PastHolder& past : aRecord.mPastHolders) {
      Add(past.mHost);
      Add(past.mUntil);
    }
  }
  void Add(const std::map<std::string, uint64_t>& aPeriods)
  {
    Add(static_cast<int64_t>(aPeriods.size()));
    for (const auto& [subject, period] : aPeriods) {
      Add(static_cast<int64_t>(period));
    }
  }
  void Add(const WriteDutyRows& aWrite)
  {
    Add(static_cast<int64_t>(aWrite.mRecordVersion));
    for (const DutyRow& row : aWrite.mRows) {
      Add(row.mText);
    }
    for (const std::string& key : aWrite.mRemoved) {
      Add(key);
    }
    for (const ExpectedRow& each : aWrite.mExpected) {
      Add(each.mKey);
      Add(static_cast<int64_t>(each.mVersion));
    }
  }
  void Add(const Store& aStore)
  {
    Add(static_cast<int64_t>(aStore.mEra));
    for (const auto& [key, row] : aStore.mRows) {
      Add(key);
      Add(row.mText);
      Add(static_cast<int64_t>(row.mVersion));
    }
  }
  template<typename T>
  void Add(const std::optional<T>& aValue)
  {
    Add(static_cast<int64_t>(aValue.has_value()));
    if (aValue) {
      Add(*aValue);
    }
  }

  uint64_t Value() const { return mHash; }

private:
  uint64_t mHash = 0;
};

void
AddDuty(Digest& aDigest, const DutyState& aState, Millis aNow)
{
  // Times that have passed are all the same.
  const auto addLater = [&](Millis aTime) {
    aDigest.Add(std::max(aTime, aNow));
  };
  aDigest.Add(aState.mWanted);
  aDigest.Add(aState.mStoreBusy);
  addLater(aState.mNextStoreAt);
  aDigest.Add(aState.mClock ? aState.mClock->mSentAt : Millis(-1));
  aDigest.Add(aState.mRecord);
  aDigest.Add(static_cast<int64_t>(aState.mRecordVersion));
  aDigest.Add(static_cast<int64_t>(aState.mReadVersion));
  aDigest.Add(static_cast<int64_t>(aState.mEra.value_or(0)));
  aDigest.Add(aState.mEraSeenAt);
  for (const DutyRow& each : aState.mHolderRows) {
    aDigest.Add(each.mKey);
    aDigest.Add(static_cast<int64_t>(each.mVersion));
  }
  aDigest.Add(static_cast<int64_t>(aState.mHolderRowVersion));
  aDigest.Add(aState.mWritesHolderRow);
  aDigest.Add(aState.mStoreBusy ? aState.mWrittenRecord : DutyRecord{});
  aDigest.Add(aState.mWrittenReport);
  aDigest.Add(aState.mNoRecordSince);
  aDigest.Add(aState.mHolding);
  addLater(aState.mHeldUntil);
  addLater(aState.mMayCallFrom);
  aDigest.Add(static_cast<int64_t>(aState.mHighestFencingToken));
  aDigest.Add(aState.mHighestFixed);
  aDigest.Add(aState.mAccepted);
  aDigest.Add(aState.mProposed);
  for (const DutyReport& each : aState.mUnaccepted) {
    aDigest.Add(each);
  }
  for (const std::string& each : aState.mRemovals) {
    aDigest.Add(each);
  }
  aDigest.Add(aState.mCalled);
  addLater(aState.mNextCallAt);
  aDigest.Add(aState.mCallBackoff);
}

void
AddHost(Digest& aDigest, const Host& aHost, Millis aNow)
{
  aDigest.Add(aHost.mProcess);
  aDigest.Add(aHost.mFrozen);
  if (aHost.mDuty) {
    AddDuty(aDigest, aHost.mDuty->State(), aNow);
  }
  aDigest.Add(aHost.mStoreCall.has_value());
  if (aHost.mStoreCall) {
    const auto* write = std::get_if<WriteDutyRows>(&*aHost.mStoreCall);
    aDigest.Add(write != nullptr ? std::optional(*write) : std::nullopt);
  }
  aDigest.Add(aHost.mCall.has_value());
  if (aHost.mCall) {
    aDigest.Add(static_cast<int64_t>(aHost.mCall->mCall.mFencingToken));
    aDigest.Add(aHost.mCall->mSentAt);
    aDigest.Add(aHost.mCall->mArrived);
  }
}

} // namespace

std::string
NameOf(size_t aHost)
{
  return std::string(1, static_cast<char>('a' + aHost));
}

uint64_t
HashOf(const World& aWorld)
{
  Digest digest;
  digest.Add(aWorld.mNow);
  for (const int count : { aWorld.mCrashes,
                           aWorld.mFreezes,
                           aWorld.mLostReplies,
                           aWorld.mLateCount,
                           aWorld.mLostCalls,
                           aWorld.mStops,
                           aWorld.mRestores }) {
    digest.Add(count);
  }
  digest.Add(aWorld.mStore);
  digest.Add(aWorld.mCopy);
  for (const Host& host : aWorld.mHosts) {
    AddHost(digest, host, aWorld.mNow);
  }
  for (const LateWrite& write : aWorld.mLateWrites) {
    digest.Add(write);
  }
  aWorld.mReceiver.AddTo(digest, aWorld.mNow);
  return digest.Value();
}

} // namespace dutymodel
