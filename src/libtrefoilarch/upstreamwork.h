#pragma once

#include "millis.h"
#include "pendingprefill.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace trefoilarch {

/** The work of one attempt, as estimated when it is sent. */
struct AttemptWork
{
  /** Prompt tokens that the upstream must prefill. */
  uint32_t mPrefill = 0;
  uint32_t mOutput = 0;
  /** 0 is prefilled first. */
  uint8_t mUrgency = 0;

  bool operator==(const AttemptWork&) const = default;
};

/** The load that an upstream reports with its responses. */
struct ReportedLoad
{
  uint32_t mRunning = 0;
  uint32_t mWaiting = 0;
  uint32_t mSlots = 0;

  bool operator==(const ReportedLoad&) const = default;
};

/**
 * The estimated work at one upstream: exact for this entry's own attempts, by
 * the upstream's last report to any entry for those of others.
 */
class UpstreamWork
{
public:
  void OnSent(const AttemptWork& aWork, Millis aNow);
  /** The first byte of a response was received: its prompt is prefilled. */
  void OnStarted(const AttemptWork& aWork);
  void OnEnded(const AttemptWork& aWork, bool aStarted, Millis aNow);
  void OnBytesReceived(Millis aNow) { mReceivedAt = aNow; }
  /** A report that was made at aAt; ignored if older than the last one. */
  void OnReport(const ReportedLoad& aLoad, Millis aAt);
  void OnSentByPeer(Millis aNow) { RecordChange(+1, aNow); }

  /** This entry's attempts there. */
  uint32_t Open() const { return mOpen; }
  /** Prompt tokens of this entry not yet prefilled there. */
  const PendingPrefill& Pending() const { return mPending; }
  /** Attempts of all entries that are running or waiting there. */
  double Busy(Millis aNow) const;
  /** Age of the report on which Busy() is based, regardless of changes
   * since. */
  Millis ReportAge(Millis aNow) const;
  /** Time since anything was received while a response is due. */
  Millis Silence(Millis aNow) const;

private:
  /** An attempt that was added (1) or removed (-1). */
  struct LoadChange
  {
    Millis mAt;
    int mDelta = 0;
  };

  void RecordChange(int aDelta, Millis aNow);

  uint32_t mOpen = 0;
  PendingPrefill mPending;
  std::optional<ReportedLoad> mReport;
  Millis mReportedAt;
  /** Changes since the report, oldest first. */
  std::deque<LoadChange> mSinceReport;
  Millis mReceivedAt;
  /** When the first of the currently open attempts was sent. */
  Millis mBusySince;
};

} // namespace trefoilarch
