#pragma once

#include "ids.h"
#include "policy.h"

#include <memory>
#include <optional>
#include <string>

namespace trefoilarch {

/** What a caller said of itself and its request. */
struct CallerClaims
{
  std::string mWorkspace;
  std::string mTokenHash; /**< SHA-256 of the token presented, or empty */
  std::string mWantedClass;
  Labels mLabels;
  std::string mModel;   /**< for a model engine, or empty */
  std::string mService; /**< for a plain service, or empty */
  std::string mDataCentre;
  std::optional<Millis> mDeadline;
  std::optional<bool> mIdempotent;
};

/** A request as the policy sees it. */
struct ClassifiedRequest
{
  ServiceLevel mLevel;
  Millis mDeadline;
  bool mIdempotent = false;
  /** The traffic's labels, for selectors. */
  Labels mTraffic;
  uint64_t mPolicyVersion = 0;
};

/** An upstream as selectors see it. */
struct UpstreamView
{
  UpstreamId mName;
  std::string mDataCentre;
  Labels mLabels; /**< its own; the policy's go over them */
};

/**
 * Decides by one policy what a caller's request is owed and where it may go.
 * Immutable; made anew for each policy version.
 */
class Classifier
{
public:
  explicit Classifier(std::shared_ptr<const Policy> aPolicy);

  /**
   * Fails with UnknownWorkspace, BadToken, UnknownClass or ClassNotAllowed.
   */
  Result<ClassifiedRequest> Classify(const CallerClaims& aClaims) const;

  /**
   * Whether the traffic may go to the upstream (drained ones: never). Traffic
   * with a `model` or `service` goes only where the upstream's label of that
   * name is the same. For many upstreams, EligibleSets is cheaper.
   */
  bool IsEligible(const Labels& aTraffic, const UpstreamView& aUpstream) const;

  const Policy& CurrentPolicy() const { return *mPolicy; }

private:
  std::shared_ptr<const Policy> mPolicy;
};

/**
 * Whether a label's value, or its absence (null), meets a requirement. An
 * absent label is not equal to, and not in, anything.
 */
bool
MeetsRequirement(const std::string* aValue, const Requirement& aOne);

/** Whether the labels meet every requirement. */
bool
MeetsRequirements(const Labels& aLabels, const std::vector<Requirement>& aAll);

} // namespace trefoilarch
