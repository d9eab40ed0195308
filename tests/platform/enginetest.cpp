#include "platformfleet.h"

#include "integration/await.h"
#include "integration/rawcaller.h"

#include <criterion/criterion.h>

#include <chrono>
#include <memory>
#include <thread>

using namespace platformtest;
using integration::Await;
using integration::RawCaller;
using nlohmann::json;

/** Gates with engines that have batches, prefix caches, priorities and
 * preemption. */
namespace {

constexpr const char* kLastChunk = "0\r\n\r\n";

/** `/stream/` is the most urgent route, `/resume/` the least. */
void
SetRoutePriorities(const PlatformFleet& aFleet)
{
  json policy = PlatformFleet::MakePolicy(2, { "key-1" });
  for (json& route : policy["routes"]) {
    route["priority"] = route["name"] == "stream" ? 0 : 2;
    route["timeoutMs"] = 20000;
    route["targetLatencyMs"] = 10000;
  }
  policy["services"][0]["maxConns"] = 1000;
  policy["services"][0]["engine"] = { { "slots", 4 },
                                      { "kvCapacityTokens", 12000 } };
  aFleet.PutPolicy(policy);
  cr_assert(Await([&] { return aFleet.LogOf(0, "policy_taken").size() >= 2; }));
}

std::unique_ptr<RawCaller>
SendRequest(const PlatformFleet& aFleet,
            const std::string& aPath,
            const std::string& aId,
            const std::string& aSegments,
            int aOutput)
{
  auto caller = std::make_unique<RawCaller>(aFleet.GateAddress(0));
  caller->Send(PlatformFleet::Text(
    { .mId = aId,
      .mMethod = "POST",
      .mPath = aPath,
      .mPlan = "engine,out=" + std::to_string(aOutput),
      .mDeadlineMs = 20000,
      .mHeaders = { { "X-Model", "m" },
                    { "X-Token-Usage", "1000," + std::to_string(aOutput) },
                    { "X-Prompt-Prefix", aSegments } } }));
  return caller;
}

/** Sum of a counter over all engines. */
int
CountOf(const PlatformFleet& aFleet, size_t aWorkers, const char* aName)
{
  int sum = 0;
  for (size_t each = 0; each < aWorkers; ++each) {
    sum += integration::GetJson("http://" + aFleet.WorkerAddress(each) +
                                "/control")["engine"][aName]
             .get<int>();
  }
  return sum;
}

} // namespace

Test(engine, an_urgent_request_starts_before_waiting_ones, .timeout = 60)
{
  const PlatformFleet fleet;
  SetRoutePriorities(fleet);
  std::vector<std::unique_ptr<RawCaller>> callers;
  for (int each = 0; each < 14; ++each) {
    const std::string id = "low" + std::to_string(each);
    callers.push_back(SendRequest(
      fleet, "/resume/x", id, "1:400,a" + std::to_string(each) + ":600", 80));
  }
  cr_assert(Await([&] { return CountOf(fleet, 1, "waiting") >= 9; }));
  const auto urgent = SendRequest(fleet, "/stream/x", "high", "2:400,b:100", 8);
  cr_expect(urgent->ReadUntil(kLastChunk).find("event 2\n") !=
            std::string::npos);
  cr_expect(CountOf(fleet, 1, "waiting") >= 1, "it started last");
  for (const auto& caller : callers) {
    cr_expect(caller->ReadUntil(kLastChunk).ends_with(kLastChunk));
  }
}

Test(engine, a_preempted_stream_is_complete, .timeout = 60)
{
  const PlatformFleet fleet;
  SetRoutePriorities(fleet);
  const auto low = SendRequest(fleet, "/resume/x", "low", "1:400,a:6400", 400);
  cr_assert(Await([&] { return CountOf(fleet, 1, "running") == 1; }));
  // Together they exceed the engine's 12,000 tokens while they run.
  const auto high =
    SendRequest(fleet, "/stream/x", "high", "2:400,b:4600", 300);
  const std::string lowText = low->ReadUntil(kLastChunk);
  const std::string highText = high->ReadUntil(kLastChunk);
  cr_expect(CountOf(fleet, 1, "preempted") >= 1);
  for (int event = 1; event <= 100; ++event) {
    const std::string text = "data: event " + std::to_string(event) + "\n";
    const size_t position = lowText.find(text);
    cr_assert(position != std::string::npos, "event %d is missing", event);
    cr_assert(lowText.find(text, position + 1) == std::string::npos);
  }
  cr_expect(lowText.ends_with(kLastChunk) && highText.ends_with(kLastChunk));
}

/** Measured: 3,160 tokens prefilled for six requests of 2,100 tokens each. */
Test(engine, a_session_is_prefilled_by_one_engine, .timeout = 60)
{
  constexpr size_t kWorkers = 4;
  const PlatformFleet fleet({ .mWorkers = kWorkers });
  SetRoutePriorities(fleet);
  constexpr int kRequests = 6;
  for (int each = 0; each < kRequests; ++each) {
    const std::string number = std::to_string(each + 1);
    const auto caller = SendRequest(
      fleet, "/resume/x", "s" + number, "1:800,77:1100,f" + number + ":200", 8);
    cr_assert(caller->ReadUntil(kLastChunk).ends_with(kLastChunk));
  }
  const int prefilled = CountOf(fleet, kWorkers, "prefilled");
  // The first two requests may go to any engine: only a repeated middle segment
  // shows that it belongs to a session.
  cr_expect(
    prefilled < 2 * 2100 + (kRequests - 2) * 300, "%d tokens", prefilled);
}
