#include "platformfleet.h"

#include "integration/await.h"

#include "libtrefoilio/systemclock.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <chrono>
#include <thread>
#include <vector>

using namespace platformtest;
using integration::Await;
using trefoilarch::Millis;
using trefoilio::MonotonicNow;

namespace {

constexpr int64_t kWindowMs = 4000;
/** Time after the first mention of a limit until entries know and share it. */
constexpr int64_t kSettleMs = 3000;
constexpr int64_t kLoadMs = 11000;

/** Callers that send requests with a pause of kPauseMs in between. */
class Load
{
public:
  Load(const PlatformFleet& aFleet, size_t aGates, int aCallers)
  {
    for (int each = 0; each < aCallers; ++each) {
      mCallers.emplace_back([this, &aFleet, gate = each % aGates, each] {
        Call(aFleet, gate, each);
      });
    }
  }

  ~Load()
  {
    for (std::thread& caller : mCallers) {
      caller.join();
    }
  }

  Load(const Load&) = delete;
  Load& operator=(const Load&) = delete;
  Load(Load&&) = delete;
  Load& operator=(Load&&) = delete;

private:
  static void Call(const PlatformFleet& aFleet, size_t aGate, int aCaller)
  {
    constexpr int kPauseMs = 100;
    const Millis end = MonotonicNow() + Millis(kLoadMs);
    for (int call = 0; MonotonicNow() < end; ++call) {
      const std::string id =
        std::to_string(aCaller) + "-" + std::to_string(call);
      aFleet.Call({ .mId = id, .mPlan = "ok,delay=30" }, aGate);
      std::this_thread::sleep_for(std::chrono::milliseconds(kPauseMs));
    }
  }

  std::vector<std::thread> mCallers;
};

std::vector<int64_t>
ArrivalsAt(const PlatformFleet& aFleet, size_t aWorker)
{
  std::vector<int64_t> arrivals;
  for (const auto& run : aFleet.Runs(aWorker)) {
    arrivals.push_back(run.at("at_ms").get<int64_t>());
  }
  return arrivals;
}

/** The maximum number of arrivals in any window after the limit has settled. */
int64_t
MaxInWindow(const std::vector<int64_t>& aArrivals)
{
  int64_t maxInWindow = 0;
  for (const int64_t begin : aArrivals) {
    if (begin >= aArrivals.front() + kSettleMs) {
      const auto count =
        std::count_if(aArrivals.begin(), aArrivals.end(), [begin](int64_t aAt) {
          return aAt >= begin && aAt < begin + kWindowMs;
        });
      maxInWindow = std::max<int64_t>(maxInWindow, count);
    }
  }
  return maxInWindow;
}

/** 1.5 times the limit, plus five. */
int64_t
Allowed(double aLimit)
{
  constexpr double kTolerance = 1.5;
  constexpr double kWindowSeconds = 4;
  return static_cast<int64_t>(kTolerance * kWindowSeconds * aLimit) + 5;
}

int64_t
SettledArrivals(const std::vector<int64_t>& aArrivals)
{
  return std::count_if(aArrivals.begin(), aArrivals.end(), [&](int64_t aAt) {
    return aAt >= aArrivals.front() + kSettleMs;
  });
}

struct LimitedUpstream
{
  size_t mWorker = 0;
  std::string mText;
  double mPerSecond = 0;
};

void
CheckLimits(const PlatformFleet& aFleet,
            const std::vector<LimitedUpstream>& aLimited)
{
  constexpr double kSettledSeconds = (kLoadMs - kSettleMs) / 1000.0;
  for (const LimitedUpstream& each : aLimited) {
    const auto arrivals = ArrivalsAt(aFleet, each.mWorker);
    cr_assert(!arrivals.empty());
    const int64_t maxInWindow = MaxInWindow(arrivals);
    cr_expect(maxInWindow <= Allowed(each.mPerSecond),
              "%s a second: %d in 4 s",
              each.mText.c_str(),
              static_cast<int>(maxInWindow));
    const auto used = static_cast<double>(SettledArrivals(arrivals));
    cr_expect(used >= each.mPerSecond * kSettledSeconds / 2 - 1,
              "%s a second: %d in 8 s",
              each.mText.c_str(),
              static_cast<int>(used));
  }
}

} // namespace

