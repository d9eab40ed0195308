#pragma once

#include "policychange.h"
#include "policyfault.h"
#include "policystate.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/** What goes in and out of a PolicyLog. */
namespace trefoilarch {

/** One row of the change log in the table. */
struct LogRow
{
  uint64_t mVersion = 0;
  std::string mText; /**< the change as JSON */

  bool operator==(const LogRow&) const = default;
};

/** Read at most mLimit rows after version mAfter, in order; OnRows. */
struct ReadLog
{
  uint64_t mAfter = 0;
  size_t mLimit = 0;
};

/**
 * Insert the row in one transaction, if it is absent and the row before it is
 * present (for version 1: if no row at all was ever written); OnInserted.
 */
struct InsertLogRow
{
  LogRow mRow;
};

/** Read the newest snapshot of the object store; OnSnapshot. */
struct ReadSnapshot
{};

/** Write a snapshot under its version; OnSnapshotWritten. */
struct WriteSnapshot
{
  uint64_t mVersion = 0;
  std::string mText;
};

/**
 * The rows before mRowsBelow and the snapshots before mSnapshotsBelow are not
 * needed any more; whether they are deleted is of no account.
 */
struct CompactLog
{
  uint64_t mRowsBelow = 0;
  uint64_t mSnapshotsBelow = 0;
};

/** Ask any other process for what comes after mAfter; OnPulled. */
struct PullFromPeer
{
  uint64_t mAfter = 0;
};

/** From here on this policy is in force in this process. */
struct PolicyAdopted
{
  std::shared_ptr<const Policy> mPolicy;
};

/** How a proposal or a question ended. */
enum class ProposalOutcome
{
  Accepted,
  Conflict,
  Invalid,
  Unavailable, /**< surely not written */
  Unknown,     /**< the write may have taken effect; ask with the id */
  NotAccepted, /**< answer to a question: ruled out for good */
};

struct ProposalAnswer
{
  ProposalOutcome mOutcome = ProposalOutcome::Unavailable;
  uint64_t mVersion = 0; /**< where accepted */
  PolicyFaults mFaults;
  std::vector<PolicyConflict> mConflicts;
};

/** Answers the proposal or question of that number, once. */
struct ProposalAnswered
{
  uint64_t mProposal = 0;
  ProposalAnswer mAnswer;
};

using PolicyLogAction = std::variant<ReadLog,
                                     InsertLogRow,
                                     ReadSnapshot,
                                     WriteSnapshot,
                                     CompactLog,
                                     PullFromPeer,
                                     PolicyAdopted,
                                     ProposalAnswered>;
using PolicyLogActions = std::vector<PolicyLogAction>;

/** How an InsertLogRow ended. */
enum class InsertOutcome
{
  Inserted,
  Refused, /**< a condition did not hold; nothing was written */
  NotSent, /**< surely not written, for another reason */
  Unknown, /**< no answer, or none that settles it */
};

/** What a ReadSnapshot found. */
struct SnapshotReadResult
{
  bool mReached = false; /**< the object store answered */
  std::string mText;     /**< empty where there is none */
};

/** What a peer hands over: changes, or a state where those are gone. */
struct PolicyDelta
{
  uint64_t mSnapshotVersion = 0;
  std::string mSnapshotText;
  std::vector<LogRow> mRows;

  bool operator==(const PolicyDelta&) const = default;
};

} // namespace trefoilarch
