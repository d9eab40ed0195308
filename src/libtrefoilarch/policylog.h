#pragma once

#include "millis.h"
#include "policylogmessages.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <string>

namespace trefoilarch {

/** How a process follows the change log. */
struct PolicyLogOptions
{
  /** Time between two reads of the log's tail in a small fleet. */
  Millis mPollInterval{ 1000 };
  /** Minimum interval per peer, which bounds the read rate of a large fleet. */
  Millis mPollIntervalPerPeer{ 12 };
  Millis mInitialRetryDelay{ 100 };
  Millis mMaxRetryDelay{ 4000 };
  size_t mReadLimit = 200;
  /** Number of accepted changes between two snapshots. */
  uint64_t mSnapshotEvery = 100;
  /** Recent changes kept in memory for peers. */
  uint64_t mRetainedChanges = 300;
  /** Rows kept in the table at compaction, as history. */
  uint64_t mRetainedRows = 4000;
  size_t mMaxProposals = 64;
  uint64_t mSeed = 1;
};

/**
 * One process's replica of the policy's change log. Change n+1 is accepted when
 * its row is inserted after row n, so the table resolves all races, and the
 * version in a process only increases. Single-threaded. Except PolicyAdopted,
 * ProposalAnswered and CompactLog, each returned action is completed by one
 * event; until then no other action of its kind is returned.
 */
class PolicyLog
{
public:
  explicit PolicyLog(PolicyLogOptions aOptions);

  /** Must be called at NextWake(), and may be called at any time. */
  PolicyLogActions OnTick(Millis aNow);

  /** Proposes a change; it is answered by aDeadline. */
  PolicyLogActions Propose(uint64_t aProposal,
                           PolicyChange aChange,
                           Millis aDeadline,
                           Millis aNow);
  /**
   * Queries the outcome of a change. If the log does not contain it, it is
   * voided first, because its write may still be in flight.
   */
  PolicyLogActions QueryChange(uint64_t aProposal,
                               std::string aId,
                               Millis aDeadline,
                               Millis aNow);

  /** Empty rows: the tail was reached; nullopt: the table did not answer. */
  PolicyLogActions OnRows(std::optional<std::vector<LogRow>> aRows,
                          Millis aNow);
  PolicyLogActions OnInserted(InsertOutcome aOutcome, Millis aNow);
  PolicyLogActions OnSnapshot(const SnapshotReadResult& aResult, Millis aNow);
  PolicyLogActions OnSnapshotWritten(bool aWritten, Millis aNow);
  PolicyLogActions OnPulled(std::optional<PolicyDelta> aDelta, Millis aNow);
  /** A message from another process contained this version. */
  PolicyLogActions OnVersionSeen(uint64_t aVersion, Millis aNow);
  void SetPeerCount(size_t aPeers) { mPeerCount = aPeers; }

  /** The changes for a peer that is at version aAfter. */
  PolicyDelta DeltaAfter(uint64_t aAfter) const;

  const PolicyState& State() const { return mState; }
  const std::deque<LoggedChange>& RecentChanges() const { return mRecent; }
  /** Whether a policy was loaded, or is known not to exist yet. */
  bool IsLoaded() const { return mLoaded; }
  /** Version of a row that can't be parsed and blocks this process, or 0. */
  uint64_t UnreadableRow() const { return mUnreadableRow; }
  Millis NextWake() const;

private:
  struct Proposal
  {
    uint64_t mNumber = 0;
    PolicyChange mChange;
    Millis mDeadline;
    /** Id of the change whose outcome is queried; unset for a proposal. */
    std::optional<std::string> mQueriedId;
    /** Version that an insert without a known outcome may have; 0: none. */
    uint64_t mUnsettledVersion = 0;
    /** A read of the tail was requested after the last insert. */
    bool mReadRequested = false;
    /** The tail was reached since the last insert; it can be resolved. */
    bool mAtTail = false;
  };

  enum class Source
  {
    Snapshot,
    Rows,
    Peer,
  };

  PolicyLogActions Advance(Millis aNow);
  void AnnouncePolicy(PolicyLogActions& aOut);
  void ExpireProposals(PolicyLogActions& aOut, Millis aNow);
  void AdvanceProposals(PolicyLogActions& aOut, Millis aNow);
  bool SettleHead(PolicyLogActions& aOut);
  bool AnswerQuery(PolicyLogActions& aOut);
  bool ValidateHead(PolicyLogActions& aOut);
  void InsertHead(PolicyLogActions& aOut);
  void AnswerHead(PolicyLogActions& aOut, ProposalAnswer aAnswer);
  bool IsReadDue(Millis aNow) const;
  void AdvanceRead(PolicyLogActions& aOut, Millis aNow);
  void AdvanceSnapshot(PolicyLogActions& aOut, Millis aNow);
  bool ApplyRows(const std::vector<LogRow>& aRows);
  bool AdoptSnapshot(const std::string& aText);
  void ApplyLoggedChange(LoggedChange aLogged);
  void OnTailReached(Millis aNow);
  void BackOff(Millis aNow);
  Millis WithJitter(Millis aMean);
  Millis RetryDelay(unsigned aFailures);

  PolicyLogOptions mOptions;
  std::minstd_rand mRandom;
  PolicyState mState;
  std::deque<LoggedChange> mRecent;
  std::deque<Proposal> mProposals;
  std::optional<LogRow> mPendingInsert;
  uint64_t mPendingInsertProposal = 0;
  uint64_t mAnnouncedVersion = 0;
  uint64_t mHighestVersionSeen = 0;
  uint64_t mUnreadableRow = 0;
  size_t mPeerCount = 0;
  bool mLoaded = false;
  bool mReadPending = false;
  Source mSource = Source::Snapshot;
  bool mRowsMissing = false; /**< the next rows are no longer in the table */
  bool mTableFailed = false;
  bool mReadImmediately = false; /**< another process has a higher version */
  unsigned mFailures = 0;
  Millis mNextReadAt;
  std::optional<WriteSnapshot> mUnwrittenSnapshot;
  bool mSnapshotWritePending = false;
  uint64_t mNewestSnapshotVersion = 0;
  unsigned mSnapshotFailures = 0;
  Millis mNextSnapshotAt;
};

} // namespace trefoilarch
