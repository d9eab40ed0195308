#include "lease.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>

namespace trefoilarch {

namespace {

constexpr int64_t kWatchesInSpan = 5;
constexpr int64_t kJitterParts = 4;

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
  mNext = aNow;
  Drive(out, aNow);
  return out;
}

LeaseActions
Lease::OnTick(Millis aNow)
{
  LeaseActions out;
  Drive(out, aNow);
  return out;
}

LeaseActions
Lease::OnRead(const LeaseFound& aFound, Millis aNow)
{
  LeaseActions out;
  mBusy = false;
  mNext = aNow + Jittered(mOptions.mRetryInterval);
  if (aFound.mReached) {
    Judge(out, aFound, aNow);
  }
  Drive(out, aNow);
  return out;
}

LeaseActions
Lease::OnWritten(LeaseWriteOutcome aEnd, int64_t aRevision, Millis aNow)
{
  LeaseActions out;
  mBusy = false;
  mNext = aNow;
  if (aEnd == LeaseWriteOutcome::Unknown) {
    mNext = aNow + Jittered(mOptions.mRetryInterval);
  }
  mRevision = 0; // unless Done, the row must be read before the next write
  if (aEnd == LeaseWriteOutcome::Done) {
    mRevision = aRevision;
    Take(out, aNow);
  }
  Drive(out, aNow);
  return out;
}

bool
Lease::IsHeld(Millis aNow, Millis aSpan) const
{
  return mHolding && mWanted && aNow + aSpan < mGoodUntil;
}

Millis
Lease::NextWake() const
{
  const Millis next =
    mBusy || (!mWanted && !mHolding) ? Millis::Never() : mNext;
  return mHolding ? std::min(next, mGoodUntil) : next;
}

void
Lease::Drive(LeaseActions& aOut, Millis aNow)
{
  if (mHolding && aNow >= mGoodUntil) {
    End(aOut);
  }
  if (mBusy || aNow < mNext || (!mWanted && !mHolding)) {
    return;
  }
  if (mRevision != 0) {
    if (mWanted) {
      Renew(aOut, aNow);
    } else {
      GiveBack(aOut, aNow);
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
  mSent = std::move(aRow);
  mSent.mRenewal = ++mWrites;
  mSentAt = aNow;
  aOut.emplace_back(WriteLease{ aRevision, LeaseRowToText(mSent) });
}

void
Lease::Renew(LeaseActions& aOut, Millis aNow)
{
  Write(aOut, mSent, mRevision, aNow);
}

/** From here on the lease is not held, whatever becomes of the write. */
void
Lease::GiveBack(LeaseActions& aOut, Millis aNow)
{
  LeaseRow row = mSent;
  row.mHolder.clear();
  End(aOut);
  Write(aOut, std::move(row), mRevision, aNow);
}

void
Lease::Judge(LeaseActions& aOut, const LeaseFound& aFound, Millis aNow)
{
  const LeaseRow row = LeaseRowFromText(aFound.mText).value_or(LeaseRow());
  const bool ours = aFound.mRevision != 0 && row.mHolder == mOptions.mHolder &&
                    row.mFencingNumber == mSent.mFencingNumber;
  if (ours) {
    mRevision = aFound.mRevision;
    mNext = aNow;
    if (row == mSent) {
      Take(aOut, aNow); // a lost answer, settled
    }
    return;
  }
  if (mHolding) {
    End(aOut);
  }
  if (!mWanted) {
    return;
  }
  const bool free = aFound.mRevision == 0 || row.mHolder.empty();
  if (!free && aFound.mRevision != mWatched) {
    mWatched = aFound.mRevision;
    mWatchedSince = aNow;
  }
  const Millis wait = row.mDuration + mOptions.mMargin;
  if (!free && aNow - mWatchedSince < wait) {
    mNext = aNow + Jittered(wait / kWatchesInSpan);
    return;
  }
  const LeaseRow next{
    mOptions.mHolder, row.mFencingNumber + 1, 0, mOptions.mDuration
  };
  mTakingOver = !free;
  Write(aOut, next, aFound.mRevision, aNow);
}

/** The row is as this process has sent it. */
void
Lease::Take(LeaseActions& aOut, Millis aNow)
{
  if (mSent.mHolder.empty()) {
    mRevision = 0; // it was given back
    return;
  }
  mGoodUntil = mSentAt + mOptions.mDuration - mOptions.mMargin;
  if (aNow >= mGoodUntil) {
    return; // too late to be of use; it is renewed at once
  }
  mNext = mWanted ? mSentAt + Jittered(mOptions.mRenewAfter) : aNow;
  if (!mHolding || mFencingNumber != mSent.mFencingNumber) {
    mHolding = true;
    mFencingNumber = mSent.mFencingNumber;
    aOut.emplace_back(LeaseGained{ mFencingNumber, mTakingOver });
  }
}

void
Lease::End(LeaseActions& aOut)
{
  mHolding = false;
  aOut.emplace_back(LeaseEnded{});
}

Millis
Lease::Jittered(Millis aSpan)
{
  const int64_t quarter = std::max<int64_t>(1, aSpan.Count() / kJitterParts);
  std::uniform_int_distribution<int64_t> draw(-quarter, quarter);
  return aSpan + Millis(draw(mRandom));
}

} // namespace trefoilarch
