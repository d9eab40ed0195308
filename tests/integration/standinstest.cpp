#include "await.h"
#include "childprocess.h"
#include "fleet.h"
#include "httpcall.h"

#include "libtrefoilio/callrunner.h"
#include "libtrefoilio/systemclock.h"
#include "trefoilload/requestbuilder.h"

#include <criterion/criterion.h>

using namespace integration;
using nlohmann::json;
using trefoilload::CallOutcome;
using trefoilload::TraceRequest;

namespace {

/** An engine without a sidecar, and callers that connect to it directly. */
struct StandaloneEngine
{
  explicit StandaloneEngine(std::vector<std::string> aFlags = {})
    : mEngine("trefoilarch-engine", std::move(aFlags))
    , mAddress(mEngine.Address("engine"))
    , mUrl("http://" + mAddress)
    , mRunner(trefoilio::CallRunnerOptions{})
  {
  }

  std::unique_ptr<OpenCall> Send(const TraceRequest& aRequest,
                                 const std::string& aMark,
                                 int aPriority = 0,
                                 const std::string& aUrl = "")
  {
    auto httpRequest = trefoilload::BuildRequest(
      aRequest, aMark, aUrl.empty() ? mUrl : aUrl, {});
    json body = json::parse(httpRequest.mBody);
    body["priority"] = aPriority;
    httpRequest.mBody = body.dump();
    return std::make_unique<OpenCall>(mRunner, aRequest, httpRequest, aMark);
  }

  json Execution(const std::string& aMark) const
  {
    for (const json& item : GetJson(mUrl + "/executions")) {
      if (item["mark"] == aMark) {
        return item;
      }
    }
    return json::object();
  }

  ChildProcess mEngine;
  std::string mAddress;
  std::string mUrl;
  trefoilio::CallRunner mRunner;
};

json
InsertIfAbsent(const std::string& aKey, const std::string& aValue)
{
  const json compare = { { "target", "VERSION" },
                         { "key", aKey },
                         { "result", "EQUAL" },
                         { "version", "0" } };
  const json put = { { "request_put",
                       { { "key", aKey }, { "value", aValue } } } };
  return { { "compare", { compare } }, { "success", { put } } };
}

} // namespace

Test(standins, a_table_row_is_inserted_once_and_lost_answers_take_effect)
{
  ChildProcess platform("trefoilarch-platform", {});
  const std::string url = "http://" + platform.Address("platform");
  const auto insert = [&](const std::string& aValue) {
    return PostJson(url + "/v3/kv/txn", InsertIfAbsent("a2V5", aValue));
  };
  PostJson(url + "/control", { { "table", { { "mode", "lose_answers" } } } });
  cr_assert(insert("Zmlyc3Q=")["status"] == 0);
  PostJson(url + "/control", { { "table", { { "mode", "down" } } } });
  cr_assert(insert("c2Vjb25k")["status"] == 503);
  PostJson(url + "/control", { { "table", { { "mode", "up" } } } });
  cr_assert(!insert("dGhpcmQ=")["body"].contains("succeeded"));
  const json read = PostJson(url + "/v3/kv/range", { { "key", "a2V5" } });
  cr_assert(read["body"]["kvs"][0]["value"] == "Zmlyc3Q=");
  cr_assert(GetJson(url + "/control")["table"]["lost_answers"] == 1);
}

Test(standins, the_host_list_lags)
{
  ChildProcess platform("trefoilarch-platform", {});
  const std::string url = "http://" + platform.Address("platform");
  const json hosts = json::array({ { { "targets", { "127.0.0.1:1" } } } });
  PostJson(url + "/control", { { "hosts", hosts }, { "host_lag_ms", 300 } });
  const trefoilarch::Millis start = trefoilio::MonotonicNow();
  cr_assert(Await([&] { return GetJson(url + "/hosts") == hosts; }));
  cr_assert(trefoilio::MonotonicNow() - start >= trefoilarch::Millis(250));
}

