// Measures the latency that an entry and a sidecar add to calling the engine
// stand-in directly. Both are measured in pairs in one run, so that other load
// on the machine affects them equally.

#include "probecall.h"
#include "processusage.h"

#include "integration/fleet.h"

#include "trefoilload/requestbuilder.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace bench;
using integration::Fleet;
using integration::FleetOptions;
using trefoilload::TraceRequest;

constexpr int kWarmUps = 20;
constexpr int kPairs = 400;
constexpr int kRounds = 4;
constexpr size_t kStreams = 16;
constexpr size_t kStreamTokens = 150;
constexpr size_t kOpenStreams = 500;
/** At 500 streams a step takes 125 ms, so these last 25 s. */
constexpr size_t kOpenTokens = 200;
constexpr std::chrono::seconds kOpeningTime{ 10 };
constexpr size_t kWorkers = 32;
constexpr int kThroughputCalls = 4000;

double
Quantile(std::vector<double> aValues, double aShare)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  const auto last = static_cast<double>(aValues.size() - 1);
  return aValues[static_cast<size_t>(std::lround(last * aShare))];
}

/** Calls the engine directly, or through the fleet. */
enum class Path
{
  Direct,
  Routed,
};

/** Sends the same kind of request on either path. */
class Prober
{
public:
  explicit Prober(Fleet& aFleet)
    : mFleet(aFleet)
    , mRunner({ .mMaxConnections = 2 * kOpenStreams })
  {
  }

  std::unique_ptr<ProbeCall> Send(Path aPath, size_t aTokens, bool aStream)
  {
    const std::string mark = "bench" + std::to_string(++mSent);
    const TraceRequest request =
      integration::ChatRequest("mid-call", aTokens, aStream);
    const std::string base = aPath == Path::Direct
                               ? mFleet.Upstream().UpstreamUrl()
                               : mFleet.EntryUrl();
    return std::make_unique<ProbeCall>(
      mRunner,
      trefoilload::BuildRequest(
        request, mark, base, { { "agents", "secret-of-agents" } }));
  }

  ProbeResult Run(Path aPath, size_t aTokens, bool aStream = true)
  {
    ProbeResult result = Send(aPath, aTokens, aStream)->AwaitEnd();
    if (!result.mComplete) {
      ++mFailed;
    }
    return result;
  }

  int Failed() const { return mFailed; }

private:
  Fleet& mFleet;
  trefoilio::CallRunner mRunner;
  int mSent = 0;
  int mFailed = 0;
};

FleetOptions
FastFleet()
{
  FleetOptions options;
  options.mEngineFlags = {
    "--max-running", "1000", "--memory-tokens", "2000000"
  };
  options.mSidecarFlags = {
    "--most-running", "1000", "--first-token-room", "1048576"
  };
  return options;
}

void
PrintPair(const char* aName,
          const std::vector<double>& aDirect,
          const std::vector<double>& aRouted)
{
  std::printf("%-34s %8zu", aName, aDirect.size());
  for (const double share : { 0.5, 0.99 }) {
    const double direct = Quantile(aDirect, share);
    const double routed = Quantile(aRouted, share);
    std::printf(" %9.2f %9.2f %9.2f", direct, routed, routed - direct);
  }
  std::printf("\n");
}

void
MeasureFirstToken(Prober& aProber)
{
  std::vector<double> direct;
  std::vector<double> routed;
  std::vector<double> added;
  for (int i = 0; i < kWarmUps + kPairs; ++i) {
    const bool directFirst = i % 2 == 0;
    const Path first = directFirst ? Path::Direct : Path::Routed;
    const Path second = directFirst ? Path::Routed : Path::Direct;
    const double firstMillis = aProber.Run(first, 4).mFirstToken;
    const double secondMillis = aProber.Run(second, 4).mFirstToken;
    if (i < kWarmUps) {
      continue;
    }
    direct.push_back(directFirst ? firstMillis : secondMillis);
    routed.push_back(directFirst ? secondMillis : firstMillis);
    added.push_back(routed.back() - direct.back());
  }
  PrintPair("first token, one caller", direct, routed);
  std::printf("%-34s %8zu   median of differences %.2f, p99 %.2f\n",
              "  pair by pair",
              added.size(),
              Quantile(added, 0.5),
              Quantile(added, 0.99));
}

void
RunStreams(Prober& aProber,
           Path aPath,
           std::vector<double>& aFirst,
           std::vector<double>& aGaps)
{
  std::vector<std::unique_ptr<ProbeCall>> calls;
  calls.reserve(kStreams);
  for (size_t i = 0; i < kStreams; ++i) {
    calls.push_back(aProber.Send(aPath, kStreamTokens, true));
  }
  for (const auto& call : calls) {
    const ProbeResult result = call->AwaitEnd();
    aFirst.push_back(result.mFirstToken);
    aGaps.insert(aGaps.end(), result.mGaps.begin(), result.mGaps.end());
  }
}

