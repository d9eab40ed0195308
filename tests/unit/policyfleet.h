#pragma once

#include "modelrandom.h"

#include "libtrefoilarch/policylog.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace model {

using namespace trefoilarch;

/** Processes round the table. */
constexpr size_t kProcesses = 3;

/** What an operator was told, and how often it proposed the id. */
struct Told
{
  PolicyChange mChange;
  int mProposals = 0;
  std::vector<ProposalAnswer> mAnswers;
  std::vector<ProposalAnswer> mAskAnswers;
};

/** A read or write that a process has asked for and that is under way. */
struct Pending
{
  size_t mProcess = 0;
  int mLife = 0;
  PolicyLogAction mAction;
  bool mSlow = false;
  bool mExecuted = false;
  bool mForgotten = false; /**< the process was told "no answer" already */
  std::optional<std::vector<LogRow>> mRows;
  InsertOutcome mInsert = InsertOutcome::Unknown;
  SnapshotReadResult mSnapshot;
  bool mWritten = false;
  std::optional<PolicyDelta> mDelta;
};

/**
 * Several processes round one table and one object store, in virtual time.
 * Reads and writes take effect late, in any order, and lose their answers;
 * processes pause, restart and hear of each other's versions.
 */
class PolicyFleet : private ModelRandom
{
public:
  explicit PolicyFleet(uint32_t aSeed);

  void Step();

  /** Ends all faults and lets everything finish. */
  void Heal();

  void CheckAll();

  size_t Accepted() const { return mHistory.size(); }

private:
  struct Process
  {
    std::unique_ptr<PolicyLog> mLog;
    int mLife = 0;
    bool mPaused = false;
    uint64_t mAdopted = 0;
    std::map<uint64_t, std::string> mProposals;
    std::map<uint64_t, std::string> mQuestions;
  };

  void PauseOrWake(Process& aProcess);

  void Boot(size_t aProcess);

  PolicyChange DrawChange(const Process& aProcess);

  void Send(size_t aProcess, const PolicyChange& aChange);

  void Propose(size_t aProcess);

  /** An operator that got no clear answer repeats the id somewhere. */
  void ProposeAgain(size_t aProcess);

  void QueryChange(size_t aProcess);

  const Told* DrawTold();

  void Gossip(size_t aFrom, size_t aTo);

  void Advance(Millis aSpan);

  void Carry(size_t aProcess, PolicyLogActions aActions);

  /** Versions only rise, and a version is the same policy everywhere. */
  void CheckAdopted(Process& aProcess, const Policy& aPolicy);

  void NoteAnswer(Process& aProcess, const ProposalAnswered& aAnswer);

  /** One step of one thing under way. */
  void MovePending();

  void Execute(Pending& aOne);

  std::optional<std::vector<LogRow>> TableRead(const ReadLog& aRead);

  InsertOutcome TableInsert(const LogRow& aRow);

  /** Tells the process; a write whose answer is lost may still come true. */
  void Deliver(size_t aPlace, bool aLost);

  void CheckTold(const std::string& aId,
                 const Told& aTold,
                 const std::map<std::string, uint64_t>& aPlaceOf);

  /** No other change of the same object between base and acceptance. */
  void CheckNothingBetween(const PolicyChange& aChange, uint64_t aVersion);

  static std::string ObjectOf(const PolicyChange& aChange);

  Millis mNow{ 1000 };
  std::array<Process, kProcesses> mProcesses;
  std::vector<Pending> mPending;
  std::map<uint64_t, std::string> mTable;
  std::map<uint64_t, std::string> mSnapshots;
  bool mBegun = false;
  bool mTableDown = false;
  bool mObjectsDown = false;
  bool mHealed = false;
  std::map<uint64_t, PolicyChange> mHistory;
  std::map<uint64_t, Policy> mPolicies;
  std::map<std::string, Told> mTold;
  uint64_t mLastNumber = 0;
  uint64_t mLastId = 0;
};

} // namespace model
