#include "classifier.h"

#include "upstreamlabels.h"

#include <algorithm>

namespace trefoilarch {

namespace {

bool
Contains(const std::vector<std::string>& aValues, const std::string& aValue)
{
  return std::find(aValues.begin(), aValues.end(), aValue) != aValues.end();
}

void
SetUnlessEmpty(Labels& aLabels, const char* aKey, const std::string& aValue)
{
  aLabels.erase(aKey);
  if (!aValue.empty()) {
    aLabels[aKey] = aValue;
  }
}

/**
 * The workspace's labels override the caller's; the labels that the system
 * sets override both.
 */
Labels
TrafficLabels(const CallerAttributes& aClaims,
              const Workspace& aWorkspace,
              const std::string& aClass)
{
  Labels labels = aWorkspace.mLabels;
  labels.insert(aClaims.mLabels.begin(), aClaims.mLabels.end());
  labels["workspace"] = aWorkspace.mName;
  SetUnlessEmpty(labels, "class", aClass);
  SetUnlessEmpty(labels, "model", aClaims.mModel);
  SetUnlessEmpty(labels, "service", aClaims.mService);
  SetUnlessEmpty(labels, "data_centre", aClaims.mDataCentre);
  return labels;
}

boost::leaf::error_id
FailWith(ErrorKind aKind, std::string aMessage)
{
  return Fail({ .mKind = aKind,
                .mRan = Ran::No,
                .mRetryAfter = {},
                .mMessage = std::move(aMessage) });
}

} // namespace

bool
MeetsRequirement(const std::string* aValue, const Requirement& aRequirement)
{
  switch (aRequirement.mOperator) {
    case RequirementOperator::Equals:
    case RequirementOperator::In:
      return aValue != nullptr && Contains(aRequirement.mValues, *aValue);
    case RequirementOperator::NotEquals:
    case RequirementOperator::NotIn:
      return aValue == nullptr || !Contains(aRequirement.mValues, *aValue);
    case RequirementOperator::Exists:
      return aValue != nullptr;
    case RequirementOperator::NotExists:
      return aValue == nullptr;
  }
  return false;
}

bool
MeetsRequirements(const Labels& aLabels,
                  const std::vector<Requirement>& aRequirements)
{
  return std::all_of(aRequirements.begin(),
                     aRequirements.end(),
                     [&](const Requirement& aRequirement) {
                       const auto entry = aLabels.find(aRequirement.mKey);
                       return MeetsRequirement(
                         entry == aLabels.end() ? nullptr : &entry->second,
                         aRequirement);
                     });
}

Classifier::Classifier(std::shared_ptr<const Policy> aPolicy)
  : mPolicy(std::move(aPolicy))
{
}

Result<ClassifiedRequest>
Classifier::Classify(const CallerAttributes& aClaims) const
{
  const auto workspace = mPolicy->mWorkspaces.find(aClaims.mWorkspace);
  if (workspace == mPolicy->mWorkspaces.end()) {
    return FailWith(ErrorKind::UnknownWorkspace,
                    "the policy has no such workspace");
  }
  const std::string& tokenHash = workspace->second.mTokenHash;
  if (!tokenHash.empty() && tokenHash != aClaims.mTokenHash) {
    return FailWith(ErrorKind::BadToken, "the token is not the workspace's");
  }
  const std::string& name = aClaims.mRequestedClass.empty()
                              ? workspace->second.mDefaultClass
                              : aClaims.mRequestedClass;
  const auto found = mPolicy->mClasses.find(name);
  if (found == mPolicy->mClasses.end()) {
    return FailWith(ErrorKind::UnknownClass,
                    name.empty() ? "no class was named and the workspace has "
                                   "no default class"
                                 : "the policy has no such class");
  }
  const RequestClass& requestClass = found->second;
  Labels traffic = TrafficLabels(aClaims, workspace->second, name);
  if (!MeetsRequirements(traffic, requestClass.mCallers)) {
    return FailWith(ErrorKind::ClassNotAllowed,
                    "the class does not admit this caller");
  }
  ClassifiedRequest classified;
  classified.mLevel = { .mClass = name,
                        .mWorkspace = workspace->first,
                        .mTier = requestClass.mTier,
                        .mFloor = requestClass.mFloor,
                        .mWeight = workspace->second.mWeight,
                        .mFirstTokenTarget = requestClass.mFirstTokenTarget,
                        .mBetweenTokenTarget =
                          requestClass.mBetweenTokenTarget };
  classified.mDeadline = aClaims.mDeadline.value_or(requestClass.mDeadline);
  classified.mIdempotent =
    aClaims.mIdempotent.value_or(requestClass.mIdempotent);
  classified.mTraffic = std::move(traffic);
  classified.mPolicyVersion = mPolicy->mVersion;
  return classified;
}

bool
Classifier::IsEligible(const Labels& aTraffic,
                       const UpstreamView& aUpstream) const
{
  const UpstreamLabels labels(*mPolicy, aUpstream);
  if (labels.Drained() || !labels.Serves(aTraffic)) {
    return false;
  }
  const auto& selectors = mPolicy->mSelectors;
  return std::any_of(
    selectors.begin(), selectors.end(), [&](const auto& aEntry) {
      return MeetsRequirements(aTraffic, aEntry.second.mTraffic) &&
             labels.MeetsAll(aEntry.second.mUpstreams);
    });
}

} // namespace trefoilarch
