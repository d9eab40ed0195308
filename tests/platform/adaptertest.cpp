#include "platformdialect.h"
#include "rowreader.h"
#include "settingsfile.h"

#include "integration/await.h"
#include "integration/childprocess.h"
#include "integration/temporaryfolder.h"
#include "libtrefoilgate/eventtracker.h"
#include "libtrefoilio/base64.h"

#include <criterion/criterion.h>
#include <fstream>
#include <memory>
#include <sys/wait.h>

using namespace trefoilarch;
using namespace trefoilgate;
using namespace trefoilplatform;

namespace {

constexpr const char* kPolicy = R"({"version":7,"routes":[
 {"name":"r1","host":"h.example","prefix":"/a/","kind":"stream",
  "timeoutMs":3000,"targetLatencyMs":500,"priority":1,"service":"s1",
  "maxAttempts":2,"public":false,"stickySessions":true,"streamResume":true,
  "gapAimMs":300},
 {"name":"r2","host":"h.example","prefix":"/b/","kind":"unsafe",
  "timeoutMs":5000,"weightedServices":[{"service":"s1","weight":90},
  {"service":"s2","weight":10}],"maxAttempts":1,"public":true},
 {"name":"r3","host":"h.example","prefix":"/c/","kind":"safe",
  "service":"s2","maxAttempts":2,"newField":{"x":1}}],
 "services":[{"name":"s1","maxConns":360,"engine":{"slots":64,
  "kvCapacityTokens":369436,"kvTokenBytes":35136,"linkMbps":550000.0,
  "moves":true,"backups":true,"handleS":5.0}},{"name":"s2","maxConns":100}],
 "limits":{"maxHeaderBytes":8192,"maxBodyBytes":1000,"headerTimeoutMs":100,
  "idleTimeoutMs":200},
 "tenants":[{"name":"t1","apiKeys":["a","b"],"priority":2},{"name":"t2"}]})";

UpstreamAnswer
Answer(int aStatus, Headers aHeaders)
{
  return UpstreamAnswer{ .mStatus = aStatus, .mHeaders = std::move(aHeaders) };
}

} // namespace

Test(adapter, a_policy_row_is_read_whole)
{
  std::string why;
  const auto policy = ReadPolicy(kPolicy, why);
  cr_assert(policy.has_value(), "%s", why.c_str());
  cr_expect(policy->mVersion == 7);
  cr_expect(policy->mRoutes.at(0).mRepeat == RepeatRule::Resumable);
  cr_expect(policy->mRoutes.at(0).mGapTarget == Millis(300));
  cr_expect(policy->mRoutes.at(0).mMostAttempts == 2);
  cr_expect(policy->mRoutes.at(1).mRepeat == RepeatRule::AtMostOnce);
  cr_expect(policy->mRoutes.at(1).mTargets.at(0).mWeight == 90);
  cr_expect(policy->mRoutes.at(1).mPublic);
  cr_expect(policy->mRoutes.at(2).mRepeat == RepeatRule::Idempotent);
  cr_expect(policy->mServices.at("s1").mEngine->mMemoryTokens == 369436);
  cr_expect(policy->mServices.at("s1").mEngine->mCopySpan == Millis(5000));
  cr_expect(!policy->mServices.at("s2").mEngine);
  cr_expect(policy->mLimits.mMostBodyBytes == 1000);
  cr_expect(policy->mWorkspaces.at(0).mPriority == 2);
  cr_expect(policy->mWorkspaces.at(1).mKeys.empty());
}

Test(adapter, an_unreadable_policy_is_refused_with_a_reason)
{
  std::string why;
  for (const char* text : { "",
                            "[]",
                            "{}",
                            R"({"version":1})",
                            R"({"version":1,"routes":[{}],"services":[]})" }) {
    why.clear();
    cr_expect(!ReadPolicy(text, why).has_value(), "%s", text);
    cr_expect(!why.empty());
  }
}

