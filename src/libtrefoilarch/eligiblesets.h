#pragma once

#include "classifier.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace trefoilarch {

/**
 * Indices into the list of upstreams given to EligibleSets, in ascending order.
 */
using EligibleSet = std::vector<uint32_t>;

/**
 * Finds all upstreams that are eligible for a request, as
 * Classifier::IsEligible() defines it, at a cost that hardly depends on their
 * number. The upstreams of each selector are computed once per policy, and the
 * set is cached for each combination of the labels that selectors test.
 * Single-threaded.
 */
class EligibleSets
{
public:
  /**
   * Maximum number of cached sets, by traffic; beyond it the cache is cleared.
   */
  explicit EligibleSets(size_t aMaxCached = 8192);

  void SetClassifier(std::shared_ptr<const Classifier> aClassifier);
  void SetUpstreams(std::vector<UpstreamView> aUpstreams);

  /**
   * Valid until the classifier or the upstreams are set again; empty without a
   * classifier.
   */
  std::shared_ptr<const EligibleSet> For(const Labels& aTraffic);

  const std::vector<UpstreamView>& Upstreams() const { return mUpstreams; }

private:
  struct SelectorUpstreams
  {
    const Selector* mSelector = nullptr;
    EligibleSet mUpstreams;
  };

  void Prepare();
  void AddKeys(const std::vector<Requirement>& aAll);
  std::string TrafficKey(const Labels& aTraffic) const;
  std::string MatchKey(const Labels& aTraffic,
                       std::vector<const SelectorUpstreams*>& aMatching) const;
  EligibleSet Collect(const Labels& aTraffic,
                      const std::vector<const SelectorUpstreams*>& aFrom) const;

  using Sets =
    std::unordered_map<std::string, std::shared_ptr<const EligibleSet>>;

  size_t mMaxCached;
  std::shared_ptr<const Classifier> mClassifier;
  std::vector<UpstreamView> mUpstreams;
  bool mPrepared = false;
  std::vector<std::string> mKeys; /**< labels that selectors test, sorted */
  std::vector<SelectorUpstreams> mSelectors;
  Sets mByTraffic;
  /**
   * The same sets keyed by the matching selectors, so that traffic of many
   * workspaces shares one.
   */
  Sets mByMatch;
  std::shared_ptr<const EligibleSet> mEmptySet =
    std::make_shared<EligibleSet>();
};

} // namespace trefoilarch
