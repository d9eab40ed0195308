#include "libtrefoilarch/eligiblesets.h"
#include "libtrefoilarch/policychange.h"
#include "libtrefoilarch/policycodec.h"

#include <chrono>
#include <cstdio>
#include <functional>
#include <string>

/** Measures policy decisions at the current and the two-year size. */

using namespace trefoilarch;

namespace {

struct Size
{
  const char* mName;
  size_t mUpstreams;
  size_t mWorkspaces;
  size_t mModels;
  size_t mDataCentres;
};

constexpr size_t kClasses = 10;
constexpr size_t kRequests = 20000;

std::string
NumberedName(const char* aPrefix, size_t aNumber)
{
  return aPrefix + std::to_string(aNumber);
}

/** Ten classes, a selector per model, and one for a large customer. */
Policy
MakePolicy(const Size& aSize)
{
  Policy policy;
  policy.mVersion = 1;
  for (size_t index = 0; index < kClasses; ++index) {
    RequestClass& item = policy.mClasses[NumberedName("class-", index)];
    item.mName = NumberedName("class-", index);
    item.mFloor = 0.02;
  }
  for (size_t index = 0; index < aSize.mWorkspaces; ++index) {
    Workspace& item = policy.mWorkspaces[NumberedName("workspace-", index)];
    item.mName = NumberedName("workspace-", index);
    item.mTokenHash = std::string(64, 'a');
    item.mDefaultClass = NumberedName("class-", index % kClasses);
    item.mLabels["region"] = index % 2 == 0 ? "east" : "west";
  }
  for (size_t index = 0; index < aSize.mModels; ++index) {
    Selector& item = policy.mSelectors[NumberedName("selector-", index)];
    const std::string model = NumberedName("model-", index);
    item.mName = NumberedName("selector-", index);
    item.mTraffic = { { "model", RequirementOperator::Equals, { model } } };
    item.mUpstreams = { { "model", RequirementOperator::Equals, { model } },
                        { "reserved", RequirementOperator::NotExists, {} } };
  }
  policy.mSelectors["reserved"] = {
    "reserved",
    { { "workspace", RequirementOperator::Equals, { "workspace-0" } } },
    { { "reserved", RequirementOperator::Equals, { "workspace-0" } } }
  };
  return policy;
}

std::vector<UpstreamView>
MakeUpstreams(const Size& aSize)
{
  std::vector<UpstreamView> all;
  for (size_t index = 0; index < aSize.mUpstreams; ++index) {
    UpstreamView item{ NumberedName("engine-", index),
                       NumberedName("dc-", index % aSize.mDataCentres),
                       { { "model",
                           NumberedName("model-", index % aSize.mModels) },
                         { "accelerators", "4" } } };
    if (index % 50 == 0) {
      item.mLabels["reserved"] = "workspace-0";
    }
    all.push_back(std::move(item));
  }
  return all;
}

CallerAttributes
MakeClaims(const Size& aSize, size_t aNumber)
{
  CallerAttributes claims;
  claims.mWorkspace = NumberedName("workspace-", aNumber % aSize.mWorkspaces);
  claims.mTokenHash = std::string(64, 'a');
  claims.mModel = NumberedName("model-", aNumber % aSize.mModels);
  claims.mDataCentre = NumberedName("dc-", aNumber % aSize.mDataCentres);
  claims.mLabels = { { "desk", "7" } };
  return claims;
}

double
MeanNanos(size_t aIterations, const std::function<void(size_t)>& aOperation)
{
  const auto startTime = std::chrono::steady_clock::now();
  for (size_t index = 0; index < aIterations; ++index) {
    aOperation(index);
  }
  const auto duration = std::chrono::steady_clock::now() - startTime;
  return static_cast<double>(
           std::chrono::duration_cast<std::chrono::nanoseconds>(duration)
             .count()) /
         static_cast<double>(aIterations);
}

Labels
TrafficOf(const Classifier& aClassifier, const CallerAttributes& aClaims)
{
  return boost::leaf::try_handle_all(
    [&]() -> Result<Labels> {
      BOOST_LEAF_AUTO(classified, aClassifier.Classify(aClaims));
      return classified.mTraffic;
    },
    [] { return Labels(); });
}

void
PrintResult(const Size& aSize, const char* aOperationName, double aNanos)
{
  std::printf("%-8s %-34s %12.0f ns\n", aSize.mName, aOperationName, aNanos);
}

void
MeasureRouting(const Size& aSize)
{
  const auto policy = std::make_shared<Policy>(MakePolicy(aSize));
  const auto classifier = std::make_shared<Classifier>(policy);
  const std::vector<UpstreamView> upstreams = MakeUpstreams(aSize);
  std::vector<CallerAttributes> claims;
  std::vector<Labels> traffic;
  for (size_t index = 0; index < kRequests; ++index) {
    claims.push_back(MakeClaims(aSize, index));
    traffic.push_back(TrafficOf(*classifier, claims.back()));
  }
  size_t found = 0;
  PrintResult(
    aSize, "classify a request", MeanNanos(kRequests, [&](size_t aIndex) {
      found += TrafficOf(*classifier, claims[aIndex]).size();
    }));
  PrintResult(
    aSize, "ask MayGo of every upstream", MeanNanos(200, [&](size_t aIndex) {
      for (const UpstreamView& upstream : upstreams) {
        found += classifier->IsEligible(traffic[aIndex], upstream) ? 1 : 0;
      }
    }));
  EligibleSets sets;
  sets.SetUpstreams(upstreams);
  PrintResult(
    aSize, "first set after a new policy", MeanNanos(50, [&](size_t aIndex) {
      sets.SetClassifier(classifier);
      found += sets.For(traffic[aIndex])->size();
    }));
  const auto lookUpSet = [&](size_t aIndex) {
    found += sets.For(traffic[aIndex])->size();
  };
  sets.SetClassifier(classifier);
  sets.For(traffic[0]);
  PrintResult(aSize,
              "set, each workspace's first",
              MeanNanos(aSize.mWorkspaces, lookUpSet));
  PrintResult(aSize, "set, once known", MeanNanos(kRequests, lookUpSet));
  if (found == 0) {
    std::printf("no upstream was eligible\n");
  }
}

void
MeasureChanges(const Size& aSize)
{
  PolicyState state;
  state.mPolicy = std::make_shared<Policy>(MakePolicy(aSize));
  PolicyChange change;
  change.mId = "change";
  change.mOperations = { SetUpstreamLabels{ "engine-1", { { "k", "v" } } } };
  PrintResult(aSize, "judge and apply a change", MeanNanos(50, [&](size_t) {
                ApplyChange(state, change);
              }));
  const std::string text = StateToJson(state);
  PrintResult(aSize, "read a snapshot", MeanNanos(10, [&](size_t) {
                StateFromJson(text);
              }));
  std::printf(
    "%-8s %-34s %12zu bytes\n", aSize.mName, "a snapshot", text.size());
  std::printf("%-8s %-34s %12zu bytes\n",
              aSize.mName,
              "a change in the log",
              ChangeToJson(change).size());
}

} // namespace

int
main()
{
  for (const Size& size :
       { Size{ "today", 12, 10, 1, 4 }, Size{ "two-year", 910, 2400, 8, 7 } }) {
    MeasureRouting(size);
    MeasureChanges(size);
  }
  return 0;
}
