#pragma once

#include "libtrefoilarch/enginememory/enginememory.h"
#include "virtualmemoryengine.h"

#include <array>
#include <cmath>
#include <deque>
#include <map>
#include <random>
#include <string>

/** How entries avoid sending an engine more than it holds. */
enum class MemoryMethod : uint8_t
{
  None,
  Counting,     /**< by EngineMemory and the reports of peers */
  Reservations, /**< by a call to the engine before each request */
};

struct MemoryRoute
{
  uint8_t mTier = 0;
  int64_t mShared = 0;
  int64_t mPrompt = 0;
  /** Mean length; lengths are between half and three halves of it. */
  int64_t mOutput = 0;
  int64_t mFirstTokenMs = 0;
  int64_t mDeadlineMs = 0;
  double mPerSecond = 0;
};

/** K's routes at rates at which prompts come faster than engines read them. */
inline std::vector<MemoryRoute>
RoutesOfK()
{
  return { { 0, 172, 543, 268, 600, 15000, 300 },
           { 1, 568, 1800, 24, 1000, 4000, 50 },
           { 2, 6300, 2890, 52, 3000, 8000, 100 } };
}

/** Urgent streams alone, with prompts that have grown. */
inline std::vector<MemoryRoute>
LongNarrations()
{
  return { { 0, 172, 1500, 268, 600, 15000, 1100 } };
}

struct MemoryFleetOptions
{
  MemoryMethod mMethod = MemoryMethod::Counting;
  std::vector<MemoryRoute> mRoutes;
  uint32_t mSeed = 1;
  /** Each has shared segments of its own; lower numbers send more. */
  uint32_t mWorkspaces = 1;
  /** Percentage of the updates that are lost, that come late and that come
   * twice. */
  uint32_t mFaultPercent = 0;
  /** One entry dies and another hears no one for 4 s. */
  bool mEntryFaults = false;
};

struct MemoryFigures
{
  int64_t mSent = 0;
  int64_t mDelayed = 0;
  int64_t mUnserved = 0;
  int64_t mPreempted = 0;
  int64_t mUrgentPreempted = 0;
  /** Sent to an engine beyond its memory although another had room. */
  int64_t mOverfilled = 0;
  double mDelayMs = 0;
  /** Reserved by holds, or kept free as margin. */
  double mUnusedTokenSeconds = 0;
  /** Held for the entry that died. */
  double mDeadTokenSeconds = 0;
};

/** A part of deployment K in virtual time: entries, engines and callers that
 * return when they are told. */
class VirtualMemoryFleet
{
public:
  static constexpr size_t kEntries = 10;
  static constexpr size_t kEngines = 12;
  static constexpr int64_t kEndMs = 20000;

  explicit VirtualMemoryFleet(MemoryFleetOptions aOptions)
    : mOptions(std::move(aOptions))
    , mRandom(mOptions.mSeed)
  {
  }

  MemoryFigures Run()
  {
    for (mNow = 0; mNow < kEndMs; ++mNow) {
      Arrive();
      Fail();
      Exchange();
      for (; !mDue.empty() && mDue.begin()->first <= mNow;
           mDue.erase(mDue.begin())) {
        Decide(mRequests[mDue.begin()->second]);
      }
      for (size_t engine = 0; engine < kEngines; ++engine) {
        if ((mNow + static_cast<int64_t>(engine)) %
              VirtualMemoryEngine::kEventMs ==
            0) {
          mEngines[engine].Step(
            [&](const VirtualRequest& aEach) { OnEvent(engine, aEach); });
        }
      }
    }
    for (const VirtualMemoryEngine& each : mEngines) {
      mFigures.mPreempted += each.mPreempted;
      mFigures.mUrgentPreempted += each.mUrgentPreempted;
    }
    return mFigures;
  }

private:
  static constexpr size_t kDying = 3;
  static constexpr size_t kCutOff = 5;
  static constexpr int64_t kDeathMs = 8000;
  static constexpr int64_t kCutMs = 10000;
  static constexpr int64_t kCutEndMs = 14000;
  static constexpr int64_t kLateMs = 400;
  static constexpr int64_t kHoldMs = 2000;
  static constexpr int64_t kHoldCallMs = 2;

