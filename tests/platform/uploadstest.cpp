#include "platformfleet.h"
#include "readers.h"
#include "uploaders.h"

#include "integration/await.h"
#include "integration/rawcaller.h"

#include "libtrefoilio/systemclock.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace platformtest;
using integration::Await;
using integration::RawCaller;
using nlohmann::json;
using trefoilarch::Millis;
using trefoilio::HttpReply;
using trefoilio::MonotonicNow;

/** What callers send beyond the memory of a gate. */
namespace {

constexpr double kGateMb = 110;
constexpr size_t kBodyBytes = 4000000;
/** Requests under way on connections of their own. */
constexpr size_t kKept = 8;

/** Bodies of up to 4 MB, and a second workspace with the key "key-2". */
void
PutUploadPolicy(PlatformFleet& aFleet)
{
  json policy = PlatformFleet::MakePolicy(2, { "key-1" });
  policy["limits"]["maxBodyBytes"] = 4194304;
  policy["services"][0].erase("engine");
  for (json& route : policy["routes"]) {
    route["timeoutMs"] = 30000;
    route["targetLatencyMs"] = 20000;
  }
  policy["tenants"].push_back(
    { { "name", "other" }, { "apiKeys", { "key-2" } } });
  aFleet.PutPolicy(policy);
  cr_assert(Await([&] {
    const auto taken = aFleet.LogOf(0, "policy_taken");
    return !taken.empty() && taken.back().at("version") == 2;
  }));
}

/** Requests that a worker runs for a while. */
class KeptRequests
{
public:
  KeptRequests(const PlatformFleet& aFleet, int aDelayMs)
  {
    for (size_t each = 0; each < kKept; ++each) {
      mCallers.push_back(std::make_unique<RawCaller>(aFleet.GateAddress(0)));
      mCallers.back()->Send(
        PlatformFleet::Text({ .mId = "kept-" + std::to_string(each),
                              .mMethod = "POST",
                              .mPath = "/once/x",
                              .mPlan = "ok,delay=" + std::to_string(aDelayMs),
                              .mDeadlineMs = 20000,
                              .mHeaders = { { "Connection", "close" } } }));
    }
    cr_assert(
      Await([&] { return aFleet.Running(0) == static_cast<int>(kKept); }));
  }

  void ExpectServed() const
  {
    for (const auto& each : mCallers) {
      const std::string answer = each->ReadAll();
      cr_expect(answer.starts_with("HTTP/1.1 200"), "%s", answer.c_str());
    }
  }

private:
  std::vector<std::unique_ptr<RawCaller>> mCallers;
};

void
ExpectMemoryWithin(PlatformFleet& aFleet, const char* aCase)
{
  const double peak = PeakMemoryMb(aFleet.Gate(0).Id());
  cr_log_info("%s: peak memory %.1f MB", aCase, peak);
  cr_expect(peak > 0 && peak < kGateMb, "%.1f MB", peak);
}

/** Small requests beside a load; logs their median time. */
void
ExpectSmallRequestsServed(const PlatformFleet& aFleet, const std::string& aCase)
{
  std::vector<Millis> times;
  for (int each = 0; each < 20; ++each) {
    const Millis start = MonotonicNow();
    const HttpReply reply = aFleet.Call({ .mId = aCase + std::to_string(each),
                                          .mMethod = "POST",
                                          .mBody = std::string(18000, 'b') });
    times.push_back(MonotonicNow() - start);
    cr_expect(reply.mStatus == 200, "%d", reply.mStatus);
  }
  std::ranges::sort(times);
  cr_log_info("small requests %s: %d ms, the longest %d ms",
              aCase.c_str(),
              static_cast<int>(times[times.size() / 2].Count()),
              static_cast<int>(times.back().Count()));
}

void
ExpectServedOrNotRun(const std::string& aAnswer)
{
  const bool served = aAnswer.starts_with("HTTP/1.1 200");
  const bool rejected = aAnswer.find("Retry-After: ") != std::string::npos &&
                        aAnswer.find("\"ran\":\"no\"") != std::string::npos;
  cr_expect(served || rejected, "%s", aAnswer.c_str());
}

} // namespace

/** Bodies that were incomplete were in no account: the gate exceeded its
 * memory. */
Test(uploads, bodies_of_many_callers_stay_within_the_memory, .timeout = 120)
{
  for (const UploadFraming framing :
       { UploadFraming::Length, UploadFraming::Chunks }) {
    PlatformFleet fleet({ .mMemoryMb = kGateMb });
    PutUploadPolicy(fleet);
    const KeptRequests kept(fleet, 4000);
    ExpectSmallRequestsServed(fleet, "before");
    Uploaders uploaders(fleet.GateAddress(0), framing);
    for (size_t each = 0; each < 38; ++each) {
      uploaders.Start({ .mId = "upload-" + std::to_string(each),
                        .mBodyBytes = kBodyBytes,
                        .mBytesPerSecond = 2000000 });
    }
    uploaders.SendFor(1000);
    ExpectSmallRequestsServed(fleet, "beside");
    cr_expect(uploaders.SendUntilAnswered(20000), "all are answered");
    size_t served = 0;
    for (const std::string& answer : uploaders.Answers()) {
      ExpectServedOrNotRun(answer);
      served += answer.starts_with("HTTP/1.1 200") ? 1 : 0;
    }
    cr_log_info("%zu of 38 uploads served", served);
    cr_expect(served >= 6, "%zu", served);
    kept.ExpectServed();
    ExpectMemoryWithin(fleet, "38 callers of 4 MB");
  }
}

