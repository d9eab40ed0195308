#include "libtrefoilarch/classifier.h"

#include "libtrefoilarch/eligiblesets.h"
#include "libtrefoilarch/policywarnings.h"

#include "policygen.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace trefoilarch;
using policygen::Generator;

namespace {

/** A second implementation of MeetsRequirement, to compare with. */
bool
MeetsByDefinition(const Labels& aLabels, const Requirement& aRequirement)
{
  const bool present = aLabels.count(aRequirement.mKey) != 0;
  const std::vector<std::string>& values = aRequirement.mValues;
  const bool contained =
    present &&
    std::count(values.begin(), values.end(), aLabels.at(aRequirement.mKey)) !=
      0;
  const bool negated =
    aRequirement.mOperator == RequirementOperator::NotEquals ||
    aRequirement.mOperator == RequirementOperator::NotIn ||
    aRequirement.mOperator == RequirementOperator::NotExists;
  const bool testsPresence =
    aRequirement.mOperator == RequirementOperator::Exists ||
    aRequirement.mOperator == RequirementOperator::NotExists;
  return (testsPresence ? present : contained) != negated;
}

bool
MeetsAllByDefinition(const Labels& aLabels,
                     const std::vector<Requirement>& aRequirements)
{
  return std::all_of(aRequirements.begin(),
                     aRequirements.end(),
                     [&](const Requirement& aRequirement) {
                       return MeetsByDefinition(aLabels, aRequirement);
                     });
}

bool
IsEligibleByDefinition(const Policy& aPolicy,
                       const Labels& aTraffic,
                       const UpstreamView& aUpstream)
{
  Labels labels = aUpstream.mLabels;
  const auto settings = aPolicy.mUpstreams.find(aUpstream.mName);
  if (settings != aPolicy.mUpstreams.end()) {
    for (const auto& [key, value] : settings->second.mLabels) {
      labels[key] = value;
    }
    if (settings->second.mDrained) {
      return false;
    }
  }
  labels["upstream"] = aUpstream.mName;
  labels["data_centre"] = aUpstream.mDataCentre;
  if (aTraffic.contains("model") &&
      (!labels.contains("model") ||
       labels.at("model") != aTraffic.at("model"))) {
    return false;
  }
  for (const auto& [name, selector] : aPolicy.mSelectors) {
    if (MeetsAllByDefinition(aTraffic, selector.mTraffic) &&
        MeetsAllByDefinition(labels, selector.mUpstreams)) {
      return true;
    }
  }
  return false;
}

/** The classified request, or nullopt if it was rejected. */
std::optional<ClassifiedRequest>
Classify(const Classifier& aClassifier, const CallerAttributes& aClaims)
{
  return boost::leaf::try_handle_all(
    [&]() -> Result<std::optional<ClassifiedRequest>> {
      BOOST_LEAF_AUTO(classified, aClassifier.Classify(aClaims));
      return std::optional<ClassifiedRequest>(std::move(classified));
    },
    [] { return std::optional<ClassifiedRequest>(); });
}

ErrorKind
RefusalKind(const Classifier& aClassifier, const CallerAttributes& aClaims)
{
  return boost::leaf::try_handle_all(
    [&]() -> Result<ErrorKind> {
      BOOST_LEAF_CHECK(aClassifier.Classify(aClaims));
      return ErrorKind::Internal;
    },
    [](const Refusal& aRefusal) {
      cr_assert(aRefusal.mRan == Ran::No);
      return aRefusal.mKind;
    },
    [] { return ErrorKind::Internal; });
}

Policy
PolicyWithOneWorkspace()
{
  Policy policy;
  policy.mVersion = 7;
  policy.mClasses["call"] = { .mName = "call", .mTier = 0, .mFloor = 0.2 };
  policy.mClasses["staff"] = { .mName = "staff" };
  policy.mClasses["staff"].mCallers = {
    { "role", RequirementOperator::Equals, { "s" } }
  };
  policy.mWorkspaces["north"] = { .mName = "north",
                                  .mTokenHash = std::string(64, 'a'),
                                  .mWeight = 3,
                                  .mDefaultClass = "call",
                                  .mLabels = { { "role", "public" } } };
  return policy;
}

} // namespace

Test(classifier, eligibility_matches_a_second_implementation)
{
  size_t allowed = 0;
  size_t refused = 0;
  const bool holds = rc::check([&](uint32_t aSeed) {
    Generator generator(aSeed);
    const auto policy = std::make_shared<Policy>(generator.Policy());
    const auto classifier = std::make_shared<Classifier>(policy);
    const std::vector<UpstreamView> upstreams = generator.Upstreams();
    EligibleSets sets(4);
    sets.SetClassifier(classifier);
    sets.SetUpstreams(upstreams);
    for (int request = 0; request < 20; ++request) {
      const auto classified = Classify(*classifier, generator.Claims());
      if (!classified) {
        continue;
      }
      const Labels& traffic = classified->mTraffic;
      const auto eligible = sets.For(traffic);
      for (uint32_t index = 0; index < upstreams.size(); ++index) {
        const bool expected =
          IsEligibleByDefinition(*policy, traffic, upstreams[index]);
        RC_ASSERT(classifier->IsEligible(traffic, upstreams[index]) ==
                  expected);
        RC_ASSERT(std::binary_search(
                    eligible->begin(), eligible->end(), index) == expected);
        allowed += expected;
        refused += !expected;
      }
    }
  });
  cr_assert(holds);
  cr_assert(allowed > 500 && refused > 500, "%zu, %zu", allowed, refused);
}

