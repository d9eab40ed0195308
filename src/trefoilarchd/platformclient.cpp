#include "platformclient.h"

#include "libtrefoilio/base64.h"

#include "libtrefoilio/httpclient.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace trefoilarch {

namespace {

constexpr int kNotModified = 304;

using Json = nlohmann::json;

/** int64 values are strings in this gateway, and absent where zero. */
int64_t
Int64Of(const Json& aObject, const char* aName)
{
  const auto place = aObject.find(aName);
  if (place == aObject.end()) {
    return 0;
  }
  if (place->is_string()) {
    return std::stoll(place->get<std::string>());
  }
  return place->get<int64_t>();
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

/** The first row of each read of a transaction's reply. */
std::vector<std::optional<TableRow>>
FirstRows(const Json& aReply, size_t aCount)
{
  std::vector<std::optional<TableRow>> found(aCount);
  for (size_t place = 0; place < aCount; ++place) {
    const Json& one = aReply.at("responses").at(place);
    std::vector<TableRow> rows = RowsOf(one.at("response_range"));
    if (!rows.empty()) {
      found[place] = std::move(rows.front());
    }
  }
  return found;
}

Json
ToJson(const TableCondition& aOne)
{
  const bool create = aOne.mTarget == TableCondition::Target::CreateRevision;
  const bool equal = aOne.mRelation == TableCondition::Relation::Equal;
  return { { "key", trefoilio::ToBase64(aOne.mKey) },
           { "target", create ? "CREATE" : "MOD" },
           { "result", equal ? "EQUAL" : "GREATER" },
           { create ? "create_revision" : "mod_revision",
             std::to_string(aOne.mValue) } };
}

Json
ToJson(const TableTransaction& aOne)
{
  Json compare = Json::array();
  for (const TableCondition& condition : aOne.mConditions) {
    compare.push_back(ToJson(condition));
  }
  Json success = Json::array();
  for (const auto& [key, value] : aOne.mPuts) {
    success.push_back({ { "request_put",
                          { { "key", trefoilio::ToBase64(key) },
                            { "value", trefoilio::ToBase64(value) } } } });
  }
  for (const std::string& key : aOne.mDeletes) {
    success.push_back(
      { { "request_delete_range", { { "key", trefoilio::ToBase64(key) } } } });
  }
  Json failure = Json::array();
  for (const std::string& key : aOne.mReadsIfRefused) {
    failure.push_back(
      { { "request_range", { { "key", trefoilio::ToBase64(key) } } } });
  }
  return { { "compare", std::move(compare) },
           { "success", std::move(success) },
           { "failure", std::move(failure) } };
}

bool
Good(const std::optional<trefoilio::HttpReply>& aReply)
{
  return aReply && aReply->mStatus >= 200 && aReply->mStatus < 300;
}

/**
 * Only an answer that blames the request says that nothing was written: a
 * server that fails with 5xx may fail after it wrote.
 */
WriteOutcome
EndOf(const std::optional<trefoilio::HttpReply>& aReply)
{
  if (Good(aReply)) {
    return WriteOutcome::Done;
  }
  const bool blamed = aReply && aReply->mStatus >= 400 && aReply->mStatus < 500;
  return blamed ? WriteOutcome::NotDone : WriteOutcome::Unknown;
}

/** The texts of all elements of that name, in order; keys are plain ASCII. */
std::vector<std::string>
ElementTexts(const std::string& aXml, const std::string& aName)
{
  const std::string open = "<" + aName + ">";
  const std::string close = "</" + aName + ">";
  std::vector<std::string> texts;
  size_t place = 0;
  while ((place = aXml.find(open, place)) != std::string::npos) {
    place += open.size();
    const size_t end = aXml.find(close, place);
    if (end == std::string::npos) {
      break;
    }
    texts.push_back(aXml.substr(place, end - place));
    place = end + close.size();
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
                     trefoilio::HttpHeaders aMore) const
{
  trefoilio::HttpRequest request;
  request.mMethod = std::move(aMethod);
  request.mTarget = mOptions.mUrl + aPath;
  request.mHeaders = std::move(aMore);
  request.mHeaders.emplace_back("Content-Type", "application/json");
  request.mBody = std::move(aBody);
  return trefoilio::SendHttp(request, mOptions.mTimeout);
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
  if (!Good(reply)) {
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
  const WriteOutcome end = EndOf(reply);
  if (end != WriteOutcome::Done) {
    return { end, {}, 0 };
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
  return EndOf(Send("POST", "/v3/kv/deleterange", body.dump()));
}

std::optional<std::vector<std::string>>
PlatformClient::ListObjects(const std::string& aPrefix) const
{
  const auto reply = Send("GET", "/objects?list-type=2&prefix=" + aPrefix, "");
  if (!Good(reply)) {
    return std::nullopt;
  }
  return ElementTexts(reply->mBody, "Key");
}

ObjectFound
PlatformClient::ReadObject(const std::string& aKey) const
{
  constexpr int kNotFound = 404;
  auto reply = Send("GET", "/objects/" + aKey, "");
  if (Good(reply)) {
    return { true, std::move(reply->mBody) };
  }
  return { reply && reply->mStatus == kNotFound, std::nullopt };
}

WriteOutcome
PlatformClient::WriteObject(const std::string& aKey, std::string aBody) const
{
  return EndOf(Send("PUT", "/objects/" + aKey, std::move(aBody)));
}

WriteOutcome
PlatformClient::DeleteObject(const std::string& aKey) const
{
  return EndOf(Send("DELETE", "/objects/" + aKey, ""));
}

std::optional<HostsRead>
PlatformClient::ReadHosts(const std::string& aKnownTag) const
{
  trefoilio::HttpHeaders known;
  if (!aKnownTag.empty()) {
    known.emplace_back("If-None-Match", aKnownTag);
  }
  const auto reply = Send("GET", "/hosts", "", std::move(known));
  if (reply && reply->mStatus == kNotModified) {
    return HostsRead{ .mTag = aKnownTag };
  }
  auto membership = Good(reply) ? ParseHostList(reply->mBody) : std::nullopt;
  if (!membership) {
    return std::nullopt;
  }
  return HostsRead{ .mMembership = std::move(membership),
                    .mTag = std::string(
                      trefoilio::FindHeader(reply->mHeaders, "ETag")),
                    .mBytes = reply->mBody.size() };
}

} // namespace trefoilarch
