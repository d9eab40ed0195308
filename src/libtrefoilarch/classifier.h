#pragma once

#include "ids.h"
#include "policy.h"

#include <memory>
#include <optional>
#include <string>

namespace trefoilarch {

/** What a caller states about itself and its request. */
struct CallerAttributes
{
  std::string mWorkspace;
  std::string mTokenHash; /**< SHA-256 of the caller's token, or empty */
  std::string mRequestedClass;
  Labels mLabels;
  std::string mModel;   /**< for a model engine, or empty */
  std::string mService; /**< for a plain service, or empty */
  std::string mDataCentre;
  std::optional<Millis> mDeadline;
  std::optional<bool> mIdempotent;
};

/** A request with the service level that the policy gives it. */
struct ClassifiedRequest
{
  ServiceLevel mLevel;
  Millis mDeadline;
  bool mIdempotent = false;
  /** Labels that selectors match against. */
  Labels mTraffic;
  uint64_t mPolicyVersion = 0;
};

/** The attributes of an upstream that selectors match against. */
struct UpstreamView
{
  UpstreamId mName;
  std::string mDataCentre;
  Labels mLabels; /**< its own; the policy's labels override them */
};

/**
 * Determines from one policy the service level of a request and the upstreams
 * that may serve it. Immutable; one instance per policy version.
 */
class Classifier
{
public:
  explicit Classifier(std::shared_ptr<const Policy> aPolicy);

  /**
   * Fails with UnknownWorkspace, BadToken, UnknownClass or ClassNotAllowed.
   */
  Result<ClassifiedRequest> Classify(const CallerAttributes& aClaims) const;

  /**
   * Whether the upstream may serve the traffic; never true for a drained
   * upstream. Traffic with a `model` or `service` label requires an upstream
   * label with the same value. For many upstreams, EligibleSets is cheaper.
   */
  bool IsEligible(const Labels& aTraffic, const UpstreamView& aUpstream) const;

  const Policy& CurrentPolicy() const { return *mPolicy; }

private:
  std::shared_ptr<const Policy> mPolicy;
};

/**
 * Whether a label's value meets a requirement; null is an absent label. An
 * absent label meets NotEquals and NotIn, and never Equals or In.
 */
bool
MeetsRequirement(const std::string* aValue, const Requirement& aRequirement);

/** Whether the labels meet every requirement. */
bool
MeetsRequirements(const Labels& aLabels,
                  const std::vector<Requirement>& aRequirements);

} // namespace trefoilarch
