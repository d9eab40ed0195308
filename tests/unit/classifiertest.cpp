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

/** The rule of a requirement, put another way than in the library. */
bool
Plainly(const Labels& aLabels, const Requirement& aOne)
{
  const bool there = aLabels.count(aOne.mKey) != 0;
  const std::vector<std::string>& values = aOne.mValues;
  const bool hit =
    there &&
    std::count(values.begin(), values.end(), aLabels.at(aOne.mKey)) != 0;
  const bool negated = aOne.mOperator == RequirementOperator::NotEquals ||
                       aOne.mOperator == RequirementOperator::NotIn ||
                       aOne.mOperator == RequirementOperator::NotExists;
  const bool about = aOne.mOperator == RequirementOperator::Exists ||
                     aOne.mOperator == RequirementOperator::NotExists;
  return (about ? there : hit) != negated;
}

bool
AllPlainly(const Labels& aLabels, const std::vector<Requirement>& aAll)
{
  return std::all_of(aAll.begin(), aAll.end(), [&](const Requirement& aOne) {
    return Plainly(aLabels, aOne);
  });
}

bool
MayGoPlainly(const Policy& aPolicy,
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
    if (AllPlainly(aTraffic, selector.mTraffic) &&
        AllPlainly(labels, selector.mUpstreams)) {
      return true;
    }
  }
  return false;
}

/** The classified request, or none where it was refused. */
std::optional<ClassifiedRequest>
Classify(const Classifier& aClassifier, const CallerClaims& aClaims)
{
  return boost::leaf::try_handle_all(
    [&]() -> Result<std::optional<ClassifiedRequest>> {
      BOOST_LEAF_AUTO(classified, aClassifier.Classify(aClaims));
      return std::optional<ClassifiedRequest>(std::move(classified));
    },
    [] { return std::optional<ClassifiedRequest>(); });
}

ErrorKind
RefusalKind(const Classifier& aClassifier, const CallerClaims& aClaims)
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
OneWorkspace()
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

Test(classifier, traffic_goes_where_the_rules_say)
{
  size_t allowed = 0;
  size_t refused = 0;
  const bool holds = rc::check([&](uint32_t aSeed) {
    Generator draw(aSeed);
    const auto policy = std::make_shared<Policy>(draw.Policy());
    const auto classifier = std::make_shared<Classifier>(policy);
    const std::vector<UpstreamView> upstreams = draw.Upstreams();
    EligibleSets sets(4);
    sets.SetClassifier(classifier);
    sets.SetUpstreams(upstreams);
    for (int request = 0; request < 20; ++request) {
      const auto classified = Classify(*classifier, draw.Claims());
      if (!classified) {
        continue;
      }
      const Labels& traffic = classified->mTraffic;
      const auto eligible = sets.For(traffic);
      for (uint32_t place = 0; place < upstreams.size(); ++place) {
        const bool may = MayGoPlainly(*policy, traffic, upstreams[place]);
        RC_ASSERT(classifier->IsEligible(traffic, upstreams[place]) == may);
        RC_ASSERT(
          std::binary_search(eligible->begin(), eligible->end(), place) == may);
        allowed += may;
        refused += !may;
      }
    }
  });
  cr_assert(holds);
  cr_assert(allowed > 500 && refused > 500, "%zu, %zu", allowed, refused);
}

Test(classifier, sets_follow_each_new_policy_and_list)
{
  const bool holds = rc::check([](uint32_t aSeed) {
    Generator draw(aSeed);
    EligibleSets sets;
    for (int round = 0; round < 5; ++round) {
      const auto policy = std::make_shared<Policy>(draw.Policy());
      if (round == 0 || draw.Chance(50)) {
        sets.SetUpstreams(draw.Upstreams());
      }
      sets.SetClassifier(std::make_shared<Classifier>(policy));
      const Labels traffic = draw.Some({ "role", "site", "model" });
      const auto eligible = sets.For(traffic);
      for (uint32_t place = 0; place < sets.Upstreams().size(); ++place) {
        RC_ASSERT(
          std::binary_search(eligible->begin(), eligible->end(), place) ==
          MayGoPlainly(*policy, traffic, sets.Upstreams()[place]));
      }
    }
  });
  cr_assert(holds);
}

Test(classifier, a_warning_of_a_class_is_never_wrong)
{
  size_t warned = 0;
  const bool holds = rc::check([&](uint32_t aSeed) {
    Generator draw(aSeed);
    const auto policy = std::make_shared<Policy>(draw.Policy());
    const Classifier classifier(policy);
    const std::vector<UpstreamView> upstreams = draw.Upstreams();
    const auto warnings = PolicyWarnings(*policy, upstreams);
    for (int request = 0; request < 60; ++request) {
      const auto classified = Classify(classifier, draw.Claims());
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
  cr_assert(warned > 20, "too few warnings came up: %zu", warned);
}

Test(classifier, warns_of_what_leads_nowhere)
{
  Policy policy = OneWorkspace();
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
  const auto policy = std::make_shared<Policy>(OneWorkspace());
  const Classifier classifier(policy);
  CallerClaims claims;
  claims.mWorkspace = "nobody";
  cr_assert(RefusalKind(classifier, claims) == ErrorKind::UnknownWorkspace);
  claims.mWorkspace = "north";
  cr_assert(RefusalKind(classifier, claims) == ErrorKind::BadToken);
  claims.mTokenHash = std::string(64, 'b');
  cr_assert(RefusalKind(classifier, claims) == ErrorKind::BadToken);
  claims.mTokenHash = std::string(64, 'a');
  claims.mWantedClass = "cal";
  cr_assert(RefusalKind(classifier, claims) == ErrorKind::UnknownClass);
  claims.mWantedClass = "staff";
  claims.mLabels["role"] = "s"; // the workspace's own label goes first
  cr_assert(RefusalKind(classifier, claims) == ErrorKind::ClassNotAllowed);
}

Test(classifier, a_request_gets_what_its_class_is_owed)
{
  const auto policy = std::make_shared<Policy>(OneWorkspace());
  const Classifier classifier(policy);
  CallerClaims claims;
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
