#pragma once

#include "libtrefoilarch/requestplan.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <tuple>
#include <vector>

namespace unevenfleet {

using trefoilarch::Millis;
using trefoilarch::PlacedAttempt;
using trefoilarch::ReportedLoad;
using trefoilarch::RequestPlan;

constexpr size_t kSlots = 128;
constexpr double kStepMs = 6.12;
constexpr double kRunningMs = 0.05;
constexpr double kReadPerMs = 32.4;
constexpr int64_t kChunkTokens = 512;
constexpr int64_t kTokensPerEvent = 4;
/** Mean time until the contention changes; usually it is about 1. */
constexpr double kContentionMs = 200;

struct RouteLoad
{
  const char* mName;
  /** Requests per second of all of K. */
  double mRate;
  int64_t mShared;
  int64_t mPrompt;
  int64_t mEvents;
  Millis mFirstToken;
  Millis mPause;
  Millis mDeadline;
};
inline const RouteLoad kLoads[] = {
  { "quest", 79.5, 172, 543, 67, Millis(600), Millis(400), Millis(15000) },
  { "loadout", 71.1, 568, 1800, 6, Millis(1000), Millis(600), Millis(4000) },
  { "save", 69.7, 6300, 2890, 13, Millis(3000), Millis(1500), Millis(8000) },
};

struct Request
{
  size_t mNumber = 0;
  uint8_t mRoute = 0;
  size_t mWorkspace = 0;
  size_t mEntry = 0;
  Millis mArrivedAt;
  int64_t mOutput = 0;
  int64_t mSoFar = 0;
  int64_t mToRead = 0;
  int mPreempted = 0;
  std::optional<RequestPlan> mPlan{};
  std::optional<PlacedAttempt> mAttempt{};
  std::optional<Millis> mFirstAt{};
  Millis mLastAt{};
  Millis mLongestPause{};
  bool mEnded = false;

  const RouteLoad& Load() const { return kLoads[mRoute]; }
  Millis Deadline() const { return mArrivedAt + Load().mDeadline; }
  /** Each workspace has a shared segment for each route. */
  uint64_t Segment() const { return mWorkspace * 3 + mRoute + 1; }
  /** The order in which engines start requests. */
  auto Rank() const { return std::tuple(mRoute, mAttempt->mSentAt, mNumber); }
};

/** A model engine: decodes in steps, reads prompts in chunks between them,
 * keeps shared segments once, and preempts the newest of the least urgent
 * requests when its memory runs out. */
class Engine
{
public:
  Engine(double aSpeed, int64_t aMemory, uint32_t aSeed)
    : mSpeed(aSpeed)
    , mMemory(aMemory)
    , mRandom(aSeed)
  {
  }

  void Send(Request& aRequest) { mQueue.push_back(&aRequest); }
  void Withdraw(Request& aRequest)
  {
    if (std::erase(mRunning, &aRequest) > 0) {
      mShared[aRequest.Segment()].mUsers--;
    }
    std::erase(mQueue, &aRequest);
  }
  double Contention() const { return mContention; }
  ReportedLoad Load() const
  {
    return { .mRunning = static_cast<uint32_t>(mRunning.size()),
             .mWaiting = static_cast<uint32_t>(mQueue.size()),
             .mSlots = kSlots };
  }

  /** Calls aOnEvent(request) for each event until aNow. */
  template<typename OnEvent>
  void Advance(Millis aNow, const OnEvent& aOnEvent)
  {
    const auto nowMs = static_cast<double>(aNow.Count());
    ChangeContention(nowMs);
    while (mStepEndsMs <= nowMs) {
      EndStep(aOnEvent);
      Start();
      const double startMs = mRunning.empty() ? nowMs + 1 : mStepEndsMs;
      mStepEndsMs = startMs + (mRunning.empty() ? 0 : ReadChunk());
    }
  }

private:
  struct SharedSegment
  {
    int64_t mTokens = 0;
    int mUsers = 0;
    size_t mUsedAt = 0;
  };

