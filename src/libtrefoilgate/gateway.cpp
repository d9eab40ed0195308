#include "gateway.h"

#include "bootclock.h"
#include "refusalanswer.h"

#include <algorithm>
#include <chrono>

namespace trefoilgate {

using namespace trefoilarch;

namespace {

/** Housekeeping: idle connections, kept list entries, the drain. */
constexpr std::chrono::milliseconds kTick{ 500 };
constexpr std::chrono::milliseconds kDrainTick{ 50 };

/** After a planned stop begins, callers still come until the balancer has
 * noticed; only then are idle connections closed. What comes later can't be
 * sure to end in time and is sent elsewhere. */
constexpr Millis kOutOfRotation{ 3000 };

/** While the process ends, a connection may be idle for this long: a caller
 * that has just connected is about to send. */
constexpr Millis kStopIdleSpan{ 400 };

/** For a caller that comes while the process ends: another entry serves. */
constexpr Millis kReturnElsewhere{ 100 };

/** For a caller whose body finds no room: others end within this. */
constexpr Millis kReturnLater{ 300 };

/** Descriptors that are not for callers: upstreams, store, files. */
constexpr size_t kOtherDescriptors = 800;

/** A policy older than this is no ground for saying that we are ready. */
constexpr Millis kReadySpan{ 4000 };

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

size_t
ConnectionsFor(uint32_t aDescriptors)
{
  return aDescriptors > 2 * kOtherDescriptors ? aDescriptors - kOtherDescriptors
                                              : aDescriptors / 2;
}

} // namespace

Gateway::Gateway(boost::asio::io_context& aLoop, GatewayOptions aOptions)
  : mLoop(aLoop)
  , mOptions(std::move(aOptions))
  , mLog({ .mProcess = mOptions.mSettings.mName })
  , mRouter({ .mDataCentre = mOptions.mSettings.mDataCentre,
              .mKeySpan = mOptions.mSettings.mKeySpan,
              .mRetries = { .mPercent = mOptions.mSettings.mRetryPercent,
                            .mFirst = mOptions.mSettings.mRetryBurst,
                            .mMost = mOptions.mSettings.mRetryBurst },
              .mSeed = mOptions.mSeed })
  , mPool(aLoop, {})
  , mContext{ .mLoop = aLoop,
              .mRouter = mRouter,
              .mPool = mPool,
              .mDialect = mOptions.mDialect,
              .mLog = mLog,
              .mMetrics = mMetrics,
              .mOnEnded =
                [this](Exchange* aEnded) { OnExchangeEnded(aEnded); } }
  , mCallers(aLoop,
             { .mAddress = mOptions.mSettings.mListen,
               .mMostConnections =
                 ConnectionsFor(mOptions.mSettings.mMostDescriptors) },
             CallersHooks())
  , mOperators(aLoop,
               { .mAddress = mOptions.mSettings.mOperatorListen },
               OperatorHooks())
  , mTimer(aLoop)
{
}

void
Gateway::Start(trefoilio::Kernel& /*aKernel*/)
{
  mOperators.Open();
  mCallers.Open();
  mLog.Write(LineKind::Process,
             "started",
             { { "listen", mCallers.Address() },
               { "operator_listen", mOperators.Address() },
               { "platform", mOptions.mSettings.mPlatform },
               { "data_centre", mOptions.mSettings.mDataCentre } });
  Tick();
}

void
Gateway::Stop()
{
  mTimer.cancel();
  mCallers.Close();
  std::vector<std::shared_ptr<Exchange>> open;
  for (const auto& [key, exchange] : mExchanges) {
    open.push_back(exchange);
  }
  for (const auto& exchange : open) {
    exchange->Abandon();
  }
  mLog.Write(LineKind::Process,
             "stopped",
             { { "cut", open.size() }, { "lines_dropped", mLog.LeftOut() } });
  mCallers.CloseAll();
  mOperators.Close();
  mOperators.CloseAll();
  mPool.CloseAll();
}

std::string
Gateway::DumpState() const
{
  return mRouter.DumpState(BootNow());
}

void
Gateway::Drain()
{
  if (mDraining) {
    return;
  }
  mDraining = true;
  mDrainingSince = BootNow();
  mLog.Write(LineKind::Process,
             "stopping",
             { { "open", mExchanges.size() },
               { "connections", mCallers.Connections() } });
  Tick();
}

bool
Gateway::SetPolicy(std::shared_ptr<const RoutePolicy> aPolicy)
{
  const uint64_t before = mRouter.Index() ? mRouter.Index()->Version() : 0;
  const uint64_t version = aPolicy->mVersion;
  const size_t routes = aPolicy->mRoutes.size();
  const bool newer = mRouter.SetPolicy(std::move(aPolicy));
  mMetrics.OnPolicy(newer ? "taken" : "not_newer");
  mLog.Write(
    LineKind::Belief,
    newer ? "policy_taken" : "policy_not_newer",
    { { "version", version }, { "before", before }, { "routes", routes } });
  return newer;
}

void
Gateway::ConfirmPolicy(Millis aAt)
{
  mRouter.ConfirmPolicy(aAt);
}

void
Gateway::ChangeDirectory(const std::function<void(UpstreamDirectory&)>& aChange)
{
  aChange(mRouter.Directory());
  mRouter.OnDirectoryChanged(BootNow());
}

CallerHooks
Gateway::CallersHooks()
{
  return CallerHooks{ .mOnRequest =
                        [this](const std::shared_ptr<CallerConnection>& aCaller,
                               CallerRequest aRequest) {
                          OnRequest(aCaller, std::move(aRequest));
                        },
                      .mLimits =
                        [this] {
                          return mRouter.Index()
                                   ? mRouter.Index()->Policy().mLimits
                                   : CallerLimits{};
                        },
                      .mStopping = [this] { return mDraining; },
                      .mOnRejected =
                        [this](int aStatus, const char* aWhy) {
                          mMetrics.OnRefusal("unreadable");
                          mLog.Write(
                            LineKind::Trouble,
                            "request_unreadable",
                            { { "status", aStatus }, { "why", aWhy } });
                        } };
}

CallerHooks
Gateway::OperatorHooks()
{
  return CallerHooks{ .mOnRequest =
                        [this](const std::shared_ptr<CallerConnection>& aCaller,
                               const CallerRequest& aRequest) {
                          OnOperatorRequest(aCaller, aRequest);
                        },
                      .mLimits = [] { return CallerLimits{}; },
                      .mStopping = [] { return false; },
                      .mOnRejected = [](int, const char*) {} };
}

void
Gateway::OnRequest(const std::shared_ptr<CallerConnection>& aCaller,
                   CallerRequest aRequest)
{
  const std::string id = mOptions.mDialect.mRequestId(aRequest);
  if (mDraining && BootNow() - mDrainingSince >= kOutOfRotation) {
    RefuseUnbound(aCaller,
                  aRequest,
                  id,
                  Refusal{ .mKind = ErrorKind::ShuttingDown,
                           .mRetryAfter = kReturnElsewhere,
                           .mMessage = "could not be finished in time" });
    return;
  }
  if (mBodyBytes + aRequest.mBody->size() > mOptions.mSettings.mMostBodyBytes) {
    RefuseUnbound(aCaller,
                  aRequest,
                  id,
                  Refusal{ .mKind = ErrorKind::TooManyOpen,
                           .mRetryAfter = kReturnLater,
                           .mMessage = "bodies fill the memory" });
    return;
  }
  const RequestFacts facts = mOptions.mDialect.mFacts(aRequest);
  boost::leaf::try_handle_all(
    [&]() -> Result<void> {
      BOOST_LEAF_AUTO(bound, mRouter.Bind(facts, BootNow()));
      const auto exchange = std::make_shared<Exchange>(
        mContext, aCaller, std::move(aRequest), id, std::move(bound));
      mExchanges[exchange.get()] = exchange;
      mBodyBytes += exchange->BodyBytes();
      exchange->Start();
      return {};
    },
    [&](const Refusal& aRefusal) {
      RefuseUnbound(aCaller, aRequest, id, aRefusal);
    },
    [&] {
      RefuseUnbound(
        aCaller, aRequest, id, Refusal{ .mKind = ErrorKind::Internal });
    });
}

void
Gateway::OnExchangeEnded(Exchange* aEnded)
{
  mBodyBytes -= std::min<uint64_t>(mBodyBytes, aEnded->BodyBytes());
  mExchanges.erase(aEnded);
}

void
Gateway::RefuseUnbound(const std::shared_ptr<CallerConnection>& aCaller,
                       const CallerRequest& aRequest,
                       const std::string& aId,
                       const Refusal& aRefusal)
{
  mMetrics.OnRefusal(Name(aRefusal.mKind));
  const Millis age = mRouter.PolicyFreshness().Age(BootNow());
  mLog.Write(
    LineKind::Trouble,
    "request_refused",
    { { "id", aId },
      { "kind", Name(aRefusal.mKind) },
      { "why", aRefusal.mMessage },
      { "host", aRequest.mHost },
      { "path", aRequest.mTarget },
      { "policy_version", mRouter.Index() ? mRouter.Index()->Version() : 0 },
      { "policy_age_ms", age.Count() } });
  aCaller->Answer(RefusalHead(aRefusal), RefusalBody(aRefusal));
}

void
Gateway::OnOperatorRequest(const std::shared_ptr<CallerConnection>& aCaller,
                           const CallerRequest& aRequest)
{
  const std::string path =
    aRequest.mTarget.substr(0, aRequest.mTarget.find('?'));
  if (path == mOptions.mReadyPath || path == "/ready") {
    const std::string reason = NotReady();
    LogReadiness(reason);
    aCaller->Answer({ .mStatus = reason.empty() ? kOk : kUnavailable }, reason);
    return;
  }
  if (path == "/metrics") {
    aCaller->Answer(
      { .mHeaders = { { "Content-Type", "text/plain; version=0.0.4" } } },
      MetricsText());
    return;
  }
  if (path == "/v1/status") {
    aCaller->Answer({ .mHeaders = { { "Content-Type", "application/json" } } },
                    StatusText());
    return;
  }
  if (path == "/dump" || path == "/state") {
    aCaller->Answer({ .mHeaders = { { "Content-Type", "application/json" } } },
                    DumpState());
    return;
  }
  aCaller->Answer({ .mStatus = kNotFound }, "");
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
      { "policy_age_ms", mRouter.PolicyFreshness().Age(BootNow()).Count() } });
}

