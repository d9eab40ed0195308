// Measures the cost of the control plane in fleets of growing size: all traffic
// of an idle fleet is control traffic. Prints a line of data per size, for
// scripts/run-capacity. `mesh` connects every entry to every sidecar;
// `requests` measures the additional cost of a request.

#include "idlefleet.h"
#include "processusage.h"
#include "socketbytes.h"

#include "integration/fleet.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace bench;
using Clock = std::chrono::steady_clock;
using nlohmann::json;

constexpr std::chrono::seconds kSettleTime{ 6 };
constexpr std::chrono::seconds kWindow{ 10 };
constexpr int kPolicyChanges = 5;
constexpr int kRequestRounds = 30;
constexpr int kConcurrentRequests = 8;

/** All counters at one point in time. */
struct Snapshot
{
  Clock::time_point mTakenAt;
  std::vector<ProcessUsage> mEntries;
  std::vector<ProcessUsage> mSidecars;
  uint64_t mChannelBytes = 0;
  json mPlatform;
};

Snapshot
TakeSnapshot(const IdleFleet& aFleet)
{
  Snapshot snapshot{ .mTakenAt = Clock::now() };
  for (size_t i = 0; i < aFleet.Size().mEntries; ++i) {
    snapshot.mEntries.push_back(UsageOf(aFleet.Entry(i).Id()));
  }
  const auto bytes = BytesByLocalPort();
  for (size_t i = 0; i < aFleet.Size().mSidecars; ++i) {
    snapshot.mSidecars.push_back(UsageOf(aFleet.Sidecar(i).Id()));
    const auto found = bytes.find(aFleet.ChannelPort(i));
    snapshot.mChannelBytes += found == bytes.end() ? 0 : found->second;
  }
  snapshot.mPlatform = aFleet.PlatformCounts();
  return snapshot;
}

double
MeanCorePercent(const std::vector<ProcessUsage>& aBefore,
                const std::vector<ProcessUsage>& aAfter,
                double aSeconds)
{
  double cpuSeconds = 0;
  for (size_t i = 0; i < aBefore.size(); ++i) {
    cpuSeconds += aAfter[i].mProcessorSeconds - aBefore[i].mProcessorSeconds;
  }
  return 100 * cpuSeconds / aSeconds / static_cast<double>(aBefore.size());
}

double
MaxMegabytes(const std::vector<ProcessUsage>& aUsages)
{
  double maxMegabytes = 0;
  for (const ProcessUsage& usage : aUsages) {
    maxMegabytes = std::max(maxMegabytes, usage.mMemoryMegabytes);
  }
  return maxMegabytes;
}

double
PerSecond(const Snapshot& aBefore,
          const Snapshot& aAfter,
          const char* aService,
          const char* aCount,
          double aSeconds)
{
  const auto read = [&](const Snapshot& aSnapshot) {
    const json service = aSnapshot.mPlatform.value(aService, json::object());
    return service.value(aCount, 0.0);
  };
  return (read(aAfter) - read(aBefore)) / aSeconds;
}

/** Returns the total reads of all services of the platform so far. */
double
AllReads(const json& aCounts)
{
  double reads = 0;
  for (const char* service : { "table", "objects", "hostlist" }) {
    reads += aCounts.value(service, json::object()).value("reads", 0.0);
  }
  return reads;
}

/** Longest time in ms until a policy change has reached every entry. */
double
MaxPolicySpread(IdleFleet& aFleet)
{
  double maxMillis = 0;
  for (int i = 0; i < kPolicyChanges; ++i) {
    const json operation{ { "op", "set_upstream_labels" },
                          { "upstream", "engine-1" },
                          { "labels", { { "try", std::to_string(i) } } } };
    const uint64_t version = aFleet.ChangePolicy(operation);
    const Clock::time_point accepted = Clock::now();
    for (size_t entry = 0; entry < aFleet.Size().mEntries; ++entry) {
      while (aFleet.PolicyVersion(entry) < version) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
      }
    }
    const std::chrono::duration<double, std::milli> elapsed =
      Clock::now() - accepted;
    maxMillis = std::max(maxMillis, elapsed.count());
  }
  return maxMillis;
}

