#pragma once

#include "ids.h"
#include "millis.h"
#include "storeuptime.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace trefoilarch {

/** An upstream as the platform lists it. */
struct ListedUpstream
{
  UpstreamId mId;
  std::string mService;
  std::string mAddress; /**< IP and port; another upstream may get it later */
  std::string mDataCentre;
  uint32_t mSlots = 1;
  bool mLeaving = false;
  /** How much longer it is slow after its start. */
  Millis mColdFor;
  /** When its process started, Unix milliseconds; a process may start again
   * under its id. */
  std::optional<int64_t> mStartTime;
  /** Its count of what it has said; begins anew with each start. */
  std::optional<uint64_t> mSequence;
  /** Set by the directory: tells one start under an id from another. */
  uint64_t mIncarnationNumber = 0;

  bool operator==(const ListedUpstream&) const = default;
};

/** An upstream that the list lacks and that is kept for now. */
struct UnlistedUpstream
{
  /** When its entry was read to be gone. */
  Millis mSince;
  /** What to add to the length of the store's run to have how long the store
   * has served since, in all its runs. */
  Millis mOffset;

  bool operator==(const UnlistedUpstream&) const = default;
};

/** When the directory believes that an upstream is gone. */
struct DirectoryOptions
{
  /** Living upstreams that lapsed in an outage of the store are listed again
   * within this after its return. */
  Millis mRelistWindow{ 2000 };
  /** One that is not listed again while the store serves for this long in all
   * is gone, however often the store goes away. */
  Millis mMaxServingTime{ 10000 };
  StoreUptimeOptions mStore;
};

/**
 * The upstreams that exist, as last told by the platform's list. Entries lapse
 * in an outage of the store, though their upstreams live. So an upstream that
 * goes missing counts as gone once the store has served for long enough that a
 * living one would be listed again: at once, if there was no outage. Whether
 * there was one, all entries know together; that this entry alone could not
 * read the list is no reason to doubt it.
 */
class UpstreamDirectory
{
public:
  explicit UpstreamDirectory(DirectoryOptions aOptions = {});

  /** Lists an upstream, or takes what it says now. */
  void Put(ListedUpstream aUpstream);
  void Remove(const UpstreamId& aId, Millis aNow);
  /** The whole list; what is not in it is removed. */
  void ReplaceAll(std::vector<ListedUpstream> aAll, Millis aNow);

  /** See StoreUptime. */
  void OnStoreResponse(Millis aReading);
  void OnStoreReport(const StoreServingInterval& aTold);
  const std::optional<StoreServingInterval>& StoreServing() const
  {
    return mStore.Interval();
  }
  /** The list was the newest when the store's clock showed that; to be told
   * before the rows that came with it. */
  void OnListConfirmed(Millis aReading);

  /** A list that is the newest when the store's clock shows this tells whether
   * those that it lacks are gone; empty where it lacks none. */
  std::optional<Millis> RequiredStoreTime() const;

  /** Drops what is gone by what is known of the store; true where that changed
   * anything. */
  bool Expire();

  const ListedUpstream* Find(const UpstreamId& aId) const;
  /** Sorted by id, leaving ones included. */
  const std::vector<const ListedUpstream*>& OfService(
    const std::string& aService) const;
  const std::map<UpstreamId, ListedUpstream>& All() const { return mAll; }
  /** Those of them that the list lacks. */
  const std::map<UpstreamId, UnlistedUpstream>& Unlisted() const
  {
    return mUnlisted;
  }

private:
  /** What the entry says now comes from another start than what it said. */
  static bool IsAnotherStart(const ListedUpstream& aBefore,
                             const ListedUpstream& aNow);
  /** The run that had served for so long is over. */
  void OnOutage(Millis aServed);
  /** How long the store had served when the list was last the newest. */
  Millis ServedWhenRead() const;
  bool IsGone(const UnlistedUpstream& aUnlisted) const;
  void Drop(const UpstreamId& aId);
  void Rebuild();

  DirectoryOptions mOptions;
  std::map<UpstreamId, ListedUpstream> mAll;
  std::unordered_map<std::string, std::vector<const ListedUpstream*>>
    mByService;
  std::map<UpstreamId, UnlistedUpstream> mUnlisted;
  StoreUptime mStore;
  /** The store's clock when the list was last the newest. */
  Millis mStoreTime;
  uint64_t mIncarnations = 0;
};

} // namespace trefoilarch
