#include "libtrefoilarch/claims.h"

#include "modelrandom.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <array>
#include <map>
#include <memory>
#include <set>

using namespace trefoilarch;

namespace {

constexpr size_t kEntries = 3;
constexpr int kSteps = 600;
constexpr int64_t kEpochSeconds = 1000;

/** What happened to one request. */
struct RequestRecord
{
  std::string mKey;
  size_t mEntry = 0;
  int mIncarnation = 0;
  std::optional<ClaimOutcome> mOutcome;
  bool mStarted = false;
  std::optional<CachedAnswer> mAnswer;
};

struct PendingOperation
{
  size_t mEntry = 0;
  int mIncarnation = 0;
  ClaimAction mAction;
  bool mSlow = false;
  bool mExecuted = false;
  bool mReplyLost = false;
  ClaimCommit mCommit;
  ClaimReport mReport;
};

/**
 * Entries sharing a table whose writes may be late and whose replies may be
 * lost.
 */
class Fleet : private ModelRandom
{
public:
  explicit Fleet(uint32_t aSeed)
    : ModelRandom(aSeed)
  {
    for (size_t index = 0; index < kEntries; ++index) {
      mEntries[index].mSkew =
        static_cast<int64_t>(Draw(kEpochSeconds)) - kEpochSeconds / 2;
      Boot(index);
    }
  }

  void Step()
  {
    switch (Draw(24)) {
      case 0:
      case 1:
      case 2:
        return SendRandom(Draw(kEntries));
      case 3:
      case 4:
      case 5:
        return FinishOne();
      case 6:
        return PauseOrResume(mEntries[Draw(kEntries)]);
      case 7:
        if (Fault(10)) {
          Boot(Draw(kEntries));
        }
        return;
      case 8:
        mTableDown = Fault(40);
        return;
      case 9:
      case 10:
        return Advance(Millis(Draw(900)));
      default:
        return AdvancePending();
    }
  }

  void EndFaults()
  {
    mTableDown = false;
    mFaultsEnded = true;
    for (Entry& entry : mEntries) {
      entry.mPaused = false;
    }
    for (int round = 0; round < 200; ++round) {
      for (int advances = 0; advances < 30; ++advances) {
        AdvancePending();
      }
      Advance(Millis(100));
    }
  }

  /** Each request of a running entry was answered; no key has run twice. */
  void CheckAll()
  {
    std::map<std::string, int> runs;
    for (const auto& [id, record] : mRequests) {
      if (mEntries[record.mEntry].mIncarnation == record.mIncarnation) {
        RC_ASSERT(record.mOutcome.has_value());
      }
      runs[record.mKey] += record.mStarted ? 1 : 0;
      RC_ASSERT(!record.mStarted || record.mOutcome == ClaimOutcome::Run);
    }
    for (const auto& [key, count] : runs) {
      RC_ASSERT(count <= 1);
      mRuns += count;
    }
  }

  /** If none of a key's requests ran, the next one may run. */
  void CheckKeysAreFree()
  {
    for (const std::string& key : mUsedKeys) {
      bool free = true;
      for (const auto& [id, record] : mRequests) {
        const bool alive =
          mEntries[record.mEntry].mIncarnation == record.mIncarnation;
        free &= record.mKey != key ||
                (alive && record.mOutcome != ClaimOutcome::Run) ||
                (alive && mNotRun.contains(id));
      }
      if (!free) {
        continue;
      }
      const RequestId id = Send(Draw(kEntries), key);
      for (int round = 0; round < 20; ++round) {
        EndFaults();
        if (mRequests.at(id).mOutcome) {
          break;
        }
      }
      RC_ASSERT(mRequests.at(id).mOutcome == ClaimOutcome::Run);
      ++mReusedKeys;
    }
  }

  int Runs() const { return mRuns; }
  int ReusedKeys() const { return mReusedKeys; }
  int Repeats() const { return mRepeats; }

private:
  struct Entry
  {
    std::unique_ptr<Claims> mClaims;
    int mIncarnation = 0;
    bool mPaused = false;
    int64_t mSkew = 0;
  };

  int64_t SecondsAt(size_t aEntry) const
  {
    return 100 * kEpochSeconds + mNow.Count() / 1000 + mEntries[aEntry].mSkew;
  }

