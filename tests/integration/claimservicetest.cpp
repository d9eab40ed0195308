#include "childprocess.h"
#include "httpcall.h"

#include "libtrefoilio/kernel.h"
#include "trefoilarchd/claimservice.h"
#include "trefoilarchd/claimtracker.h"
#include "trefoilarchd/grpcserverservice.h"

#include <criterion/criterion.h>

#include <atomic>
#include <thread>

using namespace integration;
using namespace trefoilarch;
using nlohmann::json;

namespace {

/** The claim service of one entry, with its peer port. */
class ClaimingEntry
{
public:
  explicit ClaimingEntry(const std::string& aPlatformUrl)
    : mServer([this](RequestId aId) { return mService->Report(aId); })
  {
    auto port = std::make_unique<GrpcServerService>(
      "127.0.0.1:0", std::vector<grpc::Service*>{ &mServer });
    const GrpcServerService& bound = *port;
    mKernel.Register(GrpcServerService::kName, std::move(port));
    auto service = std::make_unique<ClaimService>(
      ClaimServiceOptions{ .mPlatform = std::make_shared<const PlatformClient>(
                             PlatformClientOptions{ .mUrl = aPlatformUrl }),
                           .mAddress = [&bound] { return bound.Address(); } });
    mService = service.get();
    mKernel.Register(ClaimService::kName, std::move(service));
    mKernel.StartAll();
  }
  ~ClaimingEntry() { mKernel.StopAll(); }

  ClaimDecided Claim(uint64_t aNumber,
                     const std::string& aKey,
                     const std::string& aIntent = "book")
  {
    return mService->Claim({ 1, aNumber }, "agents", aKey, aIntent);
  }
  ClaimService& Service() { return *mService; }

private:
  ClaimPeerServer mServer;
  ClaimService* mService = nullptr;
  trefoilio::Kernel mKernel;
};

/** A platform stand-in and two entries. */
struct ClaimFixture
{
  ChildProcess mPlatform{ "trefoilarch-platform", {} };
  std::string mUrl = "http://" + mPlatform.Address("platform");
  std::unique_ptr<ClaimingEntry> mFirst = std::make_unique<ClaimingEntry>(mUrl);
  std::unique_ptr<ClaimingEntry> mSecond =
    std::make_unique<ClaimingEntry>(mUrl);

  void SetTable(const char* aMode, double aProbability = 1)
  {
    PostJson(mUrl + "/control",
             { { "table",
                 { { "mode", aMode },
                   { "delay_ms", 300 },
                   { "probability", aProbability },
                   { "seed", 1 } } } });
  }
};

/** Threads at both entries claim the same keys; each may run at most once. */
void
CheckOneRunForEachKey(ClaimFixture& aFixture, size_t aKeys, bool aMustRun)
{
  constexpr size_t kAttemptsPerKey = 4;
  std::vector<std::atomic<int>> runs(aKeys);
  std::vector<std::thread> callers;
  for (size_t attempt = 0; attempt < aKeys * kAttemptsPerKey; ++attempt) {
    callers.emplace_back([&, attempt] {
      auto& entry = attempt % 2 == 0 ? *aFixture.mFirst : *aFixture.mSecond;
      const std::string key =
        "key-" + std::to_string(attempt / kAttemptsPerKey);
      if (entry.Claim(100 + attempt, key).mOutcome == ClaimOutcome::Run) {
        ++runs[attempt / kAttemptsPerKey];
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  for (const std::atomic<int>& count : runs) {
    cr_assert(count <= 1);
    cr_assert(count == 1 || !aMustRun);
  }
}

} // namespace

Test(claimservice, a_repeat_gets_the_first_answer_at_either_entry)
{
  ClaimFixture fixture;
  cr_assert(fixture.mFirst->Claim(1, "k").mOutcome == ClaimOutcome::Run);
  cr_assert(fixture.mFirst->Claim(2, "k").mOutcome == ClaimOutcome::InProgress);
  cr_assert(fixture.mSecond->Claim(3, "k").mOutcome ==
            ClaimOutcome::InProgress);
  cr_assert(fixture.mSecond->Claim(4, "k", "other").mOutcome ==
            ClaimOutcome::OtherIntent);
  {
    ClaimTracker tracker(fixture.mFirst->Service(), { 1, 1 });
    tracker.OnHead(201, { { "content-type", "text/x" } });
    tracker.OnData("book");
    tracker.OnData("ed");
    tracker.OnEnd();
  }
  for (ClaimingEntry* entry : { fixture.mFirst.get(), fixture.mSecond.get() }) {
    const ClaimDecided repeat = entry->Claim(5, "k");
    cr_assert(repeat.mOutcome == ClaimOutcome::Finished);
    cr_assert(*repeat.mAnswer == (CachedAnswer{ 201, "text/x", "booked" }));
  }
}

Test(claimservice, a_request_not_run_may_run_at_another_entry)
{
  ClaimFixture fixture;
  cr_assert(fixture.mFirst->Claim(1, "k").mOutcome == ClaimOutcome::Run);
  ClaimTracker(fixture.mFirst->Service(), { 1, 1 })
    .OnError({ ErrorKind::Shed, Ran::No, Millis(100), "" });
  cr_assert(fixture.mSecond->Claim(2, "k").mOutcome == ClaimOutcome::Run);
  cr_assert(fixture.mFirst->Claim(3, "k").mOutcome == ClaimOutcome::InProgress);
}

Test(claimservice, a_claim_of_a_stopped_entry_stays_taken)
{
  ClaimFixture fixture;
  cr_assert(fixture.mFirst->Claim(1, "k").mOutcome == ClaimOutcome::Run);
  fixture.mFirst.reset();
  cr_assert(fixture.mSecond->Claim(2, "k").mOutcome == ClaimOutcome::MaybeRan);
}

Test(claimservice, a_tracker_without_an_end_may_have_run)
{
  ClaimFixture fixture;
  cr_assert(fixture.mFirst->Claim(1, "k").mOutcome == ClaimOutcome::Run);
  {
    ClaimTracker tracker(fixture.mFirst->Service(), { 1, 1 });
  }
  cr_assert(fixture.mFirst->Claim(2, "k").mOutcome == ClaimOutcome::MaybeRan);
  cr_assert(fixture.mSecond->Claim(3, "k").mOutcome == ClaimOutcome::MaybeRan);
}

Test(claimservice, at_the_same_moment_one_runs)
{
  ClaimFixture fixture;
  CheckOneRunForEachKey(fixture, 20, true);
}

Test(claimservice, at_the_same_moment_one_runs_where_the_table_is_slow)
{
  ClaimFixture fixture;
  fixture.SetTable("slow");
  CheckOneRunForEachKey(fixture, 10, true);
}

Test(claimservice, at_the_same_moment_one_runs_where_answers_are_lost)
{
  ClaimFixture fixture;
  fixture.SetTable("lose_answers", 0.4);
  CheckOneRunForEachKey(fixture, 10, false);
}

Test(claimservice, with_the_table_down_nothing_runs_until_it_is_back)
{
  ClaimFixture fixture;
  fixture.SetTable("down");
  cr_assert(fixture.mFirst->Claim(1, "k").mOutcome == ClaimOutcome::Unsettled);
  fixture.SetTable("up");
  cr_assert(fixture.mSecond->Claim(2, "k").mOutcome == ClaimOutcome::Run);
  cr_assert(fixture.mFirst->Claim(3, "k").mOutcome == ClaimOutcome::InProgress);
}
