#include "gateway.h"

#include "bootclock.h"
#include "refusalanswer.h"

#include "libtrefoilarch/routepolicyvalidation.h"
#include "libtrefoilarch/tablewatch.h"

#include <algorithm>
#include <chrono>

namespace trefoilgate {

using namespace trefoilarch;

namespace {

/** Housekeeping: idle connections, kept list entries, the drain. */
constexpr Millis kTick{ 500 };
constexpr Millis kDrainTick{ 50 };

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

RequestFingerprint
FingerprintOf(const CallerRequest& aRequest, const std::string& aWorkspace)
{
  return RequestFingerprint::Of({ .mMethod = aRequest.mMethod,
                                  .mHost = aRequest.mHost,
                                  .mTarget = aRequest.mTarget,
                                  .mWorkspace = aWorkspace,
                                  .mBody = *aRequest.mBody });
}

RetryBudgetOptions
RetriesOf(const GateSettings& aSettings, size_t aEntries)
{
  const double saved = RetriesPerEntry(aSettings.mRetrySlack, aEntries);
  return { .mPercent = aSettings.mRetryPercent,
           .mInitial = saved,
           .mMax = saved };
}

/** The entries' questions leave gaps by themselves, up to their bound and one
 * part in so many of it. */
constexpr int64_t kUsualGapPart = 4;

DirectoryOptions
DirectoryOptionsOf(const GateSettings& aSettings)
{
  const Millis bound = TableWatchOptions::MaxAgeFor(aSettings.mMaxDrainDelay);
  // An entry lapses after three heartbeats of silence, one of which may pass
  // before the outage and one after it.
  const Millis least =
    std::max(aSettings.mHeartbeatInterval, bound + bound / kUsualGapPart);
  return { .mStore = { .mMinOutage = least } };
}

/** Entries that share the fleet's retries, before others are listed: one that
 * is never told of others has the slack for itself. */
size_t
EntriesAtStart(const GateSettings& aSettings)
{
  return aSettings.mPeerListen.empty() ? 1 : 0;
}

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
              .mKeyPolicyMaxAge = mOptions.mSettings.mKeyPolicyMaxAge,
              .mRetries = RetriesOf(mOptions.mSettings,
                                    EntriesAtStart(mOptions.mSettings)),
              .mName = mOptions.mSettings.mName,
              .mDirectory = DirectoryOptionsOf(mOptions.mSettings),
              .mOnCrashUpdate = [this] { OnCrashUpdate(); },
              .mOnLimitChange =
                [this](const LimitChange& aChange) { LogLimit(aChange); },
              .mOnPermitRequest =
                [this](const AddressedPermitRequest& aAsk) {
                  mPeers.RequestPermit(aAsk.mTo, aAsk.mRequest);
                },
              .mSeed = mOptions.mSeed })
  , mPool(aLoop,
          { .mOnRefused =
              [this](const UpstreamId& aUpstream) {
                mRouter.OnConnectionRefused(aUpstream, BootNow());
              },
            .mOnListening =
              [this](const UpstreamId& aUpstream) {
                mRouter.OnListening(aUpstream);
              } })
  , mContext{ .mLoop = aLoop,
              .mRouter = mRouter,
              .mPool = mPool,
              .mDialect = mOptions.mDialect,
              .mLog = mLog,
              .mMetrics = mMetrics,
              .mOnEnded =
                [this](Exchange* aEnded) { OnExchangeEnded(aEnded); } }
  , mCallers(
      aLoop,
      { .mAddress = mOptions.mSettings.mListen,
        .mMaxConnections = ConnectionsFor(mOptions.mSettings.mMaxDescriptors) },
      CallersHooks())
  , mOperators(aLoop,
               { .mAddress = mOptions.mSettings.mOperatorListen },
               OperatorHooks())
  , mPeers(aLoop, mOptions.mSettings.mPeerListen, HooksForPeers())
  , mTimer(aLoop)
  , mPages(OperatorPages())
  , mEntries(EntriesAtStart(mOptions.mSettings))
{
}

