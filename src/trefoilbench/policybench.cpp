#include "libtrefoilarch/eligiblesets.h"
#include "libtrefoilarch/policychange.h"
#include "libtrefoilarch/policycodec.h"

#include <chrono>
#include <cstdio>
#include <functional>
#include <string>

/** What the policy's decisions cost at today's and at the two-year size. */

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
Numbered(const char* aWord, size_t aNumber)
{
  return aWord + std::to_string(aNumber);
}

/** Ten classes; a selector for each model, and one for one large customer. */
Policy
MakePolicy(const Size& aSize)
{
  Policy policy;
  policy.mVersion = 1;
  for (size_t each = 0; each < kClasses; ++each) {
    RequestClass& one = policy.mClasses[Numbered("class-", each)];
    one.mName = Numbered("class-", each);
    one.mFloor = 0.02;
  }
  for (size_t each = 0; each < aSize.mWorkspaces; ++each) {
    Workspace& one = policy.mWorkspaces[Numbered("workspace-", each)];
    one.mName = Numbered("workspace-", each);
    one.mTokenHash = std::string(64, 'a');
    one.mDefaultClass = Numbered("class-", each % kClasses);
    one.mLabels["region"] = each % 2 == 0 ? "east" : "west";
  }
  for (size_t each = 0; each < aSize.mModels; ++each) {
    Selector& one = policy.mSelectors[Numbered("selector-", each)];
    const std::string model = Numbered("model-", each);
    one.mName = Numbered("selector-", each);
    one.mTraffic = { { "model", RequirementOperator::Equals, { model } } };
    one.mUpstreams = { { "model", RequirementOperator::Equals, { model } },
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
  for (size_t each = 0; each < aSize.mUpstreams; ++each) {
    UpstreamView one{ Numbered("engine-", each),
                      Numbered("dc-", each % aSize.mDataCentres),
                      { { "model", Numbered("model-", each % aSize.mModels) },
                        { "accelerators", "4" } } };
    if (each % 50 == 0) {
      one.mLabels["reserved"] = "workspace-0";
    }
    all.push_back(std::move(one));
  }
  return all;
}

CallerClaims
MakeClaims(const Size& aSize, size_t aNumber)
{
  CallerClaims claims;
  claims.mWorkspace = Numbered("workspace-", aNumber % aSize.mWorkspaces);
  claims.mTokenHash = std::string(64, 'a');
  claims.mModel = Numbered("model-", aNumber % aSize.mModels);
  claims.mDataCentre = Numbered("dc-", aNumber % aSize.mDataCentres);
  claims.mLabels = { { "desk", "7" } };
  return claims;
}

double
NanosEach(size_t aTimes, const std::function<void(size_t)>& aDo)
{
  const auto begin = std::chrono::steady_clock::now();
  for (size_t each = 0; each < aTimes; ++each) {
    aDo(each);
  }
  const auto span = std::chrono::steady_clock::now() - begin;
  return static_cast<double>(
           std::chrono::duration_cast<std::chrono::nanoseconds>(span).count()) /
         static_cast<double>(aTimes);
}

Labels
TrafficOf(const Classifier& aClassifier, const CallerClaims& aClaims)
{
  return boost::leaf::try_handle_all(
    [&]() -> Result<Labels> {
      BOOST_LEAF_AUTO(classified, aClassifier.Classify(aClaims));
      return classified.mTraffic;
    },
    [] { return Labels(); });
}

void
Line(const Size& aSize, const char* aWhat, double aNanos)
{
  std::printf("%-8s %-34s %12.0f ns\n", aSize.mName, aWhat, aNanos);
}

void
MeasureRouting(const Size& aSize)
{
  const auto policy = std::make_shared<Policy>(MakePolicy(aSize));
  const auto classifier = std::make_shared<Classifier>(policy);
  const std::vector<UpstreamView> upstreams = MakeUpstreams(aSize);
  std::vector<CallerClaims> claims;
  std::vector<Labels> traffic;
  for (size_t each = 0; each < kRequests; ++each) {
    claims.push_back(MakeClaims(aSize, each));
    traffic.push_back(TrafficOf(*classifier, claims.back()));
  }
  size_t found = 0;
  Line(aSize, "classify a request", NanosEach(kRequests, [&](size_t aOne) {
         found += TrafficOf(*classifier, claims[aOne]).size();
       }));
  Line(aSize, "ask MayGo of every upstream", NanosEach(200, [&](size_t aOne) {
         for (const UpstreamView& upstream : upstreams) {
           found += classifier->IsEligible(traffic[aOne], upstream) ? 1 : 0;
         }
       }));
  EligibleSets sets;
  sets.SetUpstreams(upstreams);
  Line(aSize, "first set after a new policy", NanosEach(50, [&](size_t aOne) {
         sets.SetClassifier(classifier);
         found += sets.For(traffic[aOne])->size();
       }));
  const auto all = [&](size_t aOne) {
    found += sets.For(traffic[aOne])->size();
  };
  sets.SetClassifier(classifier);
  sets.For(traffic[0]);
  Line(aSize, "set, each workspace's first", NanosEach(aSize.mWorkspaces, all));
  Line(aSize, "set, once known", NanosEach(kRequests, all));
  if (found == 0) {
    std::printf("nothing was eligible\n");
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
  Line(aSize, "judge and apply a change", NanosEach(50, [&](size_t) {
         ApplyChange(state, change);
       }));
  const std::string text = StateToJson(state);
  Line(aSize, "read a snapshot", NanosEach(10, [&](size_t) {
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
