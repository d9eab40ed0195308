#pragma once

#include "virtualcaller.h"

#include "libtrefoilarch/entrycore.h"
#include "libtrefoilarch/sidecarcore.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <type_traits>
#include <variant>
#include <vector>

namespace trefoilarch {

/**
 * One EntryCore and several SidecarCores with simple fakes of upstreams,
 * connected by a fake network in virtual time. Throws if a rule of the
 * interface is broken. All randomness comes from the seed.
 */
class VirtualFleet
{
public:
  VirtualFleet(uint64_t aSeed,
               size_t aSidecars,
               VirtualEngines aEngines,
               std::shared_ptr<const Classifier> aClassifier)
    : mRandom(aSeed)
    , mEngines(aEngines)
    , mEntry(std::make_unique<EntryCore>(EntryOptions{ .mEntry = kEntry,
                                                       .mDataCentre = "riga-1",
                                                       .mSeed = aSeed }))
  {
    mEntry->SetClassifier(std::move(aClassifier));
    std::vector<UpstreamView> views;
    for (size_t i = 0; i < aSidecars; i++) {
      const UpstreamId name = "engine-" + std::to_string(i);
      views.push_back({ .mName = name, .mDataCentre = "", .mLabels = {} });
      mHosts[name].mName = name;
      Boot(mHosts[name]);
    }
    CarryOut(mEntry->SetUpstreams(views, {}, mNow));
    for (auto& [name, host] : mHosts) {
      Open(host);
    }
  }

  /** The response that every upstream gives to the request. */
  static std::string TrueAnswer(RequestId aId)
  {
    std::string answer;
    for (uint64_t i = 0; i < ChunkCount(aId); i++) {
      answer += ChunkText(aId, i);
    }
    return answer;
  }

  void At(Millis aTime, std::function<void()> aWhat)
  {
    mEvents.emplace(std::pair(std::max(aTime, mNow), mNextEvent++),
                    std::move(aWhat));
  }

  void Run(Millis aUntil)
  {
    size_t repeated = 0;
    while (true) {
      const Millis next = std::max(NextDue(), mNow);
      if (next > aUntil) {
        mNow = aUntil;
        return;
      }
      repeated = next == mNow ? repeated + 1 : 0;
      Require(repeated < kMaxStepsAtOnce, "virtual time does not advance");
      mNow = next;
      Step();
    }
  }

  RequestId SendRequest(bool aIdempotent, Millis aDeadline)
  {
    const RequestId id{ mRandom(), mRandom() };
    mCallers[id] = { .mIdempotent = aIdempotent,
                     .mArrivedAt = mNow,
                     .mDeadline = mNow + aDeadline };
    EntryRequest request;
    request.mId = id;
    request.mClassified.mLevel.mClass = "agents";
    request.mClassified.mDeadline = aDeadline;
    request.mClassified.mIdempotent = aIdempotent;
    request.mClassified.mTraffic = { { "model", "base" } };
    request.mCall.mBody = id.Text();
    request.mCall.mTokenStream = true;
    request.mPromptTokens = 100;
    request.mPrefixHash = id.mLow;
    request.mMaxOutputTokens = kMaxChunks;
    CarryOut(mEntry->OnRequest(std::move(request), mNow));
    return id;
  }

  void Leave(RequestId aId)
  {
    VirtualCaller& caller = mCallers.at(aId);
    if (!caller.Ended()) {
      caller.mDisconnected = true;
      CarryOut(mEntry->OnCallerLeft(aId, mNow));
    }
  }

  /** Both ends see the connection break, each after a delay. */
  void Cut(const UpstreamId& aName)
  {
    Host& host = mHosts.at(aName);
    if (host.mChannel == 0) {
      return;
    }
    host.mChannel = 0;
    At(mNow + RandomDelay(50), [this, &host] { NotifyEntryOfCut(host); });
    At(mNow + RandomDelay(50), [this, &host] {
      if (host.mSidecarChannel == 0 || host.mSidecarChannel != host.mChannel) {
        host.mSidecarChannel = 0;
        CarryOut(host, host.mCore->OnEntryDown(kEntry, mNow));
      }
    });
  }

