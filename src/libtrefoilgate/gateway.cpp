#include "gateway.h"

#include "bootclock.h"

#include "libtrefoilarch/routepolicyvalidation.h"
#include "libtrefoilarch/tablewatch.h"

#include <boost/asio/error.hpp>
#include <boost/system/system_error.hpp>

#include <algorithm>
#include <chrono>

namespace trefoilgate {

using namespace trefoilarch;

namespace {

/** Interval of housekeeping: idle connections, unlisted upstreams, the
 * drain. */
constexpr Millis kTickInterval{ 500 };
constexpr Millis kDrainTickInterval{ 50 };

/** Idle timeout of connections during a stop: a caller that has just connected
 * is about to send. */
constexpr Millis kDrainIdleTimeout{ 400 };

/** Interval at which a port that is in use is tried again, and the time beyond
 * a planned stop after which it is given up. */
constexpr Millis kPortRetryInterval{ 100 };
constexpr Millis kPortReleaseMargin{ 2000 };

/** Descriptors reserved for other purposes: upstreams, store, files. */
constexpr size_t kReservedDescriptors = 800;

/** The memory for connections divided by this is for what no other budget has
 * admitted, even if uploads and answers have taken theirs. */
constexpr size_t kUnadmittedShareDivisor = 4;

/** Connections of operators and of the platform's health checks. */
constexpr size_t kMaxOperatorConnections = 256;

RetryBudgetOptions
RetryOptionsOf(const GateSettings& aSettings, size_t aEntries)
{
  const double slack = RetriesPerEntry(aSettings.mRetrySlack, aEntries);
  return { .mPercent = aSettings.mRetryPercent,
           .mInitial = slack,
           .mMax = slack };
}

/** Gaps between the entries' queries last up to their bound plus the bound
 * divided by this. */
constexpr int64_t kUsualGapDivisor = 4;

LoadTrackerOptions
LoadOptionsOf(const GateSettings& aSettings)
{
  return { .mUpstreamPerformance = aSettings.mUpstreamPerformance,
           .mEngineMemory = aSettings.mEngineMemory,
           .mFairShares = aSettings.mFairShares };
}

DirectoryOptions
DirectoryOptionsOf(const GateSettings& aSettings)
{
  const Millis bound = TableWatchOptions::MaxAgeFor(aSettings.mMaxDrainDelay);
  // A list entry expires after three heartbeats of silence, one of which may
  // pass before the outage and one after it.
  const Millis minOutage =
    std::max(aSettings.mHeartbeatInterval, bound + bound / kUsualGapDivisor);
  return { .mStore = { .mMinOutage = minOutage } };
}

/** Number of entries that share the fleet's retries until peers are listed:
 * an entry without peers has all of them. */
size_t
InitialEntryCount(const GateSettings& aSettings)
{
  return aSettings.mPeerListen.empty() ? 1 : 0;
}

size_t
MaxConnectionsFor(uint32_t aDescriptors)
{
  return aDescriptors > 2 * kReservedDescriptors
           ? aDescriptors - kReservedDescriptors
           : aDescriptors / 2;
}

ConnectionBudgetOptions
ConnectionMemoryFor(const GateSettings& aSettings)
{
  return { .mTotalBytes = aSettings.mConnectionBytes,
           .mUnadmittedBytes =
             aSettings.mConnectionBytes / kUnadmittedShareDivisor };
}

} // namespace

Gateway::Gateway(boost::asio::io_context& aLoop, GatewayOptions aOptions)
  : mLoop(aLoop)
  , mOptions(std::move(aOptions))
  , mLog({ .mProcess = mOptions.mSettings.mName })
  , mRouter({ .mDataCentre = mOptions.mSettings.mDataCentre,
              .mKeyPolicyMaxAge = mOptions.mSettings.mKeyPolicyMaxAge,
              .mConnectedSince =
                [this](const UpstreamId& aUpstream) {
                  return mPool.ConnectedSince(aUpstream);
                },
              .mIdleConnections =
                [this](const UpstreamId& aUpstream) {
                  return mPool.IdleCount(aUpstream);
                },
              .mRetries = RetryOptionsOf(mOptions.mSettings,
                                         InitialEntryCount(mOptions.mSettings)),
              .mName = mOptions.mSettings.mName,
              .mDirectory = DirectoryOptionsOf(mOptions.mSettings),
              .mLoad = LoadOptionsOf(mOptions.mSettings),
              .mOnCrashUpdate = [this] { OnCrashUpdate(); },
              .mOnLimitChange =
                [this](const LimitChange& aChange) { LogLimit(aChange); },
              .mOnAvailabilityChange =
                [this](const AvailabilityChange& aChange) {
                  LogAvailability(aChange);
                },
              .mOnPermitRequest =
                [this](const AddressedPermitRequest& aRequest) {
                  mPeers.RequestPermit(aRequest.mTo, aRequest.mRequest);
                },
              .mOnStreamRecord =
                [this](const AddressedStreamRecord& aRecord) {
                  mPeers.SendStreamRecord(aRecord);
                },
              .mOnStreamQuery =
                [this](const AddressedStreamQuery& aQuery) {
                  mPeers.SendStreamQuery(aQuery);
                },
              .mOnListConfirmationWanted =
                [this](Millis aAt) { RequestListConfirmation(aAt); },
              .mSeed = mOptions.mSeed })
  , mPool(aLoop,
          { .mOnRefused =
              [this](const UpstreamId& aUpstream, const std::string& aAddress) {
                if (IsListedAt(aUpstream, aAddress)) {
                  mRouter.OnConnectionRefused(aUpstream, BootNow());
                }
              },
            .mOnListening =
              [this](const UpstreamId& aUpstream, const std::string& aAddress) {
                if (IsListedAt(aUpstream, aAddress)) {
                  mRouter.OnListening(aUpstream);
                }
              } })
  , mWriters(aLoop, mPool)
  , mBuffers(aLoop,
             { .mTotalBytes = mOptions.mSettings.mAnswerBufferBytes,
               .mStallTimeout = mOptions.mSettings.mCallerStall },
             [this](const CutCaller& aCut) { OnCutCaller(aCut); })
  , mUploads(aLoop, { .mTotalBytes = mOptions.mSettings.mMaxBodyBytes })
  , mMemory(ConnectionMemoryFor(mOptions.mSettings),
            [this](const CutCaller& aCut) { OnClosedCaller(aCut); })
  , mParseQueue(aLoop)
  , mContext{
    .mLoop = aLoop,
    .mRouter = mRouter,
    .mPool = mPool,
    .mWriters = mWriters,
    .mDialect = mOptions.mDialect,
    .mLog = mLog,
    .mMetrics = mMetrics,
    .mBuffers = mBuffers,
    .mOnBegan =
      [this](const std::string& aWorkspace) {
        mUsageHooks.mOnBegan(aWorkspace);
      },
    .mOnUnreadableLoad =
      [this](const UpstreamId& aUpstream) { OnUnreadableLoad(aUpstream); },
    .mOnEnded = [this](Exchange* aEnded) { OnExchangeEnded(aEnded); }
  }
  , mCallers(
      aLoop,
      { .mAddress = mOptions.mSettings.mListen,
        .mMaxConnections =
          MaxConnectionsFor(mOptions.mSettings.mMaxDescriptors),
        .mOnCut = [this](const CutCaller& aCut) { OnClosedCaller(aCut); } },
      MakeCallerHooks())
  , mOperators(
      aLoop,
      { .mAddress = mOptions.mSettings.mOperatorListen,
        .mMaxConnections = kMaxOperatorConnections,
        .mOnCut = [this](const CutCaller& aCut) { OnClosedCaller(aCut); } },
      MakeOperatorHooks())
  , mPeers(aLoop, mOptions.mSettings.mPeerListen, MakePeerHooks())
  , mTimer(aLoop)
  , mOperatorHandlers(MakeOperatorHandlers())
  , mEntryCount(InitialEntryCount(mOptions.mSettings))
{
}

void
Gateway::Start(trefoilio::Kernel& /*aKernel*/)
{
  OpenPort("operator_listen", [this] { mOperators.Open(); });
  OpenPort("listen", [this] { mCallers.Open(); });
  OpenPort("peer_listen", [this] { mPeers.Open(); });
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
Gateway::OpenPort(const char* aName, const std::function<void()>& aOpen)
{
  const Millis deadline =
    BootNow() + mOptions.mSettings.mStopTimeout + kPortReleaseMargin;
  for (bool waited = false;; waited = true) {
    try {
      aOpen();
      return;
    } catch (const boost::system::system_error& error) {
      const bool inUse = error.code() == boost::asio::error::address_in_use;
      if (!inUse || BootNow() >= deadline ||
          !mOptions.mAwaitPort(kPortRetryInterval)) {
        throw;
      }
      if (!waited) {
        mLog.Write(LineKind::Process, "port_in_use", { { "port", aName } });
      }
    }
  }
}

void
Gateway::LogFailure(const std::string& aReason)
{
  mLog.Write(LineKind::Process, "failed", { { "why", aReason } });
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
  const Millis now = BootNow();
  nlohmann::json dump = nlohmann::json::parse(mRouter.DumpState(now));
  dump["slow_upstreams"] = mRouter.Load().SlowUpstreams(now).at("slow");
  dump["workspaces"] = mRouter.Load().Workspaces(now).at("workspaces");
  nlohmann::json usage = mUsageHooks.mState();
  if (!usage.is_null()) {
    dump["usage"] = std::move(usage);
  }
  return dump.dump();
}

void
Gateway::Drain()
{
  if (mDraining) {
    return;
  }
  mDraining = true;
  mDrainingSince = BootNow();
  mRouter.SetStopAt(mDrainingSince + mOptions.mSettings.mStopTimeout);
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
  UpdateBufferBounds();
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
  mOptions.mSettings.mAnswerBufferBytes = aSettings.mAnswerBufferBytes;
  mOptions.mSettings.mConnectionBytes = aSettings.mConnectionBytes;
  mMemory.Budget().SetOptions(ConnectionMemoryFor(mOptions.mSettings));
  UpdateBufferBounds();
  if (mDraining) {
    mRouter.SetStopAt(mDrainingSince + mOptions.mSettings.mStopTimeout);
  }
  mRouter.SetKeyPolicyMaxAge(aSettings.mKeyPolicyMaxAge);
  mRouter.SetRetries(RetryOptionsOf(aSettings, mEntryCount));
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
  mEntryCount = mPeers.ListedCount() + 1;
  mRouter.SetRetries(RetryOptionsOf(mOptions.mSettings, mEntryCount));
  mRouter.SetEntries(mEntryCount);
  UpdateBufferBounds();
  mRouter.SetRelays(mPeers.SendsToSubset());
  mRouter.SetPermitEntries(PeerAddress(), aAddresses);
  mLog.Write(
    LineKind::StateChange, "peers", { { "listed", aAddresses.size() } });
}

Millis
Gateway::LastReceivedAt(const std::string& aName) const
{
  const auto found = mLastReceivedAt.find(aName);
  return found == mLastReceivedAt.end() ? Millis(0) : found->second;
}

PeerHooks
Gateway::MakePeerHooks()
{
  return PeerHooks{
    .mHasPeerUpdate = [this] { return mRouter.HasPeerUpdate(); },
    .mTakePeerUpdate =
      [this] {
        PeerUpdate update = mRouter.TakePeerUpdate(BootNow());
        update.mTables = mTableHooks.mGetCheckpoints();
        update.mStoreServing = mRouter.Directory().StoreServing();
        return update;
      },
    .mOnPeerUpdate =
      [this](const PeerUpdate& aPeerUpdate) {
        mLastReceivedAt[aPeerUpdate.mFrom] = BootNow();
        mRouter.OnPeerUpdate(aPeerUpdate, BootNow());
        if (aPeerUpdate.mStoreServing) {
          OnStoreReport(*aPeerUpdate.mStoreServing);
        }
        mTableHooks.mOnCheckpoints(aPeerUpdate.mTables);
      },
    .mOnTierUpdate =
      [this](const TierUpdate& aUpdate) {
        mRouter.OnTierUpdate(aUpdate, BootNow());
      },
    .mOnTableUpdate =
      [this](const TableUpdate& aUpdate) {
        mTableHooks.mOnTableUpdate(aUpdate);
      },
    .mOnCrashUpdate =
      [this](const CrashUpdate& aUpdate) {
        mRouter.OnCrashUpdate(aUpdate, BootNow());
      },
    .mOnPermitRequest =
      [this](const std::string& aFrom, const PermitRequest& aRequest) {
        return mRouter.OnPermitRequest(aFrom, aRequest, BootNow());
      },
    .mOnPermitReply =
      [this](const PermitReply& aReply) {
        mRouter.OnPermitReply(aReply, BootNow());
      },
    .mOnStreamRecord =
      [this](const StreamOriginRecord& aRecord) {
        mRouter.OnStreamRecord(aRecord, BootNow());
      },
    .mOnStreamQuery =
      [this](StreamKey aStream) {
        return mRouter.OnStreamQuery(aStream, BootNow());
      },
    .mOnUsageUpdate =
      [this](const UsageUpdate& aUpdate) {
        return mUsageHooks.mOnUpdate(aUpdate);
      },
    .mOnUsageReply =
      [this](const UsageReply& aReply) { mUsageHooks.mOnReply(aReply); },
    .mHasLoadUpdate = [this] { return mRouter.Load().HasUpdate(BootNow()); },
    .mTakeLoadUpdate = [this] { return mRouter.Load().TakeUpdate(BootNow()); },
    .mOnLoadUpdate =
      [this](const LoadUpdate& aUpdate) {
        mRouter.Load().OnUpdate(aUpdate, BootNow());
      },
    .mHasConnectionUse = [this] { return mRouter.HasConnectionUse(BootNow()); },
    .mTakeConnectionUse =
      [this] { return mRouter.TakeConnectionUse(BootNow()); },
    .mOnConnectionUse =
      [this](const ConnectionUseUpdate& aUpdate) {
        mRouter.OnConnectionUse(aUpdate, BootNow());
      }
  };
}

bool
Gateway::IsListedAt(const UpstreamId& aUpstream,
                    const std::string& aAddress) const
{
  const ListedUpstream* listed = mRouter.Directory().Find(aUpstream);
  return listed != nullptr && listed->mAddress == aAddress;
}

void
Gateway::Tick()
{
  const Millis now = BootNow();
  mRouter.TickCrashes(now);
  SendCrashUpdates(true);
  LogLoadChanges(now);
  mCallers.CheckTimeouts(now);
  mOperators.CheckTimeouts(now);
  CheckBuffers(now);
  mPool.Sweep(
    [this](const UpstreamId& aUpstream) {
      return mRouter.Directory().Find(aUpstream) != nullptr;
    },
    [this, now](const UpstreamId& aUpstream) {
      return mRouter.MaxIdleConnections(aUpstream, now);
    },
    now);
  if (mDraining) {
    ContinueDrain();
  }
  const Millis interval = mDraining ? kDrainTickInterval : kTickInterval;
  mTimer.expires_after(std::chrono::milliseconds(interval.Count()));
  mTimer.async_wait(
    [this, due = now + interval](const boost::system::error_code& aError) {
      if (!aError) {
        mMetrics.OnLoopLag(std::max(Millis(0), BootNow() - due));
        Tick();
      }
    });
}

void
Gateway::ContinueDrain()
{
  const Millis elapsed = BootNow() - mDrainingSince;
  if (elapsed < kDrainRotationDelay) {
    return;
  }
  mCallers.CloseIdle(kDrainIdleTimeout, BootNow());
  const bool done = mExchanges.empty() && mCallers.Connections() == 0;
  if (done || elapsed >= mOptions.mSettings.mStopTimeout) {
    mLoop.stop();
  }
}

} // namespace trefoilgate