  struct Hold
  {
    int64_t mTokens = 0;
    int64_t mEndMs = 0;
  };

  static std::string NameOf(size_t aEngine)
  {
    return "engine-" + std::to_string(aEngine);
  }
  uint32_t Draw(uint32_t aBelow) { return mRandom() % aBelow; }
  trefoilarch::Millis Now() const { return trefoilarch::Millis(mNow); }
  bool IsDead(size_t aEntry) const
  {
    return mOptions.mEntryFaults && aEntry == kDying && mNow >= kDeathMs;
  }
  bool IsCutOff(size_t aEntry) const
  {
    return mOptions.mEntryFaults && aEntry == kCutOff && mNow >= kCutMs &&
           mNow < kCutEndMs;
  }

  void Arrive()
  {
    for (size_t route = 0; route < mOptions.mRoutes.size(); ++route) {
      const MemoryRoute& of = mOptions.mRoutes[route];
      const size_t entry = Draw(kEntries);
      if (Draw(1000000) >= of.mPerSecond * 1000 || IsDead(entry)) {
        continue;
      }
      const size_t workspace = Draw(mOptions.mWorkspaces) *
                               Draw(mOptions.mWorkspaces) /
                               mOptions.mWorkspaces;
      const int64_t spread = Draw(static_cast<uint32_t>(of.mOutput) + 1);
      mRequests.push_back({ .mNumber = mRequests.size(),
                            .mRoute = route,
                            .mEntry = entry,
                            .mTier = of.mTier,
                            .mSegment = route * 100 + workspace,
                            .mShared = of.mShared,
                            .mPrompt = of.mPrompt,
                            .mOutput = of.mOutput / 2 + spread,
                            .mArrivedMs = mNow });
      mDue.emplace(mNow, mRequests.size() - 1);
    }
  }

  void Fail()
  {
    if (!mOptions.mEntryFaults || mNow != kDeathMs) {
      return;
    }
    for (VirtualMemoryEngine& each : mEngines) {
      each.Abort(kDying);
    }
    // Its holds remain until they lapse.
    for (const auto& holds : mHolds) {
      for (const auto& [number, hold] : holds) {
        const bool isDead = mRequests[number].mEntry == kDying;
        const int64_t left = std::max<int64_t>(0, hold.mEndMs - mNow);
        mFigures.mDeadTokenSeconds +=
          isDead ? static_cast<double>(hold.mTokens * left) / 1000 : 0;
      }
    }
  }

  /** Each entry sends an update every 500 ms. */
  void Exchange()
  {
    for (size_t from = 0; from < kEntries; ++from) {
      if ((mNow + static_cast<int64_t>(from) * 47) % 500 != 0 || IsDead(from)) {
        continue;
      }
      mMemory[from].Expire(Now());
      const size_t heard =
        kEntries - 1 - (IsDead(kDying) ? 1 : 0) - (IsCutOff(kCutOff) ? 1 : 0);
      mMemory[from].SetEntries(kEntries - (IsDead(kDying) ? 1 : 0),
                               IsCutOff(from) ? 0 : heard);
      const auto reports = mMemory[from].TakeReports(24, Now());
      for (size_t to = 0; to < kEntries; ++to) {
        const bool lost = Draw(100) < mOptions.mFaultPercent;
        const bool cut = IsCutOff(from) || IsCutOff(to);
        if (to == from || lost || cut) {
          continue;
        }
        const int64_t times = Draw(100) < mOptions.mFaultPercent ? 2 : 1;
        for (int64_t time = 0; time < times; ++time) {
          const int64_t delay =
            Draw(100) < mOptions.mFaultPercent ? kLateMs : 1;
          mUpdates.emplace(mNow + delay, Update{ from, to, reports });
        }
      }
      CountMargins(from);
    }
    for (; !mUpdates.empty() && mUpdates.begin()->first <= mNow;
         mUpdates.erase(mUpdates.begin())) {
      const Update& update = mUpdates.begin()->second;
      for (const auto& each : update.mReports) {
        mMemory[update.mTo].OnPeerReport(
          std::to_string(update.mFrom), each, Now());
      }
    }
  }

