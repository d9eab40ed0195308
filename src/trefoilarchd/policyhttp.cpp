#include "policyhttp.h"

#include "policyservice.h"

#include "libtrefoilarch/policycodec.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <string_view>

namespace trefoilarch {

namespace {

using Json = nlohmann::json;

constexpr std::string_view kPolicyPath = "/v1/policy";
constexpr std::string_view kChangesPath = "/v1/policy/changes";
constexpr uint64_t kMaxHistoryLimit = 1000;
constexpr uint64_t kDefaultHistoryLimit = 100;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

trefoilio::HttpReply
JsonReply(int aStatus, const Json& aBody)
{
  trefoilio::HttpReply reply;
  reply.mStatus = aStatus;
  reply.mHeaders = { { "Content-Type", "application/json" } };
  reply.mBody = aBody.dump();
  return reply;
}

Json
ErrorBody(ErrorKind aKind, const std::string& aMessage)
{
  return { { "error",
             { { "kind", Name(aKind) },
               { "message", aMessage },
               { "ran", Name(Ran::No) } } } };
}

Json
ConflictsToJson(const std::vector<PolicyConflict>& aConflicts)
{
  Json list = Json::array();
  for (const PolicyConflict& conflict : aConflicts) {
    list.push_back({ { "object", conflict.mObject },
                     { "changed_in", conflict.mChangedIn },
                     { "by", conflict.mChangedBy } });
  }
  return list;
}

Json
FaultsToJson(const PolicyFaults& aFaults)
{
  Json list = Json::array();
  for (const PolicyFault& fault : aFaults) {
    list.push_back({ { "field", fault.mField }, { "reason", fault.mReason } });
  }
  return list;
}

trefoilio::HttpReply
InvalidReply(const PolicyFaults& aFaults)
{
  Json body =
    ErrorBody(ErrorKind::PolicyInvalid, "the change is not a valid one");
  body["faults"] = FaultsToJson(aFaults);
  return JsonReply(AnswerFor(ErrorKind::PolicyInvalid).mHttpStatus, body);
}

trefoilio::HttpReply
ConflictReply(const std::vector<PolicyConflict>& aConflicts)
{
  Json body = ErrorBody(ErrorKind::PolicyConflict,
                        "another change came first; nothing was applied");
  body["conflicts"] = ConflictsToJson(aConflicts);
  return JsonReply(AnswerFor(ErrorKind::PolicyConflict).mHttpStatus, body);
}

trefoilio::HttpReply
OutcomeReply(const PolicyService& aService,
             const std::string& aId,
             const ProposalAnswer& aAnswer)
{
  switch (aAnswer.mOutcome) {
    case ProposalOutcome::Accepted:
      return JsonReply(200,
                       { { "status", "accepted" },
                         { "id", aId },
                         { "version", aAnswer.mVersion },
                         { "warnings", aService.Warnings() } });
    case ProposalOutcome::NotAccepted:
      return JsonReply(200, { { "status", "not_accepted" }, { "id", aId } });
    case ProposalOutcome::Conflict:
      return ConflictReply(aAnswer.mConflicts);
    case ProposalOutcome::Invalid:
      return InvalidReply(aAnswer.mFaults);
    case ProposalOutcome::Unknown:
      return JsonReply(kUnavailable,
                       { { "status", "unknown" }, { "id", aId } });
    case ProposalOutcome::Unavailable:
      break;
  }
  return JsonReply(kUnavailable,
                   ErrorBody(ErrorKind::PlatformUnavailable,
                             "the platform's table cannot be reached; "
                             "nothing was written"));
}

/** Returns a numeric parameter of the query string, or the default. */
uint64_t
QueryNumber(std::string_view aQuery, std::string_view aName, uint64_t aDefault)
{
  while (!aQuery.empty()) {
    const std::string_view parameter = aQuery.substr(0, aQuery.find('&'));
    aQuery.remove_prefix(std::min(aQuery.size(), parameter.size() + 1));
    if (!parameter.starts_with(aName) || parameter.size() <= aName.size() ||
        parameter[aName.size()] != '=') {
      continue;
    }
    const std::string_view text = parameter.substr(aName.size() + 1);
    uint64_t value = aDefault;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
  }
  return aDefault;
}

trefoilio::HttpReply
HistoryReply(const PolicyService& aService, std::string_view aQuery)
{
  const uint64_t after = QueryNumber(aQuery, "after", 0);
  const uint64_t limit = std::clamp<uint64_t>(
    QueryNumber(aQuery, "limit", kDefaultHistoryLimit), 1, kMaxHistoryLimit);
  Json changes = Json::array();
  for (const LoggedChange& logged : aService.History(after, limit)) {
    Json change = Json::parse(ChangeToJson(logged.mChange));
    change["version"] = logged.mVersion;
    changes.push_back(std::move(change));
  }
  return JsonReply(200, { { "changes", std::move(changes) } });
}

trefoilio::HttpReply
ProposeReply(PolicyService& aService, const std::string& aBody)
{
  ParseResult<PolicyChange> parsed = ChangeFromJson(aBody);
  if (!parsed.IsValid()) {
    return InvalidReply(parsed.mFaults);
  }
  const std::string id = parsed.mValue.mId;
  return OutcomeReply(aService, id, aService.Propose(std::move(parsed.mValue)));
}

} // namespace

trefoilio::HttpReply
HandlePolicyHttp(PolicyService& aService,
                 const trefoilio::HttpRequest& aRequest)
{
  const std::string_view target = aRequest.mTarget;
  const size_t queryStart = std::min(target.find('?'), target.size());
  const std::string_view path = target.substr(0, queryStart);
  const std::string_view query = queryStart < target.size()
                                   ? target.substr(queryStart + 1)
                                   : std::string_view();
  const bool isGet = aRequest.mMethod == "GET";
  if (path == kPolicyPath && isGet) {
    const auto classifier = aService.CurrentClassifier();
    return JsonReply(200,
                     Json::parse(PolicyToJson(classifier->CurrentPolicy())));
  }
  if (path == kChangesPath && isGet) {
    return HistoryReply(aService, query);
  }
  if (path == kChangesPath && aRequest.mMethod == "POST") {
    return ProposeReply(aService, aRequest.mBody);
  }
  if (isGet && path.size() > kChangesPath.size() + 1 &&
      path.starts_with(kChangesPath) && path[kChangesPath.size()] == '/') {
    const std::string id(path.substr(kChangesPath.size() + 1));
    return OutcomeReply(aService, id, aService.QueryChange(id));
  }
  return JsonReply(
    kNotFound, ErrorBody(ErrorKind::InvalidRequest, "there is no such path"));
}

} // namespace trefoilarch
