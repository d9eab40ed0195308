#include "replayrun.h"

#include <cstdio>
#include <cstring>
#include <exception>
#include <string>
#include <vector>

namespace {

using namespace replay;

struct Contender
{
  const char* mName;
  RouterMaker mMaker;
  bool mBound; /**< the trace's promises are about this one */
};

void
PrintClass(const std::string& aName, const ClassScore& aScore)
{
  std::printf("    %-11s asked %5zu  attained %5.1f%%  completed %5.1f%%  "
              "late first %5zu  slow tokens %5zu  first token p50 %6lld p95 "
              "%6lld ms",
              aName.c_str(),
              aScore.mAsked,
              aScore.Attainment() * 100,
              aScore.Completion() * 100,
              aScore.mLateFirst,
              aScore.mSlowTokens,
              static_cast<long long>(Quantile(aScore.mFirstTokens, 0.5)),
              static_cast<long long>(Quantile(aScore.mFirstTokens, 0.95)));
  for (const auto& [kind, count] : aScore.mRefused) {
    std::printf("  %s %zu", kind.c_str(), count);
  }
  if (!aScore.mRefusedAfter.empty()) {
    std::printf("  refused after p50 %lld p95 %lld ms",
                static_cast<long long>(Quantile(aScore.mRefusedAfter, 0.5)),
                static_cast<long long>(Quantile(aScore.mRefusedAfter, 0.95)));
  }
  std::printf("\n");
}

size_t
ReplayOne(const Trace& aTrace, bool aDump)
{
  const std::vector<Contender> contenders = {
    { "design", MakeDesign, true },
    { "gates straight to engines",
      [](VirtualTime& aTime, const Trace& aEach, CallerHooks aHooks) {
        return MakeGates(aTime, aEach, std::move(aHooks));
      },
      false },
    { "round robin, first in first out", MakeRoundRobin, false },
    { "power of two choices, early binding, lagged", MakeTwoChoices, false },
  };
  std::printf("%s (seed %llu, generated): %s\n",
              aTrace.mName.c_str(),
              static_cast<unsigned long long>(aTrace.mSeed),
              aTrace.mAbout.c_str());
  size_t broken = 0;
  for (const Contender& contender : contenders) {
    const Score score = Replay(aTrace, contender.mMaker);
    std::printf("  %s: goodput %.1f%%, wasted work %.2f%%, lost %zu, "
                "ended twice %zu, run twice %zu, falsely not run %zu\n",
                contender.mName,
                score.mGoodput * 100,
                score.mWaste * 100,
                score.mLost,
                score.mTwice,
                score.mRunTwice,
                score.mFalseNo);
    for (const auto& [name, ofClass] : score.mClasses) {
      PrintClass(name, ofClass);
    }
    if (!contender.mBound) {
      continue;
    }
    if (aDump) {
      std::printf("%s\n", score.mDump.c_str());
    }
    for (const std::string& promise : BrokenPromises(aTrace, score)) {
      ++broken;
      std::printf("    BROKEN: %s\n", promise.c_str());
    }
  }
  return broken;
}

int
Main(const std::vector<std::string>& aWords)
{
  if (aWords.size() == 2 && aWords[0] == "--generate") {
    for (const Trace& trace : GenerateTraces()) {
      WriteTrace(trace, aWords[1]);
    }
    return 0;
  }
  if (aWords.empty()) {
    std::fprintf(stderr,
                 "usage: trefoilarch-replay FOLDER [NAME] [--dump]\n"
                 "       trefoilarch-replay --generate FOLDER\n");
    return 2;
  }
  const bool dump = aWords.back() == "--dump";
  std::vector<std::string> names = TraceNames(aWords[0]);
  if (aWords.size() > (dump ? 2U : 1U)) {
    names = { aWords[1] };
  }
  size_t broken = 0;
  for (const std::string& name : names) {
    broken += ReplayOne(ReadTrace(aWords[0], name), dump);
  }
  std::printf(
    "%zu traces replayed, %zu promises broken\n", names.size(), broken);
  return broken == 0 ? 0 : 1;
}

} // namespace

int
main(int argc, char** argv)
{
  try {
    return Main(std::vector<std::string>(argv + 1, argv + argc));
  } catch (const std::exception& problem) {
    std::fprintf(stderr, "trefoilarch-replay: %s\n", problem.what());
    return 2;
  }
}
