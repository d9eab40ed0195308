#include "platformclient.h"

#include "libtrefoilio/base64.h"

#include "libtrefoilio/httpclient.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace trefoilarch {

namespace {

constexpr int kNotModified = 304;

using Json = nlohmann::json;

/** This API encodes int64 values as strings and omits zeros. */
int64_t
Int64Of(const Json& aObject, const char* aName)
{
  const auto field = aObject.find(aName);
  if (field == aObject.end()) {
    return 0;
  }
  if (field->is_string()) {
    return std::stoll(field->get<std::string>());
  }
  return field->get<int64_t>();
}

std::string
BytesOf(const Json& aObject, const char* aName)
{
  return trefoilio::FromBase64(aObject.value(aName, "")).value_or("");
}

std::vector<TableRow>
RowsOf(const Json& aReply)
{
  std::vector<TableRow> rows;
  if (!aReply.contains("kvs")) {
    return rows;
  }
  for (const Json& row : aReply.at("kvs")) {
    rows.push_back({ BytesOf(row, "key"),
                     BytesOf(row, "value"),
                     Int64Of(row, "create_revision"),
                     Int64Of(row, "mod_revision") });
  }
  return rows;
}

/** Returns the first row of each read in a transaction's reply. */
std::vector<std::optional<TableRow>>
FirstRows(const Json& aReply, size_t aCount)
{
  std::vector<std::optional<TableRow>> found(aCount);
  for (size_t index = 0; index < aCount; ++index) {
    const Json& response = aReply.at("responses").at(index);
    std::vector<TableRow> rows = RowsOf(response.at("response_range"));
    if (!rows.empty()) {
      found[index] = std::move(rows.front());
    }
  }
  return found;
}

Json
ToJson(const TableCondition& aCondition)
{
  const bool create =
    aCondition.mTarget == TableCondition::Target::CreateRevision;
  const bool equal = aCondition.mRelation == TableCondition::Relation::Equal;
  return { { "key", trefoilio::ToBase64(aCondition.mKey) },
           { "target", create ? "CREATE" : "MOD" },
           { "result", equal ? "EQUAL" : "GREATER" },
           { create ? "create_revision" : "mod_revision",
             std::to_string(aCondition.mValue) } };
}

Json
ToJson(const TableTransaction& aTransaction)
{
  Json compare = Json::array();
  for (const TableCondition& condition : aTransaction.mConditions) {
    compare.push_back(ToJson(condition));
  }
  Json success = Json::array();
  for (const auto& [key, value] : aTransaction.mPuts) {
    success.push_back({ { "request_put",
                          { { "key", trefoilio::ToBase64(key) },
                            { "value", trefoilio::ToBase64(value) } } } });
  }
  for (const std::string& key : aTransaction.mDeletes) {
    success.push_back(
      { { "request_delete_range", { { "key", trefoilio::ToBase64(key) } } } });
  }
  Json failure = Json::array();
  for (const std::string& key : aTransaction.mReadsIfRefused) {
    failure.push_back(
      { { "request_range", { { "key", trefoilio::ToBase64(key) } } } });
  }
  return { { "compare", std::move(compare) },
           { "success", std::move(success) },
           { "failure", std::move(failure) } };
}

bool
IsSuccess(const std::optional<trefoilio::HttpReply>& aReply)
{
  return aReply && aReply->mStatus >= 200 && aReply->mStatus < 300;
}

/**
 * Only a 4xx status shows that nothing was written; a server that responds
 * with 5xx may have failed after writing.
 */
WriteOutcome
OutcomeOf(const std::optional<trefoilio::HttpReply>& aReply)
{
  if (IsSuccess(aReply)) {
    return WriteOutcome::Done;
  }
  const bool clientError =
    aReply && aReply->mStatus >= 400 && aReply->mStatus < 500;
  return clientError ? WriteOutcome::NotDone : WriteOutcome::Unknown;
}

/** Returns the texts of all elements of a name; keys are plain ASCII. */
std::vector<std::string>
ElementTexts(const std::string& aXml, const std::string& aName)
{
  const std::string open = "<" + aName + ">";
  const std::string close = "</" + aName + ">";
  std::vector<std::string> texts;
  size_t position = 0;
  while ((position = aXml.find(open, position)) != std::string::npos) {
    position += open.size();
    const size_t end = aXml.find(close, position);
    if (end == std::string::npos) {
      break;
    }
    texts.push_back(aXml.substr(position, end - position));
    position = end + close.size();
  }
  return texts;
}

void
AddMember(Membership& aMembership,
          const std::string& aTarget,
          const Json& aLabels)
{
  const std::string role = aLabels.value("role", "");
  const bool leaving = aLabels.value("state", "live") == "leaving";
  const std::string dataCentre = aLabels.value("data_centre", "");
  if (role == "sidecar") {
    aMembership.mSidecars.push_back(
      { aLabels.value("upstream", aTarget),
        aTarget,
        dataCentre,
        leaving,
        aLabels.value("model", aLabels.value("service", "")) });
  } else if (role == "entry") {
    aMembership.mEntries.push_back(
      { aLabels.value("host", aTarget), aTarget, dataCentre, leaving });
  }
}

} // namespace

