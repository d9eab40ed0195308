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

/** What became of one request, over all of its life. */
struct RequestRecord
{
  std::string mKey;
  size_t mEntry = 0;
  int mBoot = 0;
  std::optional<ClaimOutcome> mOutcome;
  bool mStarted = false;
  std::optional<CachedAnswer> mAnswer;
};

struct Pending
{
  size_t mEntry = 0;
  int mBoot = 0;
  ClaimAction mAction;
  bool mSlow = false;
  bool mExecuted = false;
  bool mForgotten = false;
  ClaimCommit mCommit;
  ClaimReport mReport;
};

/** Entries round one table; its writes come late and lose their answers. */
class Fleet : private ModelRandom
{
public:
  explicit Fleet(uint32_t aSeed)
    : ModelRandom(aSeed)
  {
    for (size_t each = 0; each < kEntries; ++each) {
      mEntries[each].mSkew =
        static_cast<int64_t>(Draw(kEpochSeconds)) - kEpochSeconds / 2;
      Boot(each);
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
        return MovePending();
    }
  }

  void Heal()
  {
    mTableDown = false;
    mHealed = true;
    for (Entry& entry : mEntries) {
      entry.mPaused = false;
    }
    for (int round = 0; round < 200; ++round) {
      for (int moves = 0; moves < 30; ++moves) {
        MovePending();
      }
      Advance(Millis(100));
    }
  }

