#include "platformfleet.h"
#include "usagereceiver.h"

#include "integration/await.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <fstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace platformtest;
using integration::Await;
using nlohmann::json;

namespace {

constexpr size_t kGates = 4;

/** A successor takes over within a lease and some more. */
constexpr trefoilarch::Millis kTimeout{ 20000 };

/** Gates that report the usage of windows of one second to a receiver. */
class ReportingFleet
{
public:
  explicit ReportingFleet(size_t aGates = kGates)
    : mFleet({ .mGates = aGates,
               .mProxied = true,
               .mPeers = true,
               .mUsageReceiver = mReceiver.Address() })
    , mGates(aGates)
  {
    cr_assert(mFleet.AwaitPeers());
    cr_assert(AwaitWindows(1), "no report");
  }

  /** Sends calls to all gates in turn; returns how many were served. */
  uint64_t Call(size_t aCalls, size_t aSpared = SIZE_MAX)
  {
    uint64_t served = 0;
    for (size_t each = 0; each < aCalls; ++each) {
      const size_t gate = each % mGates;
      if (gate == aSpared) {
        continue;
      }
      const GateCall call{ .mId = "c" + std::to_string(mCalls++) };
      served += mFleet.Call(call, gate).mStatus == 200 ? 1 : 0;
    }
    return served;
  }

  /** Waits for reports of this many further windows. */
  bool AwaitWindows(size_t aMore)
  {
    const size_t before = mReceiver.Windows();
    return Await([&] { return mReceiver.Windows() >= before + aMore; },
                 kTimeout);
  }

  /** The gate that reports. */
  size_t Holder() const
  {
    const std::string name = mReceiver.LastHolder();
    return std::stoul(name.substr(name.find('-') + 1));
  }

  void ExpectNoViolation() const
  {
    for (const std::string& each : mReceiver.Violations()) {
      cr_expect(false, "%s", each.c_str());
    }
  }

  UsageReceiver mReceiver;
  PlatformFleet mFleet;

private:
  size_t mGates;
  uint64_t mCalls = 0;
};

/** What the gates have done so far, as the kernel, the store, the receiver and
 * their metrics count it. */
struct Activity
{
  double mStoreCalls = 0;
  double mReceiverCalls = 0;
  /** The most of a gate. */
  double mWakeups = 0;
  double mDatagrams = 0;
};

/** How often a process has waited for events: its timers and its sockets. */
double
WakeupsOf(pid_t aProcess)
{
  std::ifstream status("/proc/" + std::to_string(aProcess) + "/status");
  double switches = 0;
  for (std::string word; status >> word;) {
    if (word == "voluntary_ctxt_switches:") {
      status >> switches;
    }
  }
  return switches;
}

double
SentDatagramsOf(const ReportingFleet& aFleet, size_t aGate)
{
  const std::string metrics = aFleet.mFleet.Metrics(aGate);
  const std::string name =
    "trefoilarch_gate_peer_datagrams{direction=\"sent\"} ";
  const size_t at = metrics.find(name);
  cr_assert(at != std::string::npos);
  return std::stod(metrics.substr(at + name.size()));
}

/** Activity a second over that time. */
Activity
ActivityDuring(ReportingFleet& aFleet, std::chrono::seconds aTime)
{
  const auto read = [&](Activity& aTotal, std::vector<Activity>& aGates) {
    aTotal.mStoreCalls =
      aFleet.mFleet.Control(json::object()).at("calls").get<double>();
    aTotal.mReceiverCalls = static_cast<double>(aFleet.mReceiver.Requests());
    for (size_t gate = 0; gate < kGates; ++gate) {
      aGates.push_back({ .mWakeups = WakeupsOf(aFleet.mFleet.Gate(gate).Id()),
                         .mDatagrams = SentDatagramsOf(aFleet, gate) });
    }
  };
  Activity before;
  Activity after;
  std::vector<Activity> gatesBefore;
  std::vector<Activity> gatesAfter;
  read(before, gatesBefore);
  std::this_thread::sleep_for(aTime);
  read(after, gatesAfter);
  const auto seconds = static_cast<double>(aTime.count());
  Activity rate{ .mStoreCalls =
                   (after.mStoreCalls - before.mStoreCalls) / seconds,
                 .mReceiverCalls =
                   (after.mReceiverCalls - before.mReceiverCalls) / seconds };
  for (size_t gate = 0; gate < kGates; ++gate) {
    const Activity& from = gatesBefore[gate];
    const Activity& to = gatesAfter[gate];
    rate.mWakeups =
      std::max(rate.mWakeups, (to.mWakeups - from.mWakeups) / seconds);
    rate.mDatagrams =
      std::max(rate.mDatagrams, (to.mDatagrams - from.mDatagrams) / seconds);
  }
  return rate;
}

} // namespace