Test(standins, an_engine_answers_cancels_and_crashes)
{
  StandaloneEngine engine;
  const auto complete = engine.Send(ChatRequest("mid-call", 30), "whole");
  cr_assert(complete->AwaitEnd().mOutcome == CallOutcome::Complete);
  cr_assert(engine.Execution("whole")["tokens"] == 30);
  const auto cancelled = engine.Send(ChatRequest("mid-call", 5000), "left");
  cr_assert(cancelled->AwaitBytes(1000));
  cancelled->Leave();
  cr_assert(
    Await([&] { return engine.Execution("left")["cancelled"] == true; }));
  PostJson(engine.mUrl + "/control", { { "crash_after_tokens", 10 } });
  const auto crashed = engine.Send(ChatRequest("mid-call", 5000), "crashed");
  cr_assert(crashed->AwaitEnd().mOutcome == CallOutcome::Unanswered);
  cr_assert(engine.Execution("crashed")["crashed"] == true);
}

Test(standins, an_engine_starts_the_most_urgent_request_first)
{
  StandaloneEngine engine({ "--max-running", "1" });
  const auto running = engine.Send(ChatRequest("mid-call", 5000), "running", 1);
  cr_assert(running->AwaitBytes(1));
  const auto later = engine.Send(ChatRequest("mid-call", 60), "later", 5);
  cr_assert(Await([&] { return engine.Execution("later").contains("id"); }));
  const auto urgent = engine.Send(ChatRequest("mid-call", 60), "urgent", 0);
  cr_assert(Await([&] { return engine.Execution("urgent").contains("id"); }));
  running->Leave();
  const int64_t urgentEnd = urgent->AwaitEnd().mEnded;
  cr_assert(urgentEnd < later->AwaitEnd().mFirst);
}

Test(standins, an_engine_refuses_an_old_fencing_number)
{
  StandaloneEngine engine;
  const auto order = [&](const char* aNumber) {
    return CallHttp("POST",
                    engine.mUrl + "/v1/load_lora_adapter",
                    R"({"lora_name":"ferry"})",
                    { { "X-Fencing-Number", aNumber } })
      .mStatus;
  };
  cr_assert(order("7") == 200);
  cr_assert(order("6") == 409);
  StandaloneEngine unfenced({ "--fencing", "ignore" });
  cr_assert(CallHttp("POST",
                     unfenced.mUrl + "/v1/load_model",
                     R"({"model":"ferry"})",
                     { { "X-Fencing-Number", "1" } })
              .mStatus == 200);
}

Test(standins, a_proxy_silences_old_connections_and_relays_new_ones)
{
  StandaloneEngine engine;
  const Proxy proxy(engine.mAddress);
  const std::string url = "http://" + proxy.Address();
  const auto oldCall =
    engine.Send(ChatRequest("mid-call", 3000), "old", 0, url);
  cr_assert(oldCall->AwaitBytes(1000));
  proxy.Order({ { "silence", "both" } });
  cr_assert(Await([&] { return proxy.Counts()["swallowed"] > 10000; }));
  const size_t oldSize = oldCall->Body().size();
  const auto newCall = engine.Send(ChatRequest("mid-call", 30), "new", 0, url);
  cr_assert(newCall->AwaitEnd().mOutcome == CallOutcome::Complete);
  cr_assert(oldCall->Body().size() == oldSize);
  cr_assert(!oldCall->HasEnded());
  proxy.Order({ { "cut", true } });
  cr_assert(oldCall->AwaitEnd().mOutcome == CallOutcome::Unanswered);
}

Test(standins, a_proxy_cuts_after_a_byte_limit_and_delays)
{
  StandaloneEngine engine;
  const Proxy proxy(engine.mAddress);
  const std::string url = "http://" + proxy.Address();
  proxy.Order({ { "cut_after_bytes", 2000 } });
  const auto cut = engine.Send(ChatRequest("mid-call", 200), "cut", 0, url);
  cr_assert(cut->AwaitEnd().mOutcome == CallOutcome::Unanswered);
  cr_assert(cut->Body().size() < 2000);
  proxy.Order({ { "cut_after_bytes", 0 }, { "delay_ms", 150 } });
  const auto delayed = engine.Send(ChatRequest("mid-call", 5), "late", 0, url);
  const auto record = delayed->AwaitEnd();
  cr_assert(record.mOutcome == CallOutcome::Complete);
  cr_assert(record.mFirst - record.mSent >= 290);
}
