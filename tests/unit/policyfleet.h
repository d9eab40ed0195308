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

/** Processes that share the table. */
constexpr size_t kProcesses = 3;

/** A change's proposals by operators and the answers to them. */
struct ProposalRecord
{
  PolicyChange mChange;
  int mProposals = 0;
  std::vector<ProposalAnswer> mAnswers;
  std::vector<ProposalAnswer> mQueryAnswers;
};

/** A read or write of a process that is in flight. */
struct PendingOperation
{
  size_t mProcess = 0;
  int mIncarnation = 0;
  PolicyLogAction mAction;
  bool mSlow = false;
  bool mExecuted = false;
  bool mTimedOut = false; /**< a timeout was already reported to the process */
  std::optional<std::vector<LogRow>> mRows;
  InsertOutcome mInsert = InsertOutcome::Unknown;
  SnapshotReadResult mSnapshot;
  bool mWritten = false;
  std::optional<PolicyDelta> mDelta;
};

/**
 * Simulates processes that share a table and an object store, in virtual time.
 * Reads and writes take effect late and in any order, and results may be lost;
 * processes pause, restart and receive each other's versions.
 */
class PolicyFleet : private ModelRandom
{
public:
  explicit PolicyFleet(uint32_t aSeed);

  void Step();

  /** Ends all faults and completes all operations. */
  void Heal();

  void CheckAll();

  size_t Accepted() const { return mHistory.size(); }

private:
  struct Process
  {
    std::unique_ptr<PolicyLog> mLog;
    int mIncarnation = 0;
    bool mPaused = false;
    uint64_t mAdoptedVersion = 0;
    std::map<uint64_t, std::string> mProposals;
    std::map<uint64_t, std::string> mQueries;
  };

  void PauseOrResume(Process& aProcess);

  void StartProcess(size_t aProcess);

  PolicyChange RandomChange(const Process& aProcess);

  void ProposeChange(size_t aProcess, const PolicyChange& aChange);

  void Propose(size_t aProcess);

  /** An operator without a conclusive answer proposes the id again. */
  void ProposeAgain(size_t aProcess);

  void QueryChange(size_t aProcess);

  const ProposalRecord* RandomRecord();

  void SendVersion(size_t aFrom, size_t aTo);

  void Advance(Millis aDuration);

  void Execute(size_t aProcess, PolicyLogActions aActions);

  /** Versions only increase, and a version is the same policy everywhere. */
  void CheckAdopted(Process& aProcess, const Policy& aPolicy);

  void RecordAnswer(Process& aProcess, const ProposalAnswered& aAnswer);

  /** One step of a random operation in flight. */
  void StepPending();

  void ExecuteOperation(PendingOperation& aPending);

  std::optional<std::vector<LogRow>> ReadTable(const ReadLog& aRead);

  InsertOutcome InsertIntoTable(const LogRow& aRow);

  /** Reports a result; a write that seems lost may still take effect. */
  void DeliverResult(size_t aIndex, bool aLost);

  void CheckRecord(const std::string& aId,
                   const ProposalRecord& aRecord,
                   const std::map<std::string, uint64_t>& aVersionById);

  /** Checks that no change of the object lies between base and aVersion. */
  void CheckNoChangeBetween(const PolicyChange& aChange, uint64_t aVersion);

  static std::string ObjectOf(const PolicyChange& aChange);

  Millis mNow{ 1000 };
  std::array<Process, kProcesses> mProcesses;
  std::vector<PendingOperation> mPending;
  std::map<uint64_t, std::string> mTable;
  std::map<uint64_t, std::string> mSnapshots;
  bool mLogStarted = false;
  bool mTableDown = false;
  bool mObjectStoreDown = false;
  bool mHealed = false;
  std::map<uint64_t, PolicyChange> mHistory;
  std::map<uint64_t, Policy> mPolicies;
  std::map<std::string, ProposalRecord> mProposalRecords;
  uint64_t mLastNumber = 0;
  uint64_t mLastId = 0;
};

} // namespace model
