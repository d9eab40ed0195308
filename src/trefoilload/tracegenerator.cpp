#include "tracegenerator.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <random>

namespace trefoilload {

namespace {

/** One described workload; its sizes are assumptions. */
struct Workload
{
  const char* mWorkspace = "";
  const char* mClass = "";
  const char* mLabels = "";
  const char* mService = ""; /**< empty: a chat completion */
  double mPerSecond = 1;
  size_t mPrefixTokens = 0;
  size_t mPromptTokens = 0;  /**< mean */
  double mOutputMedian = 0;  /**< tokens */
  double mOutputSigma = 0.4; /**< of the lognormal distribution */
  double mStreamedShare = 1; /**< fraction of requests */
  bool mIdempotent = true;
  double mBurstFactor = 1; /**< rate factor in the middle third */
};

const std::array<Workload, 8> kWorkloads = {
  Workload{ .mWorkspace = "riga-agents",
            .mClass = "mid-call",
            .mLabels = "channel=phone",
            .mPerSecond = 3,
            .mPrefixTokens = 256,
            .mPromptTokens = 120,
            .mOutputMedian = 40 },
  Workload{ .mWorkspace = "riga-staff",
            .mClass = "platform-staff",
            .mLabels = "channel=handheld",
            .mPerSecond = 2,
            .mPrefixTokens = 128,
            .mPromptTokens = 80,
            .mOutputMedian = 60 },
  Workload{ .mWorkspace = "riga-agents",
            .mClass = "drafting",
            .mLabels = "channel=desk",
            .mPerSecond = 0.7,
            .mPrefixTokens = 256,
            .mPromptTokens = 2000,
            .mOutputMedian = 160,
            .mOutputSigma = 0.8,
            .mStreamedShare = 0.5 },
  Workload{ .mWorkspace = "vivi-public",
            .mClass = "public-page",
            .mLabels = "channel=web",
            .mPerSecond = 2,
            .mPrefixTokens = 64,
            .mPromptTokens = 60,
            .mOutputMedian = 50,
            .mOutputSigma = 0.6,
            .mStreamedShare = 0.7,
            .mBurstFactor = 4 },
  Workload{ .mWorkspace = "riga-agents",
            .mClass = "booking",
            .mLabels = "channel=phone",
            .mService = "booking",
            .mPerSecond = 0.7,
            .mPromptTokens = 50,
            .mStreamedShare = 0,
            .mIdempotent = false },
  Workload{ .mWorkspace = "yard-gate",
            .mClass = "gate",
            .mLabels = "channel=kiosk",
            .mPrefixTokens = 192,
            .mPromptTokens = 400,
            .mOutputMedian = 70 },
  Workload{ .mWorkspace = "yard-sales",
            .mClass = "pricing",
            .mLabels = "channel=counter",
            .mPerSecond = 1.5,
            .mPrefixTokens = 96,
            .mPromptTokens = 80,
            .mOutputMedian = 25,
            .mStreamedShare = 0,
            .mIdempotent = false },
  Workload{ .mWorkspace = "yard-line",
            .mClass = "checklist",
            .mLabels = "channel=line",
            .mPerSecond = 0.7,
            .mPrefixTokens = 96,
            .mPromptTokens = 150,
            .mOutputMedian = 90,
            .mStreamedShare = 0.5 },
};

class Generator
{
public:
  explicit Generator(const GeneratorOptions& aOptions)
    : mOptions(aOptions)
    , mRandom(aOptions.mSeed)
  {
  }

  void AddWorkload(const Workload& aWorkload,
                   std::vector<TraceRequest>& aRequests)
  {
    const double end = static_cast<double>(mOptions.mSeconds);
    double seconds = 0;
    while (true) {
      const double rate = aWorkload.mPerSecond * mOptions.mRateFactor *
                          (InBurst(seconds) ? aWorkload.mBurstFactor : 1);
      seconds += std::exponential_distribution<double>(rate)(mRandom);
      if (seconds >= end) {
        return;
      }
      aRequests.push_back(DrawRequest(aWorkload, seconds));
    }
  }

private:
  bool InBurst(double aSeconds) const
  {
    const double third = static_cast<double>(mOptions.mSeconds) / 3;
    return aSeconds >= third && aSeconds < 2 * third;
  }

  TraceRequest DrawRequest(const Workload& aWorkload, double aSeconds)
  {
    constexpr double kMillis = 1000;
    constexpr double kMaxOutputTokens = 2000;
    TraceRequest request;
    request.mAt = static_cast<int64_t>(aSeconds * kMillis);
    request.mWorkspace = aWorkload.mWorkspace;
    request.mClass = aWorkload.mClass;
    request.mLabels = aWorkload.mLabels;
    request.mService = aWorkload.mService;
    request.mModel = request.mService.empty() ? "base" : "";
    request.mPrefix =
      std::string(aWorkload.mWorkspace) + "/" + aWorkload.mClass;
    request.mPrefixTokens = aWorkload.mPrefixTokens;
    std::uniform_real_distribution<double> promptFactor(0.5, 1.5);
    request.mPromptTokens = static_cast<size_t>(
      static_cast<double>(aWorkload.mPromptTokens) * promptFactor(mRandom));
    if (!request.mModel.empty()) {
      std::lognormal_distribution<double> lengths(
        std::log(aWorkload.mOutputMedian), aWorkload.mOutputSigma);
      request.mOutputTokens = static_cast<size_t>(
        std::clamp(lengths(mRandom), 1.0, kMaxOutputTokens));
      request.mStream =
        std::bernoulli_distribution(aWorkload.mStreamedShare)(mRandom);
    }
    request.mIdempotent = aWorkload.mIdempotent;
    return request;
  }

  const GeneratorOptions& mOptions;
  std::mt19937_64 mRandom;
};

} // namespace

Trace
GenerateTrace(const GeneratorOptions& aOptions)
{
  Trace trace;
  trace.mAbout = "generated from the brief's workloads, not recorded; seed " +
                 std::to_string(aOptions.mSeed);
  Generator generator(aOptions);
  for (const Workload& workload : kWorkloads) {
    generator.AddWorkload(workload, trace.mRequests);
  }
  std::ranges::stable_sort(trace.mRequests, {}, &TraceRequest::mAt);
  return trace;
}

} // namespace trefoilload