std::string
Gateway::MetricsText()
{
  const Millis now = BootNow();
  mMetrics.SetGauge("open_requests", static_cast<double>(mExchanges.size()));
  mMetrics.SetGauge("body_bytes", static_cast<double>(mBodyBytes));
  mMetrics.SetGauge("caller_connections",
                    static_cast<double>(mCallers.Connections()));
  mMetrics.SetGauge("idle_upstream_connections",
                    static_cast<double>(mPool.IdleCount()));
  mMetrics.SetGauge("upstream_connections_made",
                    static_cast<double>(mPool.Made()));
  mMetrics.SetGauge("upstream_connections_failed",
                    static_cast<double>(mPool.Failed()));
  mMetrics.SetGauge(
    "policy_age_ms",
    static_cast<double>(mRouter.PolicyFreshness().Age(now).Count()));
  mMetrics.SetGauge(
    "policy_version",
    mRouter.Index() ? static_cast<double>(mRouter.Index()->Version()) : 0.0);
  mMetrics.SetGauge("ejections", static_cast<double>(mRouter.Ejections()));
  mMetrics.SetGauge("log_lines_left_out", static_cast<double>(mLog.LeftOut()));
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

void
Gateway::Tick()
{
  const Millis now = BootNow();
  if (mRouter.Directory().Expire(now)) {
    mRouter.OnDirectoryChanged(now);
  }
  mCallers.CheckTimes(now);
  mOperators.CheckTimes(now);
  mPool.Sweep(
    [this](const UpstreamId& aUpstream) {
      return mRouter.Directory().Find(aUpstream) != nullptr;
    },
    now);
  if (mDraining) {
    ContinueDrain();
  }
  mTimer.expires_after(mDraining ? kDrainTick : kTick);
  mTimer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      Tick();
    }
  });
}

void
Gateway::ContinueDrain()
{
  const Millis span = BootNow() - mDrainingSince;
  if (span < kOutOfRotation) {
    return;
  }
  mCallers.CloseIdle(kStopIdleSpan, BootNow());
  const bool done = mExchanges.empty() && mCallers.Connections() == 0;
  if (done || span >= mOptions.mSettings.mStopSpan) {
    mLoop.stop();
  }
}

} // namespace trefoilgate
