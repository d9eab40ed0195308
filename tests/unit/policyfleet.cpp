#include "policyfleet.h"

#include "libtrefoilarch/policycodec.h"

#include <rapidcheck.h>

#include <algorithm>

namespace model {

namespace {

const Millis kProposalTimeout{ 5000 };

RequestClass
MakeClass(const std::string& aName, int64_t aDeadline)
{
  RequestClass value;
  value.mName = aName;
  value.mDeadline = Millis(aDeadline);
  return value;
}

} // namespace

PolicyFleet::PolicyFleet(uint32_t aSeed)
  : ModelRandom(aSeed)
{
  for (size_t index = 0; index < kProcesses; ++index) {
    StartProcess(index);
  }
}

void
PolicyFleet::Step()
{
  switch (Draw(30)) {
    case 9:
    case 10:
    case 11:
    case 0:
      return Propose(Draw(kProcesses));
    case 1:
      return ProposeAgain(Draw(kProcesses));
    case 2:
      return QueryChange(Draw(kProcesses));
    case 3:
      return PauseOrResume(mProcesses[Draw(kProcesses)]);
    case 4:
      if (Fault(20)) {
        StartProcess(Draw(kProcesses));
      }
      return;
    case 5:
      mTableDown = Fault(40);
      mObjectStoreDown = Fault(40);
      return;
    case 6:
      return SendVersion(Draw(kProcesses), Draw(kProcesses));
    case 7:
    case 8:
      return Advance(Millis(static_cast<int64_t>(Draw(1500))));
    default:
      for (int move = 0; move < 4; ++move) {
        StepPending();
      }
  }
}

void
PolicyFleet::Heal()
{
  mTableDown = false;
  mObjectStoreDown = false;
  mHealed = true;
  for (Process& process : mProcesses) {
    process.mPaused = false;
  }
  for (int round = 0; round < 400; ++round) {
    for (int moves = 0; moves < 30 && !mPending.empty(); ++moves) {
      StepPending();
    }
    Advance(Millis(100));
  }
}

void
PolicyFleet::CheckAll()
{
  uint64_t expected = 0;
  std::map<std::string, uint64_t> versionById;
  for (const auto& [version, change] : mHistory) {
    RC_ASSERT(version == ++expected);
    RC_ASSERT(!versionById.contains(change.mId));
    versionById[change.mId] = version;
  }
  for (const Process& process : mProcesses) {
    RC_ASSERT(process.mLog->State().Version() == expected);
  }
  for (const auto& [id, record] : mProposalRecords) {
    CheckRecord(id, record, versionById);
  }
  for (const Process& process : mProcesses) {
    RC_ASSERT(process.mProposals.empty()); // all were answered
    RC_ASSERT(process.mQueries.empty());
  }
}

void
PolicyFleet::PauseOrResume(Process& aProcess)
{
  aProcess.mPaused = aProcess.mPaused ? Chance(85) : Fault(40);
}

void
PolicyFleet::StartProcess(size_t aProcess)
{
  Process& process = mProcesses[aProcess];
  process.mLog =
    std::make_unique<PolicyLog>(PolicyLogOptions{ .mReadLimit = 3,
                                                  .mSnapshotEvery = 4,
                                                  .mRetainedChanges = 3,
                                                  .mRetainedRows = 5,
                                                  .mSeed = mRandom() });
  process.mLog->SetPeerCount(kProcesses - 1);
  ++process.mIncarnation;
  process.mAdoptedVersion = 0;
  process.mProposals.clear();
  process.mQueries.clear();
  Execute(aProcess, process.mLog->OnTick(mNow));
}

PolicyChange
PolicyFleet::RandomChange(const Process& aProcess)
{
  PolicyChange change;
  change.mId = "change-" + std::to_string(++mLastId);
  change.mAuthor = "author-" + std::to_string(Draw(3));
  const uint64_t version = aProcess.mLog->State().Version();
  if (Chance(60)) {
    change.mBaseVersion = version - std::min<uint64_t>(version, Draw(4));
  }
  const std::string name(1, static_cast<char>('a' + Draw(4)));
  if (Chance(15)) {
    change.mOperations.push_back(RemoveClass{ name });
  } else if (Chance(20)) {
    change.mOperations.push_back(SetDrained{ name, Chance(50) });
  } else {
    change.mOperations.push_back(
      SetClass{ MakeClass(name, 1 + static_cast<int64_t>(Draw(1000))) });
  }
  return change;
}

void
PolicyFleet::ProposeChange(size_t aProcess, const PolicyChange& aChange)
{
  Process& process = mProcesses[aProcess];
  if (process.mPaused) {
    return;
  }
  ProposalRecord& record = mProposalRecords[aChange.mId];
  record.mChange = aChange;
  ++record.mProposals;
  const uint64_t number = ++mLastNumber;
  process.mProposals[number] = aChange.mId;
  Execute(
    aProcess,
    process.mLog->Propose(number, aChange, mNow + kProposalTimeout, mNow));
}

void
PolicyFleet::Propose(size_t aProcess)
{
  ProposeChange(aProcess, RandomChange(mProcesses[aProcess]));
}

void
PolicyFleet::ProposeAgain(size_t aProcess)
{
  const ProposalRecord* record = RandomRecord();
  if (record != nullptr) {
    ProposeChange(aProcess, PolicyChange(record->mChange));
  }
}

void
PolicyFleet::QueryChange(size_t aProcess)
{
  Process& process = mProcesses[aProcess];
  const ProposalRecord* record = RandomRecord();
  if (process.mPaused || record == nullptr) {
    return;
  }
  const uint64_t number = ++mLastNumber;
  process.mQueries[number] = record->mChange.mId;
  Execute(aProcess,
          process.mLog->QueryChange(
            number, record->mChange.mId, mNow + kProposalTimeout, mNow));
}

const ProposalRecord*
PolicyFleet::RandomRecord()
{
  if (mProposalRecords.empty()) {
    return nullptr;
  }
  auto chosen = mProposalRecords.begin();
  std::advance(chosen, Draw(static_cast<uint32_t>(mProposalRecords.size())));
  return &chosen->second;
}

void
PolicyFleet::SendVersion(size_t aFrom, size_t aTo)
{
  Process& to = mProcesses[aTo];
  if (!to.mPaused) {
    const uint64_t version = mProcesses[aFrom].mLog->State().Version();
    Execute(aTo, to.mLog->OnVersionSeen(version, mNow));
  }
}

void
PolicyFleet::Advance(Millis aDuration)
{
  mNow += aDuration;
  for (size_t index = 0; index < kProcesses; ++index) {
    Process& process = mProcesses[index];
    if (!process.mPaused && process.mLog->NextWake() <= mNow) {
      Execute(index, process.mLog->OnTick(mNow));
    }
  }
}

void
PolicyFleet::Execute(size_t aProcess, PolicyLogActions aActions)
{
  Process& process = mProcesses[aProcess];
  for (PolicyLogAction& action : aActions) {
    if (const auto* adopted = std::get_if<PolicyAdopted>(&action)) {
      CheckAdopted(process, *adopted->mPolicy);
    } else if (const auto* answer = std::get_if<ProposalAnswered>(&action)) {
      RecordAnswer(process, *answer);
    } else {
      PendingOperation& pending = mPending.emplace_back();
      pending.mProcess = aProcess;
      pending.mIncarnation = process.mIncarnation;
      pending.mAction = std::move(action);
      pending.mSlow = Fault(10);
    }
  }
}

void
PolicyFleet::CheckAdopted(Process& aProcess, const Policy& aPolicy)
{
  RC_ASSERT(aPolicy.mVersion > aProcess.mAdoptedVersion);
  aProcess.mAdoptedVersion = aPolicy.mVersion;
  const auto [known, isNew] = mPolicies.try_emplace(aPolicy.mVersion, aPolicy);
  RC_ASSERT(known->second == aPolicy);
  RC_ASSERT(mHistory.contains(aPolicy.mVersion));
}

void
PolicyFleet::RecordAnswer(Process& aProcess, const ProposalAnswered& aAnswer)
{
  const auto proposal = aProcess.mProposals.find(aAnswer.mProposal);
  const ProposalAnswer& answer = aAnswer.mAnswer;
  if (proposal != aProcess.mProposals.end()) {
    mProposalRecords[proposal->second].mAnswers.push_back(answer);
    if (answer.mOutcome == ProposalOutcome::Accepted) {
      // The policy is in force here before its author is answered.
      RC_ASSERT(aProcess.mAdoptedVersion >= answer.mVersion);
    }
    aProcess.mProposals.erase(proposal);
    return;
  }
  const auto query = aProcess.mQueries.find(aAnswer.mProposal);
  RC_ASSERT(query != aProcess.mQueries.end());
  mProposalRecords[query->second].mQueryAnswers.push_back(answer);
  aProcess.mQueries.erase(query);
}

void
PolicyFleet::StepPending()
{
  if (mPending.empty()) {
    return;
  }
  const size_t index = Draw(static_cast<uint32_t>(mPending.size()));
  PendingOperation& pending = mPending[index];
  if (mHealed) {
    ExecuteOperation(pending);
    DeliverResult(index, false);
    return;
  }
  if (!pending.mExecuted && !Fault(30) && (!pending.mSlow || Chance(1))) {
    ExecuteOperation(pending);
    return;
  }
  if (pending.mTimedOut) {
    if (pending.mExecuted || Chance(pending.mSlow ? 1 : 10)) {
      EraseAt(mPending, index);
    }
    return;
  }
  if (!mProcesses[pending.mProcess].mPaused) {
    DeliverResult(index, !pending.mExecuted || Fault(50));
  }
}

void
PolicyFleet::ExecuteOperation(PendingOperation& aPending)
{
  if (aPending.mExecuted) {
    return;
  }
  aPending.mExecuted = true;
  if (const auto* read = std::get_if<ReadLog>(&aPending.mAction)) {
    aPending.mRows = ReadTable(*read);
  } else if (const auto* insert =
               std::get_if<InsertLogRow>(&aPending.mAction)) {
    aPending.mInsert = InsertIntoTable(insert->mRow);
  } else if (std::holds_alternative<ReadSnapshot>(aPending.mAction)) {
    aPending.mSnapshot.mReached = !mObjectStoreDown;
    if (!mObjectStoreDown && !mSnapshots.empty()) {
      aPending.mSnapshot.mText = mSnapshots.rbegin()->second;
    }
  } else if (const auto* write =
               std::get_if<WriteSnapshot>(&aPending.mAction)) {
    aPending.mWritten = !mObjectStoreDown;
    if (!mObjectStoreDown) {
      mSnapshots[write->mVersion] = write->mText;
    }
  } else if (const auto* compact = std::get_if<CompactLog>(&aPending.mAction)) {
    mTable.erase(mTable.begin(), mTable.lower_bound(compact->mRowsBelow));
    mSnapshots.erase(mSnapshots.begin(),
                     mSnapshots.lower_bound(compact->mSnapshotsBelow));
  } else if (const auto* pull = std::get_if<PullFromPeer>(&aPending.mAction)) {
    const Process& peer = mProcesses[Draw(kProcesses)];
    if (!peer.mPaused) {
      aPending.mDelta = peer.mLog->DeltaAfter(pull->mAfter);
    }
  }
}

std::optional<std::vector<LogRow>>
PolicyFleet::ReadTable(const ReadLog& aRead)
{
  if (mTableDown) {
    return std::nullopt;
  }
  std::vector<LogRow> rows;
  for (auto row = mTable.upper_bound(aRead.mAfter);
       row != mTable.end() && rows.size() < aRead.mLimit;
       ++row) {
    rows.push_back({ row->first, row->second });
  }
  return rows;
}

InsertOutcome
PolicyFleet::InsertIntoTable(const LogRow& aRow)
{
  if (mTableDown) {
    return Chance(30) ? InsertOutcome::Unknown : InsertOutcome::NotSent;
  }
  const bool follows =
    aRow.mVersion == 1 ? !mLogStarted : mTable.contains(aRow.mVersion - 1);
  if (!follows || mTable.contains(aRow.mVersion)) {
    return InsertOutcome::Refused;
  }
  mLogStarted = true;
  mTable[aRow.mVersion] = aRow.mText;
  RC_ASSERT(!mHistory.contains(aRow.mVersion));
  mHistory[aRow.mVersion] = ChangeFromJson(aRow.mText).mValue;
  return InsertOutcome::Inserted;
}

void
PolicyFleet::DeliverResult(size_t aIndex, bool aLost)
{
  PendingOperation pending = mPending[aIndex];
  if (aLost && !pending.mExecuted) {
    mPending[aIndex].mTimedOut = true;
  } else {
    EraseAt(mPending, aIndex);
  }
  Process& process = mProcesses[pending.mProcess];
  if (process.mIncarnation != pending.mIncarnation || pending.mTimedOut) {
    return;
  }
  PolicyLog& log = *process.mLog;
  PolicyLogActions out;
  if (std::holds_alternative<ReadLog>(pending.mAction)) {
    out = log.OnRows(aLost ? std::nullopt : pending.mRows, mNow);
  } else if (std::holds_alternative<InsertLogRow>(pending.mAction)) {
    out =
      log.OnInserted(aLost ? InsertOutcome::Unknown : pending.mInsert, mNow);
  } else if (std::holds_alternative<ReadSnapshot>(pending.mAction)) {
    out =
      log.OnSnapshot(aLost ? SnapshotReadResult() : pending.mSnapshot, mNow);
  } else if (std::holds_alternative<WriteSnapshot>(pending.mAction)) {
    out = log.OnSnapshotWritten(!aLost && pending.mWritten, mNow);
  } else if (std::holds_alternative<PullFromPeer>(pending.mAction)) {
    out = log.OnPulled(aLost ? std::nullopt : pending.mDelta, mNow);
  }
  Execute(pending.mProcess, std::move(out));
}

void
PolicyFleet::CheckRecord(const std::string& aId,
                         const ProposalRecord& aRecord,
                         const std::map<std::string, uint64_t>& aVersionById)
{
  const auto found = aVersionById.find(aId);
  const bool logged = found != aVersionById.end();
  std::vector<ProposalAnswer> answers = aRecord.mAnswers;
  answers.insert(
    answers.end(), aRecord.mQueryAnswers.begin(), aRecord.mQueryAnswers.end());
  for (const ProposalAnswer& answer : answers) {
    if (answer.mOutcome == ProposalOutcome::Accepted) {
      RC_ASSERT(logged && found->second == answer.mVersion);
    }
    if (answer.mOutcome == ProposalOutcome::NotAccepted) {
      RC_ASSERT(!logged);
    }
  }
  if (aRecord.mProposals == 1) {
    for (const ProposalAnswer& answer : aRecord.mAnswers) {
      const bool clear = answer.mOutcome != ProposalOutcome::Accepted &&
                         answer.mOutcome != ProposalOutcome::Unknown;
      RC_ASSERT(!(clear && logged));
    }
  }
  if (logged && aRecord.mChange.mBaseVersion) {
    CheckNoChangeBetween(aRecord.mChange, found->second);
  }
}

void
PolicyFleet::CheckNoChangeBetween(const PolicyChange& aChange,
                                  uint64_t aVersion)
{
  const std::string object = ObjectOf(aChange);
  for (const auto& [version, change] : mHistory) {
    if (version > *aChange.mBaseVersion && version < aVersion) {
      RC_ASSERT(ObjectOf(change) != object);
    }
  }
}

std::string
PolicyFleet::ObjectOf(const PolicyChange& aChange)
{
  const PolicyOperation& operation = aChange.mOperations.front();
  if (const auto* set = std::get_if<SetClass>(&operation)) {
    return "class/" + set->mClass.mName;
  }
  if (const auto* removal = std::get_if<RemoveClass>(&operation)) {
    return "class/" + removal->mName;
  }
  if (const auto* drained = std::get_if<SetDrained>(&operation)) {
    return "upstream/" + drained->mUpstream;
  }
  return "change";
}

} // namespace model