/** A caller that trickles must not hold the memory that others wait for. */
Test(uploads, trickling_callers_do_not_keep_the_room_of_others, .timeout = 120)
{
  PlatformFleet fleet({ .mMemoryMb = kGateMb });
  PutUploadPolicy(fleet);
  const KeptRequests kept(fleet, 8000);
  Uploaders tricklers(fleet.GateAddress(0), UploadFraming::Length);
  for (size_t each = 0; each < 400; ++each) {
    tricklers.Start({ .mId = "trickle-" + std::to_string(each),
                      .mBodyBytes = kBodyBytes,
                      .mBytesPerSecond = 1000 });
  }
  tricklers.SendFor(500);
  for (int each = 0; each < 5; ++each) {
    Uploaders sound(fleet.GateAddress(0), UploadFraming::Length);
    sound.Start({ .mId = "sound-" + std::to_string(each),
                  .mKey = "key-2",
                  .mBodyBytes = kBodyBytes,
                  .mBytesPerSecond = 20000000 });
    const Millis start = MonotonicNow();
    while (!sound.SendUntilAnswered(20) &&
           MonotonicNow() - start < Millis(10000)) {
      tricklers.SendFor(20);
    }
    const std::string answer = sound.Answers().at(0);
    cr_expect(answer.starts_with("HTTP/1.1 200"), "%s", answer.c_str());
  }
  ExpectSmallRequestsServed(fleet, "beside");
  cr_expect(tricklers.SendUntilAnswered(20000), "all are rejected");
  kept.ExpectServed();
  ExpectMemoryWithin(fleet, "400 that trickle");
}

/** Heads that are incomplete were in no account. */
Test(uploads, incomplete_heads_stay_within_the_memory, .timeout = 60)
{
  PlatformFleet fleet({ .mMemoryMb = kGateMb });
  PutUploadPolicy(fleet);
  const KeptRequests kept(fleet, 4000);
  std::vector<std::unique_ptr<RawCaller>> callers;
  const std::string head =
    "POST /once/x HTTP/1.1\r\nHost: svc.example\r\nX-Long: " +
    std::string(15000, 'x');
  for (size_t each = 0; each < 2500; ++each) {
    callers.push_back(std::make_unique<RawCaller>(fleet.GateAddress(0)));
    callers.back()->Send(head);
  }
  ExpectSmallRequestsServed(fleet, "beside");
  kept.ExpectServed();
  ExpectMemoryWithin(fleet, "2500 heads of 15 kB");
}

/** The answer to an upload that is rejected was lost, as the connection was
 * reset while the caller still sent. */
Test(uploads, a_caller_that_still_sends_receives_its_rejection, .timeout = 60)
{
  PlatformFleet fleet({ .mMemoryMb = kGateMb });
  PutUploadPolicy(fleet);
  for (int each = 0; each < 20; ++each) {
    Uploaders tooLarge(fleet.GateAddress(0), UploadFraming::Length);
    tooLarge.Start(
      { .mId = "large", .mBodyBytes = 40000000, .mBytesPerSecond = 100000000 });
    cr_expect(tooLarge.SendUntilAnswered(5000));
    cr_expect(tooLarge.Answers().at(0).starts_with("HTTP/1.1 413"));
  }
}

/** One workspace's uploads took all room from the others. */
Test(uploads,
     a_workspace_finds_room_beside_the_uploads_of_another,
     .timeout = 60)
{
  PlatformFleet fleet({ .mMemoryMb = kGateMb });
  PutUploadPolicy(fleet);
  Uploaders loud(fleet.GateAddress(0), UploadFraming::Length);
  for (size_t each = 0; each < 30; ++each) {
    loud.Start({ .mId = "loud-" + std::to_string(each),
                 .mBodyBytes = kBodyBytes,
                 .mBytesPerSecond = 200000 });
  }
  loud.SendFor(300);
  Uploaders quiet(fleet.GateAddress(0), UploadFraming::Length);
  quiet.Start({ .mId = "quiet",
                .mKey = "key-2",
                .mBodyBytes = kBodyBytes,
                .mBytesPerSecond = 20000000 });
  cr_expect(quiet.SendUntilAnswered(1500));
  cr_expect(quiet.Answers().at(0).starts_with("HTTP/1.1 200"));
  const std::string metrics = fleet.Metrics();
  cr_expect(metrics.find("trefoilarch_gate_waiting_uploads ") !=
            std::string::npos);
}