  /** Each request of a living entry was answered; none has run twice. */
  void CheckAll()
  {
    std::map<std::string, int> runs;
    for (const auto& [id, record] : mRequests) {
      if (mEntries[record.mEntry].mBoot == record.mBoot) {
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

  /** A key whose requests have all not run lets the next one run. */
  void CheckKeysAreFree()
  {
    for (const std::string& key : mUsedKeys) {
      bool free = true;
      for (const auto& [id, record] : mRequests) {
        const bool alive = mEntries[record.mEntry].mBoot == record.mBoot;
        free &= record.mKey != key ||
                (alive && record.mOutcome != ClaimOutcome::Run) ||
                (alive && mNotRun.contains(id));
      }
      if (!free) {
        continue;
      }
      const RequestId id = Send(Draw(kEntries), key);
      for (int round = 0; round < 20; ++round) {
        Heal();
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
    int mBoot = 0;
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
    ++entry.mBoot;
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
    mRequests[id] = { aKey, aEntry, mEntries[aEntry].mBoot, {}, false, {} };
    Perform(aEntry,
            mEntries[aEntry].mClaims->Claim(
              { id, aKey, "same" }, SecondsAt(aEntry), mNow));
    return id;
  }

  /** One of the requests that were let run starts, ends or is given up. */
  void FinishOne()
  {
    if (mRunning.empty()) {
      return;
    }
    auto place = mRunning.begin();
    std::advance(place, Draw(static_cast<uint32_t>(mRunning.size())));
    const RequestId id = *place;
    RequestRecord& record = mRequests.at(id);
    Entry& entry = mEntries[record.mEntry];
    if (entry.mPaused) {
      return;
    }
    mRunning.erase(place);
    if (entry.mBoot != record.mBoot) {
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

  void Advance(Millis aSpan)
  {
    mNow += aSpan;
    for (size_t each = 0; each < kEntries; ++each) {
      Entry& entry = mEntries[each];
      if (!entry.mPaused && entry.mClaims->NextWake() <= mNow) {
        Perform(each, entry.mClaims->OnTick(SecondsAt(each), mNow));
      }
    }
  }

  void Perform(size_t aEntry, ClaimActions aActions)
  {
    for (ClaimAction& action : aActions) {
      if (const auto* answer = std::get_if<ClaimDecided>(&action)) {
        RecordDecision(*answer);
        continue;
      }
      Pending& pending = mPending.emplace_back();
      pending.mEntry = aEntry;
      pending.mBoot = mEntries[aEntry].mBoot;
      pending.mAction = std::move(action);
      pending.mSlow = Fault(15);
    }
  }

  void RecordDecision(const ClaimDecided& aAnswer)
  {
    RequestRecord& record = mRequests.at(aAnswer.mId);
    RC_ASSERT(!record.mOutcome.has_value());
    record.mOutcome = aAnswer.mOutcome;
    if (aAnswer.mOutcome == ClaimOutcome::Run) {
      mRunning.insert(aAnswer.mId);
    }
    if (aAnswer.mOutcome == ClaimOutcome::Finished) {
      ++mRepeats;
      const RequestId first = FirstOf(record.mKey);
      RC_ASSERT(aAnswer.mAnswer && mRequests.contains(first));
      RC_ASSERT(*aAnswer.mAnswer == *mRequests.at(first).mAnswer);
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

  void MovePending()
  {
    if (mPending.empty()) {
      return;
    }
    const size_t place = Draw(static_cast<uint32_t>(mPending.size()));
    Pending& one = mPending[place];
    const bool mayExecute = mHealed || !one.mSlow || Chance(2);
    if (!one.mExecuted && mayExecute && (mHealed || !Fault(30))) {
      Execute(one);
    } else if (one.mForgotten) {
      if (one.mExecuted || Chance(one.mSlow ? 1 : 10)) {
        EraseAt(mPending, place);
      }
    } else if (!mEntries[one.mEntry].mPaused) {
      Deliver(place, !one.mExecuted || (!mHealed && Fault(50)));
    }
  }

  void Execute(Pending& aOne)
  {
    aOne.mExecuted = true;
    if (const auto* commit = std::get_if<CommitClaims>(&aOne.mAction)) {
      aOne.mCommit = TableCommit(*commit);
    } else if (const auto* query = std::get_if<QueryClaimant>(&aOne.mAction)) {
      const size_t entry = query->mAddress.back() - '0';
      if (!mEntries[entry].mPaused) {
        aOne.mReport = mEntries[entry].mClaims->Report(query->mRequest);
      }
    } else if (const auto* expired = std::get_if<ExpireClaims>(&aOne.mAction)) {
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

  void Deliver(size_t aPlace, bool aLost)
  {
    const Pending one = mPending[aPlace];
    if (aLost && !one.mExecuted) {
      mPending[aPlace].mForgotten = true;
    } else {
      EraseAt(mPending, aPlace);
    }
    Entry& entry = mEntries[one.mEntry];
    if (entry.mBoot != one.mBoot || one.mForgotten) {
      return;
    }
    const int64_t seconds = SecondsAt(one.mEntry);
    if (std::holds_alternative<CommitClaims>(one.mAction)) {
      Perform(one.mEntry,
              entry.mClaims->OnCommitted(
                aLost ? ClaimCommit() : one.mCommit, seconds, mNow));
    } else if (const auto* query = std::get_if<QueryClaimant>(&one.mAction)) {
      Perform(
        one.mEntry,
        entry.mClaims->OnClaimantReport(
          query->mTicket, aLost ? ClaimReport() : one.mReport, seconds, mNow));
    }
  }

  Millis mNow{ 1000 };
  std::array<Entry, kEntries> mEntries;
  std::vector<Pending> mPending;
  std::map<std::pair<std::string, uint64_t>, FoundClaim> mTable;
  int64_t mRevision = 0;
  bool mTableDown = false;
  bool mHealed = false;
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
    fleet.Heal();
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

Test(claims, what_waits_is_committed_together)
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
  for (uint64_t each = 0; each < 30; ++each) {
    count(claims.Claim({ Id(each), std::to_string(each), "f" }, 0, Millis(0)));
  }
  cr_assert(commits == 1 && writes == 1);
  count(claims.OnCommitted({ ClaimCommitOutcome::Done, {} }, 0, Millis(5)));
  cr_assert(commits == 2 && writes == 30);
}

Test(claims, a_lost_answer_is_settled_by_the_row)
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
  for (uint64_t each = 0; each < 100; ++each) {
    claims.Claim({ Id(each), std::to_string(each), "f" }, 0, Millis(0));
    claims.OnCommitted({ ClaimCommitOutcome::Done, {} }, 0, Millis(0));
    claims.Answered(Id(each), { 200, "text/plain", std::string(250, 'x') });
    cr_assert(claims.AnswerBytes() <= 1000);
  }
  cr_assert(claims.Remembered() == 10);
  cr_assert(claims.Report(Id(5)).mStatus == ClaimStatus::NotKnown);
  cr_assert(claims.Report(Id(99)).mStatus == ClaimStatus::Finished);
  cr_assert(claims.Report(Id(99)).mAnswer != nullptr);
  cr_assert(claims.Report(Id(93)).mAnswer == nullptr);
}
