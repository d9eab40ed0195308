#pragma once

#include "libtrefoilarch/loadtracker.h"
#include "libtrefoilarch/routeindex.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace trefoilarch {

/** Memory of an engine, in tokens. */
constexpr uint32_t kCapacity = 20000;
/** A route to engines and one to a plain service. */
inline RoutePolicy
MakePolicy()
{
  RoutePolicy policy{ .mVersion = 1 };
  policy.mRoutes = { { .mName = "chat",
                       .mHost = "h",
                       .mPathPrefix = "/chat/",
                       .mRetryMode = RetryMode::Idempotent,
                       .mStream = true,
                       .mTimeout = Millis(15000),
                       .mTargets = { { .mService = "llm" } } },
                     { .mName = "plain",
                       .mHost = "h",
                       .mPathPrefix = "/plain/",
                       .mTargets = { { .mService = "plain" } } } };
  policy.mServices["llm"] = { .mName = "llm",
                              .mEngine =
                                EngineTraits{ .mSlots = 64,
                                              .mMemoryTokens = kCapacity,
                                              .mTokensPerEvent = 4 } };
  policy.mServices["plain"] = { .mName = "plain" };
  return policy;
}

/** A tracker of the engines e0, e1 and e2 of a service. */
struct Tracked
{
  explicit Tracked(PartMode aMode = PartMode::On)
    : mTracker({ .mName = "here",
                 .mProcess = 1,
                 .mUpstreamPerformance = aMode,
                 .mEngineMemory = aMode,
                 .mFairShares = aMode })
  {
    for (const char* each : { "e0", "e1", "e2" }) {
      mListed.push_back({ .mId = each, .mService = "llm", .mSlots = 64 });
      mTracker.OnListed(mListed.back(), Millis(0));
    }
  }

  BoundRequest Request(uint32_t aTokens,
                       const std::string& aWorkspace = "w",
                       Millis aNow = Millis(0)) const
  {
    return { .mIndex = mIndex,
             .mRoute = &mIndex->Policy().mRoutes.front(),
             .mService = "llm",
             .mWorkspace = aWorkspace,
             .mPrompt = { .mPromptTokens = aTokens, .mExpectedOutput = 100 },
             .mArrivedAt = aNow,
             .mDeadline = aNow + Millis(15000) };
  }

  static PlacedAttempt Attempt(const BoundRequest& aRequest,
                               uint64_t aNumber,
                               const UpstreamId& aUpstream)
  {
    return { .mNumber = aNumber,
             .mUpstream = aUpstream,
             .mService = "llm",
             .mRoute = "chat",
             .mWork = { .mPrefill = aRequest.mPrompt.mPromptTokens,
                        .mOutput = aRequest.mPrompt.PlannedOutput() } };
  }

  std::vector<PlacementCandidate> Candidates() const
  {
    std::vector<PlacementCandidate> all;
    for (const ListedUpstream& each : mListed) {
      all.push_back({ .mListed = &each, .mWork = &mWork });
    }
    return all;
  }

  /** The engines with memory for the request. */
  std::vector<UpstreamId> Fitting(uint32_t aTokens, Millis aNow)
  {
    std::vector<PlacementCandidate> candidates = Candidates();
    mVerdict = mTracker.CheckMemory(Request(aTokens), 999, candidates, aNow);
    std::vector<UpstreamId> fitting;
    fitting.reserve(candidates.size());
    for (const PlacementCandidate& each : candidates) {
      fitting.push_back(each.mListed->mId);
    }
    return fitting;
  }

  std::shared_ptr<const RouteIndex> mIndex = std::make_shared<RouteIndex>(
    std::make_shared<const RoutePolicy>(MakePolicy()));
  std::vector<ListedUpstream> mListed;
  UpstreamWork mWork;
  LoadTracker mTracker;
  std::optional<MemoryVerdict> mVerdict;
};

} // namespace trefoilarch
