#include "callwatch.h"

#include <algorithm>

namespace trefoilarch {

namespace {

/**
 * A shorter wait reduces the longest one by this fraction of the difference.
 */
constexpr int64_t kDecayDivisor = 8;

} // namespace

CallWatch::CallWatch(CallWatchOptions aOptions)
  : mOptions(aOptions)
{
}

void
CallWatch::Started(const AttemptKey& aKey, Millis aNow)
{
  mCalls[aKey] = Call{ .mLastReceivedAt = aNow };
}

void
CallWatch::Received(const AttemptKey& aKey, Millis aNow)
{
  const auto found = mCalls.find(aKey);
  if (found == mCalls.end()) {
    return;
  }
  mAnyReceivedAt = aNow;
  Call& call = found->second;
  UpdateLongest(call.mHasOutput ? mLongestNextWait : mLongestFirstWait,
                aNow - call.mLastReceivedAt);
  call = Call{ .mLastReceivedAt = aNow, .mHasOutput = true };
}

void
CallWatch::Ended(const AttemptKey& aKey)
{
  mCalls.erase(aKey);
}

std::vector<AttemptKey>
CallWatch::TakeSilent(Millis aNow)
{
  std::vector<AttemptKey> silent;
  for (const auto& [key, call] : mCalls) {
    if (IsSilent(call, aNow)) {
      silent.push_back(key);
    }
  }
  for (const AttemptKey& key : silent) {
    mCalls.erase(key);
  }
  return silent;
}

bool
CallWatch::IsSilent(const Call& aCall, Millis aNow) const
{
  const Millis silence = aNow - aCall.mLastReceivedAt;
  if (silence < (aCall.mHasOutput ? NextTokenTimeout() : FirstTokenTimeout())) {
    return false;
  }
  const bool othersReceived =
    mAnyReceivedAt > aCall.mLastReceivedAt + silence / 2;
  return othersReceived || silence >= mOptions.mStalledTimeout;
}

Millis
CallWatch::FirstTokenTimeout() const
{
  if (mLongestFirstWait == Millis(0)) {
    return mOptions.mInitialFirstTokenTimeout;
  }
  return TimeoutFor(mLongestFirstWait);
}

Millis
CallWatch::NextTokenTimeout() const
{
  return TimeoutFor(mLongestNextWait);
}

void
CallWatch::UpdateLongest(Millis& aLongest, Millis aWait)
{
  const Millis decayed = aLongest - (aLongest - aWait) / kDecayDivisor;
  aLongest = std::max({ aWait, decayed, Millis(1) });
}

Millis
CallWatch::TimeoutFor(Millis aLongest) const
{
  return std::max(mOptions.mMinTimeout, aLongest * mOptions.mFactor);
}

} // namespace trefoilarch