  /** The current connection drops bytes without either end noticing. */
  void Silence(const UpstreamId& aName, bool aUp, bool aDown)
  {
    Host& host = mHosts.at(aName);
    host.mSilentUp |= aUp;
    host.mSilentDown |= aDown;
  }

  /** The sidecar's process is replaced and loses its state. */
  void Restart(const UpstreamId& aName)
  {
    Host& host = mHosts.at(aName);
    Cut(aName);
    host.mCalls.clear();
    Boot(host);
  }

  /** No new connection to the host succeeds until aUntil. */
  void Isolate(const UpstreamId& aName, Millis aUntil)
  {
    mHosts.at(aName).mUnreachableUntil = aUntil;
    Cut(aName);
  }

  /** The sidecar's process is frozen until aUntil. */
  void Freeze(const UpstreamId& aName, Millis aUntil)
  {
    Host& host = mHosts.at(aName);
    host.mFrozenUntil = std::max(host.mFrozenUntil, aUntil);
    At(host.mFrozenUntil, [this, &host] { Unfreeze(host); });
  }

  void SetEngines(VirtualEngines aEngines) { mEngines = aEngines; }
  /** Sets one upstream to behave differently from the others. */
  void SetEngine(const UpstreamId& aName, VirtualEngines aEngine)
  {
    mEngineOverrides[aName] = aEngine;
  }

  /** Drains all sidecars and returns whether they are idle at once. */
  bool DrainedAtOnce()
  {
    bool idle = true;
    for (auto& [name, host] : mHosts) {
      CarryOut(host, host.mCore->Drain(mNow));
      idle = idle && host.mCore->Idle();
    }
    return idle;
  }

  EntryCore& Entry() { return *mEntry; }
  Millis Now() const { return mNow; }
  const std::map<RequestId, VirtualCaller>& Callers() const { return mCallers; }
  /** When an upstream's channel was last reopened for silence. */
  const std::map<UpstreamId, Millis>& Reopened() const { return mReopened; }
  /** Calls sent to each upstream, including refused ones. */
  const std::map<UpstreamId, int>& Calls() const { return mCalls; }

private:
  struct Host
  {
    UpstreamId mName;
    std::unique_ptr<SidecarCore> mCore;
    std::set<AttemptKey> mCalls;
    uint64_t mBoots = 0;
    /**
     * Number of the newest connection, 0 for none; and as the sidecar sees it.
     */
    uint64_t mChannel = 0;
    uint64_t mSidecarChannel = 0;
    bool mSilentUp = false;
    bool mSilentDown = false;
    Millis mLastUp;
    Millis mLastDown;
    Millis mUnreachableUntil;
    Millis mFrozenUntil;
    std::deque<std::function<void()>> mInbox;
  };

  static constexpr const char* kEntry = "entry-1";
  static constexpr uint32_t kMaxChunks = 8;
  static constexpr size_t kMaxStepsAtOnce = 5000;

  static uint64_t ChunkCount(RequestId aId)
  {
    return 1 + aId.mLow % kMaxChunks;
  }
  static std::string ChunkText(RequestId aId, uint64_t aNumber)
  {
    return aId.Text() + ":" + std::to_string(aNumber) + ";";
  }
  static void Require(bool aCondition, const char* aWhat)
  {
    if (!aCondition) {
      throw std::logic_error(aWhat);
    }
  }

  Millis RandomDelay(int64_t aMax)
  {
    return Millis(std::uniform_int_distribution<int64_t>(0, aMax)(mRandom));
  }
  bool RandomBool(double aProbability)
  {
    return std::bernoulli_distribution(aProbability)(mRandom);
  }

  const VirtualEngines& EngineOf(const Host& aHost) const
  {
    const auto found = mEngineOverrides.find(aHost.mName);
    return found == mEngineOverrides.end() ? mEngines : found->second;
  }

  Millis NextDue() const
  {
    Millis next =
      mEvents.empty() ? Millis::Never() : mEvents.begin()->first.first;
    next = std::min(next, mEntry->NextWake());
    for (const auto& [name, host] : mHosts) {
      next =
        std::min(next, std::max(host.mCore->NextWake(), host.mFrozenUntil));
    }
    return next;
  }

