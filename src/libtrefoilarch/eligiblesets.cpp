#include "eligiblesets.h"

#include "upstreamlabels.h"

#include <algorithm>

namespace trefoilarch {

namespace {

/** Cannot be in a label's value, and tells an absent label from an empty. */
constexpr char kSeparator = '\x1f';
constexpr char kAbsent = '\x1e';

void
AppendLabel(std::string& aKey, const Labels& aTraffic, const std::string& aName)
{
  const auto place = aTraffic.find(aName);
  if (place == aTraffic.end()) {
    aKey += kAbsent;
  } else {
    aKey += place->second;
  }
  aKey += kSeparator;
}

} // namespace

EligibleSets::EligibleSets(size_t aMostKept)
  : mMostKept(aMostKept)
{
}

void
EligibleSets::SetClassifier(std::shared_ptr<const Classifier> aClassifier)
{
  mClassifier = std::move(aClassifier);
  mPrepared = false;
}

void
EligibleSets::SetUpstreams(std::vector<UpstreamView> aUpstreams)
{
  mUpstreams = std::move(aUpstreams);
  mPrepared = false;
}

std::shared_ptr<const EligibleSet>
EligibleSets::For(const Labels& aTraffic)
{
  if (!mClassifier) {
    return mNone;
  }
  if (!mPrepared) {
    Prepare();
  }
  std::string trafficKey = TrafficKey(aTraffic);
  const auto kept = mByTraffic.find(trafficKey);
  if (kept != mByTraffic.end()) {
    return kept->second;
  }
  if (mByTraffic.size() >= mMostKept) {
    mByTraffic.clear();
    mByMatch.clear();
  }
  std::vector<const SelectorPlaces*> matching;
  auto& set = mByMatch[MatchKey(aTraffic, matching)];
  if (!set) {
    set = std::make_shared<EligibleSet>(Collect(aTraffic, matching));
  }
  mByTraffic.emplace(std::move(trafficKey), set);
  return set;
}

void
EligibleSets::Prepare()
{
  const Policy& policy = mClassifier->CurrentPolicy();
  mKeys = { "model", "service" };
  mSelectors.clear();
  mByTraffic.clear();
  mByMatch.clear();
  for (const auto& [name, selector] : policy.mSelectors) {
    AddKeys(selector.mTraffic);
    SelectorPlaces places{ &selector, {} };
    for (uint32_t place = 0; place < mUpstreams.size(); ++place) {
      const UpstreamLabels labels(policy, mUpstreams[place]);
      if (!labels.Drained() && labels.MeetsAll(selector.mUpstreams)) {
        places.mUpstreams.push_back(place);
      }
    }
    if (!places.mUpstreams.empty()) {
      mSelectors.push_back(std::move(places));
    }
  }
  std::sort(mKeys.begin(), mKeys.end());
  mKeys.erase(std::unique(mKeys.begin(), mKeys.end()), mKeys.end());
  mPrepared = true;
}

void
EligibleSets::AddKeys(const std::vector<Requirement>& aAll)
{
  for (const Requirement& one : aAll) {
    mKeys.push_back(one.mKey);
  }
}

std::string
EligibleSets::TrafficKey(const Labels& aTraffic) const
{
  std::string key;
  for (const std::string& name : mKeys) {
    AppendLabel(key, aTraffic, name);
  }
  return key;
}

std::string
EligibleSets::MatchKey(const Labels& aTraffic,
                       std::vector<const SelectorPlaces*>& aMatching) const
{
  std::string key;
  AppendLabel(key, aTraffic, "model");
  AppendLabel(key, aTraffic, "service");
  for (const SelectorPlaces& one : mSelectors) {
    if (MeetsRequirements(aTraffic, one.mSelector->mTraffic)) {
      aMatching.push_back(&one);
      key += one.mSelector->mName;
      key += kSeparator;
    }
  }
  return key;
}

EligibleSet
EligibleSets::Collect(const Labels& aTraffic,
                      const std::vector<const SelectorPlaces*>& aFrom) const
{
  EligibleSet all;
  for (const SelectorPlaces* one : aFrom) {
    all.insert(all.end(), one->mUpstreams.begin(), one->mUpstreams.end());
  }
  std::sort(all.begin(), all.end());
  all.erase(std::unique(all.begin(), all.end()), all.end());
  const Policy& policy = mClassifier->CurrentPolicy();
  std::erase_if(all, [&](uint32_t aPlace) {
    return !UpstreamLabels(policy, mUpstreams[aPlace]).Serves(aTraffic);
  });
  return all;
}

} // namespace trefoilarch