  /** The mean margin over the entries. */
  void CountMargins(size_t aEntry)
  {
    for (size_t engine = 0; engine < kEngines; ++engine) {
      const auto room = mMemory[aEntry].RoomAt(
        NameOf(engine), VirtualMemoryEngine::kCapacity, Now());
      if (mOptions.mMethod == MemoryMethod::Counting) {
        mFigures.mUnusedTokenSeconds +=
          0.5 * static_cast<double>(room.mMargin) / kEntries;
      }
    }
  }

  void Decide(VirtualRequest& aRequest)
  {
    if (IsDead(aRequest.mEntry)) {
      return;
    }
    const MemoryRoute& route = mOptions.mRoutes[aRequest.mRoute];
    const int64_t left = aRequest.mArrivedMs + route.mDeadlineMs - mNow;
    if (left <= 0) {
      ++mFigures.mUnserved;
      return;
    }
    if (mOptions.mMethod == MemoryMethod::Reservations) {
      Reserve(aRequest);
      return;
    }
    std::vector<size_t> free;
    std::vector<trefoilarch::MemoryCandidate> candidates;
    for (size_t engine = 0; engine < kEngines; ++engine) {
      if (mEngines[engine].Requests() < VirtualMemoryEngine::kSlots) {
        free.push_back(engine);
        candidates.push_back(
          { .mUpstream = NameOf(engine),
            .mCapacityTokens = VirtualMemoryEngine::kCapacity,
            .mTokenMs = 6.25 });
      }
    }
    if (mOptions.mMethod == MemoryMethod::None || free.empty()) {
      free.empty() ? Delay(aRequest, 100) : Send(aRequest, Choose(free));
      return;
    }
    const auto verdict = mMemory[aRequest.mEntry].Decide(
      candidates,
      { .mAttempt = aRequest.mNumber,
        .mService = "k",
        .mRoute = std::to_string(aRequest.mRoute),
        .mPromptTokens = static_cast<uint32_t>(route.mPrompt),
        .mShared = SharedOf(aRequest),
        .mExpectedOutput = static_cast<uint32_t>(route.mOutput),
        .mTier = route.mTier,
        .mFirstTokenLeft =
          trefoilarch::Millis(aRequest.mArrivedMs + route.mFirstTokenMs - mNow),
        .mTimeLeft = trefoilarch::Millis(left) },
      Now());
    using Kind = trefoilarch::MemoryVerdict::Kind;
    if (verdict.mKind == Kind::Wait) {
      Delay(aRequest, (verdict.mUntil - Now()).Count());
    } else if (verdict.mKind == Kind::Return) {
      Delay(aRequest, verdict.mRetryAfter.Count() + 1);
    } else {
      std::erase_if(free, [&](size_t aEngine) {
        return std::ranges::find(verdict.mUpstreams, NameOf(aEngine)) ==
               verdict.mUpstreams.end();
      });
      Send(aRequest, Choose(free));
    }
  }

  /** Asks up to three engines in turn to hold a slot and tokens. The calls
   * count as delay, but see the engines as they are, which favours them. */
  void Reserve(VirtualRequest& aRequest)
  {
    std::vector<size_t> all(kEngines);
    for (size_t engine = 0; engine < kEngines; ++engine) {
      all[engine] = engine;
    }
    const MemoryRoute& route = mOptions.mRoutes[aRequest.mRoute];
    for (int64_t call = 1; call <= 3; ++call) {
      const size_t engine = Choose(all);
      auto& holds = mHolds[engine];
      std::erase_if(
        holds, [&](const auto& aEach) { return aEach.second.mEndMs <= mNow; });
      int64_t held = mEngines[engine].Held(true);
      for (const auto& [number, hold] : holds) {
        held += hold.mTokens;
      }
      const int64_t tokens = mEngines[engine].Added(aRequest) + route.mOutput;
      if (held + tokens > VirtualMemoryEngine::kCapacity ||
          mEngines[engine].Requests() >= VirtualMemoryEngine::kSlots) {
        continue;
      }
      mFigures.mUnusedTokenSeconds +=
        static_cast<double>(tokens * kHoldCallMs) / 1000;
      // What remains of a used hold covers the output to come.
      holds[aRequest.mNumber] = { .mTokens = route.mOutput,
                                  .mEndMs = mNow + kHoldMs };
      mFigures.mDelayMs += static_cast<double>(call * kHoldCallMs);
      Send(aRequest, engine);
      return;
    }
    Delay(aRequest, 250);
  }

