#include "gateway.h"

#include "bootclock.h"

#include <algorithm>

/** The gateway's operator port: readiness, metrics, status and the dump. */
namespace trefoilgate {

using namespace trefoilarch;

namespace {

/** The gateway is not ready if its policy is older than this. */
constexpr Millis kReadyPolicyMaxAge{ 4000 };

/** Followed by the fingerprint of a request to release from quarantine. */
constexpr std::string_view kReleasePath = "/v1/quarantine/release/";

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

OperatorResponse
JsonResponse(std::string aText)
{
  return { .mType = "application/json", .mText = std::move(aText) };
}

} // namespace

std::map<std::string, std::function<OperatorResponse()>, std::less<>>
Gateway::MakeOperatorHandlers()
{
  const auto ready = [this] { return ReadinessResponse(); };
  const auto dump = [this] { return JsonResponse(DumpState()); };
  return {
    { mOptions.mReadyPath, ready },
    { "/ready", ready },
    { "/metrics",
      [this]() -> OperatorResponse {
        return { .mType = "text/plain; version=0.0.4", .mText = MetricsText() };
      } },
    { "/v1/status", [this] { return JsonResponse(StatusText()); } },
    { "/v1/quarantine", [this] { return JsonResponse(QuarantineText()); } },
    { "/v1/upstreams/slow",
      [this] {
        return JsonResponse(mRouter.Load().SlowUpstreams(BootNow()).dump());
      } },
    { "/v1/workspaces",
      [this] {
        return JsonResponse(mRouter.Load().Workspaces(BootNow()).dump());
      } },
    { "/dump", dump },
    { "/state", dump }
  };
}

void
Gateway::OnOperatorRequest(const std::shared_ptr<CallerConnection>& aCaller,
                           const CallerRequest& aRequest)
{
  const std::string_view target = aRequest.mTarget;
  if (aRequest.mMethod == "POST" && target.starts_with(kReleasePath)) {
    aCaller->Answer({ .mStatus = Release(target.substr(kReleasePath.size())) },
                    "");
    return;
  }
  const auto found = mOperatorHandlers.find(target.substr(0, target.find('?')));
  if (found == mOperatorHandlers.end()) {
    aCaller->Answer({ .mStatus = kNotFound }, "");
    return;
  }
  const OperatorResponse response = found->second();
  AnswerHead head{ .mStatus = response.mStatus };
  if (!response.mType.empty()) {
    head.mHeaders = { { "Content-Type", response.mType } };
  }
  aCaller->Answer(head, response.mText);
}

std::string
Gateway::QuarantineText() const
{
  const Millis now = BootNow();
  auto requests = nlohmann::json::array();
  for (const QuarantinedRequest& each :
       mRouter.CrashQuarantine().Quarantined()) {
    auto crashes = nlohmann::json::array();
    for (const UpstreamIncarnation& incarnation : each.mCrashes) {
      crashes.push_back({ { "upstream", incarnation.mUpstream },
                          { "born", incarnation.mStartTime } });
    }
    nlohmann::json request = {
      { "fingerprint", each.mRequest.Text() },
      { "suspect_for_ms", (now - each.mSuspectSince).Count() },
      { "last_sent_ms_ago", (now - each.mLastSent).Count() },
      { "crashes", std::move(crashes) }
    };
    if (each.mRequest.IsSegment()) {
      request["segment"] = SegmentName(each.mRequest.mLow);
    }
    requests.push_back(std::move(request));
  }
  return nlohmann::json{ { "quarantined", std::move(requests) } }.dump();
}

int
Gateway::Release(std::string_view aFingerprint)
{
  const auto request = RequestFingerprint::FromText(aFingerprint);
  if (!mRouter.CrashQuarantine().IsQuarantined(request)) {
    return kNotFound;
  }
  mRouter.CrashQuarantine().Release(request, BootNow());
  SendCrashUpdates(false);
  return kOk;
}

OperatorResponse
Gateway::ReadinessResponse()
{
  const std::string reason = NotReadyReason();
  LogReadiness(reason);
  return { .mStatus = reason.empty() ? kOk : kUnavailable, .mText = reason };
}

std::string
Gateway::NotReadyReason() const
{
  if (mDraining) {
    return "stopping";
  }
  if (!mRouter.Index()) {
    return "no policy yet";
  }
  if (!mListLoaded) {
    return "no list of upstreams yet";
  }
  if (!mRouter.PolicyFreshness().IsWithin(kReadyPolicyMaxAge, BootNow())) {
    return "policy not confirmed";
  }
  return "";
}

void
Gateway::LogReadiness(const std::string& aReason)
{
  if (aReason == mLastReason) {
    return;
  }
  mLastReason = aReason;
  mLog.Write(
    LineKind::Process,
    aReason.empty() ? "ready" : "not_ready",
    { { "reason", aReason },
      { "policy_age_ms", mRouter.PolicyFreshness().AgeMs(BootNow()) } });
}

std::string
Gateway::MetricsText()
{
  const Millis now = BootNow();
  const auto setGauge = [this](Gauge aGauge, auto aValue) {
    mMetrics.Set(aGauge, static_cast<double>(aValue));
  };
  setGauge(Gauge::OpenRequests, mExchanges.size());
  setGauge(Gauge::BodyBytes, mUploads.Budget().TotalBytes());
  setGauge(Gauge::WaitingUploads, mUploads.Budget().WaitingCount());
  setGauge(Gauge::LongestUploadWaitMs,
           mUploads.Budget().LongestWait(now).Count());
  setGauge(Gauge::AnswerBytes, mBuffers.Budget()->TotalBytes());
  setGauge(Gauge::CallerConnections, mCallers.Connections());
  setGauge(Gauge::ConnectionBytes, mMemory.Budget().TotalBytes());
  setGauge(Gauge::IdleUpstreamConnections, mPool.IdleCount());
  setGauge(Gauge::UpstreamConnectionsMade, mPool.MadeCount());
  setGauge(Gauge::UpstreamConnectionsFailed, mPool.FailedCount());
  setGauge(Gauge::PolicyAgeMs, mRouter.PolicyFreshness().AgeMs(now));
  setGauge(Gauge::PolicyVersion,
           mRouter.Index() ? mRouter.Index()->Version() : 0);
  setGauge(Gauge::ListAgeMs, mRouter.ListFreshness().AgeMs(now));
  setGauge(Gauge::Ejections, mRouter.Ejections());
  setGauge(Gauge::UpstreamCrashes, mRouter.Crashes());
  const auto quarantined = mRouter.CrashQuarantine().Requests();
  setGauge(Gauge::Quarantined, quarantined.size());
  setGauge(Gauge::QuarantinedSegments,
           std::count_if(quarantined.begin(),
                         quarantined.end(),
                         [](const auto& aOne) { return aOne.IsSegment(); }));
  setGauge(Gauge::LimitedUpstreams, mRouter.Limits().Limited());
  setGauge(Gauge::LogLinesLeftOut, mLog.LeftOut());
  setGauge(Gauge::UnreadableDatagrams, mPeers.UnreadableCount());
  mMetrics.Set(
    Gauge::PeerDatagrams, "sent", static_cast<double>(mPeers.SentCount()));
  mMetrics.Set(Gauge::PeerDatagrams,
               "received",
               static_cast<double>(mPeers.ReceivedCount()));
  for (const auto& [service, left] : mRouter.RetriesLeft()) {
    mMetrics.Set(Gauge::RetriesLeft, service, left);
  }
  for (const auto& [state, upstreams] : mRouter.UpstreamsByState(now)) {
    mMetrics.Set(Gauge::Upstreams, state, upstreams);
  }
  setGauge(Gauge::KnownStreams, mRouter.KnownStreams());
  mLoadGauges.SetVersions(mRouter.Versions());
  mLoadGauges.SetSlowUpstreams(mRouter.Load().SlowUpstreamCounts(now));
  mLoadGauges.SetWorkspaces(mRouter.Load().WorkspaceLoads(now));
  mUsageHooks.mSetGauges(mMetrics);
  return mMetrics.Text();
}

std::string
Gateway::StatusText() const
{
  nlohmann::json status = mRouter.Status(BootNow());
  status["entry"] = mOptions.mSettings.mName;
  status["open_requests"] = mExchanges.size();
  return status.dump();
}

} // namespace trefoilgate
