#pragma once

#include "millis.h"
#include "policylogmessages.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <string>

namespace trefoilarch {

/** How a process follows the change log; times in milliseconds. */
struct PolicyLogOptions
{
  /** Time between two reads of the tail, where few processes do so. */
  Millis mPollInterval{ 1000 };
  /** Added for each peer, so that a large fleet's reads stay level. */
  Millis mPollIntervalPerPeer{ 12 };
  Millis mInitialRetryDelay{ 100 };
  Millis mMaxRetryDelay{ 4000 };
  size_t mReadLimit = 200;
  /** A snapshot is written each time this many changes have been accepted. */
  uint64_t mSnapshotEvery = 100;
  /** Changes kept here for peers. */
  uint64_t mRetainedChanges = 300;
  /** Rows kept in the table at compaction, for history. */
  uint64_t mRetainedRows = 4000;
  size_t mMaxProposals = 64;
  uint64_t mSeed = 1;
};

/**
 * One process's view of the policy's change log. Change n+1 is accepted when
 * its row is inserted after row n, so the table decides every race, and the
 * versions in a process only rise. Single-threaded. Each returned action but
 * PolicyAdopted, ProposalAnswered and CompactLog has one event that reports
 * its end; until then no further one of its kind is asked for.
 */
class PolicyLog
{
public:
  explicit PolicyLog(PolicyLogOptions aOptions);

  /** Due at NextWake(), and harmless at any other time. */
  PolicyLogActions OnTick(Millis aNow);

  /** Proposes a change; the answer comes by aDeadline at the latest. */
  PolicyLogActions Propose(uint64_t aProposal,
                           PolicyChange aChange,
                           Millis aDeadline,
                           Millis aNow);
  /**
   * Asks what became of a change. One that the log does not have is ruled
   * out first, since its write may still be under way.
   */
  PolicyLogActions QueryChange(uint64_t aProposal,
                               std::string aId,
                               Millis aDeadline,
                               Millis aNow);

  /** Empty rows: the tail was reached; none: the table did not answer. */
  PolicyLogActions OnRows(std::optional<std::vector<LogRow>> aRows,
                          Millis aNow);
  PolicyLogActions OnInserted(InsertOutcome aEnd, Millis aNow);
  PolicyLogActions OnSnapshot(const SnapshotReadResult& aFound, Millis aNow);
  PolicyLogActions OnSnapshotWritten(bool aWritten, Millis aNow);
  PolicyLogActions OnPulled(std::optional<PolicyDelta> aDelta, Millis aNow);
  /** Another process's message carried this version. */
  PolicyLogActions OnVersionSeen(uint64_t aVersion, Millis aNow);
  void SetPeerCount(size_t aPeers) { mPeers = aPeers; }

  /** For a peer that has aAfter. */
  PolicyDelta DeltaAfter(uint64_t aAfter) const;

  const PolicyState& State() const { return mState; }
  const std::deque<LoggedChange>& RecentChanges() const { return mRecent; }
  /** A policy, or the certainty that there is none yet. */
  bool IsLoaded() const { return mKnown; }
  /** A row that could not be read, behind which this process is stuck. */
  uint64_t UnreadableRow() const { return mUnreadableRow; }
  Millis NextWake() const;

private:
  struct Proposal
  {
    uint64_t mNumber = 0;
    PolicyChange mChange;
    Millis mDeadline;
    /** The change that a question is about. */
    std::optional<std::string> mAsksFor;
    /** Version at which a write may have taken effect unseen; 0: none. */
    uint64_t mUnsettledAt = 0;
    /** A read of the tail was asked for, or made, since its last step. */
    bool mReadAsked = false;
    bool mFresh = false;
  };

  enum class Source
  {
    Snapshot,
    Rows,
    Peer,
  };

  PolicyLogActions Drive(Millis aNow);
  void Announce(PolicyLogActions& aOut);
  void DropLate(PolicyLogActions& aOut, Millis aNow);
  void DriveProposals(PolicyLogActions& aOut, Millis aNow);
  bool Settle(PolicyLogActions& aOut);
  bool JudgeQuestion(PolicyLogActions& aOut);
  bool Judge(PolicyLogActions& aOut);
  void Insert(PolicyLogActions& aOut);
  void AnswerHead(PolicyLogActions& aOut, ProposalAnswer aAnswer);
  bool WantsRead(Millis aNow) const;
  void DriveReading(PolicyLogActions& aOut, Millis aNow);
  void DriveSnapshot(PolicyLogActions& aOut, Millis aNow);
  bool Apply(const std::vector<LogRow>& aRows);
  bool AdoptSnapshot(const std::string& aText);
  void ApplyOne(LoggedChange aLogged);
  void NoteTail(Millis aNow);
  void WaitAfterFailure(Millis aNow);
  Millis Jittered(Millis aSpan);
  Millis RetrySpan(unsigned aFailures);

  PolicyLogOptions mOptions;
  std::minstd_rand mRandom;
  PolicyState mState;
  std::deque<LoggedChange> mRecent;
  std::deque<Proposal> mProposals;
  std::optional<LogRow> mInserting;
  uint64_t mInsertingFor = 0;
  uint64_t mAnnounced = 0;
  uint64_t mSeen = 0;
  uint64_t mUnreadableRow = 0;
  size_t mPeers = 0;
  bool mKnown = false;
  bool mReading = false;
  Source mSource = Source::Snapshot;
  bool mBehind = false; /**< rows that are needed next are gone */
  bool mTableFailed = false;
  bool mEager = false; /**< another process is known to be ahead */
  unsigned mFailures = 0;
  Millis mNextRead;
  std::optional<WriteSnapshot> mSnapshotDue;
  bool mSnapshotWriting = false;
  uint64_t mSnapshotted = 0;
  unsigned mSnapshotFailures = 0;
  Millis mNextSnapshot;
};

} // namespace trefoilarch
