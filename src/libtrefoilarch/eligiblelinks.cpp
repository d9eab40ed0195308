#include "eligiblelinks.h"

#include <utility>

namespace trefoilarch {

namespace {

/** Rankings that are kept; beyond it, all are made anew. */
constexpr size_t kMostRanked = 1024;

} // namespace

void
EligibleLinks::SetClassifier(std::shared_ptr<const Classifier> aClassifier)
{
  mSets.SetClassifier(std::move(aClassifier));
  mRanked.clear();
}

RankedSet&
EligibleLinks::For(const Labels& aTraffic,
                   std::map<UpstreamId, UpstreamLink>& aLinks)
{
  if (mStale) {
    LookAt(aLinks);
  }
  const auto set = mSets.For(aTraffic);
  const auto known = mRanked.find(set);
  if (known != mRanked.end()) {
    return known->second;
  }
  if (mRanked.size() >= kMostRanked) {
    mRanked.clear();
  }
  std::vector<UpstreamLink*> members;
  for (const uint32_t place : *set) {
    members.push_back(mLinks.at(place));
  }
  return mRanked.emplace(set, RankedSet(std::move(members))).first->second;
}

void
EligibleLinks::LookAt(std::map<UpstreamId, UpstreamLink>& aLinks)
{
  mStale = false;
  mRanked.clear();
  mLinks.clear();
  std::vector<UpstreamView> views;
  for (auto& [name, link] : aLinks) {
    if (link.mWelcomed) {
      mLinks.push_back(&link);
      views.push_back(link.mView);
    }
  }
  mSets.SetUpstreams(std::move(views));
}

} // namespace trefoilarch
