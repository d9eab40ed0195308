#pragma once

#include "availabilitystatement.h"
#include "ids.h"
#include "millis.h"
#include "requestpause.h"
#include "upstreamprocess.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace trefoilarch {

enum class AvailabilityEvent : uint8_t
{
  Leaving,  /**< the process states that it is leaving */
  Paused,   /**< the process asks for a pause */
  Resumed,  /**< the first request after a pause is sent */
  Replaced, /**< another process runs under the id */
  Invalid,  /**< a statement was invalid; reported once per process */
};

/** A change of what upstreams state, for the log. */
struct AvailabilityChange
{
  UpstreamId mUpstream;
  AvailabilityEvent mEvent = AvailabilityEvent::Leaving;
  /** The length of the pause; zero for other events. */
  Millis mPause;

  bool operator==(const AvailabilityChange&) const = default;
};

/**
 * What upstreams state in their responses to this entry about further requests.
 * A process that is leaving stays so until another process runs under its id,
 * whatever the list says: the list may be out of date, and a process may be
 * missing from it for a while. A pause ends with its time or its process. After
 * a pause requests return slowly; see RequestPause.
 */
class UpstreamAvailability
{
public:
  /** A response of this process was received. */
  void OnStatement(const UpstreamId& aUpstream,
                   const UpstreamProcess& aProcess,
                   const AvailabilityStatement& aStatement,
                   Millis aNow);
  /** The list contains this process. */
  void OnListed(const UpstreamId& aUpstream, const UpstreamProcess& aProcess);
  void OnSent(const UpstreamId& aUpstream, Millis aNow);
  /** The response to the request that was sent at aSentAt has started. */
  void OnStarted(const UpstreamId& aUpstream, Millis aSentAt);
  /** The request that was sent at aSentAt has ended without a response. */
  void OnNotStarted(const UpstreamId& aUpstream, Millis aSentAt);

  bool IsLeaving(const UpstreamId& aUpstream) const;
  bool IsPaused(const UpstreamId& aUpstream, Millis aNow) const;
  /** Time until a request may be sent, as far as pauses decide; zero: now. */
  Millis WaitFor(const UpstreamId& aUpstream, Millis aNow) const;
  /** Returns the changes since the last call. */
  std::vector<AvailabilityChange> TakeChanges();

private:
  struct ProcessState
  {
    UpstreamProcess mProcess;
    bool mLeaving = false;
    bool mReportedInvalid = false;
    RequestPause mPause;
    /** Order of the last statement, to discard the oldest. */
    uint64_t mStatedAt = 0;
  };

  ProcessState& StateFor(const UpstreamId& aUpstream,
                         const UpstreamProcess& aProcess);
  void Pause(const UpstreamId& aUpstream,
             ProcessState& aState,
             Millis aDuration,
             Millis aNow);
  void DiscardOldest();

  std::unordered_map<UpstreamId, ProcessState> mStates;
  std::vector<AvailabilityChange> mChanges;
  uint64_t mStatements = 0;
};

} // namespace trefoilarch