  std::vector<trefoilarch::PromptSegment> SharedOf(
    const VirtualRequest& aRequest) const
  {
    return { { .mId = aRequest.mSegment,
               .mTokens = static_cast<uint32_t>(aRequest.mShared) } };
  }

  /** The less busy of two. */
  size_t Choose(const std::vector<size_t>& aEngines)
  {
    const auto size = static_cast<uint32_t>(aEngines.size());
    const size_t one = aEngines[Draw(size)];
    const size_t other = aEngines[Draw(size)];
    return mEngines[one].Requests() <= mEngines[other].Requests() ? one : other;
  }

  void Delay(VirtualRequest& aRequest, int64_t aMs)
  {
    mFigures.mDelayed += aRequest.mDelayed ? 0 : 1;
    aRequest.mDelayed = true;
    mDue.emplace(mNow + std::max<int64_t>(1, aMs), aRequest.mNumber);
  }

  void Send(VirtualRequest& aRequest, size_t aEngine)
  {
    const auto holds = [&](const VirtualMemoryEngine& aEach) {
      return aEach.Requests() < VirtualMemoryEngine::kSlots &&
             aEach.Held(true) + aEach.Added(aRequest) <=
               VirtualMemoryEngine::kCapacity;
    };
    const bool overfilled =
      !holds(mEngines[aEngine]) && std::ranges::any_of(mEngines, holds);
    mFigures.mOverfilled += overfilled ? 1 : 0;
    ++mFigures.mSent;
    mFigures.mDelayMs += static_cast<double>(mNow - aRequest.mArrivedMs);
    mEngines[aEngine].Send(aRequest);
    mMemory[aRequest.mEntry].OnSent(
      { .mUpstream = NameOf(aEngine),
        .mAttempt = aRequest.mNumber,
        .mPromptTokens = static_cast<uint32_t>(aRequest.mPrompt),
        .mShared = SharedOf(aRequest),
        .mExpectedOutput =
          static_cast<uint32_t>(mOptions.mRoutes[aRequest.mRoute].mOutput),
        .mRoute = std::to_string(aRequest.mRoute) },
      Now());
  }

  void OnEvent(size_t aEngine, const VirtualRequest& aRequest)
  {
    trefoilarch::EngineMemory& memory = mMemory[aRequest.mEntry];
    memory.OnOutput(
      NameOf(aEngine), aRequest.mNumber, VirtualMemoryEngine::kTokensPerEvent);
    const auto hold = mHolds[aEngine].find(aRequest.mNumber);
    if (hold != mHolds[aEngine].end()) {
      hold->second.mTokens = std::max<int64_t>(
        0, hold->second.mTokens - VirtualMemoryEngine::kTokensPerEvent);
    }
    if (aRequest.mSoFar == aRequest.mOutput) {
      memory.OnEnded(NameOf(aEngine), aRequest.mNumber, Now());
      mHolds[aEngine].erase(aRequest.mNumber);
    }
  }

  struct Update
  {
    size_t mFrom;
    size_t mTo;
    std::vector<trefoilarch::EngineMemoryReport> mReports;
  };

  MemoryFleetOptions mOptions;
  std::mt19937 mRandom;
  int64_t mNow = 0;
  std::array<trefoilarch::EngineMemory, kEntries> mMemory;
  std::array<VirtualMemoryEngine, kEngines> mEngines;
  std::array<std::map<size_t, Hold>, kEngines> mHolds;
  std::deque<VirtualRequest> mRequests;
  std::multimap<int64_t, size_t> mDue;
  std::multimap<int64_t, Update> mUpdates;
  MemoryFigures mFigures;
};
