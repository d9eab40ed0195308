#include "upstreamlabels.h"

#include <algorithm>

namespace trefoilarch {

namespace {

const std::string kUpstream = "upstream";
const std::string kDataCentre = "data_centre";
const std::string kModel = "model";
const std::string kService = "service";

const std::string*
FindIn(const Labels& aLabels, const std::string& aKey)
{
  const auto place = aLabels.find(aKey);
  return place == aLabels.end() ? nullptr : &place->second;
}

} // namespace

UpstreamLabels::UpstreamLabels(const Policy& aPolicy,
                               const UpstreamView& aUpstream)
  : mUpstream(aUpstream)
{
  const auto place = aPolicy.mUpstreams.find(aUpstream.mName);
  if (place != aPolicy.mUpstreams.end()) {
    mSettings = &place->second;
  }
}

const std::string*
UpstreamLabels::Find(const std::string& aKey) const
{
  if (aKey == kUpstream) {
    return &mUpstream.mName;
  }
  if (aKey == kDataCentre) {
    return &mUpstream.mDataCentre;
  }
  const std::string* set =
    mSettings == nullptr ? nullptr : FindIn(mSettings->mLabels, aKey);
  return set != nullptr ? set : FindIn(mUpstream.mLabels, aKey);
}

bool
UpstreamLabels::MeetsAll(const std::vector<Requirement>& aAll) const
{
  return std::all_of(aAll.begin(), aAll.end(), [this](const Requirement& aOne) {
    return MeetsRequirement(Find(aOne.mKey), aOne);
  });
}

bool
UpstreamLabels::Serves(const Labels& aTraffic) const
{
  return ServesOne(aTraffic, kModel) && ServesOne(aTraffic, kService);
}

bool
UpstreamLabels::ServesOne(const Labels& aTraffic, const std::string& aKey) const
{
  const std::string* wanted = FindIn(aTraffic, aKey);
  if (wanted == nullptr) {
    return true;
  }
  const std::string* served = Find(aKey);
  return served != nullptr && *served == *wanted;
}

} // namespace trefoilarch
