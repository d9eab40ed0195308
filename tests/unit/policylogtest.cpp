#include "libtrefoilarch/policylog.h"

#include "libtrefoilarch/policycodec.h"

#include "modelchance.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <map>
#include <memory>

using namespace trefoilarch;

namespace {

constexpr size_t kProcesses = 3;
constexpr int kSteps = 800;
const Millis kProposalSpan{ 5000 };

RequestClass
ClassOf(const std::string& aName, int64_t aDeadline)
{
  RequestClass value;
  value.mName = aName;
  value.mDeadline = Millis(aDeadline);
  return value;
}

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
  InsertEnd mInsert = InsertEnd::Unknown;
  SnapshotFound mSnapshot;
  bool mWritten = false;
  std::optional<PolicyDelta> mDelta;
};

/**
 * Several processes round one table and one object store, in virtual time.
 * Reads and writes take effect late, in any order, and lose their answers;
 * processes pause, restart and hear of each other's versions.
 */
class Fleet : private ModelChance
{
public:
  explicit Fleet(uint32_t aSeed)
    : ModelChance(aSeed)
  {
    for (size_t each = 0; each < kProcesses; ++each) {
      Boot(each);
    }
  }

  void Step()
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
        return Ask(Draw(kProcesses));
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

  /** Ends all faults and lets everything finish. */
  void Heal()
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

  void CheckAll()
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

  void PauseOrWake(Process& aProcess)
  {
    aProcess.mPaused = aProcess.mPaused ? Chance(85) : Fault(40);
  }

  void Boot(size_t aProcess)
  {
    Process& process = mProcesses[aProcess];
    process.mLog =
      std::make_unique<PolicyLog>(PolicyLogOptions{ .mReadLimit = 3,
                                                    .mSnapshotEvery = 4,
                                                    .mKeptChanges = 3,
                                                    .mKeptRows = 5,
                                                    .mSeed = mRandom() });
    process.mLog->SetPeerCount(kProcesses - 1);
    ++process.mLife;
    process.mAdopted = 0;
    process.mProposals.clear();
    process.mQuestions.clear();
    Carry(aProcess, process.mLog->OnTick(mNow));
  }

  PolicyChange DrawChange(const Process& aProcess)
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

  void Send(size_t aProcess, const PolicyChange& aChange)
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

  void Propose(size_t aProcess)
  {
    Send(aProcess, DrawChange(mProcesses[aProcess]));
  }

  /** An operator that got no clear answer repeats the id somewhere. */
  void ProposeAgain(size_t aProcess)
  {
    const Told* told = DrawTold();
    if (told != nullptr) {
      Send(aProcess, PolicyChange(told->mChange));
    }
  }

  void Ask(size_t aProcess)
  {
    Process& process = mProcesses[aProcess];
    const Told* told = DrawTold();
    if (process.mPaused || told == nullptr) {
      return;
    }
    const uint64_t number = ++mLastNumber;
    process.mQuestions[number] = told->mChange.mId;
    Carry(
      aProcess,
      process.mLog->Ask(number, told->mChange.mId, mNow + kProposalSpan, mNow));
  }

  const Told* DrawTold()
  {
    if (mTold.empty()) {
      return nullptr;
    }
    auto place = mTold.begin();
    std::advance(place, Draw(static_cast<uint32_t>(mTold.size())));
    return &place->second;
  }

  void Gossip(size_t aFrom, size_t aTo)
  {
    Process& to = mProcesses[aTo];
    if (!to.mPaused) {
      const uint64_t version = mProcesses[aFrom].mLog->State().Version();
      Carry(aTo, to.mLog->OnVersionSeen(version, mNow));
    }
  }

  void Advance(Millis aSpan)
  {
    mNow += aSpan;
    for (size_t each = 0; each < kProcesses; ++each) {
      Process& process = mProcesses[each];
      if (!process.mPaused && process.mLog->NextWake() <= mNow) {
        Carry(each, process.mLog->OnTick(mNow));
      }
    }
  }

  void Carry(size_t aProcess, PolicyLogActions aActions)
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

  /** Versions only rise, and a version is the same policy everywhere. */
  void CheckAdopted(Process& aProcess, const Policy& aPolicy)
  {
    RC_ASSERT(aPolicy.mVersion > aProcess.mAdopted);
    aProcess.mAdopted = aPolicy.mVersion;
    const auto [place, fresh] =
      mPolicies.try_emplace(aPolicy.mVersion, aPolicy);
    RC_ASSERT(place->second == aPolicy);
    RC_ASSERT(mHistory.contains(aPolicy.mVersion));
  }

