#include "gateway.h"

#include "bootclock.h"

/** The gateway's operator port: readiness, metrics, status and the dump. */
namespace trefoilgate {

using namespace trefoilarch;

namespace {

/** A policy older than this is no ground for saying that we are ready. */
constexpr Millis kReadySpan{ 4000 };

/** Before the fingerprint of a request that an operator lets go. */
constexpr std::string_view kReleasePath = "/v1/quarantine/release/";

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

OperatorResponse
Json(std::string aText)
{
  return { .mType = "application/json", .mText = std::move(aText) };
}

} // namespace

std::map<std::string, std::function<OperatorResponse()>, std::less<>>
Gateway::OperatorPages()
{
  const auto ready = [this] { return ReadyPage(); };
  const auto dump = [this] { return Json(DumpState()); };
  return { { mOptions.mReadyPath, ready },
           { "/ready", ready },
           { "/metrics",
             [this]() -> OperatorResponse {
               return { .mType = "text/plain; version=0.0.4",
                        .mText = MetricsText() };
             } },
           { "/v1/status", [this] { return Json(StatusText()); } },
           { "/v1/quarantine", [this] { return Json(QuarantineText()); } },
           { "/dump", dump },
           { "/state", dump } };
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
  const auto place = mPages.find(target.substr(0, target.find('?')));
  if (place == mPages.end()) {
    aCaller->Answer({ .mStatus = kNotFound }, "");
    return;
  }
  const OperatorResponse page = place->second();
  AnswerHead head{ .mStatus = page.mStatus };
  if (!page.mType.empty()) {
    head.mHeaders = { { "Content-Type", page.mType } };
  }
  aCaller->Answer(head, page.mText);
}

std::string
Gateway::QuarantineText() const
{
  const Millis now = BootNow();
  auto requests = nlohmann::json::array();
  for (const QuarantinedRequest& each :
       mRouter.CrashQuarantine().Quarantined()) {
    auto crashes = nlohmann::json::array();
    for (const UpstreamIncarnation& start : each.mCrashes) {
      crashes.push_back(
        { { "upstream", start.mUpstream }, { "born", start.mStartTime } });
    }
    requests.push_back(
      { { "fingerprint", each.mRequest.Text() },
        { "suspect_for_ms", (now - each.mSuspectSince).Count() },
        { "last_sent_ms_ago", (now - each.mLastSent).Count() },
        { "crashes", std::move(crashes) } });
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
  TellCrashNews(false);
  return kOk;
}

OperatorResponse
Gateway::ReadyPage()
{
  const std::string reason = NotReady();
  LogReadiness(reason);
  return { .mStatus = reason.empty() ? kOk : kUnavailable, .mText = reason };
}

std::string
Gateway::NotReady() const
{
  if (mDraining) {
    return "stopping";
  }
  if (!mRouter.Index()) {
    return "no policy yet";
  }
  if (!mListKnown) {
    return "no list of upstreams yet";
  }
  if (!mRouter.PolicyFreshness().IsWithin(kReadySpan, BootNow())) {
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
  const auto count = [this](Gauge aGauge, auto aValue) {
    mMetrics.Set(aGauge, static_cast<double>(aValue));
  };
  count(Gauge::OpenRequests, mExchanges.size());
  count(Gauge::BodyBytes, mBodyBytes);
  count(Gauge::CallerConnections, mCallers.Connections());
  count(Gauge::IdleUpstreamConnections, mPool.IdleCount());
  count(Gauge::UpstreamConnectionsMade, mPool.MadeCount());
  count(Gauge::UpstreamConnectionsFailed, mPool.FailedCount());
  count(Gauge::PolicyAgeMs, mRouter.PolicyFreshness().AgeMs(now));
  count(Gauge::PolicyVersion, mRouter.Index() ? mRouter.Index()->Version() : 0);
  count(Gauge::ListAgeMs, mRouter.ListFreshness().AgeMs(now));
  count(Gauge::Ejections, mRouter.Ejections());
  count(Gauge::UpstreamCrashes, mRouter.Crashes());
  count(Gauge::Quarantined, mRouter.CrashQuarantine().Quarantined().size());
  count(Gauge::LimitedUpstreams, mRouter.Limits().Limited());
  count(Gauge::LogLinesLeftOut, mLog.LeftOut());
  for (const auto& [service, left] : mRouter.RetriesLeft()) {
    mMetrics.Set(Gauge::RetriesLeft, service, left);
  }
  for (const auto& [state, upstreams] : mRouter.UpstreamsByState(now)) {
    mMetrics.Set(Gauge::Upstreams, state, upstreams);
  }
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