  void Step()
  {
    if (!mEvents.empty() && mEvents.begin()->first.first <= mNow) {
      const auto event = std::move(mEvents.begin()->second);
      mEvents.erase(mEvents.begin());
      event();
      return;
    }
    if (mEntry->NextWake() <= mNow) {
      CarryOut(mEntry->OnTick(mNow));
    }
    for (auto& [name, host] : mHosts) {
      if (host.mCore->NextWake() <= mNow && host.mFrozenUntil <= mNow) {
        CarryOut(host, host.mCore->OnTick(mNow));
      }
    }
  }

  void Boot(Host& aHost)
  {
    aHost.mBoots++;
    aHost.mSidecarChannel = 0;
    aHost.mCore = std::make_unique<SidecarCore>(
      SidecarOptions{ .mUpstream = aHost.mName,
                      .mDataCentre = "riga-1",
                      .mLabels = { { "model", "base" } },
                      .mIncarnation = mRandom() | 1,
                      .mSeed = mRandom() });
  }

  void Open(Host& aHost)
  {
    if (aHost.mChannel != 0) {
      return;
    }
    if (mNow < aHost.mUnreachableUntil) {
      At(aHost.mUnreachableUntil, [this, &aHost] { Open(aHost); });
      return;
    }
    aHost.mChannel = mNextChannel++;
    aHost.mSilentUp = false;
    aHost.mSilentDown = false;
    CarryOut(mEntry->OnChannelUp(aHost.mName, mNow));
  }

  void NotifyEntryOfCut(Host& aHost)
  {
    if (aHost.mChannel != 0) {
      return;
    }
    CarryOut(mEntry->OnChannelDown(aHost.mName, mNow));
    At(mNow + RandomDelay(300), [this, &aHost] { Open(aHost); });
  }

  void CarryOut(EntryActions aActions)
  {
    for (EntryAction& action : aActions) {
      std::visit([this](auto& aTyped) { Do(aTyped); }, action);
    }
  }

  void Do(SendToSidecar& aAction)
  {
    Host& host = mHosts.at(aAction.mUpstream);
    if (host.mChannel != 0) {
      host.mLastUp = std::max(host.mLastUp, mNow + RandomDelay(5));
      At(host.mLastUp,
         [this, &host, channel = host.mChannel, message = aAction.mMessage] {
           RunWhenActive(host, [this, &host, channel, message] {
             DeliverToSidecar(host, channel, message);
           });
         });
    }
  }

  void DeliverToSidecar(Host& aHost, uint64_t aChannel, EntryMessage aMessage)
  {
    if (aHost.mChannel != aChannel || aHost.mSilentUp) {
      return;
    }
    aHost.mSidecarChannel = aChannel;
    CarryOut(aHost, aHost.mCore->OnMessage(kEntry, std::move(aMessage), mNow));
  }

  /** Runs aWhat at once, or in order when the host's process is unfrozen. */
  void RunWhenActive(Host& aHost, std::function<void()> aWhat)
  {
    if (mNow < aHost.mFrozenUntil || !aHost.mInbox.empty()) {
      aHost.mInbox.push_back(std::move(aWhat));
    } else {
      aWhat();
    }
  }

  void Unfreeze(Host& aHost)
  {
    while (mNow >= aHost.mFrozenUntil && !aHost.mInbox.empty()) {
      const auto next = std::move(aHost.mInbox.front());
      aHost.mInbox.pop_front();
      next();
    }
  }

  void Do(ReopenChannel& aAction)
  {
    Host& host = mHosts.at(aAction.mUpstream);
    mReopened[aAction.mUpstream] = mNow;
    host.mChannel = 0;
    At(mNow + RandomDelay(20), [this, &host] { Open(host); });
  }

  VirtualCaller& CallerOf(RequestId aId)
  {
    VirtualCaller& caller = mCallers.at(aId);
    Require(!caller.Ended(), "an action after the final response");
    Require(!caller.mDisconnected, "an action for a caller that left");
    return caller;
  }

  void Do(AnswerHead& aAction)
  {
    VirtualCaller& caller = CallerOf(aAction.mId);
    Require(!caller.mHead, "a second response head");
    Require(aAction.mStatus == 200, "an unexpected status");
    caller.mHead = true;
  }

  void Do(AnswerData& aAction)
  {
    VirtualCaller& caller = CallerOf(aAction.mId);
    Require(caller.mHead, "data before the head");
    caller.mData += aAction.mData;
  }

