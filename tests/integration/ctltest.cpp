#include "await.h"
#include "childprocess.h"

#include "libtrefoilio/httpserver.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include <sys/wait.h>

#include <mutex>
#include <string>
#include <vector>

using namespace integration;
using nlohmann::json;
using trefoilio::HttpReply;
using trefoilio::HttpRequest;

namespace {

constexpr const char* kUnreachableUrl = "http://127.0.0.1:1";

/** Serves as an entry's operator port and records the requests. */
class FakeOperator
{
public:
  using Handler = std::function<HttpReply(const HttpRequest&)>;

  explicit FakeOperator(Handler aHandler)
    : mServer(
        {},
        [this, handler = std::move(aHandler)](const HttpRequest& aRequest) {
          {
            std::lock_guard lock(mMutex);
            mReceived.push_back(aRequest);
          }
          return handler(aRequest);
        },
        [](trefoilio::BadInput) { return HttpReply{ .mStatus = 400 }; })
  {
  }

  std::string Url() const
  {
    return "http://127.0.0.1:" + std::to_string(mServer.Port());
  }

  std::vector<HttpRequest> Received(const std::string& aMethod)
  {
    std::lock_guard lock(mMutex);
    std::vector<HttpRequest> found;
    for (const HttpRequest& request : mReceived) {
      if (request.mMethod == aMethod) {
        found.push_back(request);
      }
    }
    return found;
  }

private:
  std::mutex mMutex;
  std::vector<HttpRequest> mReceived;
  trefoilio::HttpServer mServer;
};

/** A reply whose connection is closed before the end of the body. */
HttpReply
AbortedReply()
{
  return { .mStream = [](std::string&) {
    return trefoilio::StreamStep::Abort;
  } };
}

/** Runs the tool and waits for its exit. */
struct Run
{
  explicit Run(std::vector<std::string> aArguments)
    : mProcess("trefoilarchctl", std::move(aArguments))
  {
    const bool ended = Await([this] { return mProcess.HasEnded(); });
    cr_assert(ended);
    mExitCode = WEXITSTATUS(mProcess.Status());
  }

  bool AwaitOutput(const std::string& aPrefix)
  {
    return Await([&] { return mProcess.HasPrinted(aPrefix); });
  }

  int mExitCode = -1;

private:
  ChildProcess mProcess;
};

int
ExitCodeFor(const HttpReply& aPost, const HttpReply& aGet)
{
  FakeOperator fake([&](const HttpRequest& aRequest) {
    return aRequest.mMethod == "POST" ? aPost : aGet;
  });
  const Run run({ "drain", "engine-1", "--operator", fake.Url() });
  cr_assert(fake.Received("POST").size() == 1);
  return run.mExitCode;
}

} // namespace

Test(ctl, exit_code_reports_the_outcome_of_a_change)
{
  const HttpReply accepted{
    .mBody = R"({"status":"accepted","version":7,"warnings":[]})"
  };
  const HttpReply unknown{ .mStatus = 503, .mBody = R"({"status":"unknown"})" };
  const HttpReply notAccepted{ .mBody = R"({"status":"not_accepted"})" };
  const HttpReply conflict{
    .mStatus = 409,
    .mBody = R"({"error":{"kind":"policy_conflict"},"conflicts":[]})"
  };
  const HttpReply invalid{ .mStatus = 422,
                           .mBody = R"({"error":{"kind":"policy_invalid"}})" };
  const HttpReply outage{ .mStatus = 503,
                          .mBody =
                            R"({"error":{"kind":"platform_unavailable"}})" };
  cr_assert(ExitCodeFor(accepted, AbortedReply()) == 0);
  cr_assert(ExitCodeFor(conflict, AbortedReply()) == 3);
  cr_assert(ExitCodeFor(invalid, AbortedReply()) == 4);
  cr_assert(ExitCodeFor(outage, AbortedReply()) == 5);
  cr_assert(ExitCodeFor(unknown, unknown) == 6);
  cr_assert(ExitCodeFor(unknown, accepted) == 0);
  cr_assert(ExitCodeFor(AbortedReply(), AbortedReply()) == 6);
  cr_assert(ExitCodeFor(AbortedReply(), outage) == 6);
  cr_assert(ExitCodeFor(AbortedReply(), accepted) == 0);
  cr_assert(ExitCodeFor(AbortedReply(), notAccepted) == 4);
  cr_assert(ExitCodeFor({ .mStatus = 500, .mBody = "oops" }, AbortedReply()) ==
            6);
}

Test(ctl, lost_answer_is_queried_by_the_sent_id)
{
  FakeOperator fake([](const HttpRequest& aRequest) -> HttpReply {
    if (aRequest.mMethod == "POST") {
      return AbortedReply();
    }
    return { .mBody = R"({"status":"accepted","version":12})" };
  });
  Run run({ "--operator",
            kUnreachableUrl,
            "undrain",
            "e",
            "--operator",
            fake.Url() });
  cr_assert(run.mExitCode == 0);
  cr_assert(run.AwaitOutput("accepted as version 12"));
  const json sent = json::parse(fake.Received("POST").at(0).mBody);
  const std::string id = sent.at("id");
  cr_assert(id.size() == 32);
  cr_assert(fake.Received("GET").at(0).mTarget == "/v1/policy/changes/" + id);
}