void
Gateway::Start(trefoilio::Kernel& /*aKernel*/)
{
  mOperators.Open();
  mCallers.Open();
  mPeers.Open();
  if (!PeerAddress().empty()) {
    mRouter.JoinPermitIssuers(BootNow());
  }
  mLog.Write(LineKind::Process,
             "started",
             { { "listen", mCallers.Address() },
               { "operator_listen", mOperators.Address() },
               { "platform", mOptions.mSettings.mPlatform },
               { "peer_listen", mPeers.Address() },
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
  mPeers.Close();
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
  const std::vector<std::string> faults = ValidateRoutePolicy(*aPolicy);
  const bool newer = mRouter.SetPolicy(std::move(aPolicy));
  mMetrics.OnPolicy(newer ? "taken" : "not_newer");
  mLog.Write(LineKind::StateChange,
             newer ? "policy_taken" : "policy_not_newer",
             { { "version", version },
               { "before", before },
               { "routes", routes },
               { "faults", faults.size() },
               { "first_fault", faults.empty() ? "" : faults.front() } });
  return newer;
}

void
Gateway::ConfirmPolicy(Millis aAt)
{
  mRouter.ConfirmPolicy(aAt);
}

void
Gateway::ChangeSettings(const GateSettings& aSettings)
{
  const GateSettings before = mOptions.mSettings;
  mOptions.mSettings.mKeyPolicyMaxAge = aSettings.mKeyPolicyMaxAge;
  mOptions.mSettings.mRetryPercent = aSettings.mRetryPercent;
  mOptions.mSettings.mRetrySlack = aSettings.mRetrySlack;
  mOptions.mSettings.mStopTimeout = aSettings.mStopTimeout;
  mOptions.mSettings.mMaxBodyBytes = aSettings.mMaxBodyBytes;
  mRouter.SetKeyPolicyMaxAge(aSettings.mKeyPolicyMaxAge);
  mRouter.SetRetries(RetriesOf(aSettings, mEntries));
  mLog.Write(
    LineKind::Process,
    "reloaded",
    { { "changed", ChangedNames(before, mOptions.mSettings) },
      { "needs_restart", ChangedNames(mOptions.mSettings, aSettings) } });
  mMetrics.OnReload("taken");
}

void
Gateway::RejectSettings(const std::vector<std::string>& aFaults)
{
  mLog.Write(LineKind::Process, "reload_refused", { { "faults", aFaults } });
  mMetrics.OnReload("refused");
}

void
Gateway::SetPeers(const std::vector<std::string>& aAddresses)
{
  mPeers.SetPeers(aAddresses);
  mEntries = mPeers.ListedCount() + 1;
  mRouter.SetRetries(RetriesOf(mOptions.mSettings, mEntries));
  mRouter.SetEntries(mEntries);
  mRouter.SetRelays(mPeers.SendsToSubset());
  mRouter.SetPermitEntries(PeerAddress(), aAddresses);
  mLog.Write(
    LineKind::StateChange, "peers", { { "listed", aAddresses.size() } });
}

Millis
Gateway::LastReceivedAt(const std::string& aName) const
{
  const auto place = mHeardAt.find(aName);
  return place == mHeardAt.end() ? Millis(0) : place->second;
}

PeerHooks
Gateway::HooksForPeers()
{
  return PeerHooks{
    .mHasPeerUpdate = [this] { return mRouter.HasPeerUpdate(); },
    .mTakePeerUpdate =
      [this] {
        PeerUpdate notes = mRouter.TakePeerUpdate(BootNow());
        notes.mTables = mTables.mGetCheckpoints();
        notes.mStoreServing = mRouter.Directory().StoreServing();
        return notes;
      },
    .mOnPeerUpdate =
      [this](const PeerUpdate& aNotes) {
        mHeardAt[aNotes.mFrom] = BootNow();
        mRouter.OnPeerUpdate(aNotes, BootNow());
        if (aNotes.mStoreServing) {
          OnStoreReport(*aNotes.mStoreServing);
        }
        mTables.mOnCheckpoints(aNotes.mTables);
      },
    .mOnTableUpdate =
      [this](const TableUpdate& aNews) { mTables.mOnTableUpdate(aNews); },
    .mOnCrashUpdate =
      [this](const CrashUpdate& aNews) {
        mRouter.OnCrashUpdate(aNews, BootNow());
      },
    .mOnPermitRequest =
      [this](const std::string& aFrom, const PermitRequest& aAsk) {
        return mRouter.OnPermitRequest(aFrom, aAsk, BootNow());
      },
    .mOnPermitReply =
      [this](const PermitReply& aReply) {
        mRouter.OnPermitReply(aReply, BootNow());
      }
  };
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
                            LineKind::Failure,
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
  if (mBodyBytes + aRequest.mBody->size() > mOptions.mSettings.mMaxBodyBytes) {
    RefuseUnbound(aCaller,
                  aRequest,
                  id,
                  Refusal{ .mKind = ErrorKind::TooManyOpen,
                           .mRetryAfter = kReturnLater,
                           .mMessage = "bodies fill the memory" });
    return;
  }
  const RequestAttributes facts =
    mOptions.mDialect.mRequestAttributes(aRequest);
  boost::leaf::try_handle_all(
    [&]() -> Result<void> {
      BOOST_LEAF_AUTO(bound, mRouter.Bind(facts, BootNow()));
      bound.mFingerprint = FingerprintOf(aRequest, bound.mWorkspace);
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
  mLog.Write(
    LineKind::Failure,
    "request_refused",
    { { "id", aId },
      { "kind", Name(aRefusal.mKind) },
      { "why", aRefusal.mMessage },
      { "host", aRequest.mHost },
      { "path", aRequest.mTarget },
      { "policy_version", mRouter.Index() ? mRouter.Index()->Version() : 0 },
      { "policy_age_ms", mRouter.PolicyFreshness().AgeMs(BootNow()) } });
  aCaller->Answer(RefusalHead(aRefusal), RefusalBody(aRefusal));
}

void
Gateway::Tick()
{
  const Millis now = BootNow();
  mRouter.TickCrashes(now);
  TellCrashNews(true);
  mCallers.CheckTimeouts(now);
  mOperators.CheckTimeouts(now);
  mPool.Sweep(
    [this](const UpstreamId& aUpstream) {
      return mRouter.Directory().Find(aUpstream) != nullptr;
    },
    now);
  if (mDraining) {
    ContinueDrain();
  }
  const Millis span = mDraining ? kDrainTick : kTick;
  mTimer.expires_after(std::chrono::milliseconds(span.Count()));
  mTimer.async_wait(
    [this, due = now + span](const boost::system::error_code& aError) {
      if (!aError) {
        mMetrics.OnLoopLag(std::max(Millis(0), BootNow() - due));
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
  if (done || span >= mOptions.mSettings.mStopTimeout) {
    mLoop.stop();
  }
}

} // namespace trefoilgate
