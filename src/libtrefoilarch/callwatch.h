#pragma once

#include "ids.h"
#include "millis.h"

#include <unordered_map>
#include <vector>

namespace trefoilarch {

/**
 * Controls when a call to an upstream counts as stalled; times in milliseconds.
 */
struct CallWatchOptions
{
  /** No call is given up sooner than this. */
  Millis mMinTimeout{ 2000 };
  /** Nor sooner than this while no call to the upstream receives anything. */
  Millis mStalledTimeout{ 3000 };
  /** Time allowed for the first token until one has been seen. */
  Millis mInitialFirstTokenTimeout{ 10000 };
  /** A call is stalled after this many times the longest recent wait. */
  int64_t mFactor = 6;
};

/**
 * Detects calls whose connection has gone silent while others make progress.
 * The timeouts follow the upstream's own recent waits, kept separately for the
 * first token and between tokens. The longest recent wait decays by an eighth
 * of the difference with each shorter one, so a slow upstream gets enough time
 * and a recovered one does not get too much. If no call receives anything, the
 * upstream may be busy with a long prefill and gets more time.
 */
class CallWatch
{
public:
  explicit CallWatch(CallWatchOptions aOptions);

  void Started(const AttemptKey& aKey, Millis aNow);
  /** Part of the response has arrived. */
  void Received(const AttemptKey& aKey, Millis aNow);
  void Ended(const AttemptKey& aKey);

  /** Removes and returns the stalled calls; each is returned once. */
  std::vector<AttemptKey> TakeSilent(Millis aNow);

  /** Timeout for the first token. */
  Millis FirstTokenTimeout() const;
  /** Timeout between tokens. */
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
  Millis mAnyReceivedAt; /**< by any call */
};

} // namespace trefoilarch
