#include "modelevents.h"
#include "modelrandom.h"

#include "libtrefoilarch/tablewatch.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <memory>
#include <optional>
#include <utility>
#include <vector>

using namespace trefoilarch;

/**
 * Callers' requests were served by upstreams that had said they leave: an
 * entry's question for changes was lost in a short outage of the store, and
 * its silence was taken for "nothing has changed" for ten seconds.
 *
 * The model: a store that falls silent for moments, loses and delays answers;
 * entries that follow one table of it, over two connections each; some of them
 * tell each other what they know, and some have changes from others alone; in
 * virtual time. What has to hold: a change that
 * the store acknowledged while all is well is in every entry's copy in time to
 * be obeyed, and no entry ever claims that its copy was the newest when it was
 * not.
 */
namespace {

/** A change has to be obeyed within this, the way to an upstream included. */
constexpr Millis kInForce{ 2000 };
constexpr Millis kWayToUpstream{ 300 };
/** After the last trouble an entry may take this long to find its way. */
constexpr Millis kRecovery{ 3000 };
constexpr Millis kEnd{ 3 * 60 * 1000 };
constexpr size_t kEntries = 4;

using Kind = TableQuery::Kind;

/** What the entries of a model tell each other. */
enum class Telling : uint8_t
{
  Nothing,
  Words,
  Changes, /**< words, and changes from the two entries that ask for them */
};

class TableModel
  : private ModelRandom
  , private ModelEvents
{
public:
  TableModel(uint32_t aSeed, Telling aTelling)
    : ModelRandom(aSeed)
    , mTelling(aTelling)
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
        TableWatchOptions{ .mMaxAge = kInForce / 2,
                           .mBatchDelay = Millis(Chance(50) ? 600 : 0),
                           .mSeed = mRandom() },
        HooksOf(entry));
      entry.mWatch->SetPollsStore(mTelling != Telling::Changes || each < 2);
      entry.mWatch->Start();
      Plan(entry);
      After(Draw(500), [this, &entry] { Tell(entry); });
    }
    After(1000, [this] { Change(); });
    After(2000, [this] { Disturb(); });
    RunUntil(kEnd);
    RC_ASSERT(mChecked > 0U);
  }

