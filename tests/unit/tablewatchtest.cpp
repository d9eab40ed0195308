#include "modelevents.h"
#include "modelrandom.h"

#include "libtrefoilarch/storeversion.h"
#include "libtrefoilarch/tablewatch.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <memory>
#include <optional>
#include <utility>
#include <vector>

using namespace trefoilarch;

/**
 * Guards against requests to upstreams that had announced to leave: an entry's
 * long poll was lost in a short outage of the store, and the missing response
 * was taken for "nothing has changed" for ten seconds.
 *
 * The model, in virtual time: a store that becomes silent for short times and
 * loses or delays responses, and entries that follow one of its tables over two
 * connections each. Some of them send each other checkpoints, and some receive
 * changes from other entries only. A change that the store acknowledged in a
 * stable period must be in every entry's copy in time to be applied. No entry
 * may ever claim that its copy was up to date when it was not. A store that
 * comes back from an older copy gives versions out again.
 */
namespace {

/** A change has to be applied within this time, including the delivery to the
 * upstream. */
constexpr Millis kMaxDelay{ 2000 };
constexpr Millis kDelayToUpstream{ 300 };
/** Time that an entry may take to recover after the last fault. */
constexpr Millis kRecovery{ 3000 };
constexpr Millis kEnd{ 3 * 60 * 1000 };
constexpr size_t kEntries = 4;

using Kind = TableQuery::Kind;

/** What the entries of a model send each other. */
enum class Exchange : uint8_t
{
  Nothing,
  Checkpoints,
  Changes, /**< and changes, from the two entries that poll */
};

class TableModel
  : private ModelRandom
  , private ModelEvents
{
public:
  TableModel(uint32_t aSeed, Exchange aExchange, bool aRestores = false)
    : ModelRandom(aSeed)
    , mExchange(aExchange)
    , mRestores(aRestores)
    , mDrift(static_cast<int64_t>(Draw(201)) - 100)
  {
    mChangedAt.push_back(Millis(0));
  }

  void Play()
  {
    for (size_t each = 0; each < kEntries; ++each) {
      mEntries.push_back(std::make_unique<Entry>());
      Entry& entry = *mEntries.back();
      entry.mWatch.emplace(
        TableWatchOptions{ .mMaxAge = kMaxDelay / 2,
                           .mBatchDelay = Millis(Chance(50) ? 600 : 0),
                           .mSeed = mRandom() },
        HooksOf(entry));
      entry.mWatch->SetPollsStore(mExchange != Exchange::Changes || each < 2);
      entry.mWatch->Start();
      PlanTick(entry);
      After(Draw(500), [this, &entry] { SendCheckpoint(entry); });
    }
    After(1000, [this] { Change(); });
    After(2000, [this] { InjectFault(); });
    RunUntil(kEnd);
    RC_ASSERT(mChecked > 0U);
  }

private:
  struct Entry
  {
    std::optional<TableWatch> mWatch;
    /** The copy includes all changes up to this version, as a number. */
    uint64_t mCopy = 0;
    /** The latest query of each channel. */
    uint64_t mFeed = 0;
    uint64_t mVerification = 0;
    uint64_t mPlannedTick = 0;
    std::optional<Millis> mConfirmedAt;
  };

  TableWatchHooks HooksOf(Entry& aEntry)
  {
    return {
      .mSendQuery = [this, &aEntry](
                      const TableQuery& aQuery) { SendQuery(aEntry, aQuery); },
      .mCancelQueries =
        [&aEntry] {
          aEntry.mFeed++;
          aEntry.mVerification++;
        },
      .mOnConfirmed = [&aEntry](Millis aAt) { aEntry.mConfirmedAt = aAt; },
      .mOnLost = [](const std::string&, Millis) {},
      .mOnRecovered = [] {}
    };
  }

  Millis StoreTime() const
  {
    constexpr int64_t kMillion = 1000000;
    return Millis(77000 + mNow.Count() + mNow.Count() * mDrift / kMillion);
  }

  static uint64_t& ChannelOf(Entry& aEntry, Kind aKind)
  {
    return aKind == Kind::Verification ? aEntry.mVerification : aEntry.mFeed;
  }

  /** Whether the store is silent, in a period of faults. */
  bool IsSilent() const { return mNow < mSilentUntil; }
  bool HasFaults() const { return mNow < mFaultsUntil; }

  void SendQuery(Entry& aEntry, const TableQuery& aQuery)
  {
    const uint64_t number = ++ChannelOf(aEntry, aQuery.mKind);
    const Millis sentAt = mNow;
    const int64_t delay = HasFaults() && Fault(10) ? Draw(700) : 1 + Draw(4);
    After(delay, [this, &aEntry, aQuery, number, sentAt] {
      if (!IsSilent()) {
        DelayResponse(aEntry, aQuery, number, sentAt, mNow + aQuery.mWait);
      }
    });
    At(sentAt + aQuery.mTimeout, [this, &aEntry, aQuery, number, sentAt] {
      if (ChannelOf(aEntry, aQuery.mKind) == number) {
        aEntry.mWatch->OnFailed("no response in time", sentAt, mNow);
        PlanTick(aEntry);
      }
    });
  }

  /** The store delays the response until something changes. */
  void DelayResponse(Entry& aEntry,
                     const TableQuery& aQuery,
                     uint64_t aNumber,
                     Millis aSentAt,
                     Millis aUntil)
  {
    const uint64_t after = StoreVersion::FromNumber(aQuery.mAfter).mVersion;
    const uint64_t newest = mChangedAt.size();
    const bool waits =
      aQuery.mKind != Kind::FullRead && newest == after && mNow < aUntil;
    if (waits) {
      After(15, [this, &aEntry, aQuery, aNumber, aSentAt, aUntil] {
        DelayResponse(aEntry, aQuery, aNumber, aSentAt, aUntil);
      });
      return;
    }
    if (IsSilent() || (HasFaults() && Fault(10))) {
      return;
    }
    const TableResponse response{ .mSentAt = aSentAt,
                                  .mVersion = Newest(),
                                  .mNewestRow = Newest(),
                                  .mHasRows = newest > after,
                                  .mStoreTime = StoreTime() };
    const int64_t delay = HasFaults() && Fault(10) ? Draw(700) : 1 + Draw(4);
    const bool gone = aQuery.mKind != Kind::FullRead && newest < after;
    After(delay, [this, &aEntry, kind = aQuery.mKind, aNumber, response, gone] {
      if (!gone) {
        Take(aEntry, kind, aNumber, response);
      } else if (ChannelOf(aEntry, kind) == aNumber) {
        ChannelOf(aEntry, kind)++;
        aEntry.mWatch->OnHistoryGone();
        PlanTick(aEntry);
      }
    });
  }

  /** The store's version, as a number. */
  uint64_t Newest() const
  {
    return StoreVersion{ .mEra = mEra, .mVersion = mChangedAt.size() }.Number();
  }

  void Take(Entry& aEntry,
            Kind aKind,
            uint64_t aNumber,
            TableResponse aResponse)
  {
    if (ChannelOf(aEntry, aKind) != aNumber) {
      return;
    }
    ChannelOf(aEntry, aKind)++;
    aResponse.mReceivedAt = mNow;
    const uint64_t before = aEntry.mWatch->Version();
    const bool comparable = aEntry.mWatch->IsComparable(aResponse.mVersion);
    if (aKind == Kind::FullRead || comparable) {
      aEntry.mCopy = std::max(aEntry.mCopy, aResponse.mVersion);
    }
    if (aKind == Kind::FullRead) {
      aEntry.mWatch->OnPage(aResponse);
    } else if (aKind == Kind::Changes) {
      aEntry.mWatch->OnChanges(aResponse);
    } else {
      aEntry.mWatch->OnVerification(aResponse);
    }
    CheckConfirmation(aEntry);
    PlanTick(aEntry);
    if (mExchange == Exchange::Changes && aKind != Kind::FullRead &&
        comparable) {
      SendUpdate(aEntry, before, aResponse.mNewestRow);
    }
  }

  void SendUpdate(const Entry& aEntry, uint64_t aAfter, uint64_t aUpTo)
  {
    const auto checkpoint = aEntry.mWatch->Checkpoint();
    for (const auto& other : mEntries) {
      if (other.get() != &aEntry && !Chance(20)) {
        After(DrawPeerDelay(),
              [this, &other = *other, aAfter, aUpTo, checkpoint] {
                if (other.mWatch->OnUpdate(aAfter, aUpTo)) {
                  RC_ASSERT(other.mCopy >= aAfter);
                  other.mCopy = std::max(other.mCopy, aUpTo);
                }
                other.mWatch->OnCheckpoint(*checkpoint, mNow);
                CheckConfirmation(other);
                PlanTick(other);
              });
      }
    }
  }

  int64_t DrawPeerDelay() { return Chance(5) ? Draw(3000) : 1 + Draw(5); }

  void PlanTick(Entry& aEntry)
  {
    const Millis next = aEntry.mWatch->NextTick();
    if (next == Millis::Never()) {
      return;
    }
    const uint64_t number = ++aEntry.mPlannedTick;
    At(std::max(next, mNow + Millis(1)), [this, &aEntry, number] {
      if (number == aEntry.mPlannedTick) {
        aEntry.mWatch->Tick(mNow);
        PlanTick(aEntry);
      }
    });
  }

  void SendCheckpoint(Entry& aEntry)
  {
    const auto checkpoint = aEntry.mWatch->Checkpoint();
    for (const auto& other : mEntries) {
      const bool sends = mExchange != Exchange::Nothing && checkpoint;
      if (sends && other.get() != &aEntry && !Chance(20)) {
        After(DrawPeerDelay(), [this, &other = *other, checkpoint] {
          other.mWatch->OnCheckpoint(*checkpoint, mNow);
          CheckConfirmation(other);
          PlanTick(other);
        });
      }
    }
    After(20 + Draw(620), [this, &aEntry] { SendCheckpoint(aEntry); });
  }

  /** All changes before the confirmed time must be in the copy. */
  void CheckConfirmation(Entry& aEntry)
  {
    const auto confirmedAt = std::exchange(aEntry.mConfirmedAt, std::nullopt);
    if (!confirmedAt) {
      return;
    }
    RC_ASSERT(*confirmedAt <= mNow);
    const StoreVersion copy = StoreVersion::FromNumber(aEntry.mCopy);
    const bool missed = copy.mVersion < mChangedAt.size() &&
                        mChangedAt[copy.mVersion] < *confirmedAt;
    const bool isTrue =
      copy.mEra == mEra ? !missed : *confirmedAt <= mRestoredAt;
    RC_ASSERT(isTrue);
  }

  void Change()
  {
    mChangedAt.push_back(mNow);
    const uint64_t version = Newest();
    const bool isStable = mNow >= mFaultsUntil + kRecovery;
    if (isStable && mNow + kMaxDelay < mNextFaultsAt) {
      After((kMaxDelay - kDelayToUpstream).Count(), [this, version] {
        for (const auto& entry : mEntries) {
          RC_ASSERT(entry->mCopy >= version);
        }
        mChecked++;
      });
    }
    After(Chance(50) ? 1 + Draw(200) : Draw(4000), [this] { Change(); });
  }

  /** Some of the last changes are gone, and their versions are given out
   * again. */
  void Restore()
  {
    const size_t lost = std::min<size_t>(Draw(5), mChangedAt.size() - 1);
    mChangedAt.resize(mChangedAt.size() - lost);
    mEra++;
    mRestoredAt = mNow;
    // What others than the system wrote is written again.
    for (size_t each = 0; each < lost; ++each) {
      mChangedAt.push_back(mNow);
    }
  }

  void InjectFault()
  {
    mFaultsUntil = mNow + Millis(200 + Draw(2000));
    mSilentUntil = Chance(70) ? mFaultsUntil : mNow;
    const int64_t pause = 6000 + Draw(9000);
    mNextFaultsAt = mNow + Millis(pause);
    if (mRestores && Chance(70)) {
      At(mFaultsUntil, [this] { Restore(); });
    }
    After(pause, [this] { InjectFault(); });
  }

  Exchange mExchange;
  bool mRestores;
  uint64_t mEra = 1;
  Millis mRestoredAt;
  /** Drift of the store's clock, in millionths. */
  int64_t mDrift;
  /** Time of each version, from 1 on. */
  std::vector<Millis> mChangedAt;
  std::vector<std::unique_ptr<Entry>> mEntries;
  Millis mSilentUntil;
  Millis mFaultsUntil;
  Millis mNextFaultsAt;
  uint64_t mChecked = 0;
};

/** A watch whose queries are recorded. */
class RecordedWatch
{
public:
  RecordedWatch()
    : mWatch(
        { .mMaxAge = Millis(1000) },
        { .mSendQuery =
            [this](const TableQuery& aQuery) { mQueries.push_back(aQuery); },
          .mCancelQueries = [this] { mCancelCount++; },
          .mOnConfirmed = [this](Millis aAt) { mConfirmed = aAt; },
          .mOnLost = [this](const std::string&, Millis) { mLostCount++; },
          .mOnRecovered = [] {} })
  {
    mWatch.Start();
    mWatch.OnPage(ResponseAt(Millis(100), 10));
  }