Test(usageduty, all_served_requests_are_reported, .timeout = 60)
{
  ReportingFleet fleet;
  const uint64_t served = fleet.Call(200);
  cr_assert(
    Await([&] { return fleet.mReceiver.Total("desk") >= served; }, kTimeout));
  fleet.AwaitWindows(2);
  cr_expect(fleet.mReceiver.Total("desk") == served);
  fleet.ExpectNoViolation();
}

Test(usageduty, another_gate_reports_when_the_holder_is_killed, .timeout = 90)
{
  ReportingFleet fleet;
  const size_t holder = fleet.Holder();
  fleet.Call(40);
  fleet.mFleet.Gate(holder).Kill();
  const uint64_t before = fleet.mReceiver.Total("desk");
  const uint64_t served = fleet.Call(80, holder);
  cr_expect(served > 0);
  cr_expect(
    Await([&] { return fleet.mReceiver.Total("desk") >= before + served; },
          kTimeout));
  cr_expect(fleet.Holder() != holder);
  fleet.ExpectNoViolation();
}

Test(usageduty,
     a_holder_that_was_paused_does_not_report_beside_its_successor,
     .timeout = 90)
{
  ReportingFleet fleet;
  const size_t holder = fleet.Holder();
  fleet.mFleet.Gate(holder).Signal(SIGSTOP);
  cr_expect(Await([&] { return fleet.Holder() != holder; }, kTimeout));
  fleet.mFleet.Gate(holder).Signal(SIGCONT);
  cr_expect(fleet.AwaitWindows(3));
  fleet.ExpectNoViolation();
}

Test(usageduty, a_holder_cut_off_from_the_store_is_replaced, .timeout = 90)
{
  ReportingFleet fleet;
  const size_t holder = fleet.Holder();
  fleet.mFleet.StoreProxy(holder).Order(
    { { "refuse_new", true }, { "cut", true } });
  cr_expect(Await([&] { return fleet.Holder() != holder; }, kTimeout));
  cr_expect(fleet.AwaitWindows(2));
  fleet.ExpectNoViolation();
}

Test(usageduty, a_planned_stop_hands_the_duty_over, .timeout = 90)
{
  ReportingFleet fleet;
  const size_t holder = fleet.Holder();
  fleet.mFleet.Gate(holder).Signal(SIGTERM);
  cr_expect(Await([&] { return fleet.Holder() != holder; }, kTimeout));
  cr_expect(!fleet.mFleet.LogOf(holder, "duty_released").empty());
  fleet.ExpectNoViolation();
}

Test(usageduty,
     lost_answers_of_store_and_receiver_cause_no_second_report,
     .timeout = 90)
{
  ReportingFleet fleet;
  fleet.mReceiver.SetMode(ReceiverMode::LosesAnswers);
  fleet.mFleet.Control({ { "fault", "lost" } });
  fleet.Call(40);
  std::this_thread::sleep_for(std::chrono::seconds(3));
  fleet.mFleet.Control({ { "fault", "up" } });
  fleet.mReceiver.SetMode(ReceiverMode::Accepts);
  cr_expect(fleet.AwaitWindows(3));
  fleet.ExpectNoViolation();
}

Test(usageduty, a_busy_receiver_gets_the_same_report_again, .timeout = 90)
{
  ReportingFleet fleet;
  fleet.mReceiver.SetMode(ReceiverMode::IsBusy);
  const uint64_t served = fleet.Call(40);
  std::this_thread::sleep_for(std::chrono::seconds(2));
  const size_t holder = fleet.Holder();
  cr_expect(!fleet.mFleet.LogOf(holder, "report_failed").empty());
  fleet.mReceiver.SetMode(ReceiverMode::Accepts);
  cr_expect(
    Await([&] { return fleet.mReceiver.Total("desk") >= served; }, kTimeout));
  fleet.ExpectNoViolation();
}

/** Guards against calls without a pause and timers that are always due. */
Test(usageduty,
     a_busy_receiver_and_a_cut_holder_cause_no_busy_loop,
     .timeout = 90)
{
  // Ticks of all duties, and updates to three others every 20 ms at most.
  constexpr double kMaxWakeups = 400;
  constexpr double kMaxDatagrams = 300;
  // A call of each gate every 100 ms.
  constexpr double kMaxStoreCalls = 40;
  constexpr double kMaxReceiverCalls = 10;
  ReportingFleet fleet;
  fleet.Call(40);
  fleet.mReceiver.SetMode(ReceiverMode::IsBusy);
  const size_t holder = fleet.Holder();
  fleet.mFleet.StoreProxy(holder).Order(
    { { "refuse_new", true }, { "cut", true } });
  for (int second = 0; second < 8; ++second) {
    const Activity rate = ActivityDuring(fleet, std::chrono::seconds(1));
    cr_expect(rate.mStoreCalls <= kMaxStoreCalls, "%.0f", rate.mStoreCalls);
    cr_expect(
      rate.mReceiverCalls <= kMaxReceiverCalls, "%.0f", rate.mReceiverCalls);
    cr_expect(rate.mWakeups <= kMaxWakeups, "%.0f", rate.mWakeups);
    cr_expect(rate.mDatagrams <= kMaxDatagrams, "%.0f", rate.mDatagrams);
  }
  fleet.mFleet.StoreProxy(holder).Order(
    { { "refuse_new", false }, { "cut", false } });
  fleet.mReceiver.SetMode(ReceiverMode::Accepts);
  cr_expect(fleet.AwaitWindows(3));
  fleet.ExpectNoViolation();
}

