#include "policyfleet.h"

#include "libtrefoilarch/policycodec.h"

#include <rapidcheck.h>

#include <algorithm>

namespace model {

namespace {

const Millis kProposalSpan{ 5000 };

RequestClass
ClassOf(const std::string& aName, int64_t aDeadline)
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
  for (size_t each = 0; each < kProcesses; ++each) {
    Boot(each);
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
      return PauseOrWake(mProcesses[Draw(kProcesses)]);
    case 4:
      if (Fault(20)) {
        Boot(Draw(kProcesses));
      }
      return;
    case 5:
      mTableDown = Fault(40);
      mObjectsDown = Fault(40);
      return;
    case 6:
      return Gossip(Draw(kProcesses), Draw(kProcesses));
    case 7:
    case 8:
      return Advance(Millis(static_cast<int64_t>(Draw(1500))));
    default:
      for (int move = 0; move < 4; ++move) {
        MovePending();
      }
  }
}

void
PolicyFleet::Heal()
{
  mTableDown = false;
  mObjectsDown = false;
  mHealed = true;
  for (Process& process : mProcesses) {
    process.mPaused = false;
  }
  for (int round = 0; round < 400; ++round) {
    for (int moves = 0; moves < 30 && !mPending.empty(); ++moves) {
      MovePending();
    }
    Advance(Millis(100));
  }
}

void
PolicyFleet::CheckAll()
{
  uint64_t expected = 0;
  std::map<std::string, uint64_t> placeOf;
  for (const auto& [version, change] : mHistory) {
    RC_ASSERT(version == ++expected);
    RC_ASSERT(!placeOf.contains(change.mId));
    placeOf[change.mId] = version;
  }
  for (const Process& process : mProcesses) {
    RC_ASSERT(process.mLog->State().Version() == expected);
  }
  for (const auto& [id, told] : mTold) {
    CheckTold(id, told, placeOf);
  }
  for (const Process& process : mProcesses) {
    RC_ASSERT(process.mProposals.empty()); // each was answered
    RC_ASSERT(process.mQuestions.empty());
  }
}

void
PolicyFleet::PauseOrWake(Process& aProcess)
{
  aProcess.mPaused = aProcess.mPaused ? Chance(85) : Fault(40);
}

void
PolicyFleet::Boot(size_t aProcess)
{
  Process& process = mProcesses[aProcess];
  process.mLog =
    std::make_unique<PolicyLog>(PolicyLogOptions{ .mReadLimit = 3,
                                                  .mSnapshotEvery = 4,
                                                  .mRetainedChanges = 3,
                                                  .mRetainedRows = 5,
                                                  .mSeed = mRandom() });
  process.mLog->SetPeerCount(kProcesses - 1);
  ++process.mLife;
  process.mAdopted = 0;
  process.mProposals.clear();
  process.mQuestions.clear();
  Carry(aProcess, process.mLog->OnTick(mNow));
}

PolicyChange
PolicyFleet::DrawChange(const Process& aProcess)
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
      SetClass{ ClassOf(name, 1 + static_cast<int64_t>(Draw(1000))) });
  }
  return change;
}

void
PolicyFleet::Send(size_t aProcess, const PolicyChange& aChange)
{
  Process& process = mProcesses[aProcess];
  if (process.mPaused) {
    return;
  }
  Told& told = mTold[aChange.mId];
  told.mChange = aChange;
  ++told.mProposals;
  const uint64_t number = ++mLastNumber;
  process.mProposals[number] = aChange.mId;
  Carry(aProcess,
        process.mLog->Propose(number, aChange, mNow + kProposalSpan, mNow));
}

void
PolicyFleet::Propose(size_t aProcess)
{
  Send(aProcess, DrawChange(mProcesses[aProcess]));
}

void
PolicyFleet::ProposeAgain(size_t aProcess)
{
  const Told* told = DrawTold();
  if (told != nullptr) {
    Send(aProcess, PolicyChange(told->mChange));
  }
}

void
PolicyFleet::QueryChange(size_t aProcess)
{
  Process& process = mProcesses[aProcess];
  const Told* told = DrawTold();
  if (process.mPaused || told == nullptr) {
    return;
  }
  const uint64_t number = ++mLastNumber;
  process.mQuestions[number] = told->mChange.mId;
  Carry(aProcess,
        process.mLog->QueryChange(
          number, told->mChange.mId, mNow + kProposalSpan, mNow));
}

const Told*
PolicyFleet::DrawTold()
{
  if (mTold.empty()) {
    return nullptr;
  }
  auto place = mTold.begin();
  std::advance(place, Draw(static_cast<uint32_t>(mTold.size())));
  return &place->second;
}