  void Boot(size_t aEntry)
  {
    Entry& entry = mEntries[aEntry];
    ++entry.mIncarnation;
    entry.mClaims = std::make_unique<Claims>(
      ClaimOptions{ .mAddress = "entry-" + std::to_string(aEntry),
                    .mMaxBatchSize = 3,
                    .mEpochSeconds = kEpochSeconds,
                    .mSeed = mRandom() });
  }

  void PauseOrResume(Entry& aEntry)
  {
    aEntry.mPaused = aEntry.mPaused ? Chance(80) : Fault(40);
  }

  void SendRandom(size_t aEntry)
  {
    if (!mEntries[aEntry].mPaused) {
      Send(aEntry, "key-" + std::to_string(Draw(6)));
    }
  }

  RequestId Send(size_t aEntry, const std::string& aKey)
  {
    mUsedKeys.insert(aKey);
    const RequestId id{ 7, ++mLastId };
    mRequests[id] = {
      aKey, aEntry, mEntries[aEntry].mIncarnation, {}, false, {}
    };
    Perform(aEntry,
            mEntries[aEntry].mClaims->Claim(
              { id, aKey, "same" }, SecondsAt(aEntry), mNow));
    return id;
  }

  /**
   * One of the requests that were allowed to run starts, ends or is given up.
   */
  void FinishOne()
  {
    if (mRunning.empty()) {
      return;
    }
    auto position = mRunning.begin();
    std::advance(position, Draw(static_cast<uint32_t>(mRunning.size())));
    const RequestId id = *position;
    RequestRecord& record = mRequests.at(id);
    Entry& entry = mEntries[record.mEntry];
    if (entry.mPaused) {
      return;
    }
    mRunning.erase(position);
    if (entry.mIncarnation != record.mIncarnation) {
      return;
    }
    if (Chance(30)) {
      mNotRun.insert(id);
      entry.mClaims->NotRun(id);
      return;
    }
    record.mStarted = true;
    if (Chance(25)) {
      entry.mClaims->MaybeRan(id);
      return;
    }
    record.mAnswer = CachedAnswer{ 200, "text/plain", id.Text() };
    entry.mClaims->Answered(id, *record.mAnswer);
  }

  void Advance(Millis aDuration)
  {
    mNow += aDuration;
    for (size_t index = 0; index < kEntries; ++index) {
      Entry& entry = mEntries[index];
      if (!entry.mPaused && entry.mClaims->NextWake() <= mNow) {
        Perform(index, entry.mClaims->OnTick(SecondsAt(index), mNow));
      }
    }
  }

  void Perform(size_t aEntry, ClaimActions aActions)
  {
    for (ClaimAction& action : aActions) {
      if (const auto* decided = std::get_if<ClaimDecided>(&action)) {
        RecordDecision(*decided);
        continue;
      }
      PendingOperation& pending = mPending.emplace_back();
      pending.mEntry = aEntry;
      pending.mIncarnation = mEntries[aEntry].mIncarnation;
      pending.mAction = std::move(action);
      pending.mSlow = Fault(15);
    }
  }

  void RecordDecision(const ClaimDecided& aDecided)
  {
    RequestRecord& record = mRequests.at(aDecided.mId);
    RC_ASSERT(!record.mOutcome.has_value());
    record.mOutcome = aDecided.mOutcome;
    if (aDecided.mOutcome == ClaimOutcome::Run) {
      mRunning.insert(aDecided.mId);
    }
    if (aDecided.mOutcome == ClaimOutcome::Finished) {
      ++mRepeats;
      const RequestId first = FirstOf(record.mKey);
      RC_ASSERT(aDecided.mAnswer && mRequests.contains(first));
      RC_ASSERT(*aDecided.mAnswer == *mRequests.at(first).mAnswer);
    }
  }

  RequestId FirstOf(const std::string& aKey) const
  {
    for (const auto& [id, record] : mRequests) {
      if (record.mKey == aKey && record.mAnswer) {
        return id;
      }
    }
    return {};
  }

