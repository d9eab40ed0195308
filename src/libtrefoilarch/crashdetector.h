#pragma once

#include "millis.h"
#include "requestfingerprint.h"
#include "upstreamincarnation.h"

#include <map>
#include <vector>

namespace trefoilarch {

/**
 * Tells an upstream's crash from a connection that broke. A connection breaks
 * for many reasons; a process that has ended refuses new ones, or is replaced
 * or taken off the list within seconds. The requests whose connections broke
 * with it are suspects. An upstream that was leaving is to end: whoever asks
 * leaves it out.
 */
class CrashDetector
{
public:
  using Suspects = std::vector<RequestFingerprint>;

  /**
   * The request's connection to the upstream broke before its answer was
   * whole. True where that start of the upstream is known to have crashed: the
   * request is one more suspect.
   */
  bool OnConnectionLost(const UpstreamIncarnation& aStart,
                        const RequestFingerprint& aRequest,
                        Millis aNow);

  /**
   * That start of the upstream is over. Returns the suspects, none where
   * nothing broke there lately.
   */
  Suspects OnEnded(const UpstreamIncarnation& aStart, Millis aNow);

  /** It was told to leave: its end says nothing. */
  void OnLeaving(const UpstreamIncarnation& aStart);

  /** Somebody listens at its address: it may be another process by now. */
  void OnListening(const UpstreamIncarnation& aStart);

  /** Whether a connection broke there, and it is being found out why. */
  bool IsCrashSuspected(const UpstreamIncarnation& aStart) const;

  /** Forgets what is too old to explain an end. */
  void Expire(Millis aNow);

private:
  struct Loss
  {
    RequestFingerprint mRequest;
    Millis mAt;
  };
  struct Watched
  {
    std::vector<Loss> mLosses;
    bool mEnded = false;
    bool mListens = false;
    Millis mChangedAt;
  };

  std::map<UpstreamIncarnation, Watched> mWatched;
};

} // namespace trefoilarch
