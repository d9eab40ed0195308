#pragma once

#include "ids.h"
#include "millis.h"

#include <unordered_map>
#include <vector>

namespace trefoilarch {

/** When a call to an upstream counts as silent for good; milliseconds. */
struct CallWatchOptions
{
  /** No call is given up sooner. */
  Millis mMinTimeout{ 2000 };
  /** Nor this soon where the upstream says nothing to any call. */
  Millis mStalledTimeout{ 3000 };
  /** Until a first token has been seen, calls may take this long for it. */
  Millis mInitialFirstTokenTimeout{ 10000 };
  /** Silence is this many times the longest wait of late. */
  int64_t mFactor = 6;
};

/**
 * Finds calls whose connection has gone silent while others go on: the
 * upstream's own recent waits, apart for the first token and between tokens,
 * say how long a silence is still like it. The longest wait of late is kept
 * and fades by an eighth with each shorter one, so that a slow upstream is
 * given time and a recovered one is not. Where no call hears anything, the
 * upstream may be at a long prefill, and is borne with for longer.
 */
class CallWatch
{
public:
  explicit CallWatch(CallWatchOptions aOptions);

  void Started(const AttemptKey& aKey, Millis aNow);
  /** A part of the answer has come. */
  void Received(const AttemptKey& aKey, Millis aNow);
  void Ended(const AttemptKey& aKey);

  /** Calls that are silent for good; each is told of once. */
  std::vector<AttemptKey> TakeSilent(Millis aNow);

  /** Silence before the first token that is still borne. */
  Millis FirstTokenTimeout() const;
  /** Silence between tokens that is still borne. */
  Millis NextTokenTimeout() const;

private:
  struct Call
  {
    Millis mLastReceivedAt;
    bool mHasOutput = false;
  };

  static void UpdateLongest(Millis& aLongest, Millis aWait);
  Millis TimeoutFor(Millis aLongest) const;
  bool IsSilent(const Call& aCall, Millis aNow) const;

  CallWatchOptions mOptions;
  std::unordered_map<AttemptKey, Call> mCalls;
  Millis mLongestFirstWait;
  Millis mLongestNextWait;
  Millis mAnyReceivedAt; /**< from any call */
};

} // namespace trefoilarch