private:
  struct Entry
  {
    std::optional<TableWatch> mWatch;
    /** Every change up to here is known. */
    size_t mCopy = 0;
    /** Of the questions by channel, the newest. */
    uint64_t mFeed = 0;
    uint64_t mProof = 0;
    uint64_t mPlanned = 0;
    std::optional<Millis> mClaim;
  };

  TableWatchHooks HooksOf(Entry& aEntry)
  {
    return { .mSendQuery =
               [this, &aEntry](const TableQuery& aQuestion) {
                 Ask(aEntry, aQuestion);
               },
             .mCancelQueries =
               [&aEntry] {
                 aEntry.mFeed++;
                 aEntry.mProof++;
               },
             .mOnConfirmed = [&aEntry](Millis aAt) { aEntry.mClaim = aAt; },
             .mOnLost = [](const std::string&, Millis) {},
             .mOnRecovered = [] {} };
  }

  Millis StoreTime() const
  {
    constexpr int64_t kMillion = 1000000;
    return Millis(77000 + mNow.Count() + mNow.Count() * mDrift / kMillion);
  }

  static uint64_t& ChannelOf(Entry& aEntry, Kind aKind)
  {
    return aKind == Kind::Verification ? aEntry.mProof : aEntry.mFeed;
  }

  /** In troubled times a moment of the store's silence. */
  bool Silent() const { return mNow < mSilentUntil; }
  bool Troubled() const { return mNow < mTroubledUntil; }

  void Ask(Entry& aEntry, const TableQuery& aQuestion)
  {
    const uint64_t number = ++ChannelOf(aEntry, aQuestion.mKind);
    const Millis asked = mNow;
    const int64_t way = Troubled() && Fault(10) ? Draw(700) : 1 + Draw(4);
    After(way, [this, &aEntry, aQuestion, number, asked] {
      if (!Silent()) {
        Hold(aEntry, aQuestion, number, asked, mNow + aQuestion.mWait);
      }
    });
    At(asked + aQuestion.mTimeout, [this, &aEntry, aQuestion, number, asked] {
      if (ChannelOf(aEntry, aQuestion.mKind) == number) {
        aEntry.mWatch->OnFailed("no answer in time", asked, mNow);
        Plan(aEntry);
      }
    });
  }

  /** The store holds the answer back until something changes. */
  void Hold(Entry& aEntry,
            const TableQuery& aQuestion,
            uint64_t aNumber,
            Millis aAsked,
            Millis aUntil)
  {
    const uint64_t newest = mChangedAt.size();
    const bool waits = aQuestion.mKind != Kind::FullRead &&
                       newest <= aQuestion.mAfter && mNow < aUntil;
    if (waits) {
      After(15, [this, &aEntry, aQuestion, aNumber, aAsked, aUntil] {
        Hold(aEntry, aQuestion, aNumber, aAsked, aUntil);
      });
      return;
    }
    if (Silent() || (Troubled() && Fault(10))) {
      return;
    }
    const TableResponse answer{ .mSentAt = aAsked,
                                .mVersion = newest,
                                .mNewestRow = newest,
                                .mHasRows = newest > aQuestion.mAfter,
                                .mStoreTime = StoreTime() };
    const int64_t way = Troubled() && Fault(10) ? Draw(700) : 1 + Draw(4);
    After(way, [this, &aEntry, kind = aQuestion.mKind, aNumber, answer] {
      Take(aEntry, kind, aNumber, answer);
    });
  }

  void Take(Entry& aEntry, Kind aKind, uint64_t aNumber, TableResponse aAnswer)
  {
    if (ChannelOf(aEntry, aKind) != aNumber) {
      return;
    }
    ChannelOf(aEntry, aKind)++;
    aAnswer.mReceivedAt = mNow;
    const uint64_t before = aEntry.mWatch->Version();
    aEntry.mCopy = std::max(aEntry.mCopy, size_t{ aAnswer.mVersion });
    if (aKind == Kind::FullRead) {
      aEntry.mWatch->OnPage(aAnswer);
    } else if (aKind == Kind::Changes) {
      aEntry.mWatch->OnChanges(aAnswer);
    } else {
      aEntry.mWatch->OnVerification(aAnswer);
    }
    CheckClaim(aEntry);
    Plan(aEntry);
    if (mTelling == Telling::Changes && aKind != Kind::FullRead) {
      TellNews(aEntry, before, aAnswer.mNewestRow);
    }
  }

  void TellNews(const Entry& aEntry, uint64_t aAfter, uint64_t aUpTo)
  {
    const auto word = aEntry.mWatch->Checkpoint();
    for (const auto& other : mEntries) {
      if (other.get() != &aEntry && !Chance(20)) {
        After(WayToOther(), [this, &other = *other, aAfter, aUpTo, word] {
          if (other.mWatch->OnUpdate(aAfter, aUpTo)) {
            RC_ASSERT(other.mCopy >= aAfter);
            other.mCopy = std::max(other.mCopy, size_t{ aUpTo });
          }
          other.mWatch->OnCheckpoint(*word, mNow);
          CheckClaim(other);
          Plan(other);
        });
      }
    }
  }

  int64_t WayToOther() { return Chance(5) ? Draw(3000) : 1 + Draw(5); }

  void Plan(Entry& aEntry)
  {
    const Millis next = aEntry.mWatch->NextTick();
    if (next == Millis::Never()) {
      return;
    }
    const uint64_t number = ++aEntry.mPlanned;
    At(std::max(next, mNow + Millis(1)), [this, &aEntry, number] {
      if (number == aEntry.mPlanned) {
        aEntry.mWatch->Tick(mNow);
        Plan(aEntry);
      }
    });
  }

  void Tell(Entry& aEntry)
  {
    const auto word = aEntry.mWatch->Checkpoint();
    for (const auto& other : mEntries) {
      const bool tells = mTelling != Telling::Nothing && word;
      if (tells && other.get() != &aEntry && !Chance(20)) {
        After(WayToOther(), [this, &other = *other, word] {
          other.mWatch->OnCheckpoint(*word, mNow);
          CheckClaim(other);
          Plan(other);
        });
      }
    }
    After(20 + Draw(620), [this, &aEntry] { Tell(aEntry); });
  }

  /** What was made before the claimed instant is in the copy. */
  void CheckClaim(Entry& aEntry)
  {
    const auto claim = std::exchange(aEntry.mClaim, std::nullopt);
    if (!claim) {
      return;
    }
    RC_ASSERT(*claim <= mNow);
    const bool missed =
      aEntry.mCopy < mChangedAt.size() && mChangedAt[aEntry.mCopy] < *claim;
    RC_ASSERT(!missed);
  }

  void Change()
  {
    mChangedAt.push_back(mNow);
    const size_t version = mChangedAt.size();
    const bool calm = mNow >= mTroubledUntil + kRecovery;
    if (calm && mNow + kInForce < mNextTrouble) {
      After((kInForce - kWayToUpstream).Count(), [this, version] {
        for (const auto& entry : mEntries) {
          RC_ASSERT(entry->mCopy >= version);
        }
        mChecked++;
      });
    }
    After(Chance(50) ? 1 + Draw(200) : Draw(4000), [this] { Change(); });
  }

  void Disturb()
  {
    mTroubledUntil = mNow + Millis(200 + Draw(2000));
    mSilentUntil = Chance(70) ? mTroubledUntil : mNow;
    const int64_t pause = 6000 + Draw(9000);
    mNextTrouble = mNow + Millis(pause);
    After(pause, [this] { Disturb(); });
  }

  Telling mTelling;
  /** Of the store's clock, in millionths. */
  int64_t mDrift;
  /** When each version was made, from 1 on. */
  std::vector<Millis> mChangedAt;
  std::vector<std::unique_ptr<Entry>> mEntries;
  Millis mSilentUntil;
  Millis mTroubledUntil;
  Millis mNextTrouble;
  uint64_t mChecked = 0;
};

