#pragma once

#include "libtrefoilarch/ids.h"
#include "libtrefoilarch/millis.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace trefoilarch {

/** A request that a caller sends, unique in this process. */
using UploadId = uint64_t;

/** What a request may use. */
enum class UploadClass : uint8_t
{
  Small, /**< all memory, each a part of what is free */
  Large, /**< its owner's part of what is not kept for small requests */
};

/** What a request needs. */
struct UploadNeed
{
  /** The workspace; it matters for large requests. */
  std::string mOwner{};
  UploadClass mClass = UploadClass::Small;
  /** In all, not in addition to what it has. */
  size_t mBytes = 0;

  bool operator==(const UploadNeed&) const = default;
};

/** Options of an UploadBudget. */
struct UploadBudgetOptions
{
  /** Maximum bytes of all requests. */
  size_t mTotalBytes = 134217728;
  /** A request of up to this size is small. */
  size_t mSmallBytes = 32768;
  /** The total divided by this is kept for small requests. */
  size_t mSmallShareDivisor = 8;
  /** A request that has found no room for this long is rejected. */
  Millis mMaxWait{ 2000 };
  /** While others wait, a request that was admitted has to arrive at this
   * rate, apart from the time at its beginning. */
  size_t mMinBytesPerSecond = 65536;
  Millis mRateGrace{ 1500 };

  bool operator==(const UploadBudgetOptions&) const = default;
};

/**
 * Memory for the requests that callers send: heads, bodies that are incomplete
 * and bodies that upstreams may still need.
 *
 * A request is admitted with all the bytes that it may need, so that admitted
 * ones can always be completed. Others wait, unread. Small requests have a
 * reserve; of the rest no owner may take so much that others find no room.
 */
class UploadBudget
{
public:
  explicit UploadBudget(UploadBudgetOptions aOptions);

  const UploadBudgetOptions& Options() const { return mOptions; }
  /** What is admitted already stays admitted. */
  void SetOptions(UploadBudgetOptions aOptions) { mOptions = aOptions; }
  /** Sets the handler called when bytes were released while requests wait. */
  void OnRoom(std::function<void()> aOnRoom) { mOnRoom = std::move(aOnRoom); }

  /** The largest request that is ever admitted. */
  size_t MaxBytes() const;
  UploadClass ClassOf(size_t aBytes) const
  {
    return aBytes <= mOptions.mSmallBytes ? UploadClass::Small
                                          : UploadClass::Large;
  }

  /** Sets what the request needs. Returns whether it is available; otherwise
   * the request keeps what it has and waits for TakeAdmitted(). */
  bool Request(UploadId aUpload, const UploadNeed& aNeed, Millis aNow);
  /** The request is rejected, or nobody needs it any more. */
  void Remove(UploadId aUpload);
  /** Requests that waited and have got their bytes since, of the owners that
   * have least first. */
  std::vector<UploadId> TakeAdmitted(Millis aNow);

  bool IsWaiting(UploadId aUpload) const { return mWaiting.contains(aUpload); }
  /** Whether the request has found no room for too long. */
  bool IsOverdue(UploadId aUpload, Millis aNow) const;
  /** Whether the admitted request arrives too slowly while others wait. */
  bool IsTooSlow(UploadId aUpload, size_t aReceivedBytes, Millis aNow) const;

  size_t TotalBytes() const { return mTotalBytes; }
  size_t WaitingCount() const { return mWaiting.size(); }
  Millis LongestWait(Millis aNow) const;

private:
  struct Upload
  {
    /** What it has. */
    UploadNeed mHeld;
    Millis mAdmittedAt;
  };
  struct WaitingUpload
  {
    UploadNeed mNeed;
    Millis mSince;
  };
  /** Since when an upload has waited; unique by its id. */
  using Position = std::pair<Millis, UploadId>;
  /** Those of one class and owner that wait. */
  struct WaitingGroup
  {
    std::set<Position> mPositions;
    /** What each needs in addition to what it has. */
    std::multiset<size_t> mMoreBytes;
    /** What all of them have of their owner's part. */
    size_t mOwnedBytes = 0;
  };
  using GroupKey = std::pair<UploadClass, std::string>;
  using Groups = std::map<GroupKey, WaitingGroup>;
  /** The next one of a group that may be admitted; the lowest is first. */
  struct Candidate
  {
    UploadClass mClass = UploadClass::Small;
    /** What its owner has. */
    size_t mOwnedBytes = 0;
    Position mPosition;
    Groups::iterator mGroup;

    bool operator>(const Candidate& aOther) const;
  };

  size_t FreeBytes(size_t aBound) const;
  bool HasRoom(const UploadNeed& aHeld, const UploadNeed& aNeed) const;
  /** False if none of the group has room. */
  bool MayHaveRoom(const Groups::value_type& aGroup) const;
  size_t OwnedBytes(const std::string& aOwner) const;
  void Count(const UploadNeed& aHeld);
  void Uncount(const UploadNeed& aHeld);
  void Admit(Upload& aUpload, const UploadNeed& aNeed, Millis aNow);
  /** What an upload has that counts for the owner of the need. */
  static size_t OwnedPart(const UploadNeed& aHeld, const UploadNeed& aNeed);
  void AddWaiting(UploadId aUpload, WaitingUpload aWaiting);
  void RemoveWaiting(UploadId aUpload);

  UploadBudgetOptions mOptions;
  std::function<void()> mOnRoom;
  std::unordered_map<UploadId, Upload> mUploads;
  std::unordered_map<UploadId, WaitingUpload> mWaiting;
  /** The members of mWaiting. */
  Groups mGroups;
  std::unordered_map<std::string, size_t> mOwned;
  size_t mTotalBytes = 0;
};

} // namespace trefoilarch
