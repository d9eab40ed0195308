#include "routerservice.h"

#include "claimtracker.h"

#include "libtrefoilio/systemclock.h"

#include <algorithm>
#include <set>
#include <utility>

namespace trefoilarch {

namespace {

constexpr Millis kMaxWait{ 100 };

} // namespace

RouterService::RouterService(RouterOptions aOptions,
                             trefoilio::Metrics& aMetrics)
  : mOptions(std::move(aOptions))
  , mMetrics(aMetrics)
  , mCore(mOptions.mCore)
  , mRing(std::make_shared<trefoilio::BoundedRing<Event>>(
      mOptions.mRingCapacity,
      mOptions.mRingBytes,
      &RouterService::DataBytes))
  , mRandom(static_cast<std::minstd_rand::result_type>(mOptions.mCore.mSeed))
{
}

RouterService::~RouterService()
{
  Stop();
}

void
RouterService::Start(trefoilio::Kernel&)
{
  mThread = std::thread([this] { Run(); });
}

void
RouterService::Stop()
{
  mRing->Close();
  if (mThread.joinable()) {
    mThread.join();
  }
  for (auto& [upstream, link] : mLinks) {
    CloseChannel(link);
  }
}

bool
RouterService::Submit(EntryRequest aRequest,
                      std::shared_ptr<AnswerMailbox> aMailbox,
                      std::shared_ptr<ClaimTracker> aClaim)
{
  return mRing->TryPush(
    Submitted{ std::move(aRequest), std::move(aMailbox), std::move(aClaim) });
}

void
RouterService::CallerLeft(RequestId aId)
{
  mRing->Push(CallerDisconnected{ aId });
}

void
RouterService::SetSidecars(std::vector<SidecarAddress> aSidecars)
{
  mRing->Push(NewSidecars{ std::move(aSidecars) });
}

void
RouterService::SetClassifier(std::shared_ptr<const Classifier> aClassifier)
{
  mRing->Push(NewClassifier{ std::move(aClassifier) });
}

void
RouterService::SetVersionHook(std::function<void(uint64_t)> aHook)
{
  mVersionHook = std::move(aHook);
}

std::string
RouterService::DumpState() const
{
  StateQuery query;
  return mRing->TryPush(query) ? query.Await() : BusyState();
}

size_t
RouterService::DataBytes(const Event& aEvent)
{
  const auto* received = std::get_if<MessageReceived>(&aEvent);
  const auto* chunk =
    received == nullptr ? nullptr : std::get_if<Chunk>(&received->mMessage);
  return chunk == nullptr ? 0 : chunk->mData.size();
}

void
RouterService::Run()
{
  while (true) {
    auto event = mRing->PopFor(TimeToNextWake(trefoilio::MonotonicNow()));
    if (event) {
      Handle(std::move(*event));
    } else if (mRing->Closed()) {
      return;
    }
    const Millis now = trefoilio::MonotonicNow();
    if (mCore.NextWake() <= now) {
      PerformAll(mCore.OnTick(now));
    }
    CloseUnlisted();
    ReopenDue(now);
    mOpenRequests = mCore.OpenRequests();
    UpdateSettled(now);
  }
}

Millis
RouterService::TimeToNextWake(Millis aNow) const
{
  const Millis wake = mCore.NextWake();
  if (wake <= aNow) {
    return Millis(0);
  }
  return std::min(wake - aNow, kMaxWait);
}

void
RouterService::Handle(Event aEvent)
{
  std::visit([this](auto& aOne) { On(std::move(aOne)); }, aEvent);
  while (!mCutAnswers.empty()) {
    const RequestId id = mCutAnswers.back();
    mCutAnswers.pop_back();
    On(CallerDisconnected{ id });
  }
}

void
RouterService::On(Submitted aEvent)
{
  mMetrics.Count("requests_total",
                 "class=\"" + aEvent.mRequest.mClassified.mLevel.mClass + "\"");
  mAnswers[aEvent.mRequest.mId] =
    Answer{ std::move(aEvent.mMailbox), std::move(aEvent.mClaim) };
  PerformAll(
    mCore.OnRequest(std::move(aEvent.mRequest), trefoilio::MonotonicNow()));
}

void
RouterService::On(const CallerDisconnected& aEvent)
{
  const auto found = mAnswers.find(aEvent.mId);
  if (found != mAnswers.end() && found->second.mClaim) {
    found->second.mMailbox.reset();
    return;
  }
  mAnswers.erase(aEvent.mId);
  PerformAll(mCore.OnCallerLeft(aEvent.mId, trefoilio::MonotonicNow()));
}

void
RouterService::On(MessageReceived aEvent)
{
  const auto found = mLinks.find(aEvent.mUpstream);
  if (found == mLinks.end() ||
      found->second.mGeneration != aEvent.mGeneration) {
    mMetrics.Count("late_messages_total");
    return;
  }
  found->second.mBackoff = mOptions.mMinReconnectDelay;
  found->second.mMessageReceived = true;
  RecordSidecarInfo(aEvent.mMessage);
  PerformAll(mCore.OnMessage(
    aEvent.mUpstream, std::move(aEvent.mMessage), trefoilio::MonotonicNow()));
}

void
RouterService::RecordSidecarInfo(const SidecarMessage& aMessage)
{
  if (const auto* heartbeat = std::get_if<SidecarHeartbeat>(&aMessage)) {
    mVersionHook(heartbeat->mPolicyVersion);
  }
  const auto* welcome = std::get_if<Welcome>(&aMessage);
  if (!welcome) {
    return;
  }
  mVersionHook(welcome->mPolicyVersion);
  const std::lock_guard lock(mUpstreamViewsMutex);
  mUpstreamViews[welcome->mUpstream] =
    UpstreamView{ .mName = welcome->mUpstream,
                  .mDataCentre = welcome->mDataCentre,
                  .mLabels = welcome->mLabels };
}

std::vector<UpstreamView>
RouterService::Upstreams() const
{
  std::vector<UpstreamView> upstreams;
  const std::lock_guard lock(mUpstreamViewsMutex);
  for (const auto& [name, view] : mUpstreamViews) {
    upstreams.push_back(view);
  }
  return upstreams;
}

std::vector<std::string>
RouterService::Models() const
{
  std::set<std::string> models;
  for (const UpstreamView& upstream : Upstreams()) {
    const auto model = upstream.mLabels.find("model");
    if (model != upstream.mLabels.end()) {
      models.insert(model->second);
    }
  }
  return { models.begin(), models.end() };
}

void
RouterService::On(const ChannelDown& aEvent)
{
  const auto found = mLinks.find(aEvent.mUpstream);
  if (found == mLinks.end() ||
      found->second.mGeneration != aEvent.mGeneration) {
    return;
  }
  const Millis now = trefoilio::MonotonicNow();
  Link& link = found->second;
  link.mChannel.reset();
  const int64_t maxDelay = std::max<int64_t>(link.mBackoff.Count(), 2);
  std::uniform_int_distribution<int64_t> jitter(maxDelay / 2, maxDelay);
  link.mReopenAt = now + Millis(jitter(mRandom));
  link.mBackoff = std::min(link.mBackoff * 2, mOptions.mMaxReconnectDelay);
  PerformAll(mCore.OnChannelDown(aEvent.mUpstream, now));
}

void
RouterService::On(const NewSidecars& aEvent)
{
  std::vector<UpstreamView> upstreams;
  std::vector<UpstreamId> leaving;
  std::map<UpstreamId, Link> kept;
  for (const SidecarAddress& sidecar : aEvent.mSidecars) {
    const UpstreamId& name = sidecar.mUpstream.mName;
    upstreams.push_back(sidecar.mUpstream);
    if (sidecar.mLeaving) {
      leaving.push_back(name);
    }
    const auto found = mLinks.find(name);
    if (found != mLinks.end() && found->second.mAddress == sidecar.mAddress) {
      found->second.mListed = true;
      kept.insert(mLinks.extract(found));
      continue;
    }
    kept[name] = Link{ .mAddress = sidecar.mAddress,
                       .mReopenAt = Millis(0),
                       .mBackoff = mOptions.mMinReconnectDelay };
  }
  std::swap(mLinks, kept);
  const Millis now = trefoilio::MonotonicNow();
  if (!mLinks.empty()) {
    mFirstListAt = mFirstListAt.value_or(now);
  }
  PerformAll(mCore.SetUpstreams(std::move(upstreams), leaving, now));
  for (auto& [name, link] : kept) {
    if (mLinks.contains(name) || !mCore.NeedsChannel(name)) {
      CloseChannel(link);
      PerformAll(mCore.OnChannelDown(name, now));
    } else {
      link.mListed = false;
      mLinks[name] = std::move(link);
    }
  }
  ReopenDue(now);
}

void
RouterService::CloseUnlisted()
{
  for (auto it = mLinks.begin(); it != mLinks.end();) {
    auto& [name, link] = *it;
    if (link.mListed || mCore.NeedsChannel(name)) {
      ++it;
      continue;
    }
    CloseChannel(link);
    it = mLinks.erase(it);
  }
}

void
RouterService::On(const NewClassifier& aEvent)
{
  mCore.SetClassifier(aEvent.mClassifier);
}

void
RouterService::On(const StateQuery& aQuery)
{
  aQuery.Answer(mCore.DumpState(trefoilio::MonotonicNow()));
}

void
RouterService::PerformAll(EntryActions aActions)
{
  for (EntryAction& action : aActions) {
    std::visit([this](auto& aOne) { Perform(std::move(aOne)); }, action);
  }
}

void
RouterService::Perform(const SendToSidecar& aAction)
{
  const auto found = mLinks.find(aAction.mUpstream);
  if (found != mLinks.end() && found->second.mChannel) {
    found->second.mChannel->Send(aAction.mMessage);
  }
}

void
RouterService::Perform(const ReopenChannel& aAction)
{
  const auto found = mLinks.find(aAction.mUpstream);
  if (found == mLinks.end()) {
    return;
  }
  mMetrics.Count("channels_replaced_total");
  CloseChannel(found->second);
  OpenChannel(aAction.mUpstream, found->second);
}

void
RouterService::Perform(AnswerHead aAction)
{
  const RequestId id = aAction.mId;
  Deliver(id, std::move(aAction), false);
}

void
RouterService::Perform(AnswerData aAction)
{
  const RequestId id = aAction.mId;
  Deliver(id, std::move(aAction), false);
}

void
RouterService::Perform(AnswerEnd aAction)
{
  mMetrics.Count("answers_whole_total");
  Deliver(aAction.mId, aAction, true);
}

void
RouterService::Perform(AnswerError aAction)
{
  const RequestId id = aAction.mId;
  mMetrics.Count("answers_refused_total",
                 "kind=\"" + std::string(Name(aAction.mRefusal.mKind)) +
                   "\",ran=\"" + std::string(Name(aAction.mRefusal.mRan)) +
                   "\"");
  Deliver(id, std::move(aAction), true);
}

void
RouterService::ForwardToClaim(ClaimTracker& aClaim, const AnswerEvent& aEvent)
{
  if (const auto* head = std::get_if<AnswerHead>(&aEvent)) {
    aClaim.OnHead(head->mStatus, head->mHeaders);
  } else if (const auto* data = std::get_if<AnswerData>(&aEvent)) {
    aClaim.OnData(data->mData);
  } else if (const auto* error = std::get_if<AnswerError>(&aEvent)) {
    aClaim.OnError(error->mRefusal);
  } else {
    aClaim.OnEnd();
  }
}

void
RouterService::Deliver(RequestId aId, AnswerEvent aEvent, bool aLast)
{
  const auto found = mAnswers.find(aId);
  if (found == mAnswers.end()) {
    return;
  }
  Answer& answer = found->second;
  if (answer.mClaim) {
    ForwardToClaim(*answer.mClaim, aEvent);
  }
  const PushOutcome outcome = answer.mMailbox
                                ? answer.mMailbox->Push(std::move(aEvent))
                                : PushOutcome::Added;
  if (aLast) {
    mAnswers.erase(found);
  } else if (outcome != PushOutcome::Added) {
    Cut(aId, *answer.mMailbox, outcome);
  }
}

void
RouterService::Cut(const RequestId& aId,
                   AnswerMailbox& aMailbox,
                   PushOutcome aReason)
{
  mMetrics.Count(aReason == PushOutcome::TooLong ? "answers_too_long_total"
                                                 : "callers_too_slow_total");
  aMailbox.Fail(
    { .mId = aId,
      .mRefusal = { .mKind = ErrorKind::AnswerCut, .mRan = Ran::Maybe } });
  mCutAnswers.push_back(aId);
}

void
RouterService::OpenChannel(const UpstreamId& aUpstream, Link& aLink)
{
  const uint64_t generation = mNextGeneration++;
  aLink.mGeneration = generation;
  aLink.mReopenAt = Millis::Never();
  aLink.mChannel = EntryChannel::Open(
    aLink.mAddress,
    EntryChannelHooks{
      .mOnMessage =
        [ring = mRing, aUpstream, generation](SidecarMessage aMessage) {
          ring->Push(
            MessageReceived{ aUpstream, generation, std::move(aMessage) });
        },
      .mOnDown =
        [ring = mRing, aUpstream, generation] {
          ring->Push(ChannelDown{ aUpstream, generation });
        } });
  PerformAll(mCore.OnChannelUp(aUpstream, trefoilio::MonotonicNow()));
}

void
RouterService::CloseChannel(Link& aLink)
{
  aLink.mGeneration = 0;
  if (const auto channel = std::exchange(aLink.mChannel, nullptr)) {
    channel->Close();
  }
}

void
RouterService::UpdateSettled(Millis aNow)
{
  if (mSettled || !mFirstListAt) {
    return;
  }
  const bool allReceived =
    std::all_of(mLinks.begin(), mLinks.end(), [](const auto& aOne) {
      return aOne.second.mMessageReceived;
    });
  mSettled = allReceived || aNow - *mFirstListAt >= mOptions.mSettleTimeout;
}

void
RouterService::ReopenDue(Millis aNow)
{
  for (auto& [name, link] : mLinks) {
    if (link.mReopenAt <= aNow) {
      OpenChannel(name, link);
    }
  }
}

} // namespace trefoilarch
