#include "uploadbudget.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <queue>
#include <tuple>
#include <utility>

namespace trefoilarch {

namespace {

/** An owner may take what it leaves free times this: one alone six sevenths,
 * two of them six thirteenths each. */
constexpr size_t kOwnerFactor = 6;

/** A small request may take what is free divided by this, so that the largest
 * of them wait first, and those of an ordinary size still find room. */
constexpr size_t kSmallDivisor = 16;

constexpr int64_t kMillisPerSecond = 1000;

size_t
MoreBytes(const UploadNeed& aHeld, const UploadNeed& aNeed)
{
  return aNeed.mBytes - std::min(aNeed.mBytes, aHeld.mBytes);
}

} // namespace

bool
UploadBudget::Candidate::operator>(const Candidate& aOther) const
{
  return std::tie(mClass, mOwnedBytes, mPosition) >
         std::tie(aOther.mClass, aOther.mOwnedBytes, aOther.mPosition);
}

UploadBudget::UploadBudget(UploadBudgetOptions aOptions)
  : mOptions(aOptions)
{
}

size_t
UploadBudget::MaxBytes() const
{
  return mOptions.mTotalBytes -
         mOptions.mTotalBytes / mOptions.mSmallShareDivisor;
}

size_t
UploadBudget::FreeBytes(size_t aBound) const
{
  return aBound - std::min(aBound, mTotalBytes);
}

size_t
UploadBudget::OwnedBytes(const std::string& aOwner) const
{
  const auto owned = mOwned.find(aOwner);
  return owned == mOwned.end() ? 0 : owned->second;
}

bool
UploadBudget::HasRoom(const UploadNeed& aHeld, const UploadNeed& aNeed) const
{
  const size_t more = MoreBytes(aHeld, aNeed);
  if (aNeed.mClass == UploadClass::Small) {
    return more <= FreeBytes(mOptions.mTotalBytes) / kSmallDivisor;
  }
  const size_t free = FreeBytes(MaxBytes());
  if (more > free) {
    return false;
  }
  const size_t others = OwnedBytes(aNeed.mOwner) - OwnedPart(aHeld, aNeed);
  return others == 0 || others + aNeed.mBytes <= kOwnerFactor * (free - more);
}

bool
UploadBudget::MayHaveRoom(const Groups::value_type& aGroup) const
{
  const auto& [key, group] = aGroup;
  const auto& [uploadClass, owner] = key;
  const size_t more = *group.mMoreBytes.begin();
  if (uploadClass == UploadClass::Small) {
    return more <= FreeBytes(mOptions.mTotalBytes) / kSmallDivisor;
  }
  const size_t free = FreeBytes(MaxBytes());
  if (more > free) {
    return false;
  }
  const size_t others = OwnedBytes(owner) - group.mOwnedBytes;
  return others == 0 || others + more <= kOwnerFactor * (free - more);
}

size_t
UploadBudget::OwnedPart(const UploadNeed& aHeld, const UploadNeed& aNeed)
{
  const bool owned =
    aHeld.mClass == UploadClass::Large && aHeld.mOwner == aNeed.mOwner;
  return owned ? aHeld.mBytes : 0;
}

void
UploadBudget::AddWaiting(UploadId aUpload, WaitingUpload aWaiting)
{
  RemoveWaiting(aUpload);
  const UploadNeed& held = mUploads.at(aUpload).mHeld;
  const UploadNeed& need = aWaiting.mNeed;
  WaitingGroup& group = mGroups[{ need.mClass, need.mOwner }];
  group.mPositions.emplace(aWaiting.mSince, aUpload);
  group.mMoreBytes.insert(MoreBytes(held, need));
  group.mOwnedBytes += OwnedPart(held, need);
  mWaiting[aUpload] = std::move(aWaiting);
}

void
UploadBudget::RemoveWaiting(UploadId aUpload)
{
  const auto waiting = mWaiting.extract(aUpload);
  if (waiting.empty()) {
    return;
  }
  const UploadNeed& held = mUploads.at(aUpload).mHeld;
  const UploadNeed& need = waiting.mapped().mNeed;
  const auto found = mGroups.find({ need.mClass, need.mOwner });
  WaitingGroup& group = found->second;
  group.mPositions.erase({ waiting.mapped().mSince, aUpload });
  group.mMoreBytes.erase(group.mMoreBytes.find(MoreBytes(held, need)));
  group.mOwnedBytes -= OwnedPart(held, need);
  if (group.mPositions.empty()) {
    mGroups.erase(found);
  }
}

bool
UploadBudget::Request(UploadId aUpload, const UploadNeed& aNeed, Millis aNow)
{
  Upload& upload = mUploads[aUpload];
  if (!HasRoom(upload.mHeld, aNeed)) {
    AddWaiting(aUpload, { .mNeed = aNeed, .mSince = aNow });
    return false;
  }
  const bool releases = aNeed.mBytes < upload.mHeld.mBytes;
  RemoveWaiting(aUpload);
  Admit(upload, aNeed, aNow);
  if (releases && !mWaiting.empty() && mOnRoom) {
    mOnRoom();
  }
  return true;
}

void
UploadBudget::Remove(UploadId aUpload)
{
  RemoveWaiting(aUpload);
  const auto upload = mUploads.find(aUpload);
  if (upload == mUploads.end()) {
    return;
  }
  Uncount(upload->second.mHeld);
  mUploads.erase(upload);
  if (!mWaiting.empty() && mOnRoom) {
    mOnRoom();
  }
}

void
UploadBudget::Admit(Upload& aUpload, const UploadNeed& aNeed, Millis aNow)
{
  Uncount(aUpload.mHeld);
  aUpload.mHeld = aNeed;
  aUpload.mAdmittedAt = aNow;
  Count(aUpload.mHeld);
}

void
UploadBudget::Count(const UploadNeed& aHeld)
{
  mTotalBytes += aHeld.mBytes;
  if (aHeld.mClass == UploadClass::Large) {
    mOwned[aHeld.mOwner] += aHeld.mBytes;
  }
}

void
UploadBudget::Uncount(const UploadNeed& aHeld)
{
  mTotalBytes -= aHeld.mBytes;
  const auto owned = mOwned.find(aHeld.mOwner);
  if (aHeld.mClass == UploadClass::Small || owned == mOwned.end()) {
    return;
  }
  owned->second -= aHeld.mBytes;
  if (owned->second == 0) {
    mOwned.erase(owned);
  }
}

std::vector<UploadId>
UploadBudget::TakeAdmitted(Millis aNow)
{
  // Each waiting request is looked at once: as others are admitted, one without
  // room gets none.
  std::priority_queue<Candidate, std::vector<Candidate>, std::greater<>>
    candidates;
  const auto add = [&](Groups::iterator aGroup, const Position& aPosition) {
    const auto& [uploadClass, owner] = aGroup->first;
    candidates.push({ .mClass = uploadClass,
                      .mOwnedBytes = OwnedBytes(owner),
                      .mPosition = aPosition,
                      .mGroup = aGroup });
  };
  for (auto group = mGroups.begin(); group != mGroups.end(); ++group) {
    add(group, *group->second.mPositions.begin());
  }
  std::vector<UploadId> admitted;
  while (!candidates.empty()) {
    const auto [uploadClass, ownedBytes, position, group] = candidates.top();
    candidates.pop();
    if (!MayHaveRoom(*group)) {
      continue;
    }
    const auto& positions = group->second.mPositions;
    const auto found = positions.upper_bound(position);
    const auto following =
      found == positions.end() ? std::nullopt : std::optional(*found);
    const UploadId id = position.second;
    const UploadNeed need = mWaiting.at(id).mNeed;
    Upload& upload = mUploads.at(id);
    if (HasRoom(upload.mHeld, need)) {
      // Removes the group with its last request.
      RemoveWaiting(id);
      Admit(upload, need, aNow);
      admitted.push_back(id);
    }
    if (following) {
      add(group, *following);
    }
  }
  return admitted;
}

bool
UploadBudget::IsOverdue(UploadId aUpload, Millis aNow) const
{
  const auto waiting = mWaiting.find(aUpload);
  return waiting != mWaiting.end() &&
         aNow - waiting->second.mSince >= mOptions.mMaxWait;
}

bool
UploadBudget::IsTooSlow(UploadId aUpload,
                        size_t aReceivedBytes,
                        Millis aNow) const
{
  const auto upload = mUploads.find(aUpload);
  if (mWaiting.empty() || upload == mUploads.end() || IsWaiting(aUpload)) {
    return false;
  }
  // Small requests only wait for one another.
  const bool small = upload->second.mHeld.mClass == UploadClass::Small;
  if (small && mTotalBytes <= MaxBytes()) {
    return false;
  }
  const Millis elapsed =
    aNow - upload->second.mAdmittedAt - mOptions.mRateGrace;
  return static_cast<double>(aReceivedBytes) * kMillisPerSecond <
         static_cast<double>(elapsed.Count()) *
           static_cast<double>(mOptions.mMinBytesPerSecond);
}

Millis
UploadBudget::LongestWait(Millis aNow) const
{
  Millis longest{ 0 };
  for (const auto& [key, group] : mGroups) {
    longest = std::max(longest, aNow - group.mPositions.begin()->first);
  }
  return longest;
}

} // namespace trefoilarch