  void AdvancePending()
  {
    if (mPending.empty()) {
      return;
    }
    const size_t position = Draw(static_cast<uint32_t>(mPending.size()));
    PendingOperation& operation = mPending[position];
    const bool mayExecute = mFaultsEnded || !operation.mSlow || Chance(2);
    if (!operation.mExecuted && mayExecute && (mFaultsEnded || !Fault(30))) {
      Execute(operation);
    } else if (operation.mReplyLost) {
      if (operation.mExecuted || Chance(operation.mSlow ? 1 : 10)) {
        EraseAt(mPending, position);
      }
    } else if (!mEntries[operation.mEntry].mPaused) {
      Deliver(position, !operation.mExecuted || (!mFaultsEnded && Fault(50)));
    }
  }

  void Execute(PendingOperation& aOperation)
  {
    aOperation.mExecuted = true;
    if (const auto* commit = std::get_if<CommitClaims>(&aOperation.mAction)) {
      aOperation.mCommit = TableCommit(*commit);
    } else if (const auto* query =
                 std::get_if<QueryClaimant>(&aOperation.mAction)) {
      const size_t entry = query->mAddress.back() - '0';
      if (!mEntries[entry].mPaused) {
        aOperation.mReport = mEntries[entry].mClaims->Report(query->mRequest);
      }
    } else if (const auto* expired =
                 std::get_if<ExpireClaims>(&aOperation.mAction)) {
      std::erase_if(mTable, [&](const auto& aRow) {
        return aRow.second.mEpoch < expired->mBelowEpoch;
      });
    }
  }

  ClaimCommit TableCommit(const CommitClaims& aCommit)
  {
    ClaimCommit result;
    if (mTableDown) {
      return result;
    }
    bool holds = true;
    for (const ClaimWrite& write : aCommit.mWrites) {
      const auto found = Find(write);
      result.mFound.push_back(found);
      holds &= write.mReplaces
                 ? found && found->mRevision == write.mReplaces->mRevision
                 : !found;
    }
    result.mOutcome =
      holds ? ClaimCommitOutcome::Done : ClaimCommitOutcome::Refused;
    for (const ClaimWrite& write : aCommit.mWrites) {
      if (holds) {
        for (uint64_t back = 0; back < 3; ++back) {
          mTable.erase({ write.mKey, write.mEpoch + 1 - back });
        }
        mTable[{ write.mKey, write.mEpoch }] = { write.mEpoch,
                                                 ++mRevision,
                                                 write.mText };
      }
    }
    return result;
  }

  std::optional<FoundClaim> Find(const ClaimWrite& aWrite) const
  {
    for (uint64_t back = 0; back < 3; ++back) {
      const auto row = mTable.find({ aWrite.mKey, aWrite.mEpoch + 1 - back });
      if (row != mTable.end()) {
        return row->second;
      }
    }
    return std::nullopt;
  }

  void Deliver(size_t aPosition, bool aLost)
  {
    const PendingOperation operation = mPending[aPosition];
    if (aLost && !operation.mExecuted) {
      mPending[aPosition].mReplyLost = true;
    } else {
      EraseAt(mPending, aPosition);
    }
    Entry& entry = mEntries[operation.mEntry];
    if (entry.mIncarnation != operation.mIncarnation || operation.mReplyLost) {
      return;
    }
    const int64_t seconds = SecondsAt(operation.mEntry);
    if (std::holds_alternative<CommitClaims>(operation.mAction)) {
      Perform(operation.mEntry,
              entry.mClaims->OnCommitted(
                aLost ? ClaimCommit() : operation.mCommit, seconds, mNow));
    } else if (const auto* query =
                 std::get_if<QueryClaimant>(&operation.mAction)) {
      Perform(operation.mEntry,
              entry.mClaims->OnClaimantReport(query->mTicket,
                                              aLost ? ClaimReport()
                                                    : operation.mReport,
                                              seconds,
                                              mNow));
    }
  }

  Millis mNow{ 1000 };
  std::array<Entry, kEntries> mEntries;
  std::vector<PendingOperation> mPending;
  std::map<std::pair<std::string, uint64_t>, FoundClaim> mTable;
  int64_t mRevision = 0;
  bool mTableDown = false;
  bool mFaultsEnded = false;
  std::map<RequestId, RequestRecord> mRequests;
  std::set<RequestId> mRunning;
  std::set<RequestId> mNotRun;
  std::set<std::string> mUsedKeys;
  uint64_t mLastId = 0;
  int mRuns = 0;
  int mReusedKeys = 0;
  int mRepeats = 0;
};

RequestId
Id(uint64_t aNumber)
{
  return { 1, aNumber };
}

} // namespace

