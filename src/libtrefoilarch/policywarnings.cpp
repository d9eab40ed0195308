#include "policywarnings.h"

#include "upstreamlabels.h"

#include <algorithm>

namespace trefoilarch {

namespace {

constexpr size_t kMaxWarnings = 30;

/** Whether some caller of the workspace and class can meet them all. */
bool
CanMeet(const std::vector<Requirement>& aRequirements,
        const Workspace& aWorkspace,
        const std::string& aClass)
{
  return std::all_of(
    aRequirements.begin(),
    aRequirements.end(),
    [&](const Requirement& aRequirement) {
      if (aRequirement.mKey == "workspace") {
        return MeetsRequirement(&aWorkspace.mName, aRequirement);
      }
      if (aRequirement.mKey == "class") {
        return MeetsRequirement(&aClass, aRequirement);
      }
      const auto found = aWorkspace.mLabels.find(aRequirement.mKey);
      return found == aWorkspace.mLabels.end() ||
             MeetsRequirement(&found->second, aRequirement);
    });
}

/** Whether an upstream serves the selector's models and services. */
bool
ServesSelector(const UpstreamLabels& aLabels, const Selector& aSelector)
{
  const auto& traffic = aSelector.mTraffic;
  return std::all_of(
    traffic.begin(), traffic.end(), [&](const Requirement& aRequirement) {
      const bool requiresValue =
        aRequirement.mOperator == RequirementOperator::Equals ||
        aRequirement.mOperator == RequirementOperator::In;
      const bool isModelOrService =
        aRequirement.mKey == "model" || aRequirement.mKey == "service";
      return !(requiresValue && isModelOrService) ||
             MeetsRequirement(aLabels.Find(aRequirement.mKey), aRequirement);
    });
}

/** Collects the warnings about one policy. */
class WarningCollector
{
public:
  WarningCollector(const Policy& aPolicy,
                   const std::vector<UpstreamView>& aUpstreams)
    : mPolicy(aPolicy)
    , mUpstreams(aUpstreams)
  {
  }

  std::vector<std::string> Collect()
  {
    if (mPolicy.mSelectors.empty()) {
      AddWarning("there is no selector: no request may go anywhere");
      return std::move(mWarnings);
    }
    if (mUpstreams.empty()) {
      AddWarning(
        "no upstream is known here: where selectors lead was not checked");
      return std::move(mWarnings);
    }
    CheckSelectors();
    CheckClasses();
    CheckWorkspaces();
    return std::move(mWarnings);
  }

private:
  void CheckSelectors()
  {
    for (const auto& [name, selector] : mPolicy.mSelectors) {
      if (MatchesAnyUpstream(selector)) {
        mUsableSelectors.push_back(&selector);
      } else {
        AddWarning("selector " + name + " leads to no upstream that is in use");
      }
    }
  }

  bool MatchesAnyUpstream(const Selector& aSelector) const
  {
    return std::any_of(
      mUpstreams.begin(), mUpstreams.end(), [&](const UpstreamView& aUpstream) {
        const UpstreamLabels labels(mPolicy, aUpstream);
        return !labels.Drained() && labels.MeetsAll(aSelector.mUpstreams) &&
               ServesSelector(labels, aSelector);
      });
  }

  bool CanSend(const Workspace& aWorkspace, const RequestClass& aClass) const
  {
    return CanMeet(aClass.mCallers, aWorkspace, aClass.mName) &&
           std::any_of(mUsableSelectors.begin(),
                       mUsableSelectors.end(),
                       [&](const Selector* aSelector) {
                         return CanMeet(
                           aSelector->mTraffic, aWorkspace, aClass.mName);
                       });
  }

  void CheckClasses()
  {
    if (mPolicy.mWorkspaces.empty()) {
      AddWarning("there is no workspace: no caller is admitted");
      return;
    }
    for (const auto& entry : mPolicy.mClasses) {
      const RequestClass& requestClass = entry.second;
      const auto& workspaces = mPolicy.mWorkspaces;
      const bool served = std::any_of(
        workspaces.begin(), workspaces.end(), [&](const auto& aEntry) {
          return CanSend(aEntry.second, requestClass);
        });
      if (!served) {
        mUnservedClasses.push_back(requestClass.mName);
        AddWarning("class " + requestClass.mName +
                   " is left without any upstream");
      }
    }
  }

  void CheckWorkspaces()
  {
    for (const auto& [name, workspace] : mPolicy.mWorkspaces) {
      const auto found = mPolicy.mClasses.find(workspace.mDefaultClass);
      const bool alreadyReported =
        std::find(mUnservedClasses.begin(),
                  mUnservedClasses.end(),
                  workspace.mDefaultClass) != mUnservedClasses.end();
      if (found != mPolicy.mClasses.end() && !alreadyReported &&
          !CanSend(workspace, found->second)) {
        AddWarning("workspace " + name + " may send its default class nowhere");
      }
    }
  }

  void AddWarning(std::string aText)
  {
    if (mWarnings.size() < kMaxWarnings) {
      mWarnings.push_back(std::move(aText));
    }
  }

  const Policy& mPolicy;
  const std::vector<UpstreamView>& mUpstreams;
  std::vector<const Selector*> mUsableSelectors;
  std::vector<std::string> mUnservedClasses;
  std::vector<std::string> mWarnings;
};

} // namespace

std::vector<std::string>
PolicyWarnings(const Policy& aPolicy,
               const std::vector<UpstreamView>& aUpstreams)
{
  return WarningCollector(aPolicy, aUpstreams).Collect();
}

} // namespace trefoilarch
