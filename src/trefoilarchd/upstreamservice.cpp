#include "upstreamservice.h"

#include "libtrefoilio/systemclock.h"

#include <algorithm>
#include <utility>

namespace trefoilarch {

namespace {

constexpr Millis kLongestWait{ 100 };
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;
constexpr int kFirstError = 400;

/** An engine that answers so has turned the request away unread. */
bool
TurnedAway(int aStatus)
{
  return aStatus == kTooManyRequests || aStatus == kUnavailable;
}

} // namespace

UpstreamService::UpstreamService(UpstreamOptions aOptions,
                                 trefoilio::Metrics& aMetrics)
  : mOptions(std::move(aOptions))
  , mMetrics(aMetrics)
  , mCore(mOptions.mCore)
  , mWatch(mOptions.mWatch)
  , mRing(mOptions.mRingCapacity)
  , mServer(SidecarServerHooks{
      .mOnMessage =
        [this](EntryId aEntry, EntryMessage aMessage) {
          mRing.Push(FromEntry{ std::move(aEntry), std::move(aMessage) });
        },
      .mOnDown =
        [this](EntryId aEntry) {
          mRing.Push(EntryDown{ std::move(aEntry) });
        } })
  , mCalls(std::make_unique<trefoilio::CallRunner>(mOptions.mCalls))
{
}

UpstreamService::~UpstreamService()
{
  Stop();
}

void
UpstreamService::Start(trefoilio::Kernel&)
{
  mThread = std::thread([this] { Run(); });
}

void
UpstreamService::Stop()
{
  mRing.Close();
  if (mThread.joinable()) {
    mThread.join();
  }
  mServer.CloseAll();
  mCalls.reset();
}

std::string
UpstreamService::DumpState() const
{
  StateQuestion question;
  return mRing.TryPush(question) ? question.Await() : BusyState();
}

void
UpstreamService::Drain()
{
  mRing.Push(SetDraining{ true });
}

void
UpstreamService::Undrain()
{
  mRing.Push(SetDraining{ false });
}

void
UpstreamService::Run()
{
  while (true) {
    auto event = mRing.PopFor(Wait());
    if (event) {
      std::visit([this](auto& aOne) { On(std::move(aOne)); }, *event);
    } else if (mRing.Closed()) {
      return;
    }
    const Millis now = trefoilio::MonotonicNow();
    if (mCore.NextWake() <= now) {
      CarryOut(mCore.OnTick(now));
    }
    EndSilentCalls(now);
    mIdle = mCore.Idle();
  }
}

Millis
UpstreamService::Wait() const
{
  const Millis now = trefoilio::MonotonicNow();
  const Millis wake = mCore.NextWake();
  if (wake <= now) {
    return Millis(0);
  }
  return std::min(wake - now, kLongestWait);
}

void
UpstreamService::On(FromEntry aEvent)
{
  if (const auto* hello = std::get_if<Hello>(&aEvent.mMessage)) {
    PassOnVersion(hello->mPolicyVersion);
  } else if (const auto* beat = std::get_if<EntryHeartbeat>(&aEvent.mMessage)) {
    PassOnVersion(beat->mPolicyVersion);
  }
  CarryOut(mCore.OnMessage(
    aEvent.mEntry, std::move(aEvent.mMessage), trefoilio::MonotonicNow()));
}

void
UpstreamService::On(const EntryDown& aEvent)
{
  CarryOut(mCore.OnEntryDown(aEvent.mEntry, trefoilio::MonotonicNow()));
}

void
UpstreamService::On(Head aEvent)
{
  const auto found = mRunning.find(aEvent.mKey);
  if (found == mRunning.end()) {
    return;
  }
  found->second.mStatus = aEvent.mStatus;
  if (found->second.mTokenStream && TurnedAway(aEvent.mStatus)) {
    return;
  }
  CarryOut(mCore.OnCall(CallHead{ .mKey = aEvent.mKey,
                                  .mStatus = aEvent.mStatus,
                                  .mHeaders = std::move(aEvent.mHeaders) },
                        trefoilio::MonotonicNow()));
}

void
UpstreamService::On(Data aEvent)
{
  const auto found = mRunning.find(aEvent.mKey);
  if (found == mRunning.end()) {
    return;
  }
  Running& running = found->second;
  mWatch.Received(aEvent.mKey, trefoilio::MonotonicNow());
  CallData data{ .mKey = aEvent.mKey };
  if (running.mTokenStream && TurnedAway(running.mStatus)) {
    return;
  }
  if (running.mTokenStream && running.mStatus < kFirstError) {
    EventBatch batch = running.mEvents.Add(aEvent.mData);
    data.mData = std::move(batch.mData);
    data.mTokens = batch.mTokens;
  } else {
    data.mData = std::move(aEvent.mData);
  }
  if (!data.mData.empty()) {
    mMetrics.Count("upstream_tokens_total", "", data.mTokens);
    CarryOut(mCore.OnCall(std::move(data), trefoilio::MonotonicNow()));
  }
}

void
UpstreamService::On(const End& aEvent)
{
  const auto found = mRunning.find(aEvent.mKey);
  if (found == mRunning.end()) {
    return;
  }
  const Running running = std::move(found->second);
  mRunning.erase(found);
  mWatch.Ended(aEvent.mKey);
  CarryOut(mCore.OnCall(Conclude(aEvent.mKey, running, aEvent.mEnd),
                        trefoilio::MonotonicNow()));
}

CallEvent
UpstreamService::Conclude(const AttemptKey& aKey,
                          const Running& aRunning,
                          trefoilio::CallEnd aEnd) const
{
  using trefoilio::CallEnd;
  if (aEnd == CallEnd::NeverSent) {
    return CallFailed{ .mKey = aKey,
                       .mKind = ErrorKind::UpstreamUnreachable,
                       .mRan = Ran::No };
  }
  if (aEnd == CallEnd::Whole && aRunning.mTokenStream &&
      TurnedAway(aRunning.mStatus)) {
    return CallFailed{ .mKey = aKey,
                       .mKind = ErrorKind::UpstreamRefused,
                       .mRan = Ran::No };
  }
  const bool unfinished = aRunning.mTokenStream &&
                          aRunning.mStatus < kFirstError &&
                          !aRunning.mEvents.Done();
  if (aEnd == CallEnd::Broken || unfinished) {
    return CallFailed{ .mKey = aKey,
                       .mKind = ErrorKind::UpstreamFailed,
                       .mRan = Ran::Maybe };
  }
  return CallDone{ .mKey = aKey,
                   .mPromptTokens = aRunning.mEvents.PromptTokens(),
                   .mOutputTokens = aRunning.mEvents.OutputTokens() };
}

void
UpstreamService::On(const SetDraining& aEvent)
{
  const Millis now = trefoilio::MonotonicNow();
  CarryOut(aEvent.mDraining ? mCore.Drain(now) : mCore.Undrain(now));
}

void
UpstreamService::PassOnVersion(uint64_t aVersion)
{
  if (aVersion > mPolicyVersion) {
    mPolicyVersion = aVersion;
    mCore.SetPolicyVersion(aVersion);
  }
}

void
UpstreamService::On(const StateQuestion& aQuestion)
{
  aQuestion.Answer(mCore.DumpState(trefoilio::MonotonicNow()));
}

void
UpstreamService::EndSilentCalls(Millis aNow)
{
  for (const AttemptKey& key : mWatch.TakeSilent(aNow)) {
    const auto found = mRunning.find(key);
    if (found == mRunning.end()) {
      continue;
    }
    mMetrics.Count("calls_silent_total");
    mCalls->Cancel(found->second.mCall);
    mRunning.erase(found);
    CarryOut(mCore.OnCall(CallFailed{ .mKey = key,
                                      .mKind = ErrorKind::UpstreamFailed,
                                      .mRan = Ran::Maybe },
                          aNow));
  }
}

void
UpstreamService::CarryOut(SidecarActions aActions)
{
  for (SidecarAction& action : aActions) {
    std::visit([this](auto& aOne) { Do(std::move(aOne)); }, action);
  }
}

void
UpstreamService::Do(const SendToEntry& aAction)
{
  mServer.Send(aAction.mEntry, aAction.mMessage);
}

void
UpstreamService::Do(StartCall aAction)
{
  const AttemptKey key = aAction.mKey;
  Running& running = mRunning[key];
  running.mTokenStream = aAction.mCall.mTokenStream;
  if (running.mTokenStream) {
    mWatch.Started(key, trefoilio::MonotonicNow());
  }
  mMetrics.Count("calls_started_total");
  trefoilio::CallHooks hooks{
    .mOnHead =
      [this, key](int aStatus, trefoilio::HttpHeaders aHeaders) {
        mRing.Push(Head{ key, aStatus, std::move(aHeaders) });
      },
    .mOnData =
      [this, key](std::string aData) {
        mRing.Push(Data{ key, std::move(aData) });
      },
    .mOnEnd =
      [this, key](trefoilio::CallEnd aEnd) {
        mRing.Push(End{ key, aEnd });
      }
  };
  running.mCall = mCalls->Start(ToHttp(aAction), std::move(hooks));
}

trefoilio::HttpRequest
UpstreamService::ToHttp(StartCall& aAction) const
{
  trefoilio::HttpRequest request{ .mMethod = std::move(aAction.mCall.mMethod),
                                  .mTarget =
                                    mOptions.mUrl + aAction.mCall.mPath,
                                  .mHeaders = std::move(aAction.mCall.mHeaders),
                                  .mBody = std::move(aAction.mCall.mBody) };
  request.mHeaders.emplace_back("X-Request-Id",
                                aAction.mKey.mRequest.Text() + "-" +
                                  std::to_string(aAction.mKey.mAttempt));
  if (!mOptions.mKey.empty()) {
    request.mHeaders.emplace_back("Authorization", "Bearer " + mOptions.mKey);
  }
  return request;
}

void
UpstreamService::Do(const CancelCall& aAction)
{
  const auto found = mRunning.find(aAction.mKey);
  if (found == mRunning.end()) {
    return;
  }
  mMetrics.Count("calls_cancelled_total");
  mWatch.Ended(aAction.mKey);
  mCalls->Cancel(found->second.mCall);
  mRunning.erase(found);
}

} // namespace trefoilarch