Test(ratelimit,
     gates_together_send_no_more_than_an_upstream_names,
     .timeout = 60)
{
  const std::vector<LimitedUpstream> limited = { { 0, "0.7", 0.7 },
                                                 { 1, "1.6", 1.6 },
                                                 { 2, "3", 3 } };
  const PlatformFleet fleet({ .mWorkers = 8, .mGates = 4, .mPeers = true });
  cr_assert(fleet.AwaitPeers());
  for (const LimitedUpstream& each : limited) {
    fleet.SetLimit(each.mWorker, each.mText);
  }
  {
    const Load load(fleet, 4, 16);
  }
  CheckLimits(fleet, limited);
}

Test(ratelimit, one_gate_with_all_the_load_uses_the_full_limit, .timeout = 60)
{
  const std::vector<LimitedUpstream> limited = { { 0, "1.6", 1.6 },
                                                 { 1, "8", 8 } };
  const PlatformFleet fleet({ .mWorkers = 4, .mGates = 4, .mPeers = true });
  cr_assert(fleet.AwaitPeers());
  for (const LimitedUpstream& each : limited) {
    fleet.SetLimit(each.mWorker, each.mText);
  }
  {
    const Load load(fleet, 1, 8);
  }
  CheckLimits(fleet, limited);
}

Test(ratelimit, an_ended_limit_binds_no_gate, .timeout = 60)
{
  const PlatformFleet fleet({ .mWorkers = 2, .mGates = 2, .mPeers = true });
  cr_assert(fleet.AwaitPeers());
  fleet.SetLimit(0, "1");
  for (int each = 0; each < 40; ++each) {
    fleet.Call({}, each % 2);
  }
  cr_assert(Await([&] {
    return !fleet.LogOf(0, "upstream_limited").empty() &&
           !fleet.LogOf(1, "upstream_limited").empty();
  }));
  fleet.SetLimit(0, "");
  const bool ended = Await(
    [&] {
      fleet.Call({}, 0);
      return !fleet.LogOf(0, "upstream_limit_ended").empty() &&
             !fleet.LogOf(1, "upstream_limit_ended").empty();
    },
    Millis(8000));
  cr_assert(ended);
  const size_t before = fleet.Runs(0).size();
  for (int each = 0; each < 40; ++each) {
    cr_expect(fleet.Call({}, each % 2).mStatus == 200);
  }
  cr_expect(fleet.Runs(0).size() >= before + 10);
}

Test(ratelimit, an_invalid_limit_is_ignored_and_logged, .timeout = 60)
{
  const PlatformFleet fleet;
  fleet.SetLimit(0, "soon");
  for (int each = 0; each < 20; ++each) {
    cr_expect(fleet.Call({}).mStatus == 200);
  }
  cr_expect(fleet.LogOf(0, "upstream_limit_unreadable").size() == 1);
  cr_expect(fleet.LogOf(0, "upstream_limited").empty());
}

Test(ratelimit, excess_requests_get_retry_after_at_once, .timeout = 60)
{
  const PlatformFleet fleet;
  fleet.SetLimit(0, "1");
  int refused = 0;
  for (int each = 0; each < 30; ++each) {
    const Millis sentAt = MonotonicNow();
    const auto reply = fleet.Call({});
    if (reply.mStatus != 200) {
      refused++;
      cr_expect(reply.mStatus == 503 || reply.mStatus == 429);
      cr_expect(!trefoilio::FindHeader(reply.mHeaders, "Retry-After").empty());
      cr_expect(MonotonicNow() - sentAt < Millis(400));
    }
  }
  cr_expect(refused >= 20, "%d", refused);
  cr_expect(fleet.Metrics().find("trefoilarch_gate_limited_upstreams 1\n") !=
            std::string::npos);
  const std::string status =
    integration::CallHttp("GET",
                          "http://" + fleet.OperatorAddress(0) + "/v1/status")
      .mBody;
  cr_expect(status.find("\"limit_per_second\":1") != std::string::npos,
            "%s",
            status.c_str());
}

Test(ratelimit, an_upstream_with_limit_zero_is_probed, .timeout = 60)
{
  const PlatformFleet fleet({ .mWorkers = 2 });
  fleet.SetLimit(0, "0");
  {
    const Load load(fleet, 1, 4);
  }
  const auto arrivals = ArrivalsAt(fleet, 0);
  cr_expect(MaxInWindow(arrivals) <= Allowed(0));
  cr_expect(SettledArrivals(arrivals) >= 1,
            "the end of the limit would not be noticed");
}
