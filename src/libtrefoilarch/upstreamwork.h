#pragma once

#include "millis.h"
#include "pendingreads.h"

#include <cstdint>
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
 * there, exactly, and the others' by the upstream's last report.
 */
class UpstreamWork
{
public:
  void OnSent(const AttemptWork& aWork, Millis aNow);
  /** The first byte of an answer: its prompt has been read. */
  void OnStarted(const AttemptWork& aWork);
  void OnEnded(const AttemptWork& aWork, bool aStarted);
  /** Any byte came from the upstream. */
  void OnHeard(Millis aNow) { mHeard = aNow; }
  void OnReport(const ReportedLoad& aLoad, Millis aNow);

  /** This entry's attempts there. */
  uint32_t Open() const { return mOpen; }
  /** Prompt tokens of this entry that wait to be read there. */
  const PendingReads& Pending() const { return mPending; }
  /** Attempts of all entries that run or wait there. */
  double Busy(Millis aNow) const;
  /** How long nothing has come though an answer is due; zero otherwise. */
  Millis Silence(Millis aNow) const;

private:
  uint32_t mOpen = 0;
  PendingReads mPending;
  std::optional<ReportedLoad> mReport;
  Millis mReportedAt;
  /** Attempts sent less attempts ended since the report. */
  int32_t mSinceReport = 0;
  Millis mHeard;
  /** When the first of the attempts that are open now was sent. */
  Millis mBusySince;
};

} // namespace trefoilarch
