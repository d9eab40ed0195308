#pragma once

#include "millis.h"
#include "pendingprefill.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace trefoilarch {

/** What one attempt asks of an upstream, as estimated when it is sent. */
struct AttemptWork
{
  /** Prompt tokens that the upstream has to read. */
  uint32_t mPrefill = 0;
  uint32_t mOutput = 0;
  /** 0 is read first. */
  uint8_t mUrgency = 0;

  bool operator==(const AttemptWork&) const = default;
};

/** An upstream's own word on its load, carried by its answers. */
struct ReportedLoad
{
  uint32_t mRunning = 0;
  uint32_t mWaiting = 0;
  uint32_t mSlots = 0;

  bool operator==(const ReportedLoad&) const = default;
};

/**
 * What one entry believes of the work at one upstream: its own attempts
 * there, exactly, and the others' by the upstream's last report, whichever
 * entry got it.
 */
class UpstreamWork
{
public:
  void OnSent(const AttemptWork& aWork, Millis aNow);
  /** The first byte of an answer: its prompt has been read. */
  void OnStarted(const AttemptWork& aWork);
  void OnEnded(const AttemptWork& aWork, bool aStarted, Millis aNow);
  /** Any byte came from the upstream. */
  void OnBytesReceived(Millis aNow) { mHeard = aNow; }
  /** Made at that instant; an older one than the last says nothing. */
  void OnReport(const ReportedLoad& aLoad, Millis aAt);
  /** Another entry sent a request there. */
  void OnSentByPeer(Millis aNow) { Change(+1, aNow); }

  /** This entry's attempts there. */
  uint32_t Open() const { return mOpen; }
  /** Prompt tokens of this entry that wait to be read there. */
  const PendingPrefill& Pending() const { return mPending; }
  /** Attempts of all entries that run or wait there. */
  double Busy(Millis aNow) const;
  /** How old Busy() is but for what was told since. */
  Millis ReportAge(Millis aNow) const;
  /** How long nothing has come though an answer is due; zero otherwise. */
  Millis Silence(Millis aNow) const;

private:
  /** An attempt that came (1) or went (-1). */
  struct LoadChange
  {
    Millis mAt;
    int mBy = 0;
  };

  void Change(int aBy, Millis aNow);

  uint32_t mOpen = 0;
  PendingPrefill mPending;
  std::optional<ReportedLoad> mReport;
  Millis mReportedAt;
  /** What came and went since the report, oldest first. */
  std::deque<LoadChange> mSinceReport;
  Millis mHeard;
  /** When the first of the attempts that are open now was sent. */
  Millis mBusySince;
};

} // namespace trefoilarch
