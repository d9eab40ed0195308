#include "policywarnings.h"

#include "upstreamlabels.h"

#include <algorithm>

namespace trefoilarch {

namespace {

constexpr size_t kMostWarnings = 30;

/** Whether some caller of this workspace and class may meet all of them. */
bool
MayMeet(const std::vector<Requirement>& aAll,
        const Workspace& aWorkspace,
        const std::string& aClass)
{
  return std::all_of(aAll.begin(), aAll.end(), [&](const Requirement& aOne) {
    if (aOne.mKey == "workspace") {
      return MeetsRequirement(&aWorkspace.mName, aOne);
    }
    if (aOne.mKey == "class") {
      return MeetsRequirement(&aClass, aOne);
    }
    const auto place = aWorkspace.mLabels.find(aOne.mKey);
    return place == aWorkspace.mLabels.end() ||
           MeetsRequirement(&place->second, aOne);
  });
}

/** Whether an upstream serves what a selector asks of traffic. */
bool
ServesSome(const UpstreamLabels& aLabels, const Selector& aSelector)
{
  const auto& all = aSelector.mTraffic;
  return std::all_of(all.begin(), all.end(), [&](const Requirement& aOne) {
    const bool named = aOne.mOperator == RequirementOperator::Equals ||
                       aOne.mOperator == RequirementOperator::In;
    const bool served = aOne.mKey == "model" || aOne.mKey == "service";
    return !(named && served) ||
           MeetsRequirement(aLabels.Find(aOne.mKey), aOne);
  });
}

/** Collects the warnings of one policy. */
class WarningCollector
{
public:
  WarningCollector(const Policy& aPolicy,
                   const std::vector<UpstreamView>& aUpstreams)
    : mPolicy(aPolicy)
    , mUpstreams(aUpstreams)
  {
  }

  std::vector<std::string> Run()
  {
    if (mPolicy.mSelectors.empty()) {
      Add("there is no selector: no request may go anywhere");
      return std::move(mWarnings);
    }
    if (mUpstreams.empty()) {
      Add("no upstream is known here: where selectors lead was not checked");
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
      if (LeadsSomewhere(selector)) {
        mLive.push_back(&selector);
      } else {
        Add("selector " + name + " leads to no upstream that is in use");
      }
    }
  }

  bool LeadsSomewhere(const Selector& aSelector) const
  {
    return std::any_of(
      mUpstreams.begin(), mUpstreams.end(), [&](const UpstreamView& aOne) {
        const UpstreamLabels labels(mPolicy, aOne);
        return !labels.Drained() && labels.MeetsAll(aSelector.mUpstreams) &&
               ServesSome(labels, aSelector);
      });
  }

  bool MaySend(const Workspace& aWorkspace, const RequestClass& aClass) const
  {
    return MayMeet(aClass.mCallers, aWorkspace, aClass.mName) &&
           std::any_of(
             mLive.begin(), mLive.end(), [&](const Selector* aSelector) {
               return MayMeet(aSelector->mTraffic, aWorkspace, aClass.mName);
             });
  }

  void CheckClasses()
  {
    if (mPolicy.mWorkspaces.empty()) {
      Add("there is no workspace: no caller is admitted");
      return;
    }
    for (const auto& entry : mPolicy.mClasses) {
      const RequestClass& one = entry.second;
      const auto& all = mPolicy.mWorkspaces;
      const bool served =
        std::any_of(all.begin(), all.end(), [&](const auto& aEntry) {
          return MaySend(aEntry.second, one);
        });
      if (!served) {
        mUnserved.push_back(one.mName);
        Add("class " + one.mName + " is left without any upstream");
      }
    }
  }

  void CheckWorkspaces()
  {
    for (const auto& [name, workspace] : mPolicy.mWorkspaces) {
      const auto place = mPolicy.mClasses.find(workspace.mDefaultClass);
      const bool told = std::find(mUnserved.begin(),
                                  mUnserved.end(),
                                  workspace.mDefaultClass) != mUnserved.end();
      if (place != mPolicy.mClasses.end() && !told &&
          !MaySend(workspace, place->second)) {
        Add("workspace " + name + " may send its default class nowhere");
      }
    }
  }

  void Add(std::string aText)
  {
    if (mWarnings.size() < kMostWarnings) {
      mWarnings.push_back(std::move(aText));
    }
  }

  const Policy& mPolicy;
  const std::vector<UpstreamView>& mUpstreams;
  std::vector<const Selector*> mLive;
  std::vector<std::string> mUnserved;
  std::vector<std::string> mWarnings;
};

} // namespace

std::vector<std::string>
PolicyWarnings(const Policy& aPolicy,
               const std::vector<UpstreamView>& aUpstreams)
{
  return WarningCollector(aPolicy, aUpstreams).Run();
}

} // namespace trefoilarch
