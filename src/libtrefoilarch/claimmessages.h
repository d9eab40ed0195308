#pragma once

#include "ids.h"
#include "millis.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/** What goes in and out of Claims. */
namespace trefoilarch {

/** A request that may run only once for its idempotency key. */
struct ClaimRequest
{
  RequestId mId;
  /** Hash of the workspace and the key, in hexadecimal. */
  std::string mKey;
  /** Hash of what is asked; the same key with another one is a mistake. */
  std::string mFingerprint;
};

/** An answer that is kept for repeats of its request. */
struct CachedAnswer
{
  int32_t mStatus = 0;
  std::string mContentType;
  std::string mBody;

  bool operator==(const CachedAnswer&) const = default;
};

/** What becomes of a request that wanted a claim. */
enum class ClaimOutcome
{
  Run,         /**< it has the claim and may run */
  InProgress,  /**< an earlier one of the key is at work */
  Finished,    /**< an earlier one has been answered */
  MaybeRan,    /**< an earlier one may have run; nobody knows */
  OtherIntent, /**< the key belongs to a request that asked something else */
  Unsettled,   /**< the table did not decide in time; this one will not run */
};

/** Answers a claim, once. Only Run lets the request run. */
struct ClaimDecided
{
  RequestId mId;
  ClaimOutcome mOutcome = ClaimOutcome::Unsettled;
  /** The first answer, where Finished and where it is kept. */
  std::shared_ptr<const CachedAnswer> mAnswer;
};

/** A claim's row in the table. */
struct ClaimRow
{
  RequestId mRequest;
  std::string mAddress; /**< of the entry, for other entries' questions */
  std::string mFingerprint;

  bool operator==(const ClaimRow&) const = default;
};

std::string
ClaimRowToText(const ClaimRow& aRow);

/** Empty where the text is no claim. */
std::optional<ClaimRow>
ClaimRowFromText(const std::string& aText);

/** A claim's row as it was found. */
struct FoundClaim
{
  uint64_t mEpoch = 0;
  int64_t mRevision = 0;
  std::string mText;

  bool operator==(const FoundClaim&) const = default;
};

/**
 * One row to write, for mEpoch. It may be written only if no row of the key
 * is there for the epochs mEpoch-1 to mEpoch+1, or only the one found, still
 * at its revision; that one then goes away.
 */
struct ClaimWrite
{
  std::string mKey;
  uint64_t mEpoch = 0;
  std::string mText;
  std::optional<FoundClaim> mReplaces;
};

/** Write all rows in one transaction or none; OnCommitted. */
struct CommitClaims
{
  std::vector<ClaimWrite> mWrites;
};

/** Ask the entry at an address what became of a request; OnClaimantReport. */
struct QueryClaimant
{
  uint64_t mTicket = 0;
  std::string mAddress;
  RequestId mRequest;
};

/** Rows of epochs before this one may be deleted. */
struct ExpireClaims
{
  uint64_t mBelowEpoch = 0;
};

using ClaimAction =
  std::variant<CommitClaims, QueryClaimant, ExpireClaims, ClaimDecided>;
using ClaimActions = std::vector<ClaimAction>;

/** How a CommitClaims ended. */
enum class ClaimCommitOutcome
{
  Done,
  Refused, /**< a condition did not hold; nothing was written */
  Unknown, /**< it may have been written, now or later; or it was not */
};

/** With Refused, what the table has for each of the writes, in order. */
struct ClaimCommit
{
  ClaimCommitOutcome mOutcome = ClaimCommitOutcome::Unknown;
  std::vector<std::optional<FoundClaim>> mFound;
};

/** What an entry says of a request of its own. */
enum class ClaimStatus
{
  NotKnown, /**< it has no memory of it, or could not be reached */
  InProgress,
  Finished,
  MaybeRan,
  NotRun, /**< it did not run and never will */
};

struct ClaimReport
{
  ClaimStatus mStatus = ClaimStatus::NotKnown;
  std::shared_ptr<const CachedAnswer> mAnswer;
};

} // namespace trefoilarch
