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

/** Encodes each kind of operation. */
struct OperationEncoder
{
  Json operator()(const SetClass& aOperation) const
  {
    return { { "op", "set_class" }, { "class", ToJson(aOperation.mClass) } };
  }
  Json operator()(const RemoveClass& aOperation) const
  {
    return { { "op", "remove_class" }, { "name", aOperation.mName } };
  }
  Json operator()(const SetWorkspace& aOperation) const
  {
    return { { "op", "set_workspace" },
             { "workspace", ToJson(aOperation.mWorkspace) } };
  }
  Json operator()(const RemoveWorkspace& aOperation) const
  {
    return { { "op", "remove_workspace" }, { "name", aOperation.mName } };
  }
  Json operator()(const SetSelector& aOperation) const
  {
    return { { "op", "set_selector" },
             { "selector", ToJson(aOperation.mSelector) } };
  }
  Json operator()(const RemoveSelector& aOperation) const
  {
    return { { "op", "remove_selector" }, { "name", aOperation.mName } };
  }
  Json operator()(const SetUpstreamLabels& aOperation) const
  {
    return { { "op", "set_upstream_labels" },
             { "upstream", aOperation.mUpstream },
             { "labels", LabelsToJson(aOperation.mLabels) } };
  }
  Json operator()(const SetDrained& aOperation) const
  {
    return { { "op", aOperation.mDrained ? "drain" : "undrain" },
             { "upstream", aOperation.mUpstream } };
  }
  Json operator()(const ReplacePolicy& aOperation) const
  {
    return { { "op", "replace_policy" },
             { "policy", ToJson(aOperation.mPolicy) } };
  }
  Json operator()(const VoidChange& aOperation) const
  {
    return { { "op", "void_change" }, { "id", aOperation.mId } };
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
    operations.push_back(std::visit(OperationEncoder(), operation));
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
  Json revisions = Json::object();
  for (const auto& [object, record] : aState.mObjectRevisions) {
    revisions[object] = { { "version", record.mVersion },
                          { "author", record.mAuthor } };
  }
  Json ids = Json::object();
  for (const auto& [id, record] : aState.mChangeIds) {
    ids[id] = { { "version", record.mVersion }, { "voided", record.mVoided } };
  }
  return Json{
    { "policy", ToJson(*aState.mPolicy) },
    { "marks", std::move(revisions) },
    { "ids", std::move(ids) }
  }.dump();
}

} // namespace trefoilarch
