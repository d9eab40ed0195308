#include "eligiblesets.h"

#include "upstreamlabels.h"

#include <algorithm>

namespace trefoilarch {

namespace {

/**
 * Neither can occur in a label's value. kAbsent distinguishes a missing label
 * from an empty one.
 */
constexpr char kSeparator = '\x1f';
constexpr char kAbsent = '\x1e';

void
AppendLabel(std::string& aKey, const Labels& aTraffic, const std::string& aName)
{
  const auto found = aTraffic.find(aName);
  if (found == aTraffic.end()) {
    aKey += kAbsent;
  } else {
    aKey += found->second;
  }
  aKey += kSeparator;
}

} // namespace

EligibleSets::EligibleSets(size_t aMaxCached)
  : mMaxCached(aMaxCached)
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
    return mEmptySet;
  }
  if (!mPrepared) {
    Prepare();
  }
  std::string trafficKey = TrafficKey(aTraffic);
  const auto cached = mByTraffic.find(trafficKey);
  if (cached != mByTraffic.end()) {
    return cached->second;
  }
  if (mByTraffic.size() >= mMaxCached) {
    mByTraffic.clear();
    mByMatch.clear();
  }
  std::vector<const SelectorUpstreams*> matching;
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
    SelectorUpstreams upstreams{ &selector, {} };
    for (uint32_t found = 0; found < mUpstreams.size(); ++found) {
      const UpstreamLabels labels(policy, mUpstreams[found]);
      if (!labels.Drained() && labels.MeetsAll(selector.mUpstreams)) {
        upstreams.mUpstreams.push_back(found);
      }
    }
    if (!upstreams.mUpstreams.empty()) {
      mSelectors.push_back(std::move(upstreams));
    }
  }
  std::sort(mKeys.begin(), mKeys.end());
  mKeys.erase(std::unique(mKeys.begin(), mKeys.end()), mKeys.end());
  mPrepared = true;
}

void
EligibleSets::AddKeys(const std::vector<Requirement>& aAll)
{
  for (const Requirement& requirement : aAll) {
    mKeys.push_back(requirement.mKey);
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
                       std::vector<const SelectorUpstreams*>& aMatching) const
{
  std::string key;
  AppendLabel(key, aTraffic, "model");
  AppendLabel(key, aTraffic, "service");
  for (const SelectorUpstreams& candidate : mSelectors) {
    if (MeetsRequirements(aTraffic, candidate.mSelector->mTraffic)) {
      aMatching.push_back(&candidate);
      key += candidate.mSelector->mName;
      key += kSeparator;
    }
  }
  return key;
}

EligibleSet
EligibleSets::Collect(const Labels& aTraffic,
                      const std::vector<const SelectorUpstreams*>& aFrom) const
{
  EligibleSet all;
  for (const SelectorUpstreams* candidate : aFrom) {
    all.insert(
      all.end(), candidate->mUpstreams.begin(), candidate->mUpstreams.end());
  }
  std::sort(all.begin(), all.end());
  all.erase(std::unique(all.begin(), all.end()), all.end());
  const Policy& policy = mClassifier->CurrentPolicy();
  std::erase_if(all, [&](uint32_t aIndex) {
    return !UpstreamLabels(policy, mUpstreams[aIndex]).Serves(aTraffic);
  });
  return all;
}

} // namespace trefoilarch