std::optional<Membership>
ParseHostList(const std::string& aText)
{
  const Json list = Json::parse(aText, nullptr, false);
  if (!list.is_array()) {
    return std::nullopt;
  }
  Membership membership;
  try {
    for (const Json& group : list) {
      for (const Json& target : group.at("targets")) {
        AddMember(membership, target.get<std::string>(), group.at("labels"));
      }
    }
  } catch (const Json::exception&) {
    return std::nullopt;
  }
  std::sort(membership.mSidecars.begin(), membership.mSidecars.end());
  std::sort(membership.mEntries.begin(), membership.mEntries.end());
  return membership;
}

PlatformClient::PlatformClient(PlatformClientOptions aOptions)
  : mOptions(std::move(aOptions))
{
}

std::optional<trefoilio::HttpReply>
PlatformClient::Send(std::string aMethod,
                     const std::string& aPath,
                     std::string aBody,
                     trefoilio::HttpHeaders aExtraHeaders) const
{
  trefoilio::HttpRequest request;
  request.mMethod = std::move(aMethod);
  request.mTarget = mOptions.mUrl + aPath;
  request.mHeaders = std::move(aExtraHeaders);
  request.mHeaders.emplace_back("Content-Type", "application/json");
  request.mBody = std::move(aBody);
  return trefoilio::SendHttp(
    request, mOptions.mTimeout, mOptions.mMaxReplyBytes);
}

std::optional<std::vector<TableRow>>
PlatformClient::ReadRange(const std::string& aFrom,
                          const std::string& aEnd,
                          size_t aLimit) const
{
  const Json body = { { "key", trefoilio::ToBase64(aFrom) },
                      { "range_end", trefoilio::ToBase64(aEnd) },
                      { "limit", std::to_string(aLimit) } };
  const auto reply = Send("POST", "/v3/kv/range", body.dump());
  if (!IsSuccess(reply)) {
    return std::nullopt;
  }
  try {
    return RowsOf(Json::parse(reply->mBody));
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

CommitResult
PlatformClient::Commit(const TableTransaction& aTransaction) const
{
  const auto reply = Send("POST", "/v3/kv/txn", ToJson(aTransaction).dump());
  const WriteOutcome outcome = OutcomeOf(reply);
  if (outcome != WriteOutcome::Done) {
    return { outcome, {}, 0 };
  }
  try {
    const Json body = Json::parse(reply->mBody);
    if (body.value("succeeded", false)) {
      return { WriteOutcome::Done, {}, Int64Of(body.at("header"), "revision") };
    }
    return { WriteOutcome::Refused,
             FirstRows(body, aTransaction.mReadsIfRefused.size()),
             0 };
  } catch (const std::exception&) {
    return {};
  }
}

WriteOutcome
PlatformClient::DeleteRange(const std::string& aFrom,
                            const std::string& aEnd) const
{
  const Json body = { { "key", trefoilio::ToBase64(aFrom) },
                      { "range_end", trefoilio::ToBase64(aEnd) } };
  return OutcomeOf(Send("POST", "/v3/kv/deleterange", body.dump()));
}

std::optional<std::vector<std::string>>
PlatformClient::ListObjects(const std::string& aPrefix) const
{
  const auto reply = Send("GET", "/objects?list-type=2&prefix=" + aPrefix, "");
  if (!IsSuccess(reply)) {
    return std::nullopt;
  }
  return ElementTexts(reply->mBody, "Key");
}

ObjectReadResult
PlatformClient::ReadObject(const std::string& aKey) const
{
  constexpr int kNotFound = 404;
  auto reply = Send("GET", "/objects/" + aKey, "");
  if (IsSuccess(reply)) {
    return { true, std::move(reply->mBody) };
  }
  return { reply && reply->mStatus == kNotFound, std::nullopt };
}

WriteOutcome
PlatformClient::WriteObject(const std::string& aKey, std::string aBody) const
{
  return OutcomeOf(Send("PUT", "/objects/" + aKey, std::move(aBody)));
}

WriteOutcome
PlatformClient::DeleteObject(const std::string& aKey) const
{
  return OutcomeOf(Send("DELETE", "/objects/" + aKey, ""));
}

std::optional<HostListResult>
PlatformClient::ReadHosts(const std::string& aPreviousTag) const
{
  trefoilio::HttpHeaders headers;
  if (!aPreviousTag.empty()) {
    headers.emplace_back("If-None-Match", aPreviousTag);
  }
  const auto reply = Send("GET", "/hosts", "", std::move(headers));
  if (reply && reply->mStatus == kNotModified) {
    return HostListResult{ .mTag = aPreviousTag };
  }
  auto membership =
    IsSuccess(reply) ? ParseHostList(reply->mBody) : std::nullopt;
  if (!membership) {
    return std::nullopt;
  }
  return HostListResult{ .mMembership = std::move(membership),
                         .mTag = std::string(
                           trefoilio::FindHeader(reply->mHeaders, "ETag")),
                         .mBytes = reply->mBody.size() };
}

} // namespace trefoilarch
