#pragma once

#include "freshness.h"
#include "millis.h"
#include "tablecheckpoint.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>

namespace trefoilarch {

/** What a TableWatch asks the store. */
struct TableQuery
{
  enum class Kind : uint8_t
  {
    FullRead,     /**< all rows, in as many pages as it takes */
    Changes,      /**< what has changed; the store may hold the answer back */
    Verification, /**< the same, to be answered at once */
  };

  Kind mKind = Kind::FullRead;
  /** Changes after this version are asked for. */
  uint64_t mAfter = 0;
  /** How long the store may hold the answer back. */
  Millis mWait;
  /** Without an answer for this long there will be none. */
  Millis mTimeout;

  bool operator==(const TableQuery&) const = default;
};

/** What an answer of the store tells, its rows aside. */
struct TableResponse
{
  Millis mSentAt;
  Millis mReceivedAt;
  /** The newest version that the answer goes up to. */
  uint64_t mVersion = 0;
  /** The newest version of the rows in it; 0 where that is not told. */
  uint64_t mNewestRow = 0;
  bool mHasRows = false;
  /** It does not tell all: there is more behind. */
  bool mHasMore = false;
  /** The store's clock. */
  Millis mStoreTime;
};

/** How a TableWatch carries out what it decides. */
struct TableWatchHooks
{
  /** Asks. A question for a proof is asked beside the others; any other one
   * takes the place of what was asked before. */
  std::function<void(const TableQuery&)> mSendQuery;
  /** Drops every question that is under way, and its connection. */
  std::function<void()> mCancelQueries;
  /** The copy was the newest at that instant. */
  std::function<void(Millis)> mOnConfirmed;
  /** The table can't be read: why, and how long an answer was waited for. */
  std::function<void(const std::string&, Millis)> mOnLost;
  /** It can be read again. */
  std::function<void()> mOnRecovered;
};

/** How a table is watched. */
struct TableWatchOptions
{
  /** A copy that was not confirmed for this long has to be proved. */
  Millis mMaxAge{ 1000 };
  /** How long the store may hold an answer back while nothing changes. */
  Millis mWait{ 25000 };
  /** Between an answer with changes and the next question, so that changes
   * that come in numbers are told together. */
  Millis mBatchDelay{ 0 };
  uint64_t mSeed = 1;

  /** The bound for a table whose changes have to be obeyed within that span:
   * what is left of it is for the store's answer and for the way to the
   * upstream. */
  static constexpr Millis MaxAgeFor(Millis aInForce) { return aInForce / 2; }
};

/**
 * Keeps an entry's copy of a table of the store fresh: decides when to ask
 * for what, and what an answer or another entry's word is worth.
 *
 * A question that waits for changes tells of them at once, but its silence
 * proves nothing: it may have been lost, and the store be well. So the age of
 * the copy is bounded by itself. Where neither an answer nor another entry has
 * confirmed it within the bound, the store is asked beside the waiting
 * question, over a connection of its own.
 */
class TableWatch
{
public:
  TableWatch(TableWatchOptions aOptions, TableWatchHooks aHooks);

  void Start();

  /** A page of the whole table; the rows are all there where none follows. */
  void OnPage(const TableResponse& aPage);
  /** The answer to the question for changes. */
  void OnChanges(const TableResponse& aAnswer);
  void OnVerification(const TableResponse& aAnswer);
  /** The store no longer has the history that was asked for. */
  void OnHistoryGone();
  /** A question failed, whichever. */
  void OnFailed(const std::string& aWhy, Millis aAsked, Millis aNow);

  /** What another entry knows. Where the table is lost, it may tell that the
   * store is back: NextTick() is then due sooner. */
  void OnCheckpoint(const TableCheckpoint& aWord, Millis aNow);
  /** What this one knows; empty before the first answer. */
  std::optional<TableCheckpoint> Checkpoint() const;
  /** The store's clock when the copy was last confirmed; set before it is told
   * that it was, and empty before the first time. */
  std::optional<Millis> StoreTime() const { return mStoreTime; }

  /**
   * Whether this entry asks for changes, or hears of them from others that do.
   * What they do not tell shows by their words and by the next proof.
   */
  void SetPollsStore(bool aListening);
  bool PollsStore() const { return mListening; }
  /** How many entries ask the store, this one included: the fewer, the sooner
   * each asks again for a table that is lost. */
  void SetEntries(size_t aEntries) { mEntries = aEntries; }
  /** News from another entry: true where the copy takes those rows that are
   * newer than what it had. */
  bool OnUpdate(uint64_t aAfter, uint64_t aUpTo);
  /** The copy has every change up to here. */
  uint64_t Version() const { return mVersion; }
  /** A confirmation of that reading of the store's clock, or a later one, is
   * wanted as soon as it can be had. */
  void RequireStoreTime(Millis aReading) { mWantedReading = aReading; }

  /** Does what is due. */
  void Tick(Millis aNow);
  /** When Tick() is next due. */
  Millis NextTick() const;

  Millis Age(Millis aNow) const { return mFreshness.Age(aNow); }

private:
  enum class Phase : uint8_t
  {
    ReadingTable, /**< the whole table is asked for */
    Following,    /**< changes are asked for */
    Gathering,    /**< changes have come, and more may follow */
    Lost,         /**< the next question waits for its time */
    Asking,       /**< the table is lost, and a proof is asked for */
  };

  void Read();
  void Follow();
  void Gather(Millis aNow);
  void Abandon();
  /** The store has answered another entry since this one lost it. */
  bool WasReadSinceLost(const TableCheckpoint& aWord) const;
  void AskProof();
  /** At the most, between two questions while the table is lost. */
  Millis LongestPause() const;
  /** When the next proof is due. */
  Millis ProofDue() const;
  void TakeVersions(const TableResponse& aAnswer);
  void Confirm(const TableResponse& aAnswer);
  void DrawProofAge();
  void NoteBack();

  TableWatchOptions mOptions;
  TableWatchHooks mHooks;
  std::mt19937_64 mRandom;
  Phase mPhase = Phase::ReadingTable;
  /** When the phase ends by itself. */
  Millis mPhaseEnds = Millis::Never();
  /** The copy has every change up to here; 0: it has yet to be read. */
  uint64_t mVersion = 0;
  uint64_t mLastChange = 0;
  /** The first page of a table that is being read. */
  std::optional<TableResponse> mFirstPage;
  RemoteClock mClock;
  Freshness mFreshness;
  /** The store's clock when the copy was last confirmed. */
  std::optional<Millis> mStoreTime;
  Millis mWantedReading;
  /** The age at which this entry asks for a proof. */
  Millis mProofAge;
  bool mListening = true;
  /** Unknown numbers count as many. */
  size_t mEntries = SIZE_MAX;
  bool mFeedAsked = false;
  bool mProofAsked = false;
  uint32_t mFailures = 0;
  Millis mLostAt;
  /** Others have told since then that the store is back. */
  bool mHurried = false;
};

} // namespace trefoilarch
