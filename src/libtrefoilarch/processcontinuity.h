#pragma once

#include "millis.h"

#include <optional>

namespace trefoilarch {

/**
 * Whether the process that wrote an answer still runs.
 *
 * The end of a connection does not show whether its process closed it or has
 * ended. A process that accepts a connection afterwards runs, but may be
 * another one at the same address. Starting again takes time, so two
 * observations of a process at one address with less than kMinRestartTime
 * between them are of the same one. A chain of these, from the request to an
 * acceptance after the answer's end, proves that its writer survived it. That
 * does not depend on the list of upstreams, and gaps (a link that was cut, a
 * frozen entry) leave it unproven.
 */
class ProcessContinuity
{
public:
  /** Shorter than any restart of an upstream at its address. */
  static constexpr Millis kMinRestartTime{ 500 };

  /** The process was running at that time. */
  explicit ProcessContinuity(Millis aRunningAt)
    : mRunningAt(aRunningAt)
  {
  }

  /** A connection to the address that was attempted at aStarted was accepted by
   * aAccepted. */
  void OnAccepted(Millis aStarted, Millis aAccepted);
  /** The address refused a connection. */
  void OnRefused() { mEnded = true; }

  /** Whether the process has accepted a connection that was attempted at that
   * time or later. */
  bool IsProven(Millis aSince) const
  {
    return !mEnded && mAcceptedAt && *mAcceptedAt >= aSince;
  }
  /** Whether it has ended, or can't be told from a successor any more. */
  bool IsLost(Millis aNow) const
  {
    return mEnded || aNow - mRunningAt >= kMinRestartTime;
  }
  bool HasEnded() const { return mEnded; }

private:
  /** The last time at which it is known to have run. */
  Millis mRunningAt;
  /** When the last connection that it accepted was attempted. */
  std::optional<Millis> mAcceptedAt;
  bool mEnded = false;
};

} // namespace trefoilarch
