#include "classifier.h"

#include <algorithm>

namespace trefoilarch {

namespace {

bool
Contains(const std::vector<std::string>& aValues, const std::string& aValue)
{
  return std::find(aValues.begin(), aValues.end(), aValue) != aValues.end();
}

bool
MeetsOne(const Labels& aLabels, const Requirement& aOne)
{
  const auto place = aLabels.find(aOne.mKey);
  const bool exists = place != aLabels.end();
  const bool listed = exists && Contains(aOne.mValues, place->second);
  switch (aOne.mOperator) {
    case Operator::Equals:
    case Operator::In:
      return listed;
    case Operator::NotEquals:
    case Operator::NotIn:
      return !listed;
    case Operator::Exists:
      return exists;
    case Operator::NotExists:
      return !exists;
  }
  return false;
}

void
SetUnlessEmpty(Labels& aLabels, const char* aKey, const std::string& aValue)
{
  aLabels.erase(aKey);
  if (!aValue.empty()) {
    aLabels[aKey] = aValue;
  }
}

/** The caller's own labels go under the workspace's, and those under ours. */
Labels
TrafficLabels(const CallerClaims& aClaims,
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

/** Whether an upstream serves the model or service that is asked for. */
bool
Serves(const Labels& aUpstream, const Labels& aTraffic, const char* aKey)
{
  const auto wanted = aTraffic.find(aKey);
  if (wanted == aTraffic.end()) {
    return true;
  }
  const auto served = aUpstream.find(aKey);
  return served != aUpstream.end() && served->second == wanted->second;
}

boost::leaf::error_id
Refuse(ErrorKind aKind, std::string aMessage)
{
  return Fail({ .mKind = aKind,
                .mRan = Ran::No,
                .mRetryAfter = {},
                .mMessage = std::move(aMessage) });
}

} // namespace

bool
Meets(const Labels& aLabels, const std::vector<Requirement>& aAll)
{
  return std::all_of(aAll.begin(), aAll.end(), [&](const Requirement& aOne) {
    return MeetsOne(aLabels, aOne);
  });
}

Classifier::Classifier(std::shared_ptr<const Policy> aPolicy)
  : mPolicy(std::move(aPolicy))
{
}

Result<Classified>
Classifier::Classify(const CallerClaims& aClaims) const
{
  const auto workspace = mPolicy->mWorkspaces.find(aClaims.mWorkspace);
  if (workspace == mPolicy->mWorkspaces.end()) {
    return Refuse(ErrorKind::UnknownWorkspace,
                  "the policy has no such workspace");
  }
  const std::string& tokenHash = workspace->second.mTokenHash;
  if (!tokenHash.empty() && tokenHash != aClaims.mTokenHash) {
    return Refuse(ErrorKind::BadToken, "the token is not the workspace's");
  }
  const std::string& name = aClaims.mWantedClass.empty()
                              ? workspace->second.mDefaultClass
                              : aClaims.mWantedClass;
  const auto found = mPolicy->mClasses.find(name);
  if (found == mPolicy->mClasses.end()) {
    return Refuse(ErrorKind::UnknownClass,
                  name.empty() ? "no class was named and the workspace has "
                                 "no default class"
                               : "the policy has no such class");
  }
  const RequestClass& wanted = found->second;
  Labels traffic = TrafficLabels(aClaims, workspace->second, name);
  if (!Meets(traffic, wanted.mCallers)) {
    return Refuse(ErrorKind::ClassNotAllowed,
                  "the class does not admit this caller");
  }
  Classified classified;
  classified.mLevel = { .mClass = name,
                        .mWorkspace = workspace->first,
                        .mTier = wanted.mTier,
                        .mFloor = wanted.mFloor,
                        .mWeight = workspace->second.mWeight,
                        .mFirstTokenTarget = wanted.mFirstTokenTarget,
                        .mBetweenTokenTarget = wanted.mBetweenTokenTarget };
  classified.mDeadline = aClaims.mDeadline.value_or(wanted.mDeadline);
  classified.mIdempotent = aClaims.mIdempotent.value_or(wanted.mIdempotent);
  classified.mTraffic = std::move(traffic);
  classified.mPolicyVersion = mPolicy->mVersion;
  return classified;
}

bool
Classifier::MayGo(const Labels& aTraffic, const UpstreamView& aUpstream) const
{
  Labels labels = aUpstream.mLabels;
  const auto settings = mPolicy->mUpstreams.find(aUpstream.mName);
  if (settings != mPolicy->mUpstreams.end()) {
    if (settings->second.mDrained) {
      return false;
    }
    for (const auto& [key, value] : settings->second.mLabels) {
      labels[key] = value;
    }
  }
  labels["upstream"] = aUpstream.mName;
  labels["data_centre"] = aUpstream.mDataCentre;
  if (!Serves(labels, aTraffic, "model") ||
      !Serves(labels, aTraffic, "service")) {
    return false;
  }
  const auto& selectors = mPolicy->mSelectors;
  return std::any_of(
    selectors.begin(), selectors.end(), [&](const auto& aEntry) {
      return Meets(aTraffic, aEntry.second.mTraffic) &&
             Meets(labels, aEntry.second.mUpstreams);
    });
}

} // namespace trefoilarch
