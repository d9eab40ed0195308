#include "platformfleet.h"

#include "libtrefoilio/systemclock.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <mutex>
#include <thread>
#include <vector>

using namespace platformtest;

/**
 * Guards against refusals at an entry with most of the callers while its
 * upstreams have connections to spare: each entry used a fixed share of them.
 */
namespace {

constexpr size_t kGates = 4;
constexpr size_t kUpstreams = 4;
constexpr int kConnections = 24;

/** Callers that wait for their answers all the time. Together they take three
 * quarters of the upstreams' connections. */
constexpr size_t kCallers = 72;
constexpr size_t kElsewhere = 8;

constexpr int64_t kStableWindowMs = 3000;

void
Pause(int aMillis)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMillis));
}

int64_t
Now()
{
  return trefoilio::MonotonicNow().Count();
}

struct Outcome
{
  int64_t mSentAt = 0;
  int mStatus = 0;
};

/** Callers of which nine in ten use one gate, which can be changed. */
class Callers
{
public:
  Callers(const PlatformFleet& aFleet, size_t aBusyGate)
    : mFleet(aFleet)
    , mBusyGate(aBusyGate)
  {
    for (size_t each = 0; each < kCallers; ++each) {
      mThreads.emplace_back([this, each] { Run(each); });
    }
    mThreads.emplace_back([this] { Watch(); });
  }
  ~Callers()
  {
    mStop = true;
    for (std::thread& each : mThreads) {
      each.join();
    }
  }
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  /** Moves most callers from a gate that has gone. */
  void MoveTo(size_t aGate, size_t aGoneGate)
  {
    mGoneGate = aGoneGate;
    mBusyGate = aGate;
  }
  std::vector<Outcome> Between(int64_t aFrom, int64_t aTo) const
  {
    const std::lock_guard lock(mMutex);
    std::vector<Outcome> outcomes;
    std::copy_if(mOutcomes.begin(),
                 mOutcomes.end(),
                 std::back_inserter(outcomes),
                 [&](const Outcome& aOne) {
                   return aOne.mSentAt >= aFrom && aOne.mSentAt < aTo;
                 });
    return outcomes;
  }
  /** The most requests that an upstream ran at a time. */
  int MaxRunning() const { return mMaxRunning; }

private:
  void Run(size_t aNumber)
  {
    for (int call = 0; !mStop; ++call) {
      const size_t busy = mBusyGate;
      const size_t other = (busy + 1 + aNumber % (kGates - 1)) % kGates;
      const bool elsewhere = aNumber < kElsewhere && other != mGoneGate;
      const int64_t sentAt = Now();
      const int status =
        mFleet
          .Call({ .mId = std::to_string(aNumber) + "-" + std::to_string(call),
                  .mPlan = "ok,delay=250" },
                elsewhere ? other : busy)
          .mStatus;
      const std::lock_guard lock(mMutex);
      mOutcomes.push_back({ .mSentAt = sentAt, .mStatus = status });
    }
  }
  void Watch()
  {
    while (!mStop) {
      for (size_t each = 0; each < kUpstreams; ++each) {
        mMaxRunning = std::max(mMaxRunning.load(), mFleet.Running(each));
      }
      Pause(20);
    }
  }

  const PlatformFleet& mFleet;
  std::atomic<size_t> mBusyGate;
  std::atomic<size_t> mGoneGate = SIZE_MAX;
  std::atomic<bool> mStop = false;
  std::atomic<int> mMaxRunning = 0;
  mutable std::mutex mMutex;
  std::vector<Outcome> mOutcomes;
  std::vector<std::thread> mThreads;
};

void
ExpectServed(const Callers& aCallers, int64_t aFrom, int64_t aTo)
{
  const auto outcomes = aCallers.Between(aFrom, aTo);
  const auto served = std::count_if(
    outcomes.begin(), outcomes.end(), [](const Outcome& aOutcome) {
      return aOutcome.mStatus == 200;
    });
  cr_expect(!outcomes.empty());
  cr_expect(static_cast<size_t>(served) == outcomes.size(),
            "%zu of %zu served",
            static_cast<size_t>(served),
            outcomes.size());
}

PlatformFleet
FleetNearCapacity()
{
  PlatformFleet fleet(
    { .mWorkers = kUpstreams, .mGates = kGates, .mPeers = true });
  auto policy = PlatformFleet::MakePolicy(2, { "key-1" });
  policy["services"][0]["maxConns"] = kConnections;
  fleet.PutPolicy(policy);
  return fleet;
}

} // namespace

Test(unevencallers,
     an_entry_with_most_callers_refuses_none_below_capacity,
     .timeout = 60)
{
  const PlatformFleet fleet = FleetNearCapacity();
  cr_assert(fleet.AwaitPeers());
  Pause(1000);
  const int64_t began = Now();
  const Callers callers(fleet, 0);
  Pause(8000);
  ExpectServed(callers, began + kStableWindowMs, Now() - 1000);
  cr_expect(callers.MaxRunning() <= kConnections, "%d", callers.MaxRunning());
}

Test(unevencallers,
     the_next_entry_takes_over_the_callers_of_one_that_goes,
     .timeout = 60)
{
  PlatformFleet fleet = FleetNearCapacity();
  cr_assert(fleet.AwaitPeers());
  Pause(1000);
  Callers callers(fleet, 0);
  Pause(5000);
  callers.MoveTo(1, 0);
  fleet.Gate(0).Kill();
  const int64_t moved = Now();
  Pause(8000);
  ExpectServed(callers, moved + kStableWindowMs, Now() - 1000);
}