/** A watch whose questions are written down. */
class Written
{
public:
  Written()
    : mWatch({ .mMaxAge = Millis(1000) },
             { .mSendQuery =
                 [this](const TableQuery& aQuestion) {
                   mSentAt.push_back(aQuestion);
                 },
               .mCancelQueries = [this] { mAbandoned++; },
               .mOnConfirmed = [this](Millis aAt) { mConfirmed = aAt; },
               .mOnLost = [this](const std::string&, Millis) { mLost++; },
               .mOnRecovered = [] {} })
  {
    mWatch.Start();
    mWatch.OnPage(AnswerAt(Millis(100), 10));
  }

  static TableResponse AnswerAt(Millis aAt, uint64_t aVersion)
  {
    return { .mSentAt = aAt,
             .mReceivedAt = aAt + Millis(4),
             .mVersion = aVersion,
             .mStoreTime = aAt + Millis(5000) };
  }

  TableWatch mWatch;
  std::vector<TableQuery> mSentAt;
  Millis mConfirmed;
  int mAbandoned = 0;
  int mLost = 0;
};

} // namespace

Test(tablewatch, a_change_is_known_in_time_whatever_was_lost, .timeout = 200)
{
  for (const Telling telling :
       { Telling::Nothing, Telling::Words, Telling::Changes }) {
    cr_assert(rc::check("a change is known in time", [=](uint32_t aSeed) {
      TableModel(aSeed, telling).Play();
    }));
  }
}

Test(tablewatch, silence_is_doubted_within_the_bound)
{
  Written written;
  cr_assert(written.mSentAt.back().mKind == Kind::Changes);
  const Millis due = written.mWatch.NextTick();
  cr_expect(due > Millis(100) && due <= Millis(1100));
  written.mWatch.Tick(due);
  cr_expect(written.mSentAt.back().mKind == Kind::Verification);
  cr_expect(written.mSentAt.back().mWait == Millis(0));
  written.mWatch.OnVerification(Written::AnswerAt(due, 10));
  cr_expect(written.mConfirmed == due);
  cr_expect(written.mAbandoned == 0, "the question that waits goes on");
}

Test(tablewatch, a_proof_that_brings_changes_ends_the_question_that_waits)
{
  Written written;
  TableResponse news = Written::AnswerAt(Millis(900), 12);
  news.mHasRows = true;
  news.mNewestRow = 12;
  written.mWatch.Tick(Millis(1200));
  written.mWatch.OnVerification(news);
  cr_expect(written.mAbandoned == 1);
  cr_expect(written.mSentAt.back().mKind == Kind::Changes);
  cr_expect(written.mSentAt.back().mAfter == 12);
}