  void ChangeContention(double aNowMs)
  {
    if (aNowMs >= mContentionEndsMs) {
      std::exponential_distribution<double> duration(1 / kContentionMs);
      const double draw = std::uniform_real_distribution<double>()(mRandom);
      // 0.6 to 4.8; the square makes 1 the median.
      mContention = 0.6 * std::pow(8, draw * draw);
      mContentionEndsMs = aNowMs + duration(mRandom);
    }
  }
  /** The time of a step that reads the next chunk. */
  double ReadChunk()
  {
    int64_t budget = kChunkTokens;
    for (Request* each : mRunning) {
      const int64_t read = std::min(budget, each->mToRead);
      each->mToRead -= read;
      budget -= read;
    }
    const auto chunk = static_cast<double>(kChunkTokens - budget);
    const auto running = static_cast<double>(mRunning.size());
    return (kStepMs + kRunningMs * running + chunk / kReadPerMs) * mSpeed *
           mContention;
  }
  template<typename OnEvent>
  void EndStep(const OnEvent& aOnEvent)
  {
    for (Request* each : std::vector(mRunning)) {
      if (each->mToRead > 0 || ++each->mSoFar % kTokensPerEvent > 0) {
        continue;
      }
      if (each->mSoFar == each->mOutput) {
        Withdraw(*each);
      }
      aOnEvent(*each);
    }
    while (!MakeRoom(0, 0)) {
      Request& last = *mRunning.back();
      last.mPreempted++;
      Withdraw(last);
      Send(last);
    }
  }
  void Start()
  {
    std::ranges::sort(mQueue, {}, &Request::Rank);
    while (!mQueue.empty() && mRunning.size() < kSlots) {
      Request& next = *mQueue.front();
      const uint64_t segment = next.Segment();
      const int64_t own = next.Load().mPrompt + next.mSoFar;
      const bool kept = mShared.contains(segment);
      next.mToRead = own + (kept ? 0 : next.Load().mShared);
      if (!MakeRoom(next.mToRead, segment)) {
        break;
      }
      mQueue.erase(mQueue.begin());
      mShared[segment] = { .mTokens = next.Load().mShared,
                           .mUsers = mShared[segment].mUsers + 1,
                           .mUsedAt = ++mUses };
      mRunning.push_back(&next);
    }
    std::ranges::sort(mRunning, {}, &Request::Rank);
  }
  /** Evicts segments that no request uses, except aKeep, until that fits. */
  bool MakeRoom(int64_t aTokens, uint64_t aKeep)
  {
    while (Held() + aTokens > mMemory) {
      const auto rank = [aKeep](const auto& aEntry) {
        const bool used = aEntry.second.mUsers > 0 || aEntry.first == aKeep;
        return used ? SIZE_MAX : aEntry.second.mUsedAt;
      };
      const auto oldest = std::ranges::min_element(mShared, {}, rank);
      if (oldest == mShared.end() || rank(*oldest) == SIZE_MAX) {
        return false;
      }
      mShared.erase(oldest);
    }
    return true;
  }
  int64_t Held() const
  {
    int64_t tokens = 0;
    for (const auto& [id, segment] : mShared) {
      tokens += segment.mTokens;
    }
    for (const Request* each : mRunning) {
      tokens += each->Load().mPrompt + each->mSoFar;
    }
    return tokens;
  }

  double mSpeed;
  int64_t mMemory;
  std::mt19937 mRandom;
  double mContention = 1;
  double mContentionEndsMs = 0;
  double mStepEndsMs = 0;
  /** In the order of Rank(). */
  std::vector<Request*> mRunning;
  std::vector<Request*> mQueue;
  std::map<uint64_t, SharedSegment> mShared;
  size_t mUses = 0;
};

} // namespace unevenfleet
