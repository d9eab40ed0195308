#pragma once

#include "millis.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace trefoilarch {

/** What a process needs to hold a lease; times in milliseconds. */
struct LeaseOptions
{
  /** Unique to this process and this start of it. */
  std::string mHolder;
  /** How long a lease is good after the write that renewed it was sent. */
  Millis mDuration{ 10000 };
  /** What the holder gives up early and a successor waits longer, so that
   * clocks may run at rates that differ by this share of the span. */
  Millis mMargin{ 500 };
  Millis mRenewAfter{ 3000 };
  Millis mRetryInterval{ 300 };
  uint64_t mSeed = 1;
};

/** The lease's row in the table. */
struct LeaseRow
{
  std::string mHolder; /**< empty where it was given back */
  /** Rises with each new holder; goes with each of its orders. */
  uint64_t mFencingNumber = 0;
  /** Rises with each write of one holder, sent again or not: the holder
   * counts from the one that took effect. */
  uint64_t mRenewal = 0;
  Millis mDuration;

  bool operator==(const LeaseRow&) const = default;
};

std::string
LeaseRowToText(const LeaseRow& aRow);
/** Empty where the text is no lease. */
std::optional<LeaseRow>
LeaseRowFromText(const std::string& aText);

/** Read the row; OnRead. */
struct ReadLease
{};

/** Write the row if it is still at this revision (0: absent); OnWritten. */
struct WriteLease
{
  int64_t mRevision = 0;
  std::string mText;
};

/** The lease is this process's, under this fencing number. */
struct LeaseGained
{
  uint64_t mFencingNumber = 0;
  /** The holder before did not give it back: it may be at work still. */
  bool mTakenOver = false;
};

/** It is not, or not for sure, any more. */
struct LeaseEnded
{};

using LeaseAction =
  std::variant<ReadLease, WriteLease, LeaseGained, LeaseEnded>;
using LeaseActions = std::vector<LeaseAction>;

/** What a ReadLease found. */
struct LeaseFound
{
  bool mReached = false;
  int64_t mRevision = 0; /**< 0 where there is no row */
  std::string mText;
};

enum class LeaseWriteOutcome
{
  Done,
  Refused,
  Unknown,
};

/**
 * One process's part in a lease that the table arbitrates. No clock is ever
 * compared with another process's: the holder counts from before its write
 * was sent, and a successor takes over only after it has watched the row
 * unchanged for the whole span and the margin. So the table may be slow or
 * down, writes may come late, and processes may sleep: there are never two
 * for whom IsHeld() is true at one time. Single-threaded.
 */
class Lease
{
public:
  explicit Lease(LeaseOptions aOptions);

  /** Whether this process should try to hold the lease. */
  LeaseActions SetWanted(bool aWanted, Millis aNow);
  LeaseActions OnTick(Millis aNow);
  LeaseActions OnRead(const LeaseFound& aFound, Millis aNow);
  /** aRevision: the row's, where Done. */
  LeaseActions OnWritten(LeaseWriteOutcome aResult,
                         int64_t aRevision,
                         Millis aNow);

  /**
   * Whether the lease is held and will be for aSpan. Ask right before acting,
   * with the time read right then: a process that slept finds out here.
   */
  bool IsHeld(Millis aNow, Millis aDuration = Millis()) const;
  uint64_t FencingNumber() const { return mFencingNumber; }
  bool Wanted() const { return mWanted; }
  /** A read or write is under way. */
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
  bool mBusy = false; /**< a read or write is under way */
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
    -1; /**< revision of another's row, and since when */
  Millis mWatchedSince;
};

} // namespace trefoilarch
