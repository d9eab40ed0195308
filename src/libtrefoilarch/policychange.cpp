#include "policychange.h"

#include "policyvalidation.h"

#include <algorithm>
#include <set>

namespace trefoilarch {

namespace {

/** Carries out operations on a policy and notes what they touch. */
class OperationApplier
{
public:
  OperationApplier(Policy& aPolicy, PolicyState& aState)
    : mPolicy(aPolicy)
    , mState(aState)
  {
  }

  const std::set<std::string>& Touched() const { return mTouched; }
  PolicyFaults& Faults() { return mFaults; }
  void At(size_t aPlace)
  {
    mPath = "operations[" + std::to_string(aPlace) + "]";
  }

  void operator()(const SetClass& aOne)
  {
    Put(mPolicy.mClasses, aOne.mClass, "class/");
  }
  void operator()(const SetWorkspace& aOne)
  {
    Put(mPolicy.mWorkspaces, aOne.mWorkspace, "workspace/");
  }
  void operator()(const SetSelector& aOne)
  {
    Put(mPolicy.mSelectors, aOne.mSelector, "selector/");
  }
  void operator()(const RemoveClass& aOne)
  {
    Remove(mPolicy.mClasses, aOne.mName, "class/");
  }
  void operator()(const RemoveWorkspace& aOne)
  {
    Remove(mPolicy.mWorkspaces, aOne.mName, "workspace/");
  }
  void operator()(const RemoveSelector& aOne)
  {
    Remove(mPolicy.mSelectors, aOne.mName, "selector/");
  }

  void operator()(const SetUpstreamLabels& aOne)
  {
    UpstreamSettings& settings = Upstream(aOne.mUpstream);
    for (const auto& [key, value] : aOne.mLabels) {
      if (value) {
        settings.mLabels[key] = *value;
      } else {
        settings.mLabels.erase(key);
      }
    }
    Tidy(aOne.mUpstream);
  }

  void operator()(const SetDrained& aOne)
  {
    Upstream(aOne.mUpstream).mDrained = aOne.mDrained;
    Tidy(aOne.mUpstream);
  }

  void operator()(const ReplacePolicy& aOne)
  {
    TouchDifferent(mPolicy.mClasses, aOne.mPolicy.mClasses, "class/");
    TouchDifferent(mPolicy.mWorkspaces, aOne.mPolicy.mWorkspaces, "workspace/");
    TouchDifferent(mPolicy.mSelectors, aOne.mPolicy.mSelectors, "selector/");
    TouchDifferent(mPolicy.mUpstreams, aOne.mPolicy.mUpstreams, "upstream/");
    mPolicy = aOne.mPolicy;
  }

  void operator()(const VoidChange& aOne)
  {
    mState.mChangeIds.try_emplace(aOne.mId,
                                  ChangeIdRecord{ mState.Version() + 1, true });
  }

private:
  template<typename T>
  void Put(std::map<std::string, T>& aMap, const T& aValue, const char* aKind)
  {
    mTouched.insert(aKind + aValue.mName);
    aMap[aValue.mName] = aValue;
  }

  template<typename T>
  void Remove(std::map<std::string, T>& aMap,
              const std::string& aName,
              const char* aKind)
  {
    mTouched.insert(aKind + aName);
    if (aMap.erase(aName) == 0) {
      mFaults.push_back({ mPath + ".name", "there is no " + (aKind + aName) });
    }
  }

  template<typename T>
  void TouchDifferent(const std::map<std::string, T>& aOld,
                      const std::map<std::string, T>& aNew,
                      const char* aKind)
  {
    for (const auto& [name, value] : aOld) {
      const auto place = aNew.find(name);
      if (place == aNew.end() || place->second != value) {
        mTouched.insert(aKind + name);
      }
    }
    for (const auto& [name, value] : aNew) {
      if (!aOld.contains(name)) {
        mTouched.insert(aKind + name);
      }
    }
  }

  UpstreamSettings& Upstream(const std::string& aName)
  {
    mTouched.insert("upstream/" + aName);
    UpstreamSettings& settings = mPolicy.mUpstreams[aName];
    settings.mName = aName;
    return settings;
  }