  void Do(AnswerEnd& aAction)
  {
    VirtualCaller& caller = CallerOf(aAction.mId);
    caller.mComplete = true;
    caller.mEndedAt = mNow;
  }

  void Do(AnswerError& aAction)
  {
    VirtualCaller& caller = CallerOf(aAction.mId);
    caller.mRefusal = aAction.mRefusal;
    caller.mEndedAt = mNow;
  }

  void CarryOut(Host& aHost, SidecarActions aActions)
  {
    for (SidecarAction& action : aActions) {
      std::visit([&](auto& aTyped) { Do(aHost, aTyped); }, action);
    }
  }

  void Do(Host& aHost, SendToEntry& aAction)
  {
    if (aHost.mSidecarChannel == 0) {
      return;
    }
    aHost.mLastDown = std::max(aHost.mLastDown, mNow + RandomDelay(5));
    At(aHost.mLastDown,
       [this,
        &aHost,
        channel = aHost.mSidecarChannel,
        message = aAction.mMessage] {
         if (aHost.mChannel == channel && !aHost.mSilentDown) {
           CarryOut(mEntry->OnMessage(aHost.mName, message, mNow));
         }
       });
  }

  void Do(Host& aHost, StartCall& aAction)
  {
    const RequestId id = aAction.mKey.mRequest;
    Require(aAction.mCall.mBody == id.Text(),
            "the call belongs to another request");
    mCalls[aHost.mName]++;
    if (RandomBool(EngineOf(aHost).mRefuse)) {
      DeliverCallEvent(
        aHost,
        CallFailed{ aAction.mKey, ErrorKind::UpstreamUnreachable, Ran::No });
      return;
    }
    mCallers.at(id).mRuns++;
    aHost.mCalls.insert(aAction.mKey);
    DeliverCallEvent(aHost, CallHead{ aAction.mKey, 200, {} });
    Produce(aHost, aAction.mKey, 0);
  }

  void Do(Host& aHost, CancelCall& aAction)
  {
    aHost.mCalls.erase(aAction.mKey);
  }

  void Produce(Host& aHost, AttemptKey aKey, uint64_t aChunk)
  {
    const Millis when = mNow + RandomDelay(EngineOf(aHost).mMaxPause.Count());
    At(when, [this, &aHost, aKey, aChunk, boots = aHost.mBoots] {
      if (aHost.mBoots != boots || !aHost.mCalls.contains(aKey)) {
        return;
      }
      if (RandomBool(EngineOf(aHost).mCrash)) {
        aHost.mCalls.erase(aKey);
        DeliverCallEvent(
          aHost, CallFailed{ aKey, ErrorKind::UpstreamFailed, Ran::Maybe });
      } else if (aChunk < ChunkCount(aKey.mRequest)) {
        DeliverCallEvent(aHost,
                         CallData{ aKey, ChunkText(aKey.mRequest, aChunk), 1 });
        Produce(aHost, aKey, aChunk + 1);
      } else {
        aHost.mCalls.erase(aKey);
        DeliverCallEvent(
          aHost,
          CallDone{
            aKey, 100, static_cast<uint32_t>(ChunkCount(aKey.mRequest)) });
      }
    });
  }

  /** Passes the event to the sidecar as soon as its process runs. */
  void DeliverCallEvent(Host& aHost, const CallEvent& aEvent)
  {
    RunWhenActive(aHost, [this, &aHost, aEvent, boots = aHost.mBoots] {
      if (aHost.mBoots == boots) {
        CarryOut(aHost, aHost.mCore->OnCall(aEvent, mNow));
      }
    });
  }

  std::mt19937_64 mRandom;
  VirtualEngines mEngines;
  Millis mNow{ 1000 };
  std::map<std::pair<Millis, uint64_t>, std::function<void()>> mEvents;
  uint64_t mNextEvent = 0;
  uint64_t mNextChannel = 1;
  std::map<UpstreamId, Host> mHosts;
  std::unique_ptr<EntryCore> mEntry;
  std::map<RequestId, VirtualCaller> mCallers;
  std::map<UpstreamId, Millis> mReopened;
  std::map<UpstreamId, int> mCalls;
  std::map<UpstreamId, VirtualEngines> mEngineOverrides;
};

} // namespace trefoilarch
