#include "policycodec.h"

#include "requirementoperatornames.h"

#include <nlohmann/json.hpp>

namespace trefoilarch {

namespace {

using Json = nlohmann::json;

Json
ToJson(const Requirement& aValue)
{
  return { { "key", aValue.mKey },
           { "op",
             kRequirementOperatorNames.at(
               static_cast<size_t>(aValue.mOperator)) },
           { "values", aValue.mValues } };
}

template<typename T>
Json
ListToJson(const std::vector<T>& aValues)
{
  Json list = Json::array();
  for (const T& value : aValues) {
    list.push_back(ToJson(value));
  }
  return list;
}

Json
ToJson(const RequestClass& aValue)
{
  return { { "name", aValue.mName },
           { "tier", aValue.mTier },
           { "floor", aValue.mFloor },
           { "first_token_ms", aValue.mFirstTokenTarget.Count() },
           { "between_token_ms", aValue.mBetweenTokenTarget.Count() },
           { "deadline_ms", aValue.mDeadline.Count() },
           { "idempotent", aValue.mIdempotent },
           { "callers", ListToJson(aValue.mCallers) } };
}

Json
ToJson(const Workspace& aValue)
{
  return { { "name", aValue.mName },
           { "token_sha256", aValue.mTokenHash },
           { "weight", aValue.mWeight },
           { "default_class", aValue.mDefaultClass },
           { "labels", aValue.mLabels } };
}

Json
ToJson(const Selector& aValue)
{
  return { { "name", aValue.mName },
           { "traffic", ListToJson(aValue.mTraffic) },
           { "upstreams", ListToJson(aValue.mUpstreams) } };
}

Json
ToJson(const UpstreamSettings& aValue)
{
  return { { "name", aValue.mName },
           { "labels", aValue.mLabels },
           { "drained", aValue.mDrained } };
}

template<typename T>
Json
MapToJson(const std::map<std::string, T>& aValues)
{
  Json list = Json::array();
  for (const auto& [name, value] : aValues) {
    list.push_back(ToJson(value));
  }
  return list;
}

Json
ToJson(const Policy& aPolicy)
{
  return { { "version", aPolicy.mVersion },
           { "classes", MapToJson(aPolicy.mClasses) },
           { "workspaces", MapToJson(aPolicy.mWorkspaces) },
           { "selectors", MapToJson(aPolicy.mSelectors) },
           { "upstreams", MapToJson(aPolicy.mUpstreams) } };
}

Json
LabelsToJson(const std::map<std::string, std::optional<std::string>>& aLabels)
{
  Json labels = Json::object();
  for (const auto& [key, value] : aLabels) {
    labels[key] = value ? Json(*value) : Json();
  }
  return labels;
}

/** Writes each kind of operation. */
struct OperationWriter
{
  Json operator()(const SetClass& aOne) const
  {
    return { { "op", "set_class" }, { "class", ToJson(aOne.mClass) } };
  }
  Json operator()(const RemoveClass& aOne) const
  {
    return { { "op", "remove_class" }, { "name", aOne.mName } };
  }
  Json operator()(const SetWorkspace& aOne) const
  {
    return { { "op", "set_workspace" },
             { "workspace", ToJson(aOne.mWorkspace) } };
  }
  Json operator()(const RemoveWorkspace& aOne) const
  {
    return { { "op", "remove_workspace" }, { "name", aOne.mName } };
  }
  Json operator()(const SetSelector& aOne) const
  {
    return { { "op", "set_selector" }, { "selector", ToJson(aOne.mSelector) } };
  }
  Json operator()(const RemoveSelector& aOne) const
  {
    return { { "op", "remove_selector" }, { "name", aOne.mName } };
  }
  Json operator()(const SetUpstreamLabels& aOne) const
  {
    return { { "op", "set_upstream_labels" },
             { "upstream", aOne.mUpstream },
             { "labels", LabelsToJson(aOne.mLabels) } };
  }
  Json operator()(const SetDrained& aOne) const
  {
    return { { "op", aOne.mDrained ? "drain" : "undrain" },
             { "upstream", aOne.mUpstream } };
  }
  Json operator()(const ReplacePolicy& aOne) const
  {
    return { { "op", "replace_policy" }, { "policy", ToJson(aOne.mPolicy) } };
  }
  Json operator()(const VoidChange& aOne) const
  {
    return { { "op", "void_change" }, { "id", aOne.mId } };
  }
};

} // namespace

std::string
PolicyToJson(const Policy& aPolicy)
{
  return ToJson(aPolicy).dump();
}

std::string
ChangeToJson(const PolicyChange& aChange)
{
  Json operations = Json::array();
  for (const PolicyOperation& operation : aChange.mOperations) {
    operations.push_back(std::visit(OperationWriter(), operation));
  }
  Json json = { { "id", aChange.mId },
                { "author", aChange.mAuthor },
                { "unix_seconds", aChange.mUnixSeconds },
                { "operations", std::move(operations) } };
  if (aChange.mBaseVersion) {
    json["base_version"] = *aChange.mBaseVersion;
  }
  return json.dump();
}

std::string
StateToJson(const PolicyState& aState)
{
  Json marks = Json::object();
  for (const auto& [object, mark] : aState.mObjectRevisions) {
    marks[object] = { { "version", mark.mVersion },
                      { "author", mark.mAuthor } };
  }
  Json ids = Json::object();
  for (const auto& [id, mark] : aState.mChangeIds) {
    ids[id] = { { "version", mark.mVersion }, { "voided", mark.mVoided } };
  }
  return Json{
    { "policy", ToJson(*aState.mPolicy) },
    { "marks", std::move(marks) },
    { "ids", std::move(ids) }
  }.dump();
}

} // namespace trefoilarch
