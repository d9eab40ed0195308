#include "policychange.h"

#include "policyvalidation.h"

#include <algorithm>
#include <set>

namespace trefoilarch {

namespace {

/** Applies operations to a policy and records the objects they change. */
class OperationApplier
{
public:
  OperationApplier(Policy& aPolicy, PolicyState& aState)
    : mPolicy(aPolicy)
    , mState(aState)
  {
  }

  const std::set<std::string>& ChangedObjects() const
  {
    return mChangedObjects;
  }
  PolicyFaults& Faults() { return mFaults; }
  void SetOperationIndex(size_t aIndex)
  {
    mPath = "operations[" + std::to_string(aIndex) + "]";
  }

  void operator()(const SetClass& aOperation)
  {
    SetObject(mPolicy.mClasses, aOperation.mClass, "class/");
  }
  void operator()(const SetWorkspace& aOperation)
  {
    SetObject(mPolicy.mWorkspaces, aOperation.mWorkspace, "workspace/");
  }
  void operator()(const SetSelector& aOperation)
  {
    SetObject(mPolicy.mSelectors, aOperation.mSelector, "selector/");
  }
  void operator()(const RemoveClass& aOperation)
  {
    RemoveObject(mPolicy.mClasses, aOperation.mName, "class/");
  }
  void operator()(const RemoveWorkspace& aOperation)
  {
    RemoveObject(mPolicy.mWorkspaces, aOperation.mName, "workspace/");
  }
  void operator()(const RemoveSelector& aOperation)
  {
    RemoveObject(mPolicy.mSelectors, aOperation.mName, "selector/");
  }

  void operator()(const SetUpstreamLabels& aOperation)
  {
    UpstreamSettings& settings = EditUpstream(aOperation.mUpstream);
    for (const auto& [key, value] : aOperation.mLabels) {
      if (value) {
        settings.mLabels[key] = *value;
      } else {
        settings.mLabels.erase(key);
      }
    }
    EraseIfDefault(aOperation.mUpstream);
  }

  void operator()(const SetDrained& aOperation)
  {
    EditUpstream(aOperation.mUpstream).mDrained = aOperation.mDrained;
    EraseIfDefault(aOperation.mUpstream);
  }

  void operator()(const ReplacePolicy& aOperation)
  {
    AddDifferences(mPolicy.mClasses, aOperation.mPolicy.mClasses, "class/");
    AddDifferences(
      mPolicy.mWorkspaces, aOperation.mPolicy.mWorkspaces, "workspace/");
    AddDifferences(
      mPolicy.mSelectors, aOperation.mPolicy.mSelectors, "selector/");
    AddDifferences(
      mPolicy.mUpstreams, aOperation.mPolicy.mUpstreams, "upstream/");
    mPolicy = aOperation.mPolicy;
  }

  void operator()(const VoidChange& aOperation)
  {
    mState.mChangeIds.try_emplace(aOperation.mId,
                                  ChangeIdRecord{ mState.Version() + 1, true });
  }

private:
  template<typename T>
  void SetObject(std::map<std::string, T>& aMap,
                 const T& aValue,
                 const char* aPrefix)
  {
    mChangedObjects.insert(aPrefix + aValue.mName);
    aMap[aValue.mName] = aValue;
  }

  template<typename T>
  void RemoveObject(std::map<std::string, T>& aMap,
                    const std::string& aName,
                    const char* aPrefix)
  {
    mChangedObjects.insert(aPrefix + aName);
    if (aMap.erase(aName) == 0) {
      mFaults.push_back(
        { mPath + ".name", "there is no " + (aPrefix + aName) });
    }
  }

  template<typename T>
  void AddDifferences(const std::map<std::string, T>& aOld,
                      const std::map<std::string, T>& aNew,
                      const char* aPrefix)
  {
    for (const auto& [name, value] : aOld) {
      const auto found = aNew.find(name);
      if (found == aNew.end() || found->second != value) {
        mChangedObjects.insert(aPrefix + name);
      }
    }
    for (const auto& [name, value] : aNew) {
      if (!aOld.contains(name)) {
        mChangedObjects.insert(aPrefix + name);
      }
    }
  }

