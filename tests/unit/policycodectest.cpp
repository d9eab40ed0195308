#include "libtrefoilarch/policycodec.h"

#include "libtrefoilarch/policychange.h"

#include "policygen.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace trefoilarch;
using policygen::Generator;

namespace {

std::vector<PolicyOperation>
AllOperations(Generator& aGenerator)
{
  const Policy policy = aGenerator.Policy();
  return { SetClass{ policy.mClasses.at("call") },
           RemoveClass{ "page" },
           SetWorkspace{ policy.mWorkspaces.at("north") },
           RemoveWorkspace{ "south" },
           SetSelector{ policy.mSelectors.at("s1") },
           RemoveSelector{ "s2" },
           SetUpstreamLabels{ "a", { { "k", "v" }, { "gone", {} } } },
           SetDrained{ "a", aGenerator.Chance(50) },
           ReplacePolicy{ policy },
           VoidChange{ "some" } };
}

PolicyFaults
FaultsOf(const std::string& aOperation)
{
  const std::string text = R"({"id":"x","operations":[)" + aOperation + "]}";
  const ParseResult<PolicyChange> result = ChangeFromJson(text);
  if (!result.IsValid()) {
    return result.mFaults;
  }
  return ApplyChange(PolicyState(), result.mValue).mFaults;
}

void
CheckFault(const std::string& aOperation, const std::string& aField)
{
  const PolicyFaults faults = FaultsOf(aOperation);
  cr_assert(
    faults.size() == 1, "%zu faults for %s", faults.size(), aOperation.c_str());
  cr_assert(faults[0].mField == aField,
            "%s instead of %s",
            faults[0].mField.c_str(),
            aField.c_str());
  cr_assert(!faults[0].mReason.empty());
}

} // namespace

Test(policycodec, text_round_trips)
{
  const bool holds = rc::check([](uint32_t aSeed) {
    Generator generator(aSeed);
    const Policy policy = generator.Policy();
    RC_ASSERT(PolicyFromJson(PolicyToJson(policy)).IsValid());
    RC_ASSERT(PolicyFromJson(PolicyToJson(policy)).mValue == policy);
    PolicyChange change;
    change.mId = "id";
    change.mAuthor = "someone";
    change.mUnixSeconds = generator.Draw(1000);
    if (generator.Chance(50)) {
      change.mBaseVersion = generator.Draw(1000);
    }
    change.mOperations = AllOperations(generator);
    RC_ASSERT(ChangeFromJson(ChangeToJson(change)).IsValid());
    RC_ASSERT(ChangeFromJson(ChangeToJson(change)).mValue == change);
    PolicyState state;
    state.mPolicy = std::make_shared<Policy>(policy);
    state.mObjectRevisions["class/call"] = { 3, "someone" };
    state.mChangeIds["x"] = { 3, generator.Chance(50) };
    const auto result = StateFromJson(StateToJson(state));
    RC_ASSERT(result.IsValid());
    RC_ASSERT(*result.mValue.mPolicy == policy);
    RC_ASSERT(result.mValue.mObjectRevisions == state.mObjectRevisions);
    RC_ASSERT(result.mValue.mChangeIds == state.mChangeIds);
  });
  cr_assert(holds);
}

Test(policycodec, a_fault_names_its_field)
{
  CheckFault(R"({"op":"set_class","class":{"name":"c","tier":4}})",
             "operations[0].class.tier");
  CheckFault(R"({"op":"set_class","class":{"name":"c","teir":1}})",
             "operations[0].class.teir");
  CheckFault(R"({"op":"set_class","class":{"name":"c","floor":1.5}})",
             "operations[0].class.floor");
  CheckFault(R"({"op":"set_class","class":{"name":"c","deadline_ms":"9"}})",
             "operations[0].class.deadline_ms");
  CheckFault(R"({"op":"set_class","class":{"name":"c"},"extra":1})",
             "operations[0].extra");
  CheckFault(R"({"op":"set_class","class":{"name":"a b"}})",
             "classes[a b].name");
  CheckFault(R"({"op":"set_clas"})", "operations[0].op");
  CheckFault(R"({"op":"set_selector","selector":{"name":"s",
    "upstreams":[{"key":"k","op":"like","values":["v"]}]}})",
             "operations[0].selector.upstreams[0].op");
  CheckFault(R"({"op":"set_selector","selector":{"name":"s",
    "upstreams":[{"key":"k","op":"in","values":[]}]}})",
             "selectors[s].upstreams[0].values");
  CheckFault(R"({"op":"set_workspace","workspace":{"name":"w",
    "default_class":"none"}})",
             "workspaces[w].default_class");
  CheckFault(R"({"op":"set_workspace","workspace":{"name":"w",
    "labels":{"workspace":"other"}}})",
             "workspaces[w].labels.workspace");
  CheckFault(R"({"op":"set_workspace","workspace":{"name":"w",
    "token_sha256":"secret"}})",
             "workspaces[w].token_sha256");
  CheckFault(R"({"op":"remove_selector","name":"s"})", "operations[0].name");
  CheckFault(R"({"op":"set_class","class":{"name":"c","floor":0.6}},
    {"op":"set_class","class":{"name":"d","floor":0.6}})",
             "classes[d].floor");
}

Test(policycodec, malformed_changes_are_rejected)
{
  for (const char* text : { "", "{", "[]", "7", "null", "{\"id\":\"x\"}" }) {
    cr_assert(!ChangeFromJson(text).IsValid(), "%s", text);
  }
  cr_assert(!ChangeFromJson(R"({"id":"x","operations":[7]})").IsValid());
  cr_assert(!ChangeFromJson(R"({"id":"x","operations":{}})").IsValid());
  cr_assert(!FaultsOf("").empty());
  PolicyChange nameless;
  nameless.mOperations = { SetDrained{ "a", true } };
  cr_assert(!ApplyChange(PolicyState(), nameless).IsValid());
}