  void NoteAnswer(Process& aProcess, const ProposalAnswered& aAnswer)
  {
    const auto proposal = aProcess.mProposals.find(aAnswer.mProposal);
    const ProposalAnswer& answer = aAnswer.mAnswer;
    if (proposal != aProcess.mProposals.end()) {
      mTold[proposal->second].mAnswers.push_back(answer);
      if (answer.mEnd == ProposalEnd::Accepted) {
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

  /** One step of one thing under way. */
  void MovePending()
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

  void Execute(Pending& aOne)
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

  std::optional<std::vector<LogRow>> TableRead(const ReadLog& aRead)
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

  InsertEnd TableInsert(const LogRow& aRow)
  {
    if (mTableDown) {
      return Chance(30) ? InsertEnd::Unknown : InsertEnd::NotSent;
    }
    const bool follows =
      aRow.mVersion == 1 ? !mBegun : mTable.contains(aRow.mVersion - 1);
    if (!follows || mTable.contains(aRow.mVersion)) {
      return InsertEnd::Refused;
    }
    mBegun = true;
    mTable[aRow.mVersion] = aRow.mText;
    RC_ASSERT(!mHistory.contains(aRow.mVersion));
    mHistory[aRow.mVersion] = ChangeFromJson(aRow.mText).mValue;
    return InsertEnd::Inserted;
  }

  /** Tells the process; a write whose answer is lost may still come true. */
  void Deliver(size_t aPlace, bool aLost)
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
      out = log.OnInserted(aLost ? InsertEnd::Unknown : one.mInsert, mNow);
    } else if (std::holds_alternative<ReadSnapshot>(one.mAction)) {
      out = log.OnSnapshot(aLost ? SnapshotFound() : one.mSnapshot, mNow);
    } else if (std::holds_alternative<WriteSnapshot>(one.mAction)) {
      out = log.OnSnapshotWritten(!aLost && one.mWritten, mNow);
    } else if (std::holds_alternative<PullFromPeer>(one.mAction)) {
      out = log.OnPulled(aLost ? std::nullopt : one.mDelta, mNow);
    }
    Carry(one.mProcess, std::move(out));
  }

  void CheckTold(const std::string& aId,
                 const Told& aTold,
                 const std::map<std::string, uint64_t>& aPlaceOf)
  {
    const auto place = aPlaceOf.find(aId);
    const bool logged = place != aPlaceOf.end();
    std::vector<ProposalAnswer> all = aTold.mAnswers;
    all.insert(all.end(), aTold.mAskAnswers.begin(), aTold.mAskAnswers.end());
    for (const ProposalAnswer& answer : all) {
      if (answer.mEnd == ProposalEnd::Accepted) {
        RC_ASSERT(logged && place->second == answer.mVersion);
      }
      if (answer.mEnd == ProposalEnd::NotAccepted) {
        RC_ASSERT(!logged);
      }
    }
    if (aTold.mProposals == 1) {
      for (const ProposalAnswer& answer : aTold.mAnswers) {
        const bool clear = answer.mEnd != ProposalEnd::Accepted &&
                           answer.mEnd != ProposalEnd::Unknown;
        RC_ASSERT(!(clear && logged));
      }
    }
    if (logged && aTold.mChange.mBaseVersion) {
      CheckNothingBetween(aTold.mChange, place->second);
    }
  }

  /** No other change of the same object between base and acceptance. */
  void CheckNothingBetween(const PolicyChange& aChange, uint64_t aVersion)
  {
    const std::string object = ObjectOf(aChange);
    for (const auto& [version, change] : mHistory) {
      if (version > *aChange.mBaseVersion && version < aVersion) {
        RC_ASSERT(ObjectOf(change) != object);
      }
    }
  }

  static std::string ObjectOf(const PolicyChange& aChange)
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

} // namespace

Test(policylog, random_faults_break_no_promise)
{
  size_t accepted = 0;
  const bool holds = rc::check([&](uint32_t aSeed) {
    Fleet fleet(aSeed);
    for (int step = 0; step < kSteps; ++step) {
      fleet.Step();
    }
    fleet.Heal();
    fleet.CheckAll();
    accepted += fleet.Accepted();
  });
  cr_assert(holds);
  cr_assert(accepted > 500, "too few changes were accepted: %zu", accepted);
}

Test(policylog, an_older_snapshot_changes_nothing)
{
  PolicyLog ahead({});
  ahead.OnTick(Millis(0));
  std::string old;
  for (uint64_t version = 1; version <= 2; ++version) {
    PolicyChange change;
    change.mId = std::to_string(version);
    change.mOperations = { SetDrained{ "engine-" + change.mId, true } };
    PolicyDelta delta;
    delta.mRows = { { version, ChangeToJson(change) } };
    ahead.OnPulled(delta, Millis(0));
    if (version == 1) {
      old = StateToJson(ahead.State());
    }
  }
  const Policy before = *ahead.State().mPolicy;
  ahead.OnSnapshot({ true, old }, Millis(0));
  cr_assert(*ahead.State().mPolicy == before);
  ahead.OnPulled(PolicyDelta{ 1, old, {} }, Millis(0));
  cr_assert(*ahead.State().mPolicy == before);
  cr_assert(before.mVersion == 2);
}