void
MeasureStreams(Prober& aProber)
{
  std::vector<double> first[2];
  std::vector<double> gaps[2];
  for (int round = 0; round < kRounds; ++round) {
    for (const Path path : { Path::Direct, Path::Routed }) {
      const auto slot = static_cast<size_t>(path);
      RunStreams(aProber, path, first[slot], gaps[slot]);
    }
  }
  PrintPair("first token, 16 streams", first[0], first[1]);
  PrintPair("between tokens, 16 streams", gaps[0], gaps[1]);
}

double
EntrySeconds(Fleet& aFleet)
{
  return UsageOf(aFleet.Entry().Id()).mProcessorSeconds;
}

double
SidecarSeconds(Fleet& aFleet)
{
  return UsageOf(aFleet.Upstream().mSidecar->Id()).mProcessorSeconds;
}

void
MeasureThroughput(Fleet& aFleet, Prober& aProber, bool aStream, size_t aTokens)
{
  using Clock = std::chrono::steady_clock;
  const double entryBefore = EntrySeconds(aFleet);
  const double sidecarBefore = SidecarSeconds(aFleet);
  const Clock::time_point startTime = Clock::now();
  std::vector<std::unique_ptr<ProbeCall>> open(kWorkers);
  int completeCount = 0;
  const int calls = aStream ? kThroughputCalls / 10 : kThroughputCalls;
  for (int i = 0; i < calls + static_cast<int>(kWorkers); ++i) {
    auto& slot = open[static_cast<size_t>(i) % kWorkers];
    if (slot) {
      completeCount += slot->AwaitEnd().mComplete ? 1 : 0;
    }
    slot = i < calls ? aProber.Send(Path::Routed, aTokens, aStream) : nullptr;
  }
  const double seconds =
    std::chrono::duration<double>(Clock::now() - startTime).count();
  const double entry = EntrySeconds(aFleet) - entryBefore;
  const double sidecar = SidecarSeconds(aFleet) - sidecarBefore;
  const double tokens =
    static_cast<double>(completeCount) * static_cast<double>(aTokens);
  std::printf("%-34s %8d   whole %d, %.0f requests/s, %.0f requests/s per "
              "core; processor time a token: entry %.0f us, sidecar %.0f us\n",
              aStream ? "streams of 100 tokens" : "short answers, 32 callers",
              calls,
              completeCount,
              completeCount / seconds,
              completeCount / (entry + sidecar),
              1e6 * entry / tokens,
              1e6 * sidecar / tokens);
}

void
PrintMemory(const char* aName, pid_t aProcess)
{
  const ProcessUsage usage = UsageOf(aProcess);
  std::printf("%-34s          %.1f MB, %lu threads\n",
              aName,
              usage.mMemoryMegabytes,
              static_cast<unsigned long>(usage.mThreads));
}

void
MeasureMemory()
{
  FleetOptions options = FastFleet();
  options.mEngineFlags.insert(options.mEngineFlags.end(),
                              { "--step-ms", "50" });
  Fleet fleet(options);
  Prober prober(fleet);
  PrintMemory("entry, no open stream", fleet.Entry().Id());
  PrintMemory("sidecar, no open stream", fleet.Upstream().mSidecar->Id());
  std::vector<std::unique_ptr<ProbeCall>> calls;
  calls.reserve(kOpenStreams);
  for (size_t i = 0; i < kOpenStreams; ++i) {
    calls.push_back(prober.Send(Path::Routed, kOpenTokens, true));
  }
  std::this_thread::sleep_for(kOpeningTime);
  const auto open =
    std::count_if(calls.begin(), calls.end(), [](const auto& aCall) {
      return aCall->IsStreaming();
    });
  std::printf("%-34s %8zu\n", "streams under way", static_cast<size_t>(open));
  PrintMemory("entry, 500 open streams", fleet.Entry().Id());
  PrintMemory("sidecar, 500 open streams", fleet.Upstream().mSidecar->Id());
}

std::string
LoadAverage()
{
  std::ifstream file("/proc/loadavg");
  std::string text;
  std::getline(file, text);
  return text;
}

/** Returns true if a measurement is selected; by default all are. */
bool
IsSelected(const std::string& aSelected, const char* aName)
{
  return aSelected.empty() || aSelected == aName;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const std::string selected = aCount > 1 ? aArguments[1] : "";
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  std::printf("load average at the start: %s\n", LoadAverage().c_str());
  std::printf("%-34s %8s %9s %9s %9s %9s %9s %9s   (ms)\n",
              "",
              "samples",
              "p50 dir.",
              "routed",
              "added",
              "p99 dir.",
              "routed",
              "added");
  int failed = 0;
  if (IsSelected(selected, "latency") || IsSelected(selected, "throughput")) {
    Fleet fleet(FastFleet());
    Prober prober(fleet);
    if (IsSelected(selected, "latency")) {
      MeasureFirstToken(prober);
      MeasureStreams(prober);
    }
    if (IsSelected(selected, "throughput")) {
      MeasureThroughput(fleet, prober, false, 4);
      MeasureThroughput(fleet, prober, true, 100);
    }
    failed = prober.Failed();
  }
  if (IsSelected(selected, "memory")) {
    MeasureMemory();
  }
  std::printf("answers that were not whole, of the first measure: %d\n",
              failed);
  std::printf("load average at the end: %s\n", LoadAverage().c_str());
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