  static TableResponse ResponseAt(Millis aAt, uint64_t aVersion)
  {
    return { .mSentAt = aAt,
             .mReceivedAt = aAt + Millis(4),
             .mVersion = aVersion,
             .mStoreTime = aAt + Millis(5000) };
  }

  TableWatch mWatch;
  std::vector<TableQuery> mQueries;
  Millis mConfirmed;
  int mCancelCount = 0;
  int mLostCount = 0;
};

} // namespace

Test(tablewatch, a_change_is_known_in_time_despite_losses, .timeout = 200)
{
  for (const Exchange mode :
       { Exchange::Nothing, Exchange::Checkpoints, Exchange::Changes }) {
    cr_assert(rc::check("a change is known in time", [=](uint32_t aSeed) {
      TableModel(aSeed, mode).Play();
    }));
  }
}

Test(tablewatch, a_change_after_a_restore_is_known_in_time, .timeout = 200)
{
  for (const Exchange mode :
       { Exchange::Nothing, Exchange::Checkpoints, Exchange::Changes }) {
    cr_assert(rc::check("a change is known in time", [=](uint32_t aSeed) {
      TableModel(aSeed, mode, true).Play();
    }));
  }
}

Test(tablewatch, an_unconfirmed_copy_is_verified_within_the_bound)
{
  RecordedWatch recorded;
  cr_assert(recorded.mQueries.back().mKind == Kind::Changes);
  const Millis due = recorded.mWatch.NextTick();
  cr_expect(due > Millis(100) && due <= Millis(1100));
  recorded.mWatch.Tick(due);
  cr_expect(recorded.mQueries.back().mKind == Kind::Verification);
  cr_expect(recorded.mQueries.back().mWait == Millis(0));
  recorded.mWatch.OnVerification(RecordedWatch::ResponseAt(due, 10));
  cr_expect(recorded.mConfirmed == due);
  cr_expect(recorded.mCancelCount == 0, "the long poll continues");
}

