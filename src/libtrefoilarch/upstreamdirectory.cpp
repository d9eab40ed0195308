#include "upstreamdirectory.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace trefoilarch {

namespace {

/** A store comes back from a copy of less than this age. */
constexpr Millis kDroppedMemory{ 60000 };

/** Whether the entry was written before the process was seen with its sequence.
 * Start times order processes, sequences the entries of one. */
bool
IsOlder(const ListedUpstream& aEntry, const UpstreamProcess& aKnown)
{
  if (aEntry.mStartTime && aKnown.mStartTime &&
      aEntry.mStartTime != aKnown.mStartTime) {
    return *aEntry.mStartTime < *aKnown.mStartTime;
  }
  return aEntry.mSequence && aKnown.mSequence &&
         *aEntry.mSequence < *aKnown.mSequence;
}

} // namespace

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
    Drop(aId, aNow);
  }
  std::erase_if(mDropped, [aNow](const auto& aEntry) {
    return aNow - aEntry.second.mSince > kDroppedMemory;
  });
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

std::vector<UpstreamId>
UpstreamDirectory::Restore(std::vector<ListedUpstream> aAll, Millis aNow)
{
  std::vector<UpstreamId> outdated;
  std::erase_if(aAll, [&](ListedUpstream& aEntry) {
    if (!IsOutdated(aEntry)) {
      return false;
    }
    outdated.push_back(aEntry.mId);
    const auto known = mAll.find(aEntry.mId);
    if (known == mAll.end()) {
      return true;
    }
    aEntry = known->second;
    return false;
  });
  ReplaceAll(std::move(aAll), aNow);
  return outdated;
}

bool
UpstreamDirectory::IsOutdated(const ListedUpstream& aRestored) const
{
  if (const ListedUpstream* known = Find(aRestored.mId)) {
    return IsOlder(aRestored, known->Process());
  }
  const auto dropped = mDropped.find(aRestored.mId);
  if (dropped == mDropped.end()) {
    return false;
  }
  const UpstreamProcess& known = dropped->second.mProcess;
  const bool isLast = aRestored.mStartTime == known.mStartTime &&
                      aRestored.mSequence == known.mSequence;
  return isLast || IsOlder(aRestored, known);
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
  std::map<UpstreamId, UnlistedUpstream> gone;
  std::copy_if(mUnlisted.begin(),
               mUnlisted.end(),
               std::inserter(gone, gone.end()),
               [this](const auto& aEntry) { return IsGone(aEntry.second); });
  for (const auto& [id, unlisted] : gone) {
    Drop(id, unlisted.mSince);
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
UpstreamDirectory::Drop(const UpstreamId& aId, Millis aSince)
{
  mDropped[aId] = { .mProcess = mAll.at(aId).Process(), .mSince = aSince };
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