Test(adapter, an_upstream_row_is_read)
{
  std::string why;
  const auto upstream =
    ReadUpstream("i-1",
                 R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":6,
        "state":"draining","coldRemainingMs":50,"sequence":4})",
                 why);
  cr_assert(upstream.has_value());
  cr_expect(upstream->mLeaving);
  cr_expect(upstream->mSlots == 6);
  cr_expect(!ReadUpstream("i-1", "{}", why).has_value());
}

Test(adapter, facts_are_read_from_the_headers)
{
  const Dialect dialect = PlatformDialect();
  const CallerRequest request{
    .mTarget = "/a/x",
    .mHost = "h.example",
    .mHeaders = { { "x-deadline-ms", "1200" },
                  { "X-Credential", "a" },
                  { "X-Model", "m" },
                  { "X-Token-Usage", "1460,80" },
                  { "X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4:250" } }
  };
  const RequestFacts facts = dialect.mFacts(request);
  cr_expect(facts.mPatience == Millis(1200));
  cr_expect(facts.mKey == "a");
  cr_expect(facts.mPrompt.mPromptTokens == 1460);
  cr_expect(facts.mPrompt.mMostOutput == 80);
  cr_expect(facts.mPrompt.mParts.size() == 3);
  cr_expect(facts.mPrompt.mParts.at(2).mId == 0xe4);
  cr_expect(facts.mPrompt.mParts.at(0).mTokens == 800);
}

Test(adapter, odd_headers_do_no_harm)
{
  const Dialect dialect = PlatformDialect();
  const CallerRequest request{ .mHeaders = {
                                 { "X-Deadline-Ms", "soon" },
                                 { "X-Token-Usage", "a,b,c" },
                                 { "X-Prompt-Prefix", ",:,x:y" } } };
  const RequestFacts facts = dialect.mFacts(request);
  cr_expect(!facts.mPatience.has_value());
  cr_expect(facts.mPrompt.mPromptTokens == 0);
  cr_expect(facts.mPrompt.mParts.size() == 3);
}

Test(adapter, the_system_sets_its_own_headers_and_passes_others)
{
  const Dialect dialect = PlatformDialect();
  const CallerRequest request{ .mHeaders = { { "X-Credential", "secret" },
                                             { "x-tenant", "forged" },
                                             { "X-Pin-Ms", "9" },
                                             { "Kv-From", "x" },
                                             { "X-Kv-Backup", "y" },
                                             { "Last-Event-Id", "4" },
                                             { "X-Other", "kept" } } };
  const Headers out = dialect.mOutgoing(request,
                                        { .mUpstream = "i-1",
                                          .mWorkspace = "t1",
                                          .mPriority = 1,
                                          .mRoutePriority = 2,
                                          .mTimeLeft = Millis(900) });
  cr_expect(ValueOf(out, "X-Tenant") == "t1");
  cr_expect(ValueOf(out, "X-Expect-Instance") == "i-1");
  cr_expect(ValueOf(out, "X-Request-Priority") == "5");
  cr_expect(ValueOf(out, "X-Deadline-Ms") == "900");
  cr_expect(ValueOf(out, "X-Other") == "kept");
  cr_expect(ValueOf(out, "Last-Event-Id") == "4");
  for (const char* name :
       { "X-Credential", "X-Pin-Ms", "Kv-From", "X-Kv-Backup" }) {
    cr_expect(!Has(out, name), "%s", name);
  }
}

Test(adapter, answers_mean_what_they_say)
{
  const Dialect dialect = PlatformDialect();
  const auto meaning = [&](const UpstreamAnswer& aAnswer) {
    return dialect.mMeaning(aAnswer, "id");
  };
  cr_expect(meaning(Answer(200, { { "X-Response-Seal", "s" } })) ==
            AnswerMeaning::Genuine);
  cr_expect(meaning(Answer(200, {})) == AnswerMeaning::Unsealed);
  cr_expect(meaning(Answer(503, { { "X-Not-Executed", "1" } })) ==
            AnswerMeaning::NotRun);
  cr_expect(meaning(Answer(503, {})) == AnswerMeaning::Genuine);
  cr_expect(meaning(Answer(421, {})) == AnswerMeaning::NotRun);
  cr_expect(meaning(Answer(200, { { "X-Request-Id", "x" } })) ==
            AnswerMeaning::NotOurs);
}