Test(tablewatch, a_verification_with_changes_cancels_the_long_poll)
{
  RecordedWatch recorded;
  TableResponse update = RecordedWatch::ResponseAt(Millis(900), 12);
  update.mHasRows = true;
  update.mNewestRow = 12;
  recorded.mWatch.Tick(Millis(1200));
  recorded.mWatch.OnVerification(update);
  cr_expect(recorded.mCancelCount == 1);
  cr_expect(recorded.mQueries.back().mKind == Kind::Changes);
  cr_expect(recorded.mQueries.back().mAfter == 12);
}

Test(tablewatch, changes_between_two_pages_are_queried)
{
  RecordedWatch recorded;
  recorded.mWatch.OnHistoryGone();
  TableResponse first = RecordedWatch::ResponseAt(Millis(2000), 20);
  first.mHasMore = true;
  recorded.mWatch.OnPage(first);
  recorded.mWatch.OnPage(RecordedWatch::ResponseAt(Millis(2010), 25));
  cr_expect(recorded.mQueries.back().mAfter == 20);
  cr_expect(recorded.mConfirmed == Millis(2000));
}

Test(tablewatch, a_checkpoint_confirms_only_a_copy_that_includes_it)
{
  RecordedWatch recorded;
  const Millis storeTime(5700);
  recorded.mWatch.OnCheckpoint({ .mLastChange = 11, .mStoreTime = storeTime },
                               Millis(800));
  cr_expect(recorded.mConfirmed == Millis(100));
  recorded.mWatch.OnCheckpoint({ .mLastChange = 10, .mStoreTime = storeTime },
                               Millis(800));
  cr_expect(recorded.mConfirmed == Millis(700));
  cr_expect(recorded.mWatch.Checkpoint()->mStoreTime == storeTime,
            "it is forwarded");
  recorded.mWatch.OnCheckpoint(
    { .mLastChange = 10, .mStoreTime = Millis(9000) }, Millis(800));
  cr_expect(recorded.mConfirmed == Millis(700),
            "that time of the clock is in the future");
}

