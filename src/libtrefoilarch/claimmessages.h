#pragma once

#include "ids.h"
#include "millis.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/** Input and output of Claims. */
namespace trefoilarch {

/** A request that may run only once per idempotency key. */
struct ClaimRequest
{
  RequestId mId;
  /** Hash of the workspace and the key, in hexadecimal. */
  std::string mKey;
  /** Hash of the request; reusing the key with another hash is an error. */
  std::string mFingerprint;
};

/** A response that is cached for repeats of its request. */
struct CachedAnswer
{
  int32_t mStatus = 0;
  std::string mContentType;
  std::string mBody;

  bool operator==(const CachedAnswer&) const = default;
};

/** Result of a request for a claim. */
enum class ClaimOutcome
{
  Run,         /**< it holds the claim and may run */
  InProgress,  /**< an earlier request with the key is in progress */
  Finished,    /**< an earlier request has been answered */
  MaybeRan,    /**< an earlier request may have run; its outcome is unknown */
  OtherIntent, /**< the key belongs to a different request */
  Unsettled, /**< the table did not decide in time; this request will not run */
};

/** The decision on a claim, made once. Only Run lets the request run. */
struct ClaimDecided
{
  RequestId mId;
  ClaimOutcome mOutcome = ClaimOutcome::Unsettled;
  /** The first response, if Finished and still cached. */
  std::shared_ptr<const CachedAnswer> mAnswer;
};

/** A claim's row in the table. */
struct ClaimRow
{
  RequestId mRequest;
  std::string mAddress; /**< of the entry, for queries from other entries */
  std::string mFingerprint;

  bool operator==(const ClaimRow&) const = default;
};

std::string
ClaimRowToText(const ClaimRow& aRow);

/** Empty if the text is not a claim row. */
std::optional<ClaimRow>
ClaimRowFromText(const std::string& aText);

/** A claim's row as found in the table. */
struct FoundClaim
{
  uint64_t mEpoch = 0;
  int64_t mRevision = 0;
  std::string mText;

  bool operator==(const FoundClaim&) const = default;
};

/**
 * A row to write for mEpoch. It may be written only if the key has no row in
 * the epochs mEpoch-1 to mEpoch+1, or only the row mReplaces, still at its
 * revision; that row is then deleted.
 */
struct ClaimWrite
{
  std::string mKey;
  uint64_t mEpoch = 0;
  std::string mText;
  std::optional<FoundClaim> mReplaces;
};

/** Write all rows in one transaction, or none; ends with OnCommitted. */
struct CommitClaims
{
  std::vector<ClaimWrite> mWrites;
};

/**
 * Query the entry at an address for a request's status; ends with
 * OnClaimantReport.
 */
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

/** Result of a CommitClaims. */
enum class ClaimCommitOutcome
{
  Done,
  Refused, /**< a condition did not hold; nothing was written */
  Unknown, /**< it may have been written, may be written later, or neither */
};

/** If Refused, what the table has for each of the writes, in order. */
struct ClaimCommit
{
  ClaimCommitOutcome mOutcome = ClaimCommitOutcome::Unknown;
  std::vector<std::optional<FoundClaim>> mFound;
};

/** Status of a request, as reported by its own entry. */
enum class ClaimStatus
{
  NotKnown, /**< the entry has no record of it or could not be reached */
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