void
PolicyFleet::Gossip(size_t aFrom, size_t aTo)
{
  Process& to = mProcesses[aTo];
  if (!to.mPaused) {
    const uint64_t version = mProcesses[aFrom].mLog->State().Version();
    Carry(aTo, to.mLog->OnVersionSeen(version, mNow));
  }
}

void
PolicyFleet::Advance(Millis aSpan)
{
  mNow += aSpan;
  for (size_t each = 0; each < kProcesses; ++each) {
    Process& process = mProcesses[each];
    if (!process.mPaused && process.mLog->NextWake() <= mNow) {
      Carry(each, process.mLog->OnTick(mNow));
    }
  }
}

void
PolicyFleet::Carry(size_t aProcess, PolicyLogActions aActions)
{
  Process& process = mProcesses[aProcess];
  for (PolicyLogAction& action : aActions) {
    if (const auto* adopted = std::get_if<PolicyAdopted>(&action)) {
      CheckAdopted(process, *adopted->mPolicy);
    } else if (const auto* answer = std::get_if<ProposalAnswered>(&action)) {
      NoteAnswer(process, *answer);
    } else {
      Pending& pending = mPending.emplace_back();
      pending.mProcess = aProcess;
      pending.mLife = process.mLife;
      pending.mAction = std::move(action);
      pending.mSlow = Fault(10);
    }
  }
}

void
PolicyFleet::CheckAdopted(Process& aProcess, const Policy& aPolicy)
{
  RC_ASSERT(aPolicy.mVersion > aProcess.mAdopted);
  aProcess.mAdopted = aPolicy.mVersion;
  const auto [place, fresh] = mPolicies.try_emplace(aPolicy.mVersion, aPolicy);
  RC_ASSERT(place->second == aPolicy);
  RC_ASSERT(mHistory.contains(aPolicy.mVersion));
}

void
PolicyFleet::NoteAnswer(Process& aProcess, const ProposalAnswered& aAnswer)
{
  const auto proposal = aProcess.mProposals.find(aAnswer.mProposal);
  const ProposalAnswer& answer = aAnswer.mAnswer;
  if (proposal != aProcess.mProposals.end()) {
    mTold[proposal->second].mAnswers.push_back(answer);
    if (answer.mOutcome == ProposalOutcome::Accepted) {
      // In force here before its author hears of it.
      RC_ASSERT(aProcess.mAdopted >= answer.mVersion);
    }
    aProcess.mProposals.erase(proposal);
    return;
  }
  const auto question = aProcess.mQuestions.find(aAnswer.mProposal);
  RC_ASSERT(question != aProcess.mQuestions.end());
  mTold[question->second].mAskAnswers.push_back(answer);
  aProcess.mQuestions.erase(question);
}

void
PolicyFleet::MovePending()
{
  if (mPending.empty()) {
    return;
  }
  const size_t place = Draw(static_cast<uint32_t>(mPending.size()));
  Pending& one = mPending[place];
  if (mHealed) {
    Execute(one);
    Deliver(place, false);
    return;
  }
  if (!one.mExecuted && !Fault(30) && (!one.mSlow || Chance(1))) {
    Execute(one);
    return;
  }
  if (one.mForgotten) {
    if (one.mExecuted || Chance(one.mSlow ? 1 : 10)) {
      EraseAt(mPending, place);
    }
    return;
  }
  if (!mProcesses[one.mProcess].mPaused) {
    Deliver(place, !one.mExecuted || Fault(50));
  }
}

void
PolicyFleet::Execute(Pending& aOne)
{
  if (aOne.mExecuted) {
    return;
  }
  aOne.mExecuted = true;
  if (const auto* read = std::get_if<ReadLog>(&aOne.mAction)) {
    aOne.mRows = TableRead(*read);
  } else if (const auto* insert = std::get_if<InsertLogRow>(&aOne.mAction)) {
    aOne.mInsert = TableInsert(insert->mRow);
  } else if (std::holds_alternative<ReadSnapshot>(aOne.mAction)) {
    aOne.mSnapshot.mReached = !mObjectsDown;
    if (!mObjectsDown && !mSnapshots.empty()) {
      aOne.mSnapshot.mText = mSnapshots.rbegin()->second;
    }
  } else if (const auto* write = std::get_if<WriteSnapshot>(&aOne.mAction)) {
    aOne.mWritten = !mObjectsDown;
    if (!mObjectsDown) {
      mSnapshots[write->mVersion] = write->mText;
    }
  } else if (const auto* compact = std::get_if<CompactLog>(&aOne.mAction)) {
    mTable.erase(mTable.begin(), mTable.lower_bound(compact->mRowsBelow));
    mSnapshots.erase(mSnapshots.begin(),
                     mSnapshots.lower_bound(compact->mSnapshotsBelow));
  } else if (const auto* pull = std::get_if<PullFromPeer>(&aOne.mAction)) {
    const Process& peer = mProcesses[Draw(kProcesses)];
    if (!peer.mPaused) {
      aOne.mDelta = peer.mLog->DeltaAfter(pull->mAfter);
    }
  }
}

