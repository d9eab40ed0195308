#include "callwatch.h"

#include <algorithm>

namespace trefoilarch {

namespace {

/** A shorter wait takes this part off the longest one. */
constexpr int64_t kFadeParts = 8;

} // namespace

CallWatch::CallWatch(CallWatchOptions aOptions)
  : mOptions(aOptions)
{
}

void
CallWatch::Started(const AttemptKey& aKey, Millis aNow)
{
  mCalls[aKey] = Call{ .mLast = aNow };
}

void
CallWatch::Received(const AttemptKey& aKey, Millis aNow)
{
  const auto found = mCalls.find(aKey);
  if (found == mCalls.end()) {
    return;
  }
  mLastHeard = aNow;
  Call& call = found->second;
  Learn(call.mBegun ? mLongestNext : mLongestFirst, aNow - call.mLast);
  call = Call{ .mLast = aNow, .mBegun = true };
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
    if (Silent(call, aNow)) {
      silent.push_back(key);
    }
  }
  for (const AttemptKey& key : silent) {
    mCalls.erase(key);
  }
  return silent;
}

bool
CallWatch::Silent(const Call& aCall, Millis aNow) const
{
  const Millis silence = aNow - aCall.mLast;
  if (silence < (aCall.mBegun ? NextTokenTimeout() : FirstTokenTimeout())) {
    return false;
  }
  const bool othersHeard = mLastHeard > aCall.mLast + silence / 2;
  return othersHeard || silence >= mOptions.mStalledTimeout;
}

Millis
CallWatch::FirstTokenTimeout() const
{
  if (mLongestFirst == Millis(0)) {
    return mOptions.mInitialFirstTokenTimeout;
  }
  return SpanFor(mLongestFirst);
}

Millis
CallWatch::NextTokenTimeout() const
{
  return SpanFor(mLongestNext);
}

void
CallWatch::Learn(Millis& aLongest, Millis aWait)
{
  const Millis faded = aLongest - (aLongest - aWait) / kFadeParts;
  aLongest = std::max({ aWait, faded, Millis(1) });
}

Millis
CallWatch::SpanFor(Millis aLongest) const
{
  return std::max(mOptions.mMinTimeout, aLongest * mOptions.mFactor);
}

} // namespace trefoilarch