Test(adapter, a_settings_file_is_read_by_lines)
{
  const integration::TemporaryFolder folder;
  const std::string path = folder.Path() + "/gate.env";
  std::ofstream(path) << "# note\nTREFOILARCH_NAME=a=b\n\nrubbish\n";
  const auto file = ReadSettingsFile(path);
  cr_assert(file.has_value());
  cr_expect(file->size() == 1);
  cr_expect(file->at("TREFOILARCH_NAME") == "a=b");
  cr_expect(!ReadSettingsFile("/nowhere/at/all").has_value());
}

Test(adapter, base64_is_strict)
{
  for (const char* text : { "", "a", "ab", "abc", "abcd" }) {
    cr_expect(trefoilio::FromBase64(trefoilio::ToBase64(text)) == text);
  }
  cr_expect(!trefoilio::FromBase64("abc").has_value());
  cr_expect(!trefoilio::FromBase64("ab!d").has_value());
  cr_expect(!trefoilio::FromBase64("a===").has_value());
}

Test(eventtracker, events_are_passed_on_whole)
{
  EventTracker events;
  cr_expect(events.Add("id: 1\ndata: a\n").empty());
  cr_expect(events.Add("\nid: 2\nda") == "id: 1\ndata: a\n\n");
  cr_expect(events.LastId() == "1");
  cr_expect(events.Add("ta: b\n\nid: 3") == "id: 2\ndata: b\n\n");
  cr_expect(events.Rest() == "id: 3");
  cr_expect(events.Events() == 2);
}

Test(eventtracker, a_next_run_neither_repeats_nor_leaves_out)
{
  EventTracker events;
  events.Add("id: 1\n\nid: 2\n\nid: 3\nhalf");
  events.BeginNextRun();
  cr_expect(events.Add("id: 2\n\nid: 3\n\nid: 4\n\n") == "id: 3\n\nid: 4\n\n");
  cr_expect(!events.Gap());
  events.BeginNextRun();
  events.Add("id: 7\n\n");
  cr_expect(events.Gap());
}

Test(adapter, a_policy_is_checked_before_it_is_put)
{
  const integration::TemporaryFolder folder;
  const auto check = [&](const std::string& aText, bool aJson) {
    const std::string path = folder.Path() + "/policy.json";
    std::ofstream(path) << aText;
    std::vector<std::string> arguments = { "check-policy", path };
    if (aJson) {
      arguments.emplace_back("--json");
    }
    auto tool = std::make_unique<integration::ChildProcess>("trefoilarch-gate",
                                                            arguments);
    cr_assert(integration::Await([&] { return tool->HasEnded(); }));
    return tool;
  };
  const auto fine = check(kPolicy, false);
  cr_expect(WEXITSTATUS(fine->Status()) == 0);
  cr_expect(integration::Await(
    [&] { return !fine->LinesWith("version 7 is valid: 3 routes").empty(); }));
  std::string wrong = kPolicy;
  wrong.replace(wrong.find("\"s2\",\"maxAttempts\""), 4, "\"s9\"");
  const auto faulty = check(wrong, true);
  cr_expect(WEXITSTATUS(faulty->Status()) == 1);
  cr_expect(integration::Await(
    [&] { return !faulty->LinesWith("no service").empty(); }));
  const auto unreadable = check("{", false);
  cr_expect(WEXITSTATUS(unreadable->Status()) == 1);
  integration::ChildProcess usage("trefoilarch-gate", { "check-policy" });
  cr_assert(integration::Await([&] { return usage.HasEnded(); }));
  cr_expect(WEXITSTATUS(usage.Status()) == 2);
}