Test(tablewatch, a_checkpoint_of_another_era_confirms_nothing)
{
  RecordedWatch recorded;
  const StoreVersion newer{ .mEra = 1, .mVersion = 10 };
  for (const uint64_t version : { newer.Number(), uint64_t{ 9 } }) {
    recorded.mWatch.OnPage(RecordedWatch::ResponseAt(
      Millis(100), version == 9 ? newer.Number() : 10));
    const Millis before = recorded.mConfirmed;
    recorded.mWatch.OnCheckpoint(
      { .mLastChange = version, .mStoreTime = Millis(5600) }, Millis(700));
    cr_expect(recorded.mConfirmed == before);
  }
}

Test(tablewatch, a_recovery_reported_by_a_peer_advances_the_retry)
{
  RecordedWatch recorded;
  for (int64_t each = 0; each < 6; ++each) {
    recorded.mWatch.OnFailed("down", Millis(1000), Millis(1000 + 1000 * each));
  }
  const Millis due = recorded.mWatch.NextTick();
  cr_expect(due >= Millis(6500) && due <= Millis(7000), "half the maximum age");
  const Millis before(5000 + 950);
  recorded.mWatch.OnCheckpoint({ .mLastChange = 10, .mStoreTime = before },
                               Millis(6100));
  cr_expect(recorded.mWatch.NextTick() == due, "from before the loss");
  const Millis since(5000 + 6050);
  recorded.mWatch.OnCheckpoint({ .mLastChange = 10, .mStoreTime = since },
                               Millis(6100));
  cr_expect(recorded.mWatch.NextTick() <= Millis(6300));
  cr_expect(recorded.mConfirmed == Millis(100), "its clock is unknown");
  recorded.mWatch.OnFailed("rejected", Millis(6300), Millis(6300));
  const Millis next = recorded.mWatch.NextTick();
  recorded.mWatch.OnCheckpoint(
    { .mLastChange = 10, .mStoreTime = Millis(11300) }, Millis(6310));
  cr_expect(recorded.mWatch.NextTick() == next, "the retry is advanced once");
}

