#include "eligiblelinks.h"

#include <utility>

namespace trefoilarch {

namespace {

/** Maximum number of cached rankings; beyond it the cache is cleared. */
constexpr size_t kMaxRankedSets = 1024;

} // namespace

void
EligibleLinks::SetClassifier(std::shared_ptr<const Classifier> aClassifier)
{
  mSets.SetClassifier(std::move(aClassifier));
  mRankedSets.clear();
}

RankedSet&
EligibleLinks::For(const Labels& aTraffic,
                   std::map<UpstreamId, UpstreamLink>& aLinks)
{
  if (mStale) {
    Rebuild(aLinks);
  }
  const auto set = mSets.For(aTraffic);
  const auto found = mRankedSets.find(set);
  if (found != mRankedSets.end()) {
    return found->second;
  }
  if (mRankedSets.size() >= kMaxRankedSets) {
    mRankedSets.clear();
  }
  std::vector<UpstreamLink*> members;
  for (const uint32_t index : *set) {
    members.push_back(mLinks.at(index));
  }
  return mRankedSets.emplace(set, RankedSet(std::move(members))).first->second;
}

void
EligibleLinks::Rebuild(std::map<UpstreamId, UpstreamLink>& aLinks)
{
  mStale = false;
  mRankedSets.clear();
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