  UpstreamSettings& EditUpstream(const std::string& aName)
  {
    mChangedObjects.insert("upstream/" + aName);
    UpstreamSettings& settings = mPolicy.mUpstreams[aName];
    settings.mName = aName;
    return settings;
  }

  /** Drops empty settings, which would accumulate otherwise. */
  void EraseIfDefault(const std::string& aName)
  {
    const UpstreamSettings& settings = mPolicy.mUpstreams[aName];
    if (!settings.mDrained && settings.mLabels.empty()) {
      mPolicy.mUpstreams.erase(aName);
    }
  }

  Policy& mPolicy;
  PolicyState& mState;
  std::set<std::string> mChangedObjects;
  PolicyFaults mFaults;
  std::string mPath;
};

void
Append(PolicyFaults& aAll, const PolicyFaults& aMore)
{
  aAll.insert(aAll.end(), aMore.begin(), aMore.end());
}

void
DropOldRecords(PolicyState& aState)
{
  const uint64_t version = aState.Version();
  if (version <= kRetainedPolicyVersions || version % 100 != 0) {
    return;
  }
  const uint64_t oldestRetained = version - kRetainedPolicyVersions;
  std::erase_if(aState.mObjectRevisions, [oldestRetained](const auto& aEntry) {
    return aEntry.second.mVersion < oldestRetained;
  });
  std::erase_if(aState.mChangeIds, [oldestRetained](const auto& aEntry) {
    return aEntry.second.mVersion < oldestRetained;
  });
}

std::vector<PolicyConflict>
FindConflicts(const PolicyState& aState,
              const std::set<std::string>& aChangedObjects,
              uint64_t aBaseVersion)
{
  std::vector<PolicyConflict> conflicts;
  if (aBaseVersion + kRetainedPolicyVersions < aState.Version()) {
    conflicts.push_back({ "policy", aState.Version(), "" });
    return conflicts;
  }
  for (const std::string& object : aChangedObjects) {
    const auto revision = aState.mObjectRevisions.find(object);
    if (revision != aState.mObjectRevisions.end() &&
        revision->second.mVersion > aBaseVersion) {
      conflicts.push_back(
        { object, revision->second.mVersion, revision->second.mAuthor });
    }
  }
  return conflicts;
}

/** Applies all operations and updates the changed objects' revisions. */
ChangeOutcome
Apply(const PolicyState& aState, const PolicyChange& aChange, bool aValidate)
{
  ChangeOutcome outcome{ aState, {}, {} };
  Policy policy = *aState.mPolicy;
  OperationApplier applier(policy, outcome.mState);
  size_t index = 0;
  for (const PolicyOperation& operation : aChange.mOperations) {
    applier.SetOperationIndex(index++);
    std::visit(applier, operation);
  }
  policy.mVersion = aState.Version() + 1;
  if (aValidate) {
    outcome.mFaults = std::move(applier.Faults());
    Append(outcome.mFaults, ValidateChange(aChange));
    Append(outcome.mFaults, ValidatePolicy(policy));
    if (aChange.mBaseVersion) {
      outcome.mConflicts =
        FindConflicts(aState, applier.ChangedObjects(), *aChange.mBaseVersion);
    }
  }
  for (const std::string& object : applier.ChangedObjects()) {
    outcome.mState.mObjectRevisions[object] = { policy.mVersion,
                                                aChange.mAuthor };
  }
  outcome.mState.mChangeIds[aChange.mId] = { policy.mVersion, false };
  outcome.mState.mPolicy = std::make_shared<Policy>(std::move(policy));
  DropOldRecords(outcome.mState);
  return outcome;
}

} // namespace

ChangeStatus
ChangeStatusOf(const PolicyState& aState, const std::string& aId)
{
  const auto found = aState.mChangeIds.find(aId);
  if (found == aState.mChangeIds.end()) {
    return ChangeStatus::NotSeen;
  }
  return found->second.mVoided ? ChangeStatus::Voided : ChangeStatus::Accepted;
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
