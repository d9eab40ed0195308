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

/** How an entry claims idempotency keys; times in milliseconds. */
struct ClaimOptions
{
  /** This entry's address for other entries' questions. */
  std::string mAddress;
  /** How long a claim may stay undecided before the request is refused. */
  Millis mDecisionTimeout{ 3000 };
  Millis mInitialRetryDelay{ 50 };
  Millis mMaxRetryDelay{ 1000 };
  /** Claims in one transaction; etcd takes 128 operations, a claim needs 3. */
  size_t mMaxBatchSize = 32;
  /** Requests that are remembered after their end. */
  size_t mMaxRemembered = 50000;
  /** Bytes of answers kept for repeats, and of one of them. */
  size_t mMaxCachedBytes = 8 * 1024 * 1024;
  size_t mMaxCachedAnswerSize = 64 * 1024;
  /** Length of an epoch: a key is remembered for one epoch at the least. */
  int64_t mEpochSeconds = 7200;
  uint64_t mSeed = 1;
};

/**
 * Decides which request of an idempotency key may run. The table's
 * conditional write is the arbiter: a request runs only after its own row was
 * written, or found to have been written, under its key. A row names the
 * request and its entry; whoever finds another one's row asks that entry. A
 * row whose request will never run by its entry's own word is replaced, on
 * condition that it has not changed; where the entry cannot be asked, the key
 * stays taken. Single-threaded.
 */
class Claims
{
public:
  explicit Claims(ClaimOptions aOptions);

  /** Answered by ClaimDecided within the decision span. */
  ClaimActions Claim(ClaimRequest aRequest, int64_t aUnixSeconds, Millis aNow);

  /** A request that was let run has ended with its whole answer. */
  void Answered(RequestId aId, CachedAnswer aAnswer);
  /** As above, with an answer that is not kept. */
  void AnsweredUncached(RequestId aId);
  /** It was let run, and surely did not. */
  void NotRun(RequestId aId);
  /** It was let run, and nobody knows whether it did. */
  void MaybeRan(RequestId aId);

  /** One commit is under way at a time. */
  ClaimActions OnCommitted(ClaimCommit aCommit,
                           int64_t aUnixSeconds,
                           Millis aNow);
  ClaimActions OnClaimantReport(uint64_t aTicket,
                                const ClaimReport& aReport,
                                int64_t aUnixSeconds,
                                Millis aNow);
  ClaimActions OnTick(int64_t aUnixSeconds, Millis aNow);

  /** For another entry that found the request's row. */
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

  /** A request that waits for its claim to be decided. */
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
  /** The newest request of a key here. */
  std::unordered_map<std::string, RequestId> mByKey;
  std::deque<RequestId> mEnded;  /**< in order of their end */
  std::deque<RequestId> mCached; /**< those with an answer, in order */
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