  /** Settings that say nothing are dropped, or they would only pile up. */
  void Tidy(const std::string& aName)
  {
    const UpstreamSettings& settings = mPolicy.mUpstreams[aName];
    if (!settings.mDrained && settings.mLabels.empty()) {
      mPolicy.mUpstreams.erase(aName);
    }
  }

  Policy& mPolicy;
  PolicyState& mState;
  std::set<std::string> mTouched;
  PolicyFaults mFaults;
  std::string mPath;
};

void
Append(PolicyFaults& aAll, const PolicyFaults& aMore)
{
  aAll.insert(aAll.end(), aMore.begin(), aMore.end());
}

void
ForgetOld(PolicyState& aState)
{
  const uint64_t version = aState.Version();
  if (version <= kRetainedPolicyVersions || version % 100 != 0) {
    return;
  }
  const uint64_t oldest = version - kRetainedPolicyVersions;
  std::erase_if(aState.mObjectRevisions, [oldest](const auto& aEntry) {
    return aEntry.second.mVersion < oldest;
  });
  std::erase_if(aState.mChangeIds, [oldest](const auto& aEntry) {
    return aEntry.second.mVersion < oldest;
  });
}

std::vector<PolicyConflict>
FindConflicts(const PolicyState& aState,
              const std::set<std::string>& aTouched,
              uint64_t aBase)
{
  std::vector<PolicyConflict> conflicts;
  if (aBase + kRetainedPolicyVersions < aState.Version()) {
    conflicts.push_back({ "policy", aState.Version(), "" });
    return conflicts;
  }
  for (const std::string& object : aTouched) {
    const auto mark = aState.mObjectRevisions.find(object);
    if (mark != aState.mObjectRevisions.end() &&
        mark->second.mVersion > aBase) {
      conflicts.push_back(
        { object, mark->second.mVersion, mark->second.mAuthor });
    }
  }
  return conflicts;
}

/** Applies all operations and marks what they touch. */
ChangeOutcome
Apply(const PolicyState& aState, const PolicyChange& aChange, bool aJudge)
{
  ChangeOutcome outcome{ aState, {}, {} };
  Policy policy = *aState.mPolicy;
  OperationApplier applier(policy, outcome.mState);
  size_t place = 0;
  for (const PolicyOperation& operation : aChange.mOperations) {
    applier.At(place++);
    std::visit(applier, operation);
  }
  policy.mVersion = aState.Version() + 1;
  if (aJudge) {
    outcome.mFaults = std::move(applier.Faults());
    Append(outcome.mFaults, ValidateChange(aChange));
    Append(outcome.mFaults, ValidatePolicy(policy));
    if (aChange.mBaseVersion) {
      outcome.mConflicts =
        FindConflicts(aState, applier.Touched(), *aChange.mBaseVersion);
    }
  }
  for (const std::string& object : applier.Touched()) {
    outcome.mState.mObjectRevisions[object] = { policy.mVersion,
                                                aChange.mAuthor };
  }
  outcome.mState.mChangeIds[aChange.mId] = { policy.mVersion, false };
  outcome.mState.mPolicy = std::make_shared<Policy>(std::move(policy));
  ForgetOld(outcome.mState);
  return outcome;
}

} // namespace

ChangeStatus
ChangeStatusOf(const PolicyState& aState, const std::string& aId)
{
  const auto place = aState.mChangeIds.find(aId);
  if (place == aState.mChangeIds.end()) {
    return ChangeStatus::NotSeen;
  }
  return place->second.mVoided ? ChangeStatus::Voided : ChangeStatus::Accepted;
}

ChangeOutcome
ApplyChange(const PolicyState& aState, const PolicyChange& aChange)
{
  return Apply(aState, aChange, true);
}

PolicyState
ApplyLogged(const PolicyState& aState, const LoggedChange& aLogged)
{
  return Apply(aState, aLogged.mChange, false).mState;
}

} // namespace trefoilarch
