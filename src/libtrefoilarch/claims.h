#pragma once

#include "claimmessages.h"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace trefoilarch {

/** Settings of Claims; times in milliseconds. */
struct ClaimOptions
{
  /** This entry's address for queries from other entries. */
  std::string mAddress;
  /** How long a claim may stay undecided before the request is refused. */
  Millis mDecisionTimeout{ 3000 };
  Millis mInitialRetryDelay{ 50 };
  Millis mMaxRetryDelay{ 1000 };
  /** Claims per transaction; etcd takes 128 operations, a claim needs 3. */
  size_t mMaxBatchSize = 32;
  /** Number of ended requests that are remembered. */
  size_t mMaxRemembered = 50000;
  /** Bytes of all cached responses, and of a single one. */
  size_t mMaxCachedBytes = 8 * 1024 * 1024;
  size_t mMaxCachedAnswerSize = 64 * 1024;
  /** Length of an epoch; a key is remembered for at least one epoch. */
  int64_t mEpochSeconds = 7200;
  uint64_t mSeed = 1;
};

/**
 * Decides which request of an idempotency key may run. The table's conditional
 * write arbitrates: a request runs only after its own row was written under its
 * key, or was found there. A row names the request and its entry; an entry that
 * finds another's row queries that entry. A row is replaced if its entry
 * reports that its request will never run, and only if the row has not changed
 * since. If the entry can't be reached, the key stays taken. Single-threaded.
 */
class Claims
{
public:
  explicit Claims(ClaimOptions aOptions);

  /** Decided by a ClaimDecided within mDecisionTimeout. */
  ClaimActions Claim(ClaimRequest aRequest, int64_t aUnixSeconds, Millis aNow);

  /** A request that was allowed to run has received its complete response. */
  void Answered(RequestId aId, CachedAnswer aAnswer);
  /** As above, for a response that is not cached. */
  void AnsweredUncached(RequestId aId);
  /** The request was allowed to run, but certainly did not. */
  void NotRun(RequestId aId);
  /** The request was allowed to run, and it is unknown whether it did. */
  void MaybeRan(RequestId aId);

  /** Ends the commit in progress; there is one at a time. */
  ClaimActions OnCommitted(ClaimCommit aCommit,
                           int64_t aUnixSeconds,
                           Millis aNow);
  ClaimActions OnClaimantReport(uint64_t aTicket,
                                const ClaimReport& aReport,
                                int64_t aUnixSeconds,
                                Millis aNow);
  ClaimActions OnTick(int64_t aUnixSeconds, Millis aNow);

  /** Status of a request, for another entry that found its row. */
  ClaimReport Report(RequestId aId) const;

  size_t Undecided() const { return mUndecided.size(); }
  size_t Remembered() const { return mRecords.size(); }
  size_t AnswerBytes() const { return mCachedBytes; }
  Millis NextWake() const;

private:
  /** A request of this entry. */
  struct Record
  {
    std::string mKey;
    std::string mFingerprint;
    ClaimStatus mStatus = ClaimStatus::InProgress;
    std::shared_ptr<const CachedAnswer> mAnswer;
  };

  /** A request whose claim is not decided yet. */
  struct Pending
  {
    Millis mDeadline;
    std::optional<FoundClaim> mReplaces;
    bool mQueryOpen = false;
  };

  uint64_t EpochOf(int64_t aUnixSeconds) const;
  std::optional<ClaimDecided> DecideLocally(const ClaimRequest& aRequest) const;
  void Finish(RequestId aId, ClaimStatus aStatus);
  void Remember(RequestId aId);
  void DropAnswer(Record& aRecord);
  void Decide(ClaimActions& aOut,
              RequestId aId,
              ClaimOutcome aOutcome,
              std::shared_ptr<const CachedAnswer> aAnswer = nullptr);
  void ResolveFoundRow(ClaimActions& aOut,
                       RequestId aId,
                       const FoundClaim& aFound);
  void ApplyReport(ClaimActions& aOut,
                   RequestId aId,
                   const FoundClaim& aFound,
                   const ClaimReport& aReport);
  void ExpireUndecided(ClaimActions& aOut, Millis aNow);
  void Commit(ClaimActions& aOut, int64_t aUnixSeconds, Millis aNow);
  void Expire(ClaimActions& aOut, int64_t aUnixSeconds);
  void Advance(ClaimActions& aOut, int64_t aUnixSeconds, Millis aNow);
  Millis RetryDelay();

  ClaimOptions mOptions;
  std::minstd_rand mRandom;
  std::unordered_map<RequestId, Record> mRecords;
  /** The newest request of each key at this entry. */
  std::unordered_map<std::string, RequestId> mByKey;
  std::deque<RequestId> mEnded;  /**< in the order in which they ended */
  std::deque<RequestId> mCached; /**< those with a cached response, in order */
  size_t mCachedBytes = 0;
  std::map<RequestId, Pending> mUndecided;
  std::deque<RequestId> mWaiting; /**< for the next commit */
  std::vector<RequestId> mCommitting;
  std::map<uint64_t, std::pair<RequestId, FoundClaim>> mOpenQueries;
  uint64_t mLastTicket = 0;
  uint64_t mExpiredBelow = 0;
  unsigned mFailures = 0;
  Millis mNextCommit;
};

} // namespace trefoilarch
