#include "upstreamservice.h"

#include "libtrefoilarch/retryafter.h"

#include "libtrefoilio/logs.h"
#include "libtrefoilio/systemclock.h"

#include <algorithm>
#include <utility>

namespace trefoilarch {

namespace {

constexpr Millis kMaxWait{ 100 };
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;
constexpr int kMinErrorStatus = 400;
/** An incomplete event of this size has no end. */
constexpr size_t kMaxEventBytes = 1048576;

/** Whether the engine rejected the request without processing it. */
bool
IsRejection(int aStatus)
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
  , mRing(mOptions.mRingCapacity,
          mOptions.mRingBytes,
          [](const Event& aEvent) {
            const auto* data = std::get_if<Data>(&aEvent);
            return data == nullptr ? 0 : data->mData.size();
          })
  , mServer(SidecarServerHooks{
      .mOnMessage =
        [this](EntryId aEntry, EntryMessage aMessage) {
          mRing.Push(MessageReceived{ std::move(aEntry), std::move(aMessage) });
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
  StateQuery query;
  return mRing.TryPush(query) ? query.Await() : BusyState();
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
    auto event = mRing.PopFor(TimeToNextWake());
    if (event) {
      std::visit([this](auto& aOne) { On(std::move(aOne)); }, *event);
    } else if (mRing.Closed()) {
      return;
    }
    const Millis now = trefoilio::MonotonicNow();
    if (mCore.NextWake() <= now) {
      PerformAll(mCore.OnTick(now));
    }
    EndSilentCalls(now);
    mIdle = mCore.Idle();
  }
}

Millis
UpstreamService::TimeToNextWake() const
{
  const Millis now = trefoilio::MonotonicNow();
  const Millis wake = mCore.NextWake();
  if (wake <= now) {
    return Millis(0);
  }
  return std::min(wake - now, kMaxWait);
}

void
UpstreamService::On(MessageReceived aEvent)
{
  if (const auto* hello = std::get_if<Hello>(&aEvent.mMessage)) {
    ForwardPolicyVersion(hello->mPolicyVersion);
  } else if (const auto* heartbeat =
               std::get_if<EntryHeartbeat>(&aEvent.mMessage)) {
    ForwardPolicyVersion(heartbeat->mPolicyVersion);
  }
  PerformAll(mCore.OnMessage(
    aEvent.mEntry, std::move(aEvent.mMessage), trefoilio::MonotonicNow()));
}

void
UpstreamService::On(const EntryDown& aEvent)
{
  PerformAll(mCore.OnEntryDown(aEvent.mEntry, trefoilio::MonotonicNow()));
}

void
UpstreamService::On(Head aEvent)
{
  const auto found = mRunningCalls.find(aEvent.mKey);
  if (found == mRunningCalls.end()) {
    return;
  }
  found->second.mStatus = aEvent.mStatus;
  const bool tokenStream = found->second.mTokenStream;
  const bool rejected = IsRejection(aEvent.mStatus);
  if (rejected) {
    ApplyRetryAfter(aEvent);
  }
  if (tokenStream && rejected) {
    return;
  }
  PerformAll(mCore.OnCall(CallHead{ .mKey = aEvent.mKey,
                                    .mStatus = aEvent.mStatus,
                                    .mHeaders = std::move(aEvent.mHeaders) },
                          trefoilio::MonotonicNow()));
}

void
UpstreamService::ApplyRetryAfter(const Head& aHead)
{
  const std::string_view text =
    trefoilio::FindHeader(aHead.mHeaders, "Retry-After");
  if (text.empty()) {
    return;
  }
  const auto retryAfter = ParseRetryAfter(text);
  if (!retryAfter || retryAfter->mLimited) {
    mMetrics.Count("upstream_retry_after_invalid_total");
    trefoilio::LogState(trefoilio::LogLevel::Warning,
                        "upstream_retry_after_invalid");
  }
  if (retryAfter) {
    mMetrics.Count("upstream_pauses_total");
    trefoilio::LogState(
      trefoilio::LogLevel::Info,
      "upstream_paused",
      { { "pause_ms", std::to_string(retryAfter->mDelay.Count()) } });
    PerformAll(mCore.OnCall(
      CallPause{ .mKey = aHead.mKey, .mDuration = retryAfter->mDelay },
      trefoilio::MonotonicNow()));
  }
}

void
UpstreamService::On(Data aEvent)
{
  const auto found = mRunningCalls.find(aEvent.mKey);
  if (found == mRunningCalls.end()) {
    return;
  }
  RunningCall& call = found->second;
  mWatch.Received(aEvent.mKey, trefoilio::MonotonicNow());
  CallData data{ .mKey = aEvent.mKey };
  if (call.mTokenStream && IsRejection(call.mStatus)) {
    return;
  }
  if (call.mTokenStream && call.mStatus < kMinErrorStatus) {
    EventBatch batch = call.mEvents.Add(aEvent.mData);
    if (call.mEvents.Remainder().size() > kMaxEventBytes) {
      mMetrics.Count("upstream_events_too_long_total");
      AbortCall(aEvent.mKey, trefoilio::MonotonicNow());
      return;
    }
    data.mData = std::move(batch.mData);
    data.mTokens = batch.mTokens;
  } else {
    data.mData = std::move(aEvent.mData);
  }
  if (!data.mData.empty()) {
    mMetrics.Count("upstream_tokens_total", "", data.mTokens);
    PerformAll(mCore.OnCall(std::move(data), trefoilio::MonotonicNow()));
  }
}

void
UpstreamService::On(const End& aEvent)
{
  const auto found = mRunningCalls.find(aEvent.mKey);
  if (found == mRunningCalls.end()) {
    return;
  }
  const RunningCall call = std::move(found->second);
  mRunningCalls.erase(found);
  mWatch.Ended(aEvent.mKey);
  PerformAll(mCore.OnCall(CallResult(aEvent.mKey, call, aEvent.mEnd),
                          trefoilio::MonotonicNow()));
}

CallEvent
UpstreamService::CallResult(const AttemptKey& aKey,
                            const RunningCall& aCall,
                            trefoilio::CallEnd aEnd) const
{
  using trefoilio::CallEnd;
  if (aEnd == CallEnd::NeverSent) {
    return CallFailed{ .mKey = aKey,
                       .mKind = ErrorKind::UpstreamUnreachable,
                       .mRan = Ran::No };
  }
  if (aEnd == CallEnd::Complete && aCall.mTokenStream &&
      IsRejection(aCall.mStatus)) {
    return CallFailed{ .mKey = aKey,
                       .mKind = ErrorKind::UpstreamRefused,
                       .mRan = Ran::No };
  }
  const bool unfinished = aCall.mTokenStream &&
                          aCall.mStatus < kMinErrorStatus &&
                          !aCall.mEvents.Done();
  if (aEnd == CallEnd::Broken || unfinished) {
    return CallFailed{ .mKey = aKey,
                       .mKind = ErrorKind::UpstreamFailed,
                       .mRan = Ran::Maybe };
  }
  return CallDone{ .mKey = aKey,
                   .mPromptTokens = aCall.mEvents.PromptTokens(),
                   .mOutputTokens = aCall.mEvents.OutputTokens() };
}

void
UpstreamService::On(const SetDraining& aEvent)
{
  const Millis now = trefoilio::MonotonicNow();
  PerformAll(aEvent.mDraining ? mCore.Drain(now) : mCore.Undrain(now));
}

void
UpstreamService::ForwardPolicyVersion(uint64_t aVersion)
{
  if (aVersion > mPolicyVersion) {
    mPolicyVersion = aVersion;
    mCore.SetPolicyVersion(aVersion);
  }
}

void
UpstreamService::On(const StateQuery& aQuery)
{
  aQuery.Answer(mCore.DumpState(trefoilio::MonotonicNow()));
}

void
UpstreamService::EndSilentCalls(Millis aNow)
{
  for (const AttemptKey& key : mWatch.TakeSilent(aNow)) {
    if (mRunningCalls.contains(key)) {
      mMetrics.Count("calls_silent_total");
      AbortCall(key, aNow);
    }
  }
}

void
UpstreamService::AbortCall(const AttemptKey& aKey, Millis aNow)
{
  const auto found = mRunningCalls.find(aKey);
  mWatch.Ended(aKey);
  mCalls->Cancel(found->second.mCall);
  mRunningCalls.erase(found);
  PerformAll(mCore.OnCall(CallFailed{ .mKey = aKey,
                                      .mKind = ErrorKind::UpstreamFailed,
                                      .mRan = Ran::Maybe },
                          aNow));
}

void
UpstreamService::PerformAll(SidecarActions aActions)
{
  for (SidecarAction& action : aActions) {
    std::visit([this](auto& aOne) { Perform(std::move(aOne)); }, action);
  }
}

void
UpstreamService::Perform(const SendToEntry& aAction)
{
  mServer.Send(aAction.mEntry, aAction.mMessage);
}

void
UpstreamService::Perform(StartCall aAction)
{
  const AttemptKey key = aAction.mKey;
  RunningCall& call = mRunningCalls[key];
  call.mTokenStream = aAction.mCall.mTokenStream;
  if (call.mTokenStream) {
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
  call.mCall = mCalls->Start(ToHttp(aAction), std::move(hooks));
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
UpstreamService::Perform(const CancelCall& aAction)
{
  const auto found = mRunningCalls.find(aAction.mKey);
  if (found == mRunningCalls.end()) {
    return;
  }
  mMetrics.Count("calls_cancelled_total");
  mWatch.Ended(aAction.mKey);
  mCalls->Cancel(found->second.mCall);
  mRunningCalls.erase(found);
}

} // namespace trefoilarch