Test(ctl, unreachable_entry_and_bad_usage_have_their_own_codes)
{
  cr_assert(Run({ "drain", "e", "--operator", kUnreachableUrl }).mExitCode ==
            5);
  cr_assert(Run({ "class", "list", "--operator", kUnreachableUrl }).mExitCode ==
            5);
  cr_assert(Run({ "drain", "--operator", kUnreachableUrl }).mExitCode == 2);
  cr_assert(Run({ "drain", "e" }).mExitCode == 2);
  cr_assert(Run({ "drian", "e", "--operator", kUnreachableUrl }).mExitCode ==
            2);
  cr_assert(Run({ "policy", "edit", "/nowhere", "--operator", kUnreachableUrl })
              .mExitCode == 2);
  cr_assert(Run({ "policy", "--help" }).mExitCode == 0);
}

/** An operator can tell who causes an overload, and which upstream is slow,
 * without reading JSON. */
Test(ctl, slow_upstreams_and_workspaces_over_their_share_are_shown)
{
  FakeOperator fake([](const HttpRequest& aRequest) -> HttpReply {
    if (aRequest.mTarget == "/v1/upstreams/slow") {
      return { .mBody = R"({"slow":[{"upstream":"i-7","service":"chat",
        "factor":2.375,"since_ms":4100,"source":"peers"}]})" };
    }
    return { .mBody = R"({"workspaces":[
      {"service":"chat","workspace":"loud","tier":0,"share":4000,
       "demand":9000.4,"borrowed":250,"shed":31},
      {"service":"chat","workspace":"calm","tier":0,"share":4000,
       "demand":null,"borrowed":0,"shed":0}]})" };
  });
  Run slow({ "slow", "--operator", fake.Url() });
  cr_assert(slow.mExitCode == 0);
  cr_expect(slow.AwaitOutput("i-7       chat     2.38    4100      peers"));
  Run shares({ "shares", "--operator", fake.Url() });
  cr_assert(shares.mExitCode == 0);
  cr_expect(shares.AwaitOutput(
    "loud       chat     0     9000    4000   250       31    over"));
  cr_expect(shares.AwaitOutput(
    "calm       chat     0     -       4000   0         0     "));
  Run raw({ "shares", "--json", "--operator", fake.Url() });
  cr_assert(raw.mExitCode == 0);
  cr_expect(raw.AwaitOutput(R"({"workspaces":[)"));
  cr_expect(Run({ "slow", "--operator", kUnreachableUrl }).mExitCode == 5);
  cr_expect(Run({ "shares", "extra", "--operator", fake.Url() }).mExitCode ==
            2);
  cr_expect(Run({ "shares", "--help" }).mExitCode == 0);
}

Test(ctl, set_keeps_omitted_fields_and_sends_its_base)
{
  FakeOperator fake([](const HttpRequest& aRequest) -> HttpReply {
    if (aRequest.mMethod == "POST") {
      return { .mBody = R"({"status":"accepted","version":6})" };
    }
    return { .mBody = R"({"version":5,"classes":[
      {"name":"call","tier":1,"floor":0.2,"callers":[]}],"selectors":[]})" };
  });
  const std::vector<std::string> common{ "--operator", fake.Url() };
  const auto run = [&](std::vector<std::string> aArguments) {
    aArguments.insert(aArguments.end(), common.begin(), common.end());
    cr_assert(Run(aArguments).mExitCode == 0);
    const json sent = json::parse(fake.Received("POST").back().mBody);
    cr_assert(sent.at("base_version") == 5);
    return sent.at("operations").at(0);
  };
  const json setClass =
    run({ "class", "set", "call", "--tier=0", "--caller", "team in a, b" });
  const json expected = json::parse(R"({"op":"set_class","class":{
    "name":"call","tier":0,"floor":0.2,
    "callers":[{"key":"team","op":"in","values":["a","b"]}]}})");
  cr_assert(setClass == expected);
  const json setSelector = run({ "selector",
                                 "set",
                                 "new",
                                 "--traffic=class=call",
                                 "--traffic",
                                 "a!=b",
                                 "--upstream",
                                 "!gone",
                                 "--upstream",
                                 "x not in y",
                                 "--upstream",
                                 "there" });
  const json selector = json::parse(R"({"op":"set_selector","selector":{
    "name":"new",
    "traffic":[{"key":"class","op":"equals","values":["call"]},
               {"key":"a","op":"not_equals","values":["b"]}],
    "upstreams":[{"key":"gone","op":"not_exists","values":[]},
                 {"key":"x","op":"not_in","values":["y"]},
                 {"key":"there","op":"exists","values":[]}]}})");
  cr_assert(setSelector == selector);
}