Test(tablewatch, changes_between_two_pages_are_asked_for)
{
  Written written;
  written.mWatch.OnHistoryGone();
  TableResponse first = Written::AnswerAt(Millis(2000), 20);
  first.mHasMore = true;
  written.mWatch.OnPage(first);
  written.mWatch.OnPage(Written::AnswerAt(Millis(2010), 25));
  cr_expect(written.mSentAt.back().mAfter == 20);
  cr_expect(written.mConfirmed == Millis(2000));
}

Test(tablewatch, a_word_counts_only_for_a_copy_that_goes_as_far)
{
  Written written;
  const Millis reading(5700);
  written.mWatch.OnCheckpoint({ .mLastChange = 11, .mStoreTime = reading },
                              Millis(800));
  cr_expect(written.mConfirmed == Millis(100));
  written.mWatch.OnCheckpoint({ .mLastChange = 10, .mStoreTime = reading },
                              Millis(800));
  cr_expect(written.mConfirmed == Millis(700));
  cr_expect(written.mWatch.Checkpoint()->mStoreTime == reading,
            "it is passed on");
  written.mWatch.OnCheckpoint({ .mLastChange = 10, .mStoreTime = Millis(9000) },
                              Millis(800));
  cr_expect(written.mConfirmed == Millis(700), "no reading of that clock yet");
}

Test(tablewatch, one_that_hears_that_the_store_is_back_asks_soon)
{
  Written written;
  for (int64_t each = 0; each < 6; ++each) {
    written.mWatch.OnFailed("down", Millis(1000), Millis(1000 + 1000 * each));
  }
  const Millis due = written.mWatch.NextTick();
  cr_expect(due >= Millis(6500) && due <= Millis(7000), "at half the bound");
  const Millis before(5000 + 950);
  written.mWatch.OnCheckpoint({ .mLastChange = 10, .mStoreTime = before },
                              Millis(6100));
  cr_expect(written.mWatch.NextTick() == due, "read before it was lost");
  const Millis since(5000 + 6050);
  written.mWatch.OnCheckpoint({ .mLastChange = 10, .mStoreTime = since },
                              Millis(6100));
  cr_expect(written.mWatch.NextTick() <= Millis(6300));
  cr_expect(written.mConfirmed == Millis(100), "its clock has yet to be read");
  written.mWatch.OnFailed("turned away", Millis(6300), Millis(6300));
  const Millis next = written.mWatch.NextTick();
  written.mWatch.OnCheckpoint(
    { .mLastChange = 10, .mStoreTime = Millis(11300) }, Millis(6310));
  cr_expect(written.mWatch.NextTick() == next, "it is hurried once");
}

Test(tablewatch, news_are_taken_where_nothing_is_missing_before_them)
{
  Written written;
  written.mWatch.SetPollsStore(false);
  cr_expect(!written.mWatch.OnUpdate(10, 12), "its own question is under way");
  TableResponse none = Written::AnswerAt(Millis(200), 10);
  written.mWatch.OnChanges(none);
  const size_t asked = written.mSentAt.size();
  cr_expect(!written.mWatch.OnUpdate(11, 12), "what came before is missing");
  cr_expect(!written.mWatch.OnUpdate(5, 9), "nothing new");
  cr_expect(written.mWatch.OnUpdate(8, 12));
  cr_expect(written.mWatch.Version() == 12);
  cr_expect(written.mWatch.Checkpoint()->mLastChange == 12);
  cr_expect(written.mConfirmed == Millis(200), "news tell no time");
  cr_expect(written.mSentAt.size() == asked);
  written.mWatch.SetPollsStore(true);
  cr_expect(written.mSentAt.size() == asked + 1);
  cr_expect(written.mSentAt.back().mAfter == 12);
}

Test(tablewatch, a_store_without_any_change_yet_confirms_at_its_reading)
{
  std::optional<Millis> reading;
  std::optional<TableWatch> watch;
  watch.emplace(TableWatchOptions{},
                TableWatchHooks{
                  .mSendQuery = [](const TableQuery&) {},
                  .mCancelQueries = [] {},
                  .mOnConfirmed = [&](Millis) { reading = watch->StoreTime(); },
                  .mOnLost = [](const std::string&, Millis) {},
                  .mOnRecovered = [] {} });
  watch->Start();
  watch->OnPage(Written::AnswerAt(Millis(100), 0));
  cr_expect(!watch->Checkpoint(), "its version names no change");
  cr_expect(reading == Millis(5100));
}
