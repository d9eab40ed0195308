#pragma once

#include "ids.h"
#include "millis.h"
#include "storeuptime.h"
#include "upstreamprocess.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace trefoilarch {

/** An upstream as listed by the platform. */
struct ListedUpstream
{
  UpstreamId mId;
  std::string mService;
  std::string mAddress; /**< IP and port; another upstream may reuse it */
  std::string mDataCentre;
  /** Of its software; empty if it names none. */
  std::string mVersion;
  uint32_t mSlots = 1;
  bool mLeaving = false;
  /** How much longer it is slow after its start. */
  Millis mColdFor;
  /** Start time of its process, in Unix milliseconds. A process may start again
   * under its id. */
  std::optional<int64_t> mStartTime;
  /** Number of its latest message. Restarts with each incarnation. */
  std::optional<uint64_t> mSequence;
  /** Set by the directory. Identifies the incarnation under its id. */
  uint64_t mIncarnationNumber = 0;

  UpstreamProcess Process() const
  {
    return { .mAddress = mAddress,
             .mStartTime = mStartTime,
             .mSequence = mSequence,
             .mVersion = mVersion };
  }

  bool operator==(const ListedUpstream&) const = default;
};

/** An unlisted upstream that is kept for now. */
struct UnlistedUpstream
{
  /** When its entry was found missing. */
  Millis mSince;
  /** To be added to the length of the current serving interval for the time
   * that the store has served since, in all intervals. */
  Millis mOffset;

  bool operator==(const UnlistedUpstream&) const = default;
};

/** Conditions under which an upstream is considered gone. */
struct DirectoryOptions
{
  /** Running upstreams whose entries expired in an outage of the store are
   * listed again within this time after its recovery. */
  Millis mRelistWindow{ 2000 };
  /** An upstream that is not listed again while the store serves for this long
   * in total is gone, however often the store fails. */
  Millis mMaxServingTime{ 10000 };
  StoreUptimeOptions mStore;
};

/**
 * The existing upstreams, by the platform's latest list. Entries expire in an
 * outage of the store although their upstreams are running. So a missing
 * upstream counts as gone once the store has served long enough for a running
 * one to be listed again; at once, if there was no outage. All entries together
 * know whether there was one. A failure of this entry alone to read the list
 * does not count as one.
 */
class UpstreamDirectory
{
public:
  explicit UpstreamDirectory(DirectoryOptions aOptions = {});

  /** Adds or updates an upstream. */
  void Put(ListedUpstream aUpstream);
  void Remove(const UpstreamId& aId, Millis aNow);
  /** Replaces the full list. Upstreams that are not in it are removed. */
  void ReplaceAll(std::vector<ListedUpstream> aAll, Millis aNow);
  /** Replaces the full list by one of a store that has come back from a copy.
   * Entries older than what is known of their upstreams are ignored; returns
   * their ids. */
  std::vector<UpstreamId> Restore(std::vector<ListedUpstream> aAll,
                                  Millis aNow);

  /** See StoreUptime. */
  void OnStoreResponse(Millis aStoreTime);
  void OnStoreReport(const StoreServingInterval& aReport);
  const std::optional<StoreServingInterval>& StoreServing() const
  {
    return mStore.Interval();
  }
  /** The list was up to date at that store time. To be called before the rows
   * that came with it are applied. */
  void OnListConfirmed(Millis aStoreTime);

  /** A list that is up to date at this store time shows whether the unlisted
   * upstreams are gone. Empty if there are none. */
  std::optional<Millis> RequiredStoreTime() const;

  /** Removes upstreams that are gone by what is known of the store. Returns
   * true if there were any. */
  bool Expire();

  const ListedUpstream* Find(const UpstreamId& aId) const;
  /** Sorted by id, including leaving ones. */
  const std::vector<const ListedUpstream*>& OfService(
    const std::string& aService) const;
  const std::map<UpstreamId, ListedUpstream>& All() const { return mAll; }
  /** When the list was last read as a whole; no change since then was missed.
   * Empty if it never was. */
  std::optional<Millis> FollowedSince() const { return mFollowedSince; }
  /** Upstreams that are not in the list and are kept. */
  const std::map<UpstreamId, UnlistedUpstream>& Unlisted() const
  {
    return mUnlisted;
  }

private:
  /** The serving interval of that length has ended. */
  void OnOutage(Millis aServed);
  /** How long the store had served when the list was last up to date. */
  Millis ServedAtLastRead() const;
  bool IsGone(const UnlistedUpstream& aUnlisted) const;
  void Drop(const UpstreamId& aId, Millis aSince);
  /** Whether a restored entry is older than what is known of its upstream. */
  bool IsOutdated(const ListedUpstream& aRestored) const;
  void Rebuild();

  DirectoryOptions mOptions;
  std::map<UpstreamId, ListedUpstream> mAll;
  std::unordered_map<std::string, std::vector<const ListedUpstream*>>
    mByService;
  std::map<UpstreamId, UnlistedUpstream> mUnlisted;
  struct DroppedUpstream
  {
    UpstreamProcess mProcess;
    Millis mSince;
  };
  /** Upstreams that went from the list lately. */
  std::map<UpstreamId, DroppedUpstream> mDropped;
  StoreUptime mStore;
  /** The store's time when the list was last up to date. */
  Millis mStoreTime;
  std::optional<Millis> mFollowedSince;
  uint64_t mIncarnations = 0;
};

} // namespace trefoilarch
