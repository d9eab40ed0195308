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

/** A query of a TableWatch to the store. */
struct TableQuery
{
  enum class Kind : uint8_t
  {
    FullRead,     /**< all rows, in as many pages as needed */
    Changes,      /**< changes; the store may delay the response */
    Verification, /**< changes, with a response at once */
  };

  Kind mKind = Kind::FullRead;
  /** Changes after this version are queried. */
  uint64_t mAfter = 0;
  /** How long the store may delay the response. */
  Millis mWait;
  /** Time after which no response is expected. */
  Millis mTimeout;

  bool operator==(const TableQuery&) const = default;
};

/** Metadata of a response of the store, without its rows. */
struct TableResponse
{
  Millis mSentAt;
  Millis mReceivedAt;
  /** The latest version covered by the response. This and all other versions
   * are numbers of StoreVersions. */
  uint64_t mVersion = 0;
  /** The latest version among its rows, or 0 if unknown. */
  uint64_t mNewestRow = 0;
  bool mHasRows = false;
  /** The response is incomplete and more rows follow. */
  bool mHasMore = false;
  /** The store's clock at the response. */
  Millis mStoreTime;
};

/** Callbacks by which a TableWatch carries out its decisions. */
struct TableWatchHooks
{
  /** Sends a query. A verification is sent beside other queries. Any other
   * query replaces the previous one. */
  std::function<void(const TableQuery&)> mSendQuery;
  /** Cancels all pending queries and closes their connections. */
  std::function<void()> mCancelQueries;
  /** The copy was up to date at that time. */
  std::function<void(Millis)> mOnConfirmed;
  /** The table can't be read: the reason, and how long a response was
   * awaited. */
  std::function<void(const std::string&, Millis)> mOnLost;
  /** The table can be read again. */
  std::function<void()> mOnRecovered;
};

/** Options of a TableWatch. */
struct TableWatchOptions
{
  /** Age at which an unconfirmed copy has to be verified. */
  Millis mMaxAge{ 1000 };
  /** How long the store may delay a response while nothing changes. */
  Millis mWait{ 25000 };
  /** Delay between a response with changes and the next query, so that frequent
   * changes are fetched together. */
  Millis mBatchDelay{ 0 };
  uint64_t mSeed = 1;

  /** Maximum age of the copy for a table whose changes have to be applied
   * within that time. The rest of it is for the store's response and for the
   * delivery to the upstream. */
  static constexpr Millis MaxAgeFor(Millis aMaxDelay) { return aMaxDelay / 2; }
};

/**
 * Keeps an entry's copy of a table of the store up to date: decides when to
 * send which query, and how to use responses and the checkpoints of other
 * entries.
 *
 * A long poll reports changes at once, but its silence proves nothing: it may
 * have been lost. So the age of the copy has a bound of its own. If neither a
 * response nor another entry has confirmed it within the bound, the store is
 * queried beside the long poll, over a separate connection.
 */
class TableWatch
{
public:
  TableWatch(TableWatchOptions aOptions, TableWatchHooks aHooks);

  void Start();

  /** A page of the full table. The last page has no mHasMore. */
  void OnPage(const TableResponse& aPage);
  /** Whether the version is of the copy's era. The changes of another era are
   * those of another history, and the table has to be read anew. */
  bool IsComparable(uint64_t aVersion) const;
  /** The response to the query for changes. */
  void OnChanges(const TableResponse& aResponse);
  void OnVerification(const TableResponse& aResponse);
  /** The store no longer has the requested history. */
  void OnHistoryGone();
  /** Any query failed. */
  void OnFailed(const std::string& aReason, Millis aSentAt, Millis aNow);

  /** The checkpoint of another entry. If the table is lost, this may show that
   * the store has recovered. NextTick() is then due sooner. */
  void OnCheckpoint(const TableCheckpoint& aCheckpoint, Millis aNow);
  /** This entry's checkpoint. Empty before the first response. */
  std::optional<TableCheckpoint> Checkpoint() const;
  /** The store's time when the copy was last confirmed. Empty before the first
   * confirmation. Set before mOnConfirmed is called. */
  std::optional<Millis> StoreTime() const { return mStoreTime; }

  /**
   * Sets whether this entry polls the store for changes or receives them from
   * entries that do. Lost ones are detected by checkpoints and by the next
   * verification.
   */
  void SetPollsStore(bool aPollsStore);
  bool PollsStore() const { return mPollsStore; }
  /** Sets the number of entries that query the store, including this one. With
   * fewer entries, each retries sooner if the table is lost. */
  void SetEntries(size_t aEntries) { mEntryCount = aEntries; }
  /** An update from another entry. Returns true if the copy is to take those of
   * its rows that are newer than its own. */
  bool OnUpdate(uint64_t aAfter, uint64_t aUpTo);
  /** The copy includes all changes up to this version. */
  uint64_t Version() const { return mVersion; }
  /** Requests a confirmation at that store time or later, as soon as possible;
   * it ends the collection of changes. */
  void RequireStoreTime(Millis aStoreTime) { mRequiredStoreTime = aStoreTime; }

  /** Performs the actions that are due. */
  void Tick(Millis aNow);
  /** When Tick() is next due. */
  Millis NextTick() const;

  Millis Age(Millis aNow) const { return mFreshness.Age(aNow); }

private:
  enum class Phase : uint8_t
  {
    ReadingTable, /**< the full table is being read */
    Following,    /**< polling for changes */
    Batching,     /**< changes were received, more may follow */
    Lost,         /**< waiting for the next retry */
    Verifying,    /**< the table is lost, verification is pending */
  };

  void ReadTable();
  void FollowChanges();
  void StartBatch(Millis aNow);
  void CancelQueries();
  /** Whether the store has responded to another entry since this one lost
   * it. */
  bool WasServingSinceLost(const TableCheckpoint& aCheckpoint) const;
  void SendVerification();
  /** Maximum delay between two retries while the table is lost. */
  Millis MaxRetryDelay() const;
  /** When the next verification is due. */
  Millis NextVerificationAt() const;
  /** Whether a confirmation was requested that has not been received. */
  bool IsConfirmationRequired() const;
  /** When a query for it is due. */
  Millis RequiredVerificationAt() const;
  void TakeVersions(const TableResponse& aResponse);
  void Confirm(const TableResponse& aResponse);
  void DrawVerificationAge();
  void ReportRecovered();

  TableWatchOptions mOptions;
  TableWatchHooks mHooks;
  std::mt19937_64 mRandom;
  Phase mPhase = Phase::ReadingTable;
  /** When the phase ends by timeout. */
  Millis mPhaseEndsAt = Millis::Never();
  /** The copy includes all changes up to this version; 0 if it has not been
   * read yet. */
  uint64_t mVersion = 0;
  uint64_t mLastChange = 0;
  /** The first page of a table being read. */
  std::optional<TableResponse> mFirstPage;
  RemoteClock mClock;
  Freshness mFreshness;
  /** The store's time when the copy was last confirmed. */
  std::optional<Millis> mStoreTime;
  Millis mRequiredStoreTime;
  /** Age of the copy at which this entry sends a verification. */
  Millis mVerificationAge;
  bool mPollsStore = true;
  /** An unknown number counts as many. */
  size_t mEntryCount = SIZE_MAX;
  bool mPollPending = false;
  bool mVerificationPending = false;
  uint32_t mFailures = 0;
  Millis mLostAt;
  /** Another entry has reported since then that the store has recovered. */
  bool mRetryAdvanced = false;
};

} // namespace trefoilarch