Test(classifier, eligible_sets_follow_policies_and_upstream_lists)
{
  const bool holds = rc::check([](uint32_t aSeed) {
    Generator generator(aSeed);
    EligibleSets sets;
    for (int round = 0; round < 5; ++round) {
      const auto policy = std::make_shared<Policy>(generator.Policy());
      if (round == 0 || generator.Chance(50)) {
        sets.SetUpstreams(generator.Upstreams());
      }
      sets.SetClassifier(std::make_shared<Classifier>(policy));
      const Labels traffic =
        generator.RandomLabels({ "role", "site", "model" });
      const auto eligible = sets.For(traffic);
      for (uint32_t index = 0; index < sets.Upstreams().size(); ++index) {
        RC_ASSERT(
          std::binary_search(eligible->begin(), eligible->end(), index) ==
          IsEligibleByDefinition(*policy, traffic, sets.Upstreams()[index]));
      }
    }
  });
  cr_assert(holds);
}

Test(classifier, warnings_about_classes_are_never_wrong)
{
  size_t warned = 0;
  const bool holds = rc::check([&](uint32_t aSeed) {
    Generator generator(aSeed);
    const auto policy = std::make_shared<Policy>(generator.Policy());
    const Classifier classifier(policy);
    const std::vector<UpstreamView> upstreams = generator.Upstreams();
    const auto warnings = PolicyWarnings(*policy, upstreams);
    for (int request = 0; request < 60; ++request) {
      const auto classified = Classify(classifier, generator.Claims());
      if (!classified) {
        continue;
      }
      const std::string text =
        "class " + classified->mLevel.mClass + " is left without any upstream";
      if (std::find(warnings.begin(), warnings.end(), text) == warnings.end()) {
        continue;
      }
      ++warned;
      for (const UpstreamView& upstream : upstreams) {
        RC_ASSERT(!classifier.IsEligible(classified->mTraffic, upstream));
      }
    }
  });
  cr_assert(holds);
  cr_assert(warned > 20, "too few warnings occurred: %zu", warned);
}

Test(classifier, warns_of_selectors_and_classes_without_upstream)
{
  Policy policy = PolicyWithOneWorkspace();
  const std::vector<UpstreamView> upstreams = {
    { "e1", "riga-1", { { "pool", "calls" } } }
  };
  policy.mSelectors["calls"] = {
    "calls",
    { { "class", RequirementOperator::Equals, { "call" } } },
    { { "pool", RequirementOperator::Equals, { "calls" } } }
  };
  policy.mSelectors["typo"] = {
    "typo",
    { { "class", RequirementOperator::Equals, { "staff" } } },
    { { "pool", RequirementOperator::Equals, { "cals" } } }
  };
  const std::vector<std::string> expected = {
    "selector typo leads to no upstream that is in use",
    "class staff is left without any upstream",
  };
  cr_assert(PolicyWarnings(policy, upstreams) == expected);
  policy.mUpstreams["e1"] = { .mName = "e1", .mDrained = true };
  cr_assert(PolicyWarnings(policy, upstreams).size() == 4);
}

Test(classifier, refusals_name_their_cause)
{
  const auto policy = std::make_shared<Policy>(PolicyWithOneWorkspace());
  const Classifier classifier(policy);
  CallerAttributes claims;
  claims.mWorkspace = "nobody";
  cr_assert(RefusalKind(classifier, claims) == ErrorKind::UnknownWorkspace);
  claims.mWorkspace = "north";
  cr_assert(RefusalKind(classifier, claims) == ErrorKind::BadToken);
  claims.mTokenHash = std::string(64, 'b');
  cr_assert(RefusalKind(classifier, claims) == ErrorKind::BadToken);
  claims.mTokenHash = std::string(64, 'a');
  claims.mRequestedClass = "cal";
  cr_assert(RefusalKind(classifier, claims) == ErrorKind::UnknownClass);
  claims.mRequestedClass = "staff";
  claims.mLabels["role"] = "s"; // overridden by the workspace's label
  cr_assert(RefusalKind(classifier, claims) == ErrorKind::ClassNotAllowed);
}

Test(classifier, a_request_gets_the_service_level_of_its_class)
{
  const auto policy = std::make_shared<Policy>(PolicyWithOneWorkspace());
  const Classifier classifier(policy);
  CallerAttributes claims;
  claims.mWorkspace = "north";
  claims.mTokenHash = std::string(64, 'a');
  claims.mLabels = { { "class", "staff" }, { "service", "x" } };
  claims.mDeadline = Millis(900);
  const auto classified = Classify(classifier, claims);
  cr_assert(classified.has_value());
  cr_assert(classified->mLevel.mClass == "call");
  cr_assert(classified->mLevel.mTier == 0);
  cr_assert(classified->mLevel.mFloor == 0.2);
  cr_assert(classified->mLevel.mWeight == 3);
  cr_assert(classified->mDeadline == Millis(900));
  cr_assert(classified->mIdempotent);
  cr_assert(classified->mPolicyVersion == 7);
  const Labels expected = { { "class", "call" },
                            { "role", "public" },
                            { "workspace", "north" } };
  cr_assert(classified->mTraffic == expected);
}
