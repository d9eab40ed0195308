#include "replayrun.h"

#include <cstdio>
#include <cstring>
#include <exception>
#include <string>
#include <vector>

namespace {

using namespace replay;

struct Candidate
{
  const char* mName;
  RouterMaker mMaker;
  bool mChecked; /**< whether the trace's expectations apply */
};

void
PrintClass(const std::string& aName, const ClassScore& aScore)
{
  std::printf("    %-11s requests %5zu  attained %5.1f%%  completed %5.1f%%  "
              "late first %5zu  slow tokens %5zu  first token p50 %6lld p95 "
              "%6lld ms",
              aName.c_str(),
              aScore.mRequestCount,
              aScore.Attainment() * 100,
              aScore.Completion() * 100,
              aScore.mLateFirstTokens,
              aScore.mSlowTokens,
              static_cast<long long>(Quantile(aScore.mFirstTokenTimes, 0.5)),
              static_cast<long long>(Quantile(aScore.mFirstTokenTimes, 0.95)));
  for (const auto& [kind, count] : aScore.mRefused) {
    std::printf("  %s %zu", kind.c_str(), count);
  }
  if (!aScore.mRefusalTimes.empty()) {
    std::printf("  refused after p50 %lld p95 %lld ms",
                static_cast<long long>(Quantile(aScore.mRefusalTimes, 0.5)),
                static_cast<long long>(Quantile(aScore.mRefusalTimes, 0.95)));
  }
  std::printf("\n");
}

size_t
ReplayOne(const Trace& aTrace, bool aDump)
{
  const std::vector<Candidate> candidates = {
    { "entries and sidecars", MakeSidecarRouter, true },
    { "gates straight to engines",
      [](VirtualTime& aTime, const Trace& aReplayed, CallerHooks aHooks) {
        return MakeGateRouter(aTime, aReplayed, std::move(aHooks));
      },
      false },
    { "round robin, each engine first in, first out", MakeRoundRobin, false },
    { "power of two choices, early binding, delayed reports",
      MakeTwoChoices,
      false },
  };
  std::printf("%s (seed %llu, generated): %s\n",
              aTrace.mName.c_str(),
              static_cast<unsigned long long>(aTrace.mSeed),
              aTrace.mDescription.c_str());
  size_t failures = 0;
  for (const Candidate& candidate : candidates) {
    const Score score = Replay(aTrace, candidate.mMaker);
    std::printf(
      "  %s: goodput %.1f%%, wasted work %.2f%%, lost %zu, "
      "ended twice %zu, run twice %zu, falsely reported not run %zu\n",
      candidate.mName,
      score.mGoodput * 100,
      score.mWaste * 100,
      score.mLost,
      score.mEndedTwice,
      score.mExecutedTwice,
      score.mFalseNotRun);
    for (const auto& [name, classScore] : score.mClasses) {
      PrintClass(name, classScore);
    }
    if (!candidate.mChecked) {
      continue;
    }
    if (aDump) {
      std::printf("%s\n", score.mDump.c_str());
    }
    for (const std::string& failure : FailedExpectations(aTrace, score)) {
      ++failures;
      std::printf("    FAILED: %s\n", failure.c_str());
    }
  }
  return failures;
}

int
Main(const std::vector<std::string>& aArguments)
{
  if (aArguments.size() == 2 && aArguments[0] == "--generate") {
    for (const Trace& trace : GenerateTraces()) {
      WriteTrace(trace, aArguments[1]);
    }
    return 0;
  }
  if (aArguments.empty()) {
    std::fprintf(stderr,
                 "usage: trefoilarch-replay FOLDER [NAME] [--dump]\n"
                 "       trefoilarch-replay --generate FOLDER\n");
    return 2;
  }
  const bool dump = aArguments.back() == "--dump";
  std::vector<std::string> names = TraceNames(aArguments[0]);
  if (aArguments.size() > (dump ? 2U : 1U)) {
    names = { aArguments[1] };
  }
  size_t failures = 0;
  for (const std::string& name : names) {
    failures += ReplayOne(ReadTrace(aArguments[0], name), dump);
  }
  std::printf(
    "%zu traces replayed, %zu expectations failed\n", names.size(), failures);
  return failures == 0 ? 0 : 1;
}

} // namespace

int
main(int argc, char** argv)
{
  try {
    return Main(std::vector<std::string>(argv + 1, argv + argc));
  } catch (const std::exception& error) {
    std::fprintf(stderr, "trefoilarch-replay: %s\n", error.what());
    return 2;
  }
}
