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

/** The actions that a PolicyLog returns and the types of its events. */
namespace trefoilarch {

/** One row of the change log in the table. */
struct LogRow
{
  uint64_t mVersion = 0;
  std::string mText; /**< the change as JSON */

  bool operator==(const LogRow&) const = default;
};

/** Reads at most mLimit rows after version mAfter, in order; OnRows. */
struct ReadLog
{
  uint64_t mAfter = 0;
  size_t mLimit = 0;
};

/**
 * Inserts the row in one transaction if it is absent and the previous row is
 * present (for version 1: if no row was ever written); OnInserted.
 */
struct InsertLogRow
{
  LogRow mRow;
};

/** Reads the newest snapshot from the object store; OnSnapshot. */
struct ReadSnapshot
{};

/** Writes a snapshot under its version; OnSnapshotWritten. */
struct WriteSnapshot
{
  uint64_t mVersion = 0;
  std::string mText;
};

/**
 * Deletes the rows before mRowsBelow and the snapshots before mSnapshotsBelow,
 * which are no longer needed. A failure has no effect.
 */
struct CompactLog
{
  uint64_t mRowsBelow = 0;
  uint64_t mSnapshotsBelow = 0;
};

/** Requests the changes after mAfter from any other process; OnPulled. */
struct PullFromPeer
{
  uint64_t mAfter = 0;
};

/** This policy is now in force in this process. */
struct PolicyAdopted
{
  std::shared_ptr<const Policy> mPolicy;
};

/** The outcome of a proposal or a query. */
enum class ProposalOutcome
{
  Accepted,
  Conflict,
  Invalid,
  Unavailable, /**< certainly not written */
  Unknown,     /**< it may have been written; query the id */
  NotAccepted, /**< answer to a query: voided permanently */
};

struct ProposalAnswer
{
  ProposalOutcome mOutcome = ProposalOutcome::Unavailable;
  uint64_t mVersion = 0; /**< if accepted */
  PolicyFaults mFaults;
  std::vector<PolicyConflict> mConflicts;
};

/** The answer to the proposal or query with that number. */
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

/** The outcome of InsertLogRow. */
enum class InsertOutcome
{
  Inserted,
  Refused, /**< a condition failed; nothing was written */
  NotSent, /**< certainly not written, for another reason */
  Unknown, /**< no response, or an inconclusive one */
};

/** The result of ReadSnapshot. */
struct SnapshotReadResult
{
  bool mReached = false; /**< the object store answered */
  std::string mText;     /**< empty if there is no snapshot */
};

/** Changes from a peer, or its state if it no longer has them. */
struct PolicyDelta
{
  uint64_t mSnapshotVersion = 0;
  std::string mSnapshotText;
  std::vector<LogRow> mRows;

  bool operator==(const PolicyDelta&) const = default;
};

} // namespace trefoilarch
