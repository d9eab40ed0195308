#include "tracegenerator.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <random>

namespace trefoilload {

namespace {

/** One kind of work that the brief names; sizes are assumptions. */
struct Workload
{
  const char* mWorkspace;
  const char* mClass;
  const char* mLabels;
  const char* mService; /**< empty: a chat completion */
  double mPerSecond;
  size_t mPrefixTokens;
  size_t mPromptTokens; /**< mean */
  double mOutputMedian; /**< tokens */
  double mOutputSpread; /**< sigma of the lognormal */
  double mStreamed;     /**< share */
  bool mIdempotent;
  double mBurst; /**< factor in the middle third */
};

constexpr std::array<Workload, 9> kWorkloads = { {
  // Agents mid-call and staff on platforms: short, streamed, at once.
  { "riga-agents",
    "mid-call",
    "channel=phone",
    "",
    3,
    256,
    120,
    40,
    0.4,
    1,
    true,
    1 },
  { "riga-staff",
    "platform-staff",
    "channel=handheld",
    "",
    2,
    128,
    80,
    60,
    0.4,
    1,
    true,
    1 },
  // Assistance plans from journey histories: long, of unknown length.
  { "riga-agents",
    "drafting",
    "channel=desk",
    "",
    0.7,
    256,
    2000,
    160,
    0.8,
    0.5,
    true,
    1 },
  { "vivi-public",
    "public-page",
    "channel=web",
    "",
    2,
    64,
    60,
    50,
    0.6,
    0.7,
    true,
    4 },
  { "riga-agents",
    "booking",
    "channel=phone",
    "booking",
    0.7,
    0,
    50,
    0,
    0,
    0,
    false,
    1 },
  // The yard: tow drivers at the gate, prices, the strip line's checklists.
  { "yard-gate",
    "gate",
    "channel=kiosk",
    "",
    1,
    192,
    400,
    70,
    0.4,
    1,
    true,
    1 },
  { "yard-sales",
    "pricing",
    "channel=counter",
    "",
    1.5,
    96,
    80,
    25,
    0.4,
    0,
    false,
    1 },
  { "yard-line",
    "checklist",
    "channel=line",
    "",
    0.7,
    96,
    150,
    90,
    0.4,
    0.5,
    true,
    1 },
  { "yard-sales",
    "yard-desk",
    "channel=counter",
    "yard-desk",
    0.5,
    0,
    40,
    0,
    0,
    0,
    true,
    1 },
} };

class Generator
{
public:
  explicit Generator(const GeneratorOptions& aOptions)
    : mOptions(aOptions)
    , mRandom(aOptions.mSeed)
  {
  }

  void Add(const Workload& aWorkload, std::vector<TraceRequest>& aRequests)
  {
    const double end = static_cast<double>(mOptions.mSeconds);
    double at = 0;
    while (true) {
      const double rate = aWorkload.mPerSecond * mOptions.mRate *
                          (InBurst(at) ? aWorkload.mBurst : 1);
      at += std::exponential_distribution<double>(rate)(mRandom);
      if (at >= end) {
        return;
      }
      aRequests.push_back(Draw(aWorkload, at));
    }
  }

private:
  bool InBurst(double aAt) const
  {
    const double third = static_cast<double>(mOptions.mSeconds) / 3;
    return aAt >= third && aAt < 2 * third;
  }

  TraceRequest Draw(const Workload& aWorkload, double aAt)
  {
    constexpr double kMillis = 1000;
    constexpr double kMostOutput = 2000;
    TraceRequest request;
    request.mAt = static_cast<int64_t>(aAt * kMillis);
    request.mWorkspace = aWorkload.mWorkspace;
    request.mClass = aWorkload.mClass;
    request.mLabels = aWorkload.mLabels;
    request.mService = aWorkload.mService;
    request.mModel = request.mService.empty() ? "base" : "";
    request.mPrefix =
      std::string(aWorkload.mWorkspace) + "/" + aWorkload.mClass;
    request.mPrefixTokens = aWorkload.mPrefixTokens;
    std::uniform_real_distribution<double> around(0.5, 1.5);
    request.mPromptTokens = static_cast<size_t>(
      static_cast<double>(aWorkload.mPromptTokens) * around(mRandom));
    if (!request.mModel.empty()) {
      std::lognormal_distribution<double> lengths(
        std::log(aWorkload.mOutputMedian), aWorkload.mOutputSpread);
      request.mOutputTokens =
        static_cast<size_t>(std::clamp(lengths(mRandom), 1.0, kMostOutput));
      request.mStream =
        std::bernoulli_distribution(aWorkload.mStreamed)(mRandom);
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
    generator.Add(workload, trace.mRequests);
  }
  std::ranges::stable_sort(trace.mRequests, {}, &TraceRequest::mAt);
  return trace;
}

} // namespace trefoilload