Test(tablewatch, an_update_is_taken_if_no_earlier_change_is_missing)
{
  RecordedWatch recorded;
  recorded.mWatch.SetPollsStore(false);
  cr_expect(!recorded.mWatch.OnUpdate(10, 12), "its own query is pending");
  TableResponse none = RecordedWatch::ResponseAt(Millis(200), 10);
  recorded.mWatch.OnChanges(none);
  const size_t queryCount = recorded.mQueries.size();
  cr_expect(!recorded.mWatch.OnUpdate(11, 12), "an earlier change is missing");
  cr_expect(!recorded.mWatch.OnUpdate(5, 9), "nothing new");
  cr_expect(recorded.mWatch.OnUpdate(8, 12));
  cr_expect(recorded.mWatch.Version() == 12);
  cr_expect(recorded.mWatch.Checkpoint()->mLastChange == 12);
  cr_expect(recorded.mConfirmed == Millis(200), "an update confirms no time");
  cr_expect(recorded.mQueries.size() == queryCount);
  recorded.mWatch.SetPollsStore(true);
  cr_expect(recorded.mQueries.size() == queryCount + 1);
  cr_expect(recorded.mQueries.back().mAfter == 12);
}

/** Whoever needs the newest rows waited until no more changes were collected.
 */
Test(tablewatch, a_required_confirmation_ends_the_collection_of_changes)
{
  std::vector<TableQuery> queries;
  TableWatch watch(
    { .mBatchDelay = Millis(600) },
    { .mSendQuery =
        [&](const TableQuery& aQuery) { queries.push_back(aQuery); },
      .mCancelQueries = [] {},
      .mOnConfirmed = [](Millis) {},
      .mOnLost = [](const std::string&, Millis) {},
      .mOnRecovered = [] {} });
  watch.Start();
  watch.OnPage(RecordedWatch::ResponseAt(Millis(100), 10));
  TableResponse change = RecordedWatch::ResponseAt(Millis(200), 11);
  change.mHasRows = true;
  watch.OnChanges(change);
  const size_t before = queries.size();
  cr_expect(watch.NextTick() >= Millis(800), "changes are collected");
  watch.RequireStoreTime(change.mStoreTime + Millis(50));
  cr_assert(watch.NextTick() <= Millis(300));
  watch.Tick(watch.NextTick());
  cr_assert(queries.size() > before);
  cr_expect(queries.back().mAfter == 11);
}

Test(tablewatch, a_store_without_changes_confirms_at_its_time)
{
  std::optional<Millis> storeTime;
  std::optional<TableWatch> watch;
  watch.emplace(
    TableWatchOptions{},
    TableWatchHooks{
      .mSendQuery = [](const TableQuery&) {},
      .mCancelQueries = [] {},
      .mOnConfirmed = [&](Millis) { storeTime = watch->StoreTime(); },
      .mOnLost = [](const std::string&, Millis) {},
      .mOnRecovered = [] {} });
  watch->Start();
  watch->OnPage(RecordedWatch::ResponseAt(Millis(100), 0));
  cr_expect(!watch->Checkpoint(), "its version is of no change");
  cr_expect(storeTime == Millis(5100));
}
