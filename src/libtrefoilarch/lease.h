#pragma once

#include "millis.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace trefoilarch {

/** Settings of a Lease; times in milliseconds. */
struct LeaseOptions
{
  /** Unique to this incarnation of the process. */
  std::string mHolder;
  /** How long a lease is valid after the write that renewed it was sent. */
  Millis mDuration{ 10000 };
  /**
   * The holder stops earlier and a successor waits longer by this time, so that
   * clock rates may differ by this fraction of mDuration.
   */
  Millis mMargin{ 500 };
  Millis mRenewAfter{ 3000 };
  Millis mRetryInterval{ 300 };
  uint64_t mSeed = 1;
};

/** The lease's row in the table. */
struct LeaseRow
{
  std::string mHolder; /**< empty if the lease was released */
  /** Incremented for each new holder; attached to each of its orders. */
  uint64_t mFencingNumber = 0;
  /**
   * Incremented with each write of a holder, including repeats, so that the
   * holder knows which of its writes took effect.
   */
  uint64_t mRenewal = 0;
  Millis mDuration;

  bool operator==(const LeaseRow&) const = default;
};

std::string
LeaseRowToText(const LeaseRow& aRow);
/** Empty if the text is not a lease row. */
std::optional<LeaseRow>
LeaseRowFromText(const std::string& aText);

/** Read the row; ends with OnRead. */
struct ReadLease
{};

/**
 * Write the row if it is still at this revision (0: absent); ends with
 * OnWritten.
 */
struct WriteLease
{
  int64_t mRevision = 0;
  std::string mText;
};

/** This process now holds the lease, with this fencing number. */
struct LeaseGained
{
  uint64_t mFencingNumber = 0;
  /** The previous holder did not release it and may still be active. */
  bool mTakenOver = false;
};

/** The lease is not held any more, or not with certainty. */
struct LeaseEnded
{};

using LeaseAction =
  std::variant<ReadLease, WriteLease, LeaseGained, LeaseEnded>;
using LeaseActions = std::vector<LeaseAction>;

/** Result of a ReadLease. */
struct LeaseFound
{
  bool mReached = false;
  int64_t mRevision = 0; /**< 0 if there is no row */
  std::string mText;
};

enum class LeaseWriteOutcome
{
  Done,
  Refused,
  Unknown,
};

/**
 * One process's side of a lease that the table arbitrates. Clocks of different
 * processes are never compared: the holder counts from before its write was
 * sent, and a successor takes over only after it has seen the row unchanged for
 * the full duration and the margin. The table may therefore be slow or down,
 * writes may be late and processes may sleep: IsHeld() is never true for two
 * processes at a time. Single-threaded.
 */
class Lease
{
public:
  explicit Lease(LeaseOptions aOptions);

  /** Sets whether this process should try to hold the lease. */
  LeaseActions SetWanted(bool aWanted, Millis aNow);
  LeaseActions OnTick(Millis aNow);
  LeaseActions OnRead(const LeaseFound& aFound, Millis aNow);
  /** aRevision is the row's, if Done. */
  LeaseActions OnWritten(LeaseWriteOutcome aResult,
                         int64_t aRevision,
                         Millis aNow);

  /**
   * Whether the lease is held and stays valid for aDuration. Must be called
   * with the current time right before acting, so that a process that has slept
   * notices.
   */
  bool IsHeld(Millis aNow, Millis aDuration = Millis()) const;
  uint64_t FencingNumber() const { return mFencingNumber; }
  bool Wanted() const { return mWanted; }
  /** Whether a read or write is in progress. */
  bool Busy() const { return mBusy; }
  Millis NextWake() const;

private:
  void Advance(LeaseActions& aOut, Millis aNow);
  void Write(LeaseActions& aOut, LeaseRow aRow, int64_t aRevision, Millis aNow);
  void Renew(LeaseActions& aOut, Millis aNow);
  void Release(LeaseActions& aOut, Millis aNow);
  void HandleRow(LeaseActions& aOut, const LeaseFound& aFound, Millis aNow);
  void ConfirmWrite(LeaseActions& aOut, Millis aNow);
  void StopHolding(LeaseActions& aOut);
  Millis Jittered(Millis aDuration);

  LeaseOptions mOptions;
  std::minstd_rand mRandom;
  bool mWanted = false;
  bool mBusy = false; /**< a read or write is in progress */
  Millis mNextActionAt;
  bool mHolding = false;
  Millis mValidUntil;
  uint64_t mFencingNumber = 0;
  int64_t mRevision = 0; /**< of the row while it is known to be ours */
  bool mTakingOver = false;
  uint64_t mWriteCount = 0;
  LeaseRow mLastWritten; /**< the last write, and when it was sent */
  Millis mLastWrittenAt;
  int64_t mWatchedRevision =
    -1; /**< another holder's row, since mWatchedSince */
  Millis mWatchedSince;
};

} // namespace trefoilarch