void
Measure(FleetSize aSize, const std::vector<std::string>& aEntryFlags)
{
  const Clock::time_point startTime = Clock::now();
  IdleFleet fleet(aSize, aEntryFlags);
  const std::chrono::duration<double> startupDuration =
    Clock::now() - startTime;
  const json start = fleet.PlatformCounts();
  std::this_thread::sleep_for(kSettleTime);
  const Snapshot before = TakeSnapshot(fleet);
  std::this_thread::sleep_for(kWindow);
  const Snapshot after = TakeSnapshot(fleet);
  const double seconds =
    std::chrono::duration<double>(after.mTakenAt - before.mTakenAt).count();
  const double bytes =
    static_cast<double>(after.mChannelBytes - before.mChannelBytes) / seconds;
  const auto entries = static_cast<double>(aSize.mEntries);
  const auto sidecars = static_cast<double>(aSize.mSidecars);
  std::printf(
    "%zu %zu %.0f %.0f %.2f %.2f %.1f %.1f %.2f %.2f %.2f %zu %.0f %.1f "
    "%.0f\n",
    aSize.mEntries,
    aSize.mSidecars,
    bytes / entries,
    bytes / sidecars,
    MeanCorePercent(before.mEntries, after.mEntries, seconds),
    MeanCorePercent(before.mSidecars, after.mSidecars, seconds),
    MaxMegabytes(after.mEntries),
    MaxMegabytes(after.mSidecars),
    PerSecond(before, after, "table", "reads", seconds),
    PerSecond(before, after, "table", "writes", seconds),
    PerSecond(before, after, "hostlist", "reads", seconds),
    fleet.HostListBytes(),
    MaxPolicySpread(fleet),
    startupDuration.count(),
    AllReads(start));
  std::fflush(stdout);
}

/** Measures bytes and processor time of requests of one length. */
void
MeasureRequests(integration::Fleet& aFleet, size_t aTokens)
{
  const auto bytes = [&] {
    uint64_t sum = 0;
    const auto ports = BytesByLocalPort();
    for (size_t i = 0; i < aFleet.UpstreamCount(); ++i) {
      const std::string address = aFleet.Upstream(i).ChannelAddress();
      const auto port = std::stoi(address.substr(address.rfind(':') + 1));
      const auto found = ports.find(static_cast<uint16_t>(port));
      sum += found == ports.end() ? 0 : found->second;
    }
    return sum;
  };
  const auto sidecars = [&] {
    double sum = 0;
    for (size_t i = 0; i < aFleet.UpstreamCount(); ++i) {
      sum += UsageOf(aFleet.Upstream(i).mSidecar->Id()).mProcessorSeconds;
    }
    return sum;
  };
  const uint64_t bytesBefore = bytes();
  const double entryBefore = UsageOf(aFleet.Entry().Id()).mProcessorSeconds;
  const double sidecarsBefore = sidecars();
  int completeCount = 0;
  for (int round = 0; round < kRequestRounds; ++round) {
    std::vector<std::unique_ptr<integration::OpenCall>> calls;
    calls.reserve(kConcurrentRequests);
    for (int i = 0; i < kConcurrentRequests; ++i) {
      calls.push_back(
        aFleet.Send(integration::ChatRequest("mid-call", aTokens)));
    }
    for (const auto& call : calls) {
      const auto outcome = call->AwaitEnd().mOutcome;
      completeCount += outcome == trefoilload::CallOutcome::Complete ? 1 : 0;
    }
  }
  const double requests = kRequestRounds * kConcurrentRequests;
  std::printf("%zu %.0f %d %.0f %.0f %.0f\n",
              aTokens,
              requests,
              completeCount,
              static_cast<double>(bytes() - bytesBefore) / requests,
              1e6 *
                (UsageOf(aFleet.Entry().Id()).mProcessorSeconds - entryBefore) /
                requests,
              1e6 * (sidecars() - sidecarsBefore) / requests);
  std::fflush(stdout);
}

/** Measures requests by length: cost independent of tokens is control. */
void
MeasureRequestsByLength()
{
  integration::FleetOptions options;
  options.mEngines = 2;
  integration::Fleet fleet(options);
  std::printf(
    "# tokens requests whole channel_B entry_us sidecars_us (each)\n");
  for (const size_t tokens : { 1, 20, 50, 100 }) {
    MeasureRequests(fleet, tokens);
  }
}

} // namespace

int
main(int aCount, char** aArguments)
{
  if (aCount == 2 && std::string(aArguments[1]) == "requests") {
    MeasureRequestsByLength();
    return EXIT_SUCCESS;
  }
  std::printf("# entries sidecars entry_channel_B/s sidecar_channel_B/s "
              "entry_core_%% sidecar_core_%% entry_MB sidecar_MB "
              "table_reads/s table_writes/s list_reads/s list_bytes "
              "spread_ms start_s start_reads\n");
  const bool mesh = aCount == 2 && std::string(aArguments[1]) == "mesh";
  const std::vector<std::string> flags =
    mesh ? std::vector<std::string>{ "--subset-size", "0" }
         : std::vector<std::string>{};
  std::vector<FleetSize> sizes{ { 2, 12 }, { 8, 48 }, { 32, 150 } };
  if (aCount == 3) {
    sizes = { { std::strtoul(aArguments[1], nullptr, 10),
                std::strtoul(aArguments[2], nullptr, 10) } };
  }
  for (const FleetSize& size : sizes) {
    Measure(size, flags);
  }
  return EXIT_SUCCESS;
}
