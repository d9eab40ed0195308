#pragma once

#include "millis.h"
#include "requestfeatures.h"
#include "upstreamincarnation.h"

#include <map>
#include <vector>

namespace trefoilarch {

/**
 * Distinguishes the crash of an upstream from a broken connection. A connection
 * breaks for many reasons. A process that has ended refuses new connections, or
 * is replaced or unlisted within seconds. The requests whose connections broke
 * when it ended are suspects. The caller must not report the end of an upstream
 * that was leaving.
 */
class CrashDetector
{
public:
  /** Features of the requests, without duplicates. */
  using Suspects = std::vector<RequestFingerprint>;

  /**
   * The connection to the upstream broke before the response was complete.
   * Returns true if that incarnation is already known to have crashed, so that
   * the request is another suspect.
   */
  bool OnConnectionLost(const UpstreamIncarnation& aIncarnation,
                        const RequestFeatures& aRequest,
                        Millis aNow);

  /**
   * The incarnation has ended. Returns the suspects; empty if no connection to
   * it broke recently.
   */
  Suspects OnEnded(const UpstreamIncarnation& aIncarnation, Millis aNow);

  /** Another entry has found that the incarnation has ended. */
  void OnEndReported(const UpstreamIncarnation& aIncarnation, Millis aNow);

  /** The upstream is being drained, so its end is no crash. */
  void OnLeaving(const UpstreamIncarnation& aIncarnation);

  /** A process accepts connections at its address, possibly another one. */
  void OnListening(const UpstreamIncarnation& aIncarnation);

  /** Whether a connection to it broke and the cause is not known yet. */
  bool IsCrashSuspected(const UpstreamIncarnation& aIncarnation) const;

  /** Whether it is known to have ended after a connection to it broke, here or
   * at another entry. */
  bool HasEnded(const UpstreamIncarnation& aIncarnation) const;

  /** Removes connection losses that are too old to explain an end. */
  void Expire(Millis aNow);

private:
  struct LostConnection
  {
    RequestFeatures mRequest;
    Millis mLostAt;
  };
  struct IncarnationState
  {
    std::vector<LostConnection> mLostConnections;
    bool mEnded = false;
    bool mIsListening = false;
    Millis mChangedAt;
  };

  std::map<UpstreamIncarnation, IncarnationState> mStates;
};

} // namespace trefoilarch