Test(usageduty, an_outage_of_the_store_delays_reports_only, .timeout = 90)
{
  ReportingFleet fleet;
  const uint64_t before = fleet.mReceiver.Total("desk");
  const uint64_t served = fleet.Call(40);
  fleet.mFleet.Control({ { "fault", "down" } });
  std::this_thread::sleep_for(std::chrono::seconds(3));
  fleet.mFleet.Control({ { "fault", "up" } });
  cr_expect(
    Await([&] { return fleet.mReceiver.Total("desk") >= before + served; },
          kTimeout));
  fleet.ExpectNoViolation();
}

Test(usageduty, rows_of_another_writer_do_no_harm, .timeout = 90)
{
  ReportingFleet fleet;
  fleet.mFleet.PutRow("duties", "usage", { { "holder", 7 } });
  fleet.mFleet.PutRow("duties", "usage//9999999999999", { { "body", 1 } });
  cr_expect(fleet.AwaitWindows(2));
  fleet.ExpectNoViolation();
}

Test(usageduty,
     a_window_is_not_reported_again_after_the_store_lost_its_report,
     .timeout = 90)
{
  ReportingFleet fleet;
  fleet.Call(40);
  const size_t first = fleet.Holder();
  fleet.mFleet.Control({ { "copy", true } });
  fleet.mFleet.Gate(first).Signal(SIGTERM);
  fleet.Call(40, first);
  cr_assert(Await([&] { return fleet.Holder() != first; }, kTimeout));
  const size_t second = fleet.Holder();
  fleet.mFleet.Control({ { "fault", "down" } });
  fleet.mFleet.Gate(second).Kill();
  fleet.mFleet.RestartGate(first);
  fleet.mFleet.Control({ { "restore", true }, { "fault", "up" } });
  cr_expect(fleet.AwaitWindows(5));
  fleet.ExpectNoViolation();
}

Test(usageduty,
     a_holder_goes_on_when_the_store_comes_back_from_a_copy,
     .timeout = 60)
{
  ReportingFleet fleet;
  const size_t holder = fleet.Holder();
  fleet.mFleet.Control({ { "copy", true } });
  cr_assert(fleet.AwaitWindows(2));
  fleet.mFleet.Control({ { "restore", true } });
  const uint64_t before = fleet.mReceiver.Total("desk");
  const uint64_t served = fleet.Call(40);
  cr_expect(
    Await([&] { return fleet.mReceiver.Total("desk") >= before + served; },
          kTimeout));
  cr_expect(fleet.Holder() == holder);
  cr_expect(!fleet.mFleet.LogOf(holder, "duty_era_changed").empty());
  const std::string metrics = fleet.mFleet.Metrics(holder);
  for (const char* line : { "trefoilarch_gate_store_era 2",
                            "trefoilarch_gate_usage_windows_skipped 0" }) {
    cr_expect(metrics.find(line) != std::string::npos, "%s", line);
  }
  fleet.ExpectNoViolation();
}

/** A gate of an older build knows nothing of the duty. */
Test(usageduty,
     a_gate_without_the_duty_does_not_disturb_the_others,
     .timeout = 90)
{
  ReportingFleet fleet;
  integration::ChildProcess older("trefoilarch-gate",
                                  { "--name",
                                    "gate-9",
                                    "--data-centre",
                                    "here",
                                    "--listen",
                                    "127.0.0.1:0",
                                    "--operator-listen",
                                    "127.0.0.1:0",
                                    "--platform",
                                    fleet.mFleet.StoreProxy(0).Address(),
                                    "--peer-listen",
                                    "127.0.0.1:0" });
  cr_expect(fleet.AwaitWindows(4));
  fleet.ExpectNoViolation();
}

Test(usageduty, the_dump_and_the_metrics_show_the_duty, .timeout = 60)
{
  ReportingFleet fleet(1);
  const json dump = integration::GetJson(
    "http://" + fleet.mFleet.OperatorAddress(0) + "/state");
  cr_expect(dump.at("usage").at("held") == true);
  cr_expect(dump.at("usage").at("window_accepted") > 0);
  const std::string metrics = fleet.mFleet.Metrics();
  cr_expect(metrics.find("trefoilarch_gate_duty_held{duty=\"usage\"} 1") !=
            std::string::npos);
  cr_expect(metrics.find("trefoilarch_gate_usage_windows_missed 0") !=
            std::string::npos);
}
