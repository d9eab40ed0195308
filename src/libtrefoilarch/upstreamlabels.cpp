#include "upstreamlabels.h"

#include <algorithm>

namespace trefoilarch {

namespace {

const std::string kUpstream = "upstream";
const std::string kDataCentre = "data_centre";
const std::string kModel = "model";
const std::string kService = "service";

const std::string*
FindLabel(const Labels& aLabels, const std::string& aKey)
{
  const auto found = aLabels.find(aKey);
  return found == aLabels.end() ? nullptr : &found->second;
}

} // namespace

UpstreamLabels::UpstreamLabels(const Policy& aPolicy,
                               const UpstreamView& aUpstream)
  : mUpstream(aUpstream)
{
  const auto found = aPolicy.mUpstreams.find(aUpstream.mName);
  if (found != aPolicy.mUpstreams.end()) {
    mSettings = &found->second;
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
  const std::string* operatorLabel =
    mSettings == nullptr ? nullptr : FindLabel(mSettings->mLabels, aKey);
  return operatorLabel != nullptr ? operatorLabel
                                  : FindLabel(mUpstream.mLabels, aKey);
}

bool
UpstreamLabels::MeetsAll(const std::vector<Requirement>& aRequirements) const
{
  return std::all_of(aRequirements.begin(),
                     aRequirements.end(),
                     [this](const Requirement& aRequirement) {
                       return MeetsRequirement(Find(aRequirement.mKey),
                                               aRequirement);
                     });
}

bool
UpstreamLabels::Serves(const Labels& aTraffic) const
{
  return MatchesLabel(aTraffic, kModel) && MatchesLabel(aTraffic, kService);
}

bool
UpstreamLabels::MatchesLabel(const Labels& aTraffic,
                             const std::string& aKey) const
{
  const std::string* requested = FindLabel(aTraffic, aKey);
  if (requested == nullptr) {
    return true;
  }
  const std::string* served = Find(aKey);
  return served != nullptr && *served == *requested;
}

} // namespace trefoilarch
