#include "await.h"
#include "fleet.h"
#include "httpcall.h"

#include "trefoilload/requestbuilder.h"

#include <criterion/criterion.h>

using namespace integration;
using nlohmann::json;
using trefoilio::HttpHeaders;
using trefoilio::HttpReply;
using trefoilload::CallOutcome;

namespace {

const HttpHeaders kAgents = {
  { "X-Trefoilarch-Workspace", "agents" },
  { "Authorization", "Bearer secret-of-agents" },
  { "Content-Type", "application/json" },
};

const char* const kHello =
  R"({"model":"base","messages":[{"role":"user","content":"hello"}]})";

HttpHeaders
WithHeaders(HttpHeaders aHeaders, const HttpHeaders& aChanged)
{
  for (const auto& header : aChanged) {
    std::erase_if(aHeaders, [&header](const auto& aOther) {
      return aOther.first == header.first;
    });
    aHeaders.push_back(header);
  }
  return aHeaders;
}

/** Expects a rejection of the kind that reports the request as not run. */
void
ExpectRefusal(const HttpReply& aReply,
              int aStatus,
              const std::string& aKind,
              const std::string& aDescription)
{
  const json body = json::parse(aReply.mBody, nullptr, false);
  cr_assert(aReply.mStatus == aStatus,
            "%s: status %d, %s",
            aDescription.c_str(),
            aReply.mStatus,
            aReply.mBody.c_str());
  cr_assert(
    body.is_object() && body.contains("error"), "%s", aDescription.c_str());
  const json& error = body["error"];
  cr_assert(error.value("kind", "") == aKind,
            "%s: %s",
            aDescription.c_str(),
            aReply.mBody.c_str());
  cr_assert(error.value("ran", "") == "no", "%s", aDescription.c_str());
  cr_assert(error.contains("message") && error.contains("type") &&
            error.contains("code"));
  cr_assert(
    trefoilio::FindHeader(aReply.mHeaders, "X-Trefoilarch-Request-Id").size() ==
    32);
}

struct RefusalCase
{
  std::string mDescription;
  HttpHeaders mHeaders;
  std::string mBody;
  int mStatus;
  std::string mKind;
};

std::vector<RefusalCase>
ChatRefusals()
{
  return {
    { "no workspace",
      { { "Content-Type", "application/json" } },
      kHello,
      401,
      "unknown_workspace" },
    { "unknown workspace",
      WithHeaders(kAgents, { { "X-Trefoilarch-Workspace", "nobody" } }),
      kHello,
      401,
      "unknown_workspace" },
    { "no token",
      { { "X-Trefoilarch-Workspace", "agents" } },
      kHello,
      401,
      "bad_token" },
    { "wrong token",
      WithHeaders(kAgents, { { "Authorization", "Bearer secret-of-agent" } }),
      kHello,
      401,
      "bad_token" },
    { "unknown class",
      WithHeaders(kAgents, { { "X-Trefoilarch-Class", "no-such" } }),
      kHello,
      400,
      "unknown_class" },
    { "class of others",
      { { "X-Trefoilarch-Workspace", "public" },
        { "X-Trefoilarch-Class", "mid-call" } },
      kHello,
      403,
      "class_not_allowed" },
    { "unknown model",
      kAgents,
      R"({"model":"no-such","messages":[{"role":"user","content":"a"}]})",
      404,
      "unknown_model" },
    { "not JSON", kAgents, "{\"model\":", 400, "invalid_request" },
    { "a JSON list", kAgents, "[]", 400, "invalid_request" },
    { "no messages", kAgents, R"({"model":"base"})", 400, "invalid_request" },
    { "messages not a list",
      kAgents,
      R"({"model":"base","messages":"hello"})",
      400,
      "invalid_request" },
    { "stream not a boolean",
      kAgents,
      R"({"model":"base","stream":1,"messages":[{"role":"user"}]})",
      400,
      "invalid_request" },
    { "labels without a value",
      WithHeaders(kAgents, { { "X-Trefoilarch-Labels", "channel" } }),
      kHello,
      400,
      "invalid_request" },
    { "a negative deadline",
      WithHeaders(kAgents, { { "X-Trefoilarch-Deadline-Ms", "-5" } }),
      kHello,
      400,
      "invalid_request" },
    { "idempotent neither true nor false",
      WithHeaders(kAgents, { { "X-Trefoilarch-Idempotent", "maybe" } }),
      kHello,
      400,
      "invalid_request" },
  };
}

} // namespace

Test(refusals, each_names_its_kind_and_nothing_has_run)
{
  Fleet fleet({});
  const std::string url = fleet.EntryUrl() + "/v1/chat/completions";
  for (const RefusalCase& item : ChatRefusals()) {
    ExpectRefusal(CallHttp("POST", url, item.mBody, item.mHeaders),
                  item.mStatus,
                  item.mKind,
                  item.mDescription);
  }
  ExpectRefusal(
    CallHttp("POST", fleet.EntryUrl() + "/v1/services/no-such/a", "x", kAgents),
    404,
    "unknown_service",
    "unknown service");
  ExpectRefusal(CallHttp("GET", fleet.EntryUrl() + "/v1/nothing", "", kAgents),
                400,
                "invalid_request",
                "no such path");
  cr_assert(fleet.Executions().empty());
}

Test(refusals, an_unmeetable_deadline_is_refused_with_a_retry_time)
{
  Fleet fleet({ .mEngineFlags = { "--max-running", "1" },
                .mSidecarFlags = { "--most-running", "1" } });
  const auto running = fleet.Send(ChatRequest("drafting", 2000));
  cr_assert(running->AwaitBytes(500));
  const auto refused = fleet.Send(ChatRequest("drafting", 2000),
                                  0,
                                  { { "X-Trefoilarch-Deadline-Ms", "300" } });
  const auto record = refused->AwaitEnd();
  cr_assert(record.mOutcome == CallOutcome::Refused,
            "%s: %s",
            Name(record.mOutcome).c_str(),
            refused->Body().c_str());
  cr_assert(record.mRetryAfter > 0);
  cr_assert(!refused->Header("Retry-After").empty());
  cr_assert(fleet.RunsOf(refused->Mark()) == 0);
  cr_assert(record.mEnded - record.mSent < 5000);
}

Test(refusals, a_class_without_eligible_upstreams_is_refused)
{
  Fleet fleet({});
  const json changed = fleet.ChangePolicy(
    { { { "op", "remove_selector" }, { "name", "models" } } });
  cr_assert(changed["status"] == 200, "%s", changed.dump().c_str());
  cr_assert(Await([&] {
    const auto call = fleet.Send(ChatRequest("mid-call", 5));
    return call->AwaitEnd().mKind == "no_eligible_upstream";
  }));
}
