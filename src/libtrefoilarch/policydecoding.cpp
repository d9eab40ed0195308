#include "policycodec.h"

#include "jsonfields.h"
#include "requirementoperatornames.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace trefoilarch {

namespace {

using Json = nlohmann::json;

constexpr int64_t kMaxDurationMs = 86'400'000;
constexpr double kMaxWeight = 1000;
constexpr double kMinWeight = 0.001;

Requirement
ReadRequirement(const Json& aJson,
                const std::string& aPath,
                PolicyFaults& aFaults)
{
  JsonFields fields(aJson, aPath, aFaults);
  Requirement value;
  value.mKey = fields.Text("key");
  const std::string name = fields.Text("op");
  const auto found = std::find(
    kRequirementOperatorNames.begin(), kRequirementOperatorNames.end(), name);
  if (found == kRequirementOperatorNames.end()) {
    fields.AddFault(
      "op", "must be equals, not_equals, in, not_in, exists or not_exists");
  } else {
    value.mOperator = static_cast<RequirementOperator>(
      found - kRequirementOperatorNames.begin());
  }
  fields.ForEach("values",
                 [&](const Json& aValue, const std::string& aValuePath) {
                   if (aValue.is_string()) {
                     value.mValues.push_back(aValue.get<std::string>());
                   } else {
                     aFaults.push_back({ aValuePath, "must be a string" });
                   }
                 });
  fields.CheckUnknownFields();
  return value;
}

std::vector<Requirement>
ReadRequirements(JsonFields& aFields,
                 const std::string& aName,
                 PolicyFaults& aFaults)
{
  std::vector<Requirement> values;
  aFields.ForEach(aName, [&](const Json& aValue, const std::string& aPath) {
    values.push_back(ReadRequirement(aValue, aPath, aFaults));
  });
  return values;
}

Labels
ReadLabels(JsonFields& aFields, const std::string& aName)
{
  Labels labels;
  const Json& member = aFields.Member(aName);
  if (!member.is_null() && !member.is_object()) {
    aFields.AddFault(aName, "must be an object");
    return labels;
  }
  for (const auto& [key, value] : member.items()) {
    if (value.is_string()) {
      labels[key] = value.get<std::string>();
    } else {
      aFields.AddFault(std::string(aName).append(".").append(key),
                       "must be a string");
    }
  }
  return labels;
}

Millis
ReadDuration(JsonFields& aFields, const std::string& aName, Millis aDefault)
{
  return Millis(aFields.Integer(aName, 1, kMaxDurationMs, aDefault.Count()));
}

RequestClass
ReadClass(const Json& aJson, const std::string& aPath, PolicyFaults& aFaults)
{
  JsonFields fields(aJson, aPath, aFaults);
  RequestClass value;
  value.mName = fields.Text("name");
  value.mTier =
    static_cast<Tier>(fields.Integer("tier", 0, kTierCount - 1, value.mTier));
  value.mFloor = fields.Number("floor", 0, 1, value.mFloor);
  value.mFirstTokenTarget =
    ReadDuration(fields, "first_token_ms", value.mFirstTokenTarget);
  value.mBetweenTokenTarget =
    ReadDuration(fields, "between_token_ms", value.mBetweenTokenTarget);
  value.mDeadline = ReadDuration(fields, "deadline_ms", value.mDeadline);
  value.mIdempotent = fields.Bool("idempotent", value.mIdempotent);
  value.mCallers = ReadRequirements(fields, "callers", aFaults);
  fields.CheckUnknownFields();
  return value;
}

Workspace
ReadWorkspace(const Json& aJson,
              const std::string& aPath,
              PolicyFaults& aFaults)
{
  JsonFields fields(aJson, aPath, aFaults);
  Workspace value;
  value.mName = fields.Text("name");
  value.mTokenHash = fields.Text("token_sha256", "");
  value.mWeight =
    fields.Number("weight", kMinWeight, kMaxWeight, value.mWeight);
  value.mDefaultClass = fields.Text("default_class", "");
  value.mLabels = ReadLabels(fields, "labels");
  fields.CheckUnknownFields();
  return value;
}

Selector
ReadSelector(const Json& aJson, const std::string& aPath, PolicyFaults& aFaults)
{
  JsonFields fields(aJson, aPath, aFaults);
  Selector value;
  value.mName = fields.Text("name");
  value.mTraffic = ReadRequirements(fields, "traffic", aFaults);
  value.mUpstreams = ReadRequirements(fields, "upstreams", aFaults);
  fields.CheckUnknownFields();
  return value;
}

UpstreamSettings
ReadUpstream(const Json& aJson, const std::string& aPath, PolicyFaults& aFaults)
{
  JsonFields fields(aJson, aPath, aFaults);
  UpstreamSettings value;
  value.mName = fields.Text("name");
  value.mLabels = ReadLabels(fields, "labels");
  value.mDrained = fields.Bool("drained", false);
  fields.CheckUnknownFields();
  return value;
}

template<typename T>
std::map<std::string, T>
ReadNamedList(JsonFields& aFields,
              const std::string& aName,
              PolicyFaults& aFaults,
              T (*aRead)(const Json&, const std::string&, PolicyFaults&))
{
  std::map<std::string, T> values;
  aFields.ForEach(aName, [&](const Json& aValue, const std::string& aPath) {
    T value = aRead(aValue, aPath, aFaults);
    std::string name = value.mName;
    if (!values.try_emplace(name, std::move(value)).second) {
      aFaults.push_back({ aPath + ".name", "stands twice: " + name });
    }
  });
  return values;
}

uint64_t
ReadVersion(JsonFields& aFields)
{
  return static_cast<uint64_t>(aFields.Integer("version", 0, INT64_MAX, 0));
}

Policy
ReadPolicy(const Json& aJson, const std::string& aPath, PolicyFaults& aFaults)
{
  JsonFields fields(aJson, aPath, aFaults);
  Policy policy;
  policy.mVersion = ReadVersion(fields);
  policy.mClasses = ReadNamedList(fields, "classes", aFaults, ReadClass);
  policy.mWorkspaces =
    ReadNamedList(fields, "workspaces", aFaults, ReadWorkspace);
  policy.mSelectors = ReadNamedList(fields, "selectors", aFaults, ReadSelector);
  policy.mUpstreams = ReadNamedList(fields, "upstreams", aFaults, ReadUpstream);
  fields.CheckUnknownFields();
  return policy;
}

SetUpstreamLabels
ReadUpstreamLabels(JsonFields& aFields)
{
  SetUpstreamLabels value{ aFields.Text("upstream"), {} };
  const Json& labels = aFields.Member("labels");
  if (!labels.is_object()) {
    aFields.AddFault("labels", "must be an object");
    return value;
  }
  for (const auto& [key, label] : labels.items()) {
    if (label.is_string()) {
      value.mLabels[key] = label.get<std::string>();
    } else if (label.is_null()) {
      value.mLabels[key] = std::nullopt;
    } else {
      aFields.AddFault("labels." + key, "must be a string or null");
    }
  }
  return value;
}

std::optional<PolicyOperation>
ReadSetOperation(JsonFields& aFields,
                 const std::string& aName,
                 PolicyFaults& aFaults)
{
  if (aName == "set_class") {
    return SetClass{ ReadClass(
      aFields.Member("class"), aFields.PathOf("class"), aFaults) };
  }
  if (aName == "set_workspace") {
    return SetWorkspace{ ReadWorkspace(
      aFields.Member("workspace"), aFields.PathOf("workspace"), aFaults) };
  }
  if (aName == "set_selector") {
    return SetSelector{ ReadSelector(
      aFields.Member("selector"), aFields.PathOf("selector"), aFaults) };
  }
  if (aName == "replace_policy") {
    return ReplacePolicy{ ReadPolicy(
      aFields.Member("policy"), aFields.PathOf("policy"), aFaults) };
  }
  return std::nullopt;
}

std::optional<PolicyOperation>
ReadNamedOperation(JsonFields& aFields, const std::string& aName)
{
  if (aName == "remove_class") {
    return RemoveClass{ aFields.Text("name") };
  }
  if (aName == "remove_workspace") {
    return RemoveWorkspace{ aFields.Text("name") };
  }
  if (aName == "remove_selector") {
    return RemoveSelector{ aFields.Text("name") };
  }
  if (aName == "set_upstream_labels") {
    return ReadUpstreamLabels(aFields);
  }
  if (aName == "drain" || aName == "undrain") {
    return SetDrained{ aFields.Text("upstream"), aName == "drain" };
  }
  if (aName == "void_change") {
    return VoidChange{ aFields.Text("id") };
  }
  return std::nullopt;
}

void
ReadOperation(const Json& aJson,
              const std::string& aPath,
              PolicyChange& aChange,
              PolicyFaults& aFaults)
{
  JsonFields fields(aJson, aPath, aFaults);
  const std::string name = fields.Text("op");
  std::optional<PolicyOperation> operation =
    ReadSetOperation(fields, name, aFaults);
  if (!operation) {
    operation = ReadNamedOperation(fields, name);
  }
  if (!operation) {
    fields.AddFault("op", "is not a known operation: " + name);
    return;
  }
  aChange.mOperations.push_back(std::move(*operation));
  fields.CheckUnknownFields();
}

/** Parses text; records a fault and returns {} if it is not JSON. */
Json
Parse(const std::string& aText, PolicyFaults& aFaults)
{
  Json json = Json::parse(aText, nullptr, false);
  if (json.is_discarded()) {
    aFaults.push_back({ "body", "is not JSON" });
    return Json::object();
  }
  return json;
}

} // namespace