std::optional<std::vector<LogRow>>
PolicyFleet::TableRead(const ReadLog& aRead)
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
PolicyFleet::TableInsert(const LogRow& aRow)
{
  if (mTableDown) {
    return Chance(30) ? InsertOutcome::Unknown : InsertOutcome::NotSent;
  }
  const bool follows =
    aRow.mVersion == 1 ? !mBegun : mTable.contains(aRow.mVersion - 1);
  if (!follows || mTable.contains(aRow.mVersion)) {
    return InsertOutcome::Refused;
  }
  mBegun = true;
  mTable[aRow.mVersion] = aRow.mText;
  RC_ASSERT(!mHistory.contains(aRow.mVersion));
  mHistory[aRow.mVersion] = ChangeFromJson(aRow.mText).mValue;
  return InsertOutcome::Inserted;
}

void
PolicyFleet::Deliver(size_t aPlace, bool aLost)
{
  Pending one = mPending[aPlace];
  if (aLost && !one.mExecuted) {
    mPending[aPlace].mForgotten = true;
  } else {
    EraseAt(mPending, aPlace);
  }
  Process& process = mProcesses[one.mProcess];
  if (process.mLife != one.mLife || one.mForgotten) {
    return;
  }
  PolicyLog& log = *process.mLog;
  PolicyLogActions out;
  if (std::holds_alternative<ReadLog>(one.mAction)) {
    out = log.OnRows(aLost ? std::nullopt : one.mRows, mNow);
  } else if (std::holds_alternative<InsertLogRow>(one.mAction)) {
    out = log.OnInserted(aLost ? InsertOutcome::Unknown : one.mInsert, mNow);
  } else if (std::holds_alternative<ReadSnapshot>(one.mAction)) {
    out = log.OnSnapshot(aLost ? SnapshotReadResult() : one.mSnapshot, mNow);
  } else if (std::holds_alternative<WriteSnapshot>(one.mAction)) {
    out = log.OnSnapshotWritten(!aLost && one.mWritten, mNow);
  } else if (std::holds_alternative<PullFromPeer>(one.mAction)) {
    out = log.OnPulled(aLost ? std::nullopt : one.mDelta, mNow);
  }
  Carry(one.mProcess, std::move(out));
}

void
PolicyFleet::CheckTold(const std::string& aId,
                       const Told& aTold,
                       const std::map<std::string, uint64_t>& aPlaceOf)
{
  const auto place = aPlaceOf.find(aId);
  const bool logged = place != aPlaceOf.end();
  std::vector<ProposalAnswer> all = aTold.mAnswers;
  all.insert(all.end(), aTold.mAskAnswers.begin(), aTold.mAskAnswers.end());
  for (const ProposalAnswer& answer : all) {
    if (answer.mOutcome == ProposalOutcome::Accepted) {
      RC_ASSERT(logged && place->second == answer.mVersion);
    }
    if (answer.mOutcome == ProposalOutcome::NotAccepted) {
      RC_ASSERT(!logged);
    }
  }
  if (aTold.mProposals == 1) {
    for (const ProposalAnswer& answer : aTold.mAnswers) {
      const bool clear = answer.mOutcome != ProposalOutcome::Accepted &&
                         answer.mOutcome != ProposalOutcome::Unknown;
      RC_ASSERT(!(clear && logged));
    }
  }
  if (logged && aTold.mChange.mBaseVersion) {
    CheckNothingBetween(aTold.mChange, place->second);
  }
}

void
PolicyFleet::CheckNothingBetween(const PolicyChange& aChange, uint64_t aVersion)
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
  const PolicyOperation& one = aChange.mOperations.front();
  if (const auto* set = std::get_if<SetClass>(&one)) {
    return "class/" + set->mClass.mName;
  }
  if (const auto* removal = std::get_if<RemoveClass>(&one)) {
    return "class/" + removal->mName;
  }
  if (const auto* drained = std::get_if<SetDrained>(&one)) {
    return "upstream/" + drained->mUpstream;
  }
  return "change";
}

} // namespace model
