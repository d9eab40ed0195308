#include "upstreamdirectory.h"

#include <algorithm>
#include <set>

namespace trefoilarch {

UpstreamDirectory::UpstreamDirectory(DirectoryOptions aOptions)
  : mOptions(aOptions)
  , mStore(aOptions.mStore)
{
}

void
UpstreamDirectory::Put(ListedUpstream aUpstream)
{
  mUnlisted.erase(aUpstream.mId);
  const auto [entry, inserted] = mAll.try_emplace(aUpstream.mId);
  ListedUpstream& listed = entry->second;
  const bool isNew =
    inserted || IsReplaced(listed.Process(), aUpstream.Process());
  aUpstream.mIncarnationNumber =
    isNew ? ++mIncarnations : listed.mIncarnationNumber;
  if (!isNew && !aUpstream.mStartTime) {
    aUpstream.mStartTime = listed.mStartTime;
  }
  const bool moved = listed.mService != aUpstream.mService;
  listed = std::move(aUpstream);
  if (moved) {
    Rebuild();
  }
}

void
UpstreamDirectory::Remove(const UpstreamId& aId, Millis aNow)
{
  if (!mAll.contains(aId)) {
    return;
  }
  const UnlistedUpstream unlisted{ .mSince = aNow,
                                   .mOffset = Millis(0) - ServedAtLastRead() };
  const auto it = mUnlisted.try_emplace(aId, unlisted).first;
  if (IsGone(it->second)) {
    Drop(aId);
  }
}

void
UpstreamDirectory::ReplaceAll(std::vector<ListedUpstream> aAll, Millis aNow)
{
  mFollowedSince = aNow;
  std::set<UpstreamId> listed;
  for (ListedUpstream& each : aAll) {
    listed.insert(each.mId);
    Put(std::move(each));
  }
  std::vector<UpstreamId> gone;
  for (const auto& [id, each] : mAll) {
    if (!listed.contains(id)) {
      gone.push_back(id);
    }
  }
  for (const UpstreamId& id : gone) {
    Remove(id, aNow);
  }
}

void
UpstreamDirectory::OnStoreResponse(Millis aStoreTime)
{
  const Millis served = ServedAtLastRead();
  if (mStore.OnResponse(aStoreTime)) {
    OnOutage(served);
  }
}

void
UpstreamDirectory::OnStoreReport(const StoreServingInterval& aReport)
{
  const Millis served = ServedAtLastRead();
  if (mStore.OnPeerReport(aReport)) {
    OnOutage(served);
  }
}

void
UpstreamDirectory::OnListConfirmed(Millis aStoreTime)
{
  mStoreTime = aStoreTime;
}

void
UpstreamDirectory::OnOutage(Millis aServed)
{
  for (auto& [id, unlisted] : mUnlisted) {
    unlisted.mOffset += aServed;
  }
}

Millis
UpstreamDirectory::ServedAtLastRead() const
{
  const auto& interval = mStore.Interval();
  if (!interval) {
    return Millis(0);
  }
  // The list may be confirmed by a response that the interval does not include
  // yet.
  return std::max(Millis(0),
                  std::min(mStoreTime, interval->mUntil) - interval->mSince);
}

std::optional<Millis>
UpstreamDirectory::RequiredStoreTime() const
{
  if (mUnlisted.empty()) {
    return std::nullopt;
  }
  return mStore.Interval()->mSince + mOptions.mRelistWindow;
}

bool
UpstreamDirectory::IsGone(const UnlistedUpstream& aUnlisted) const
{
  // Nothing expired if no outage is known: a process that has just started has
  // read the list since.
  if (!mStore.SawOutage()) {
    return true;
  }
  const Millis served = ServedAtLastRead();
  const Millis inAll = aUnlisted.mOffset + served;
  return served >= mOptions.mRelistWindow || inAll >= mOptions.mMaxServingTime;
}

bool
UpstreamDirectory::Expire()
{
  std::vector<UpstreamId> gone;
  for (const auto& [id, unlisted] : mUnlisted) {
    if (IsGone(unlisted)) {
      gone.push_back(id);
    }
  }
  for (const UpstreamId& id : gone) {
    Drop(id);
  }
  return !gone.empty();
}

const ListedUpstream*
UpstreamDirectory::Find(const UpstreamId& aId) const
{
  const auto it = mAll.find(aId);
  return it == mAll.end() ? nullptr : &it->second;
}

const std::vector<const ListedUpstream*>&
UpstreamDirectory::OfService(const std::string& aService) const
{
  static const std::vector<const ListedUpstream*> kNone;
  const auto it = mByService.find(aService);
  return it == mByService.end() ? kNone : it->second;
}

void
UpstreamDirectory::Drop(const UpstreamId& aId)
{
  mUnlisted.erase(aId);
  mAll.erase(aId);
  Rebuild();
}

void
UpstreamDirectory::Rebuild()
{
  mByService.clear();
  for (const auto& [id, each] : mAll) {
    mByService[each.mService].push_back(&each);
  }
}

} // namespace trefoilarch
