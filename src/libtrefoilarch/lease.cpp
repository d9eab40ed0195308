#include "lease.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>

namespace trefoilarch {

namespace {

constexpr int64_t kReadsPerWait = 5;
constexpr int64_t kJitterDivisor = 4;

} // namespace

std::string
LeaseRowToText(const LeaseRow& aRow)
{
  return nlohmann::json{
    { "holder", aRow.mHolder },
    { "fence", aRow.mFencingNumber },
    { "renewal", aRow.mRenewal },
    { "span_ms", aRow.mDuration.Count() }
  }.dump();
}

std::optional<LeaseRow>
LeaseRowFromText(const std::string& aText)
{
  try {
    const auto json = nlohmann::json::parse(aText);
    return LeaseRow{ json.at("holder").get<std::string>(),
                     json.at("fence").get<uint64_t>(),
                     json.at("renewal").get<uint64_t>(),
                     Millis(json.at("span_ms").get<int64_t>()) };
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

Lease::Lease(LeaseOptions aOptions)
  : mOptions(std::move(aOptions))
  , mRandom(static_cast<std::minstd_rand::result_type>(
      mOptions.mSeed % std::numeric_limits<uint32_t>::max() + 1))
{
}

LeaseActions
Lease::SetWanted(bool aWanted, Millis aNow)
{
  LeaseActions out;
  mWanted = aWanted;
  mNextActionAt = aNow;
  Advance(out, aNow);
  return out;
}

LeaseActions
Lease::OnTick(Millis aNow)
{
  LeaseActions out;
  Advance(out, aNow);
  return out;
}

LeaseActions
Lease::OnRead(const LeaseFound& aFound, Millis aNow)
{
  LeaseActions out;
  mBusy = false;
  mNextActionAt = aNow + Jittered(mOptions.mRetryInterval);
  if (aFound.mReached) {
    HandleRow(out, aFound, aNow);
  }
  Advance(out, aNow);
  return out;
}

LeaseActions
Lease::OnWritten(LeaseWriteOutcome aResult, int64_t aRevision, Millis aNow)
{
  LeaseActions out;
  mBusy = false;
  mNextActionAt = aNow;
  if (aResult == LeaseWriteOutcome::Unknown) {
    mNextActionAt = aNow + Jittered(mOptions.mRetryInterval);
  }
  mRevision = 0; // unless Done, the row must be read before the next write
  if (aResult == LeaseWriteOutcome::Done) {
    mRevision = aRevision;
    ConfirmWrite(out, aNow);
  }
  Advance(out, aNow);
  return out;
}

bool
Lease::IsHeld(Millis aNow, Millis aDuration) const
{
  return mHolding && mWanted && aNow + aDuration < mValidUntil;
}

Millis
Lease::NextWake() const
{
  const Millis next =
    mBusy || (!mWanted && !mHolding) ? Millis::Never() : mNextActionAt;
  return mHolding ? std::min(next, mValidUntil) : next;
}

void
Lease::Advance(LeaseActions& aOut, Millis aNow)
{
  if (mHolding && aNow >= mValidUntil) {
    StopHolding(aOut);
  }
  if (mBusy || aNow < mNextActionAt || (!mWanted && !mHolding)) {
    return;
  }
  if (mRevision != 0) {
    if (mWanted) {
      Renew(aOut, aNow);
    } else {
      Release(aOut, aNow);
    }
    return;
  }
  mBusy = true;
  aOut.emplace_back(ReadLease{});
}

void
Lease::Write(LeaseActions& aOut, LeaseRow aRow, int64_t aRevision, Millis aNow)
{
  mBusy = true;
  mLastWritten = std::move(aRow);
  mLastWritten.mRenewal = ++mWriteCount;
  mLastWrittenAt = aNow;
  aOut.emplace_back(WriteLease{ aRevision, LeaseRowToText(mLastWritten) });
}

void
Lease::Renew(LeaseActions& aOut, Millis aNow)
{
  Write(aOut, mLastWritten, mRevision, aNow);
}

/** From here on the lease is not held, whatever the outcome of the write. */
void
Lease::Release(LeaseActions& aOut, Millis aNow)
{
  LeaseRow row = mLastWritten;
  row.mHolder.clear();
  StopHolding(aOut);
  Write(aOut, std::move(row), mRevision, aNow);
}

void
Lease::HandleRow(LeaseActions& aOut, const LeaseFound& aFound, Millis aNow)
{
  const LeaseRow row = LeaseRowFromText(aFound.mText).value_or(LeaseRow());
  const bool isOurs = aFound.mRevision != 0 &&
                      row.mHolder == mOptions.mHolder &&
                      row.mFencingNumber == mLastWritten.mFencingNumber;
  if (isOurs) {
    mRevision = aFound.mRevision;
    mNextActionAt = aNow;
    if (row == mLastWritten) {
      ConfirmWrite(aOut, aNow); // the write took effect, but its reply was lost
    }
    return;
  }
  if (mHolding) {
    StopHolding(aOut);
  }
  if (!mWanted) {
    return;
  }
  const bool isFree = aFound.mRevision == 0 || row.mHolder.empty();
  if (!isFree && aFound.mRevision != mWatchedRevision) {
    mWatchedRevision = aFound.mRevision;
    mWatchedSince = aNow;
  }
  const Millis wait = row.mDuration + mOptions.mMargin;
  if (!isFree && aNow - mWatchedSince < wait) {
    mNextActionAt = aNow + Jittered(wait / kReadsPerWait);
    return;
  }
  const LeaseRow next{
    mOptions.mHolder, row.mFencingNumber + 1, 0, mOptions.mDuration
  };
  mTakingOver = !isFree;
  Write(aOut, next, aFound.mRevision, aNow);
}

/** The row in the table is as last written by this process. */
void
Lease::ConfirmWrite(LeaseActions& aOut, Millis aNow)
{
  if (mLastWritten.mHolder.empty()) {
    mRevision = 0; // it was released
    return;
  }
  mValidUntil = mLastWrittenAt + mOptions.mDuration - mOptions.mMargin;
  if (aNow >= mValidUntil) {
    return; // too late to be of use; it is renewed at once
  }
  mNextActionAt =
    mWanted ? mLastWrittenAt + Jittered(mOptions.mRenewAfter) : aNow;
  if (!mHolding || mFencingNumber != mLastWritten.mFencingNumber) {
    mHolding = true;
    mFencingNumber = mLastWritten.mFencingNumber;
    aOut.emplace_back(LeaseGained{ mFencingNumber, mTakingOver });
  }
}

void
Lease::StopHolding(LeaseActions& aOut)
{
  mHolding = false;
  aOut.emplace_back(LeaseEnded{});
}

Millis
Lease::Jittered(Millis aDuration)
{
  const int64_t maxJitter =
    std::max<int64_t>(1, aDuration.Count() / kJitterDivisor);
  std::uniform_int_distribution<int64_t> jitter(-maxJitter, maxJitter);
  return aDuration + Millis(jitter(mRandom));
}

} // namespace trefoilarch