Test(claims, no_key_runs_twice_over_random_faults)
{
  int runs = 0;
  int reusedKeys = 0;
  int repeats = 0;
  const bool holds = rc::check([&](uint32_t aSeed) {
    Fleet fleet(aSeed);
    for (int step = 0; step < kSteps; ++step) {
      fleet.Step();
    }
    fleet.EndFaults();
    fleet.CheckAll();
    fleet.CheckKeysAreFree();
    runs += fleet.Runs();
    reusedKeys += fleet.ReusedKeys();
    repeats += fleet.Repeats();
  });
  cr_assert(holds);
  cr_assert(runs > 150 && repeats > 100, "%d, %d", runs, repeats);
  cr_assert(reusedKeys > 10, "%d", reusedKeys);
}

Test(claims, waiting_claims_are_committed_together)
{
  Claims claims({ .mAddress = "here" });
  size_t commits = 0;
  size_t writes = 0;
  const auto count = [&](const ClaimActions& aActions) {
    for (const ClaimAction& action : aActions) {
      if (const auto* commit = std::get_if<CommitClaims>(&action)) {
        ++commits;
        writes += commit->mWrites.size();
      }
    }
  };
  for (uint64_t index = 0; index < 30; ++index) {
    count(
      claims.Claim({ Id(index), std::to_string(index), "f" }, 0, Millis(0)));
  }
  cr_assert(commits == 1 && writes == 1);
  count(claims.OnCommitted({ ClaimCommitOutcome::Done, {} }, 0, Millis(5)));
  cr_assert(commits == 2 && writes == 30);
}

Test(claims, a_lost_commit_reply_is_resolved_by_the_row)
{
  Claims claims({ .mAddress = "here" });
  claims.Claim({ Id(1), "key", "f" }, 0, Millis(0));
  claims.OnCommitted({ ClaimCommitOutcome::Unknown, {} }, 0, Millis(10));
  const ClaimActions again = claims.OnTick(0, Millis(200));
  const auto& commit = std::get<CommitClaims>(again.at(0));
  const FoundClaim ours{ 1, 5, commit.mWrites.at(0).mText };
  const ClaimActions out = claims.OnCommitted(
    { ClaimCommitOutcome::Refused, { ours } }, 0, Millis(210));
  cr_assert(std::get<ClaimDecided>(out.at(0)).mOutcome == ClaimOutcome::Run);
}

Test(claims, the_same_key_for_another_request_is_refused)
{
  Claims claims({ .mAddress = "here" });
  claims.Claim({ Id(1), "key", "one" }, 0, Millis(0));
  const ClaimActions out = claims.Claim({ Id(2), "key", "two" }, 0, Millis(0));
  cr_assert(std::get<ClaimDecided>(out.at(0)).mOutcome ==
            ClaimOutcome::OtherIntent);
}

Test(claims, memory_is_bounded)
{
  Claims claims({ .mAddress = "here",
                  .mMaxRemembered = 10,
                  .mMaxCachedBytes = 1000,
                  .mMaxCachedAnswerSize = 300 });
  for (uint64_t index = 0; index < 100; ++index) {
    claims.Claim({ Id(index), std::to_string(index), "f" }, 0, Millis(0));
    claims.OnCommitted({ ClaimCommitOutcome::Done, {} }, 0, Millis(0));
    claims.Answered(Id(index), { 200, "text/plain", std::string(250, 'x') });
    cr_assert(claims.AnswerBytes() <= 1000);
  }
  cr_assert(claims.Remembered() == 10);
  cr_assert(claims.Report(Id(5)).mStatus == ClaimStatus::NotKnown);
  cr_assert(claims.Report(Id(99)).mStatus == ClaimStatus::Finished);
  cr_assert(claims.Report(Id(99)).mAnswer != nullptr);
  cr_assert(claims.Report(Id(93)).mAnswer == nullptr);
}