ParseResult<Policy>
PolicyFromJson(const std::string& aText)
{
  ParseResult<Policy> result;
  const Json json = Parse(aText, result.mFaults);
  result.mValue = ReadPolicy(json, "", result.mFaults);
  return result;
}

ParseResult<PolicyChange>
ChangeFromJson(const std::string& aText)
{
  ParseResult<PolicyChange> result;
  PolicyFaults& faults = result.mFaults;
  PolicyChange& change = result.mValue;
  const Json json = Parse(aText, faults);
  JsonFields fields(json, "", faults);
  change.mId = fields.Text("id");
  change.mAuthor = fields.Text("author", "");
  change.mUnixSeconds = fields.Integer("unix_seconds", 0, INT64_MAX, 0);
  if (!fields.Member("base_version").is_null()) {
    change.mBaseVersion =
      static_cast<uint64_t>(fields.Integer("base_version", 0, INT64_MAX, 0));
  }
  if (!fields.Has("operations")) {
    fields.AddFault("operations", "is missing");
  }
  fields.ForEach("operations",
                 [&](const Json& aOperation, const std::string& aPath) {
                   ReadOperation(aOperation, aPath, change, faults);
                 });
  fields.CheckUnknownFields();
  return result;
}

ParseResult<PolicyState>
StateFromJson(const std::string& aText)
{
  ParseResult<PolicyState> result;
  PolicyFaults& faults = result.mFaults;
  const Json json = Parse(aText, faults);
  JsonFields fields(json, "", faults);
  result.mValue.mPolicy = std::make_shared<Policy>(
    ReadPolicy(fields.Member("policy"), "policy", faults));
  for (const auto& [object, value] : fields.Member("marks").items()) {
    JsonFields record(value, "marks." + object, faults);
    result.mValue.mObjectRevisions[object] = { ReadVersion(record),
                                               record.Text("author") };
  }
  for (const auto& [id, value] : fields.Member("ids").items()) {
    JsonFields record(value, "ids." + id, faults);
    result.mValue.mChangeIds[id] = { ReadVersion(record),
                                     record.Bool("voided", false) };
  }
  return result;
}

} // namespace trefoilarch
