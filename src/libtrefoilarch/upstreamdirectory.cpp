#include "upstreamdirectory.h"

#include <algorithm>
#include <set>

namespace trefoilarch {

UpstreamDirectory::UpstreamDirectory(DirectoryOptions aOptions)
  : mOptions(aOptions)
{
}

void
UpstreamDirectory::Put(ListedUpstream aUpstream)
{
  mMissing.erase(aUpstream.mId);
  ListedUpstream& place = mAll[aUpstream.mId];
  if (place == aUpstream) {
    return;
  }
  const bool moved = place.mService != aUpstream.mService;
  place = std::move(aUpstream);
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
  if (mLost) {
    mMissing.try_emplace(aId, Millis::Never());
    return;
  }
  const Millis until = mBackAt ? *mBackAt + mOptions.mHoldSpan : aNow;
  if (aNow < until) {
    mMissing.try_emplace(aId, until);
    return;
  }
  Drop(aId);
}

void
UpstreamDirectory::ReplaceAll(std::vector<ListedUpstream> aAll, Millis aNow)
{
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
UpstreamDirectory::OnListLost()
{
  mLost = true;
  for (auto& [id, until] : mMissing) {
    until = Millis::Never();
  }
}

void
UpstreamDirectory::OnListBack(Millis aNow)
{
  if (!mLost) {
    return;
  }
  mLost = false;
  mBackAt = aNow;
  for (auto& [id, until] : mMissing) {
    until = aNow + mOptions.mHoldSpan;
  }
}

bool
UpstreamDirectory::Expire(Millis aNow)
{
  std::vector<UpstreamId> due;
  for (const auto& [id, until] : mMissing) {
    if (until <= aNow) {
      due.push_back(id);
    }
  }
  for (const UpstreamId& id : due) {
    Drop(id);
  }
  return !due.empty();
}

Millis
UpstreamDirectory::NextExpiry() const
{
  Millis next = Millis::Never();
  for (const auto& [id, until] : mMissing) {
    next = std::min(next, until);
  }
  return next;
}

const ListedUpstream*
UpstreamDirectory::Find(const UpstreamId& aId) const
{
  const auto place = mAll.find(aId);
  return place == mAll.end() ? nullptr : &place->second;
}

const std::vector<const ListedUpstream*>&
UpstreamDirectory::OfService(const std::string& aService) const
{
  static const std::vector<const ListedUpstream*> kNone;
  const auto place = mByService.find(aService);
  return place == mByService.end() ? kNone : place->second;
}

void
UpstreamDirectory::Drop(const UpstreamId& aId)
{
  mMissing.erase(aId);
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
