#pragma once

#include "callerbuffers.h"
#include "callerlistener.h"
#include "calleruploads.h"
#include "connectionpool.h"
#include "coordinators.h"
#include "decisionlog.h"
#include "dialect.h"
#include "exchange.h"
#include "gatemetrics.h"
#include "gatesettings.h"
#include "linelimiter.h"
#include "loadgauges.h"
#include "parsequeue.h"
#include "peerlink.h"
#include "processwatch.h"

#include "libtrefoilarch/directrouter.h"
#include "libtrefoilarch/usageupdate.h"
#include "libtrefoilio/service.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace trefoilgate {

/**
 * After a planned stop begins, callers still arrive until the load balancer has
 * noticed; only then are idle connections closed. Requests that arrive later
 * may not end in time and are sent elsewhere.
 */
constexpr trefoilarch::Millis kDrainRotationDelay{ 3000 };

/** Options of a Gateway. */
struct GatewayOptions
{
  GateSettings mSettings;
  Dialect mDialect;
  /** Path at which the platform checks readiness. */
  std::string mReadyPath = "/ready";
  uint64_t mSeed = 1;
  /** Waits before a port that is in use is tried again; returns false if the
   * process is to stop. */
  std::function<bool(trefoilarch::Millis)> mAwaitPort =
    [](trefoilarch::Millis) { return false; };
};

/** The state of the store's tables in a Gateway's updates to other entries;
 * nothing if the hooks are not set. */
struct TableHooks
{
  using Checkpoints = std::vector<trefoilarch::PeerTableCheckpoint>;

  std::function<Checkpoints()> mGetCheckpoints = [] { return Checkpoints(); };
  std::function<void(const Checkpoints&)> mOnCheckpoints =
    [](const Checkpoints&) {};
  std::function<void(const trefoilarch::TableUpdate&)> mOnTableUpdate =
    [](const trefoilarch::TableUpdate&) {};
  /** The list of upstreams has to be confirmed at this store time. */
  std::function<void(trefoilarch::Millis)> mOnListConfirmationWanted =
    [](trefoilarch::Millis) {};
};

/** The usage reports of a Gateway; nothing if the hooks are not set. */
struct UsageHooks
{
  /** An upstream has begun a request of this workspace. */
  std::function<void(const std::string&)> mOnBegan = [](const std::string&) {};
  std::function<std::optional<trefoilarch::UsageReply>(
    const trefoilarch::UsageUpdate&)>
    mOnUpdate = [](const trefoilarch::UsageUpdate&) { return std::nullopt; };
  std::function<void(const trefoilarch::UsageReply&)> mOnReply =
    [](const trefoilarch::UsageReply&) {};
  /** Sets the gauges of the duty. */
  std::function<void(GateMetrics&)> mSetGauges = [](GateMetrics&) {};
  /** The state for the dump; null without a duty. */
  std::function<nlohmann::json()> mState = [] { return nlohmann::json(); };
};

/** A row of a table of the store that can't be used. */
struct UnreadableRow
{
  std::string_view mTable;
  /** The name of the log line. */
  const char* mEvent = "row_unreadable";
  const char* mKeyName = "key";
  std::string_view mKey;
  std::string_view mReason;
};

/** A response of the operator port. */
struct OperatorResponse
{
  int mStatus = 200;
  /** The content type, or empty. */
  std::string mType{};
  std::string mText{};
};

/**
 * An entry that sends callers' requests directly to upstreams: listens, binds
 * each request by the policy, and passes it to an Exchange. Everything runs on
 * a single event loop.
 */
class Gateway : public trefoilio::Service
{
public:
  Gateway(boost::asio::io_context& aLoop, GatewayOptions aOptions);

  void Start(trefoilio::Kernel& aKernel) override;
  /** Aborts what is still open. */
  void Stop() override;
  std::string DumpState() const override;

  /**
   * Reports not ready, closes connections after their answers, and lets open
   * requests continue. Stops the event loop when all are done or the timeout
   * has elapsed.
   */
  void Drain();

  /** Sets a policy from the store; returns whether it is newer. */
  bool SetPolicy(std::shared_ptr<const trefoilarch::RoutePolicy> aPolicy);
  void ConfirmPolicy(trefoilarch::Millis aAt);
  /** Applies a change to the directory and handles its effects. */
  void ChangeDirectory(
    const std::function<void(trefoilarch::UpstreamDirectory&)>& aChange);
  /** The store has responded at this store time; to be called before the
   * response's content is applied. */
  void OnStoreResponse(trefoilarch::Millis aStoreTime);
  /** The list has been read in full once. */
  void SetListLoaded() { mListLoaded = true; }
  /** The list was the newest at aAt, at store time aStoreTime. */
  void ConfirmList(trefoilarch::Millis aAt, trefoilarch::Millis aStoreTime);

  /** Sets the other entries' addresses. */
  void SetPeers(const std::vector<std::string>& aAddresses);
  void SetTableHooks(TableHooks aHooks) { mTableHooks = std::move(aHooks); }
  void SetUsageHooks(UsageHooks aHooks) { mUsageHooks = std::move(aHooks); }
  void SendUsage(const std::string& aAddress,
                 const trefoilarch::UsageUpdate& aUpdate)
  {
    mPeers.SendUsage(aAddress, aUpdate);
  }
  void SetCoordinators(Coordinators aCoordinators)
  {
    mCoordinators = std::move(aCoordinators);
  }
  const Coordinators& UsageCoordinators() const { return mCoordinators; }
  /** This entry and the other listed ones; 0 until the list is known. */
  size_t EntryCount() const { return mEntryCount; }
  /** Whether a planned stop has begun. */
  bool IsDraining() const { return mDraining; }
  void SendTableUpdate(const trefoilarch::TableUpdate& aUpdate)
  {
    mPeers.SendUpdate(aUpdate);
  }
  /** The address at which other entries reach this one; empty if there is
   * none. */
  std::string PeerAddress() const { return mPeers.Address(); }
  /** When the last message of this entry was received; 0 for never. */
  trefoilarch::Millis LastReceivedAt(const std::string& aName) const;
  const std::string& EntryName() const { return mOptions.mSettings.mName; }

  /** Applies the settings that a running process can change, and logs those
   * that need a restart. */
  void ChangeSettings(const GateSettings& aSettings);
  /** Logs faults in reloaded settings; the old settings stay in force. */
  void RejectSettings(const std::vector<std::string>& aFaults);

  /** The address for callers, once started. */
  std::string CallersAddress() const { return mCallers.Address(); }
  DecisionLog& Log() { return mLog; }
  trefoilarch::Quarantine& CrashQuarantine()
  {
    return mRouter.CrashQuarantine();
  }
  /** Counts a row that could not be read, and logs a bounded number a
   * second. */
  void OnUnreadableRow(const UnreadableRow& aRow);
  /** Logs why the process ends by itself. */
  void LogFailure(const std::string& aReason);

private:
  /** Of each kind of log line that others can cause. */
  static constexpr uint32_t kLinesPerSecond = 10;

  using Millis = trefoilarch::Millis;

  PeerHooks MakePeerHooks();
  CallerHooks MakeCallerHooks();
  CallerHooks MakeOperatorHooks();
  void OnRequest(const std::shared_ptr<CallerConnection>& aCaller,
                 CallerRequest aRequest);
  std::map<std::string, std::function<OperatorResponse()>, std::less<>>
  MakeOperatorHandlers();
  void OnOperatorRequest(const std::shared_ptr<CallerConnection>& aCaller,
                         const CallerRequest& aRequest);
  /** The limits of the policy, as far as the memory allows them. */
  trefoilarch::CallerLimits LimitsInForce() const;
  /** Empty if the request's key is unknown. */
  std::string WorkspaceOf(const CallerRequest& aRequest) const;
  /** Rejects a request whose body was not read. */
  void OnNoMemory(const std::shared_ptr<CallerConnection>& aCaller,
                  const CallerRequest& aRequest);
  void OnExchangeEnded(Exchange* aEnded);
  void RefuseRequest(const std::shared_ptr<CallerConnection>& aCaller,
                     const CallerRequest& aRequest,
                     const std::string& aId,
                     const trefoilarch::Refusal& aRefusal);
  OperatorResponse ReadinessResponse();
  /** Requests in quarantine, as JSON text. */
  std::string QuarantineText() const;
  /** Releases the request; returns 404 if it was not in quarantine. */
  int Release(std::string_view aFingerprint);
  /** The reason why requests can't be served; empty if they can. */
  std::string NotReadyReason() const;
  void LogReadiness(const std::string& aReason);
  std::string MetricsText();
  /** The fleet as this gate sees it, in the form of an entry's status. */
  std::string StatusText() const;
  void OnDirectoryChanged();
  /** Lets the list of upstreams be read if it is older than that. */
  void RequestListConfirmation(Millis aAt);
  /** Logs the software versions of a service whose set has changed. */
  void LogVersions();
  /** Drops upstreams that are gone by the known state of the store, after the
   * current event has been handled, as it may list some of them again. */
  void ExpireUpstreams();
  void OnStoreReport(const trefoilarch::StoreServingInterval& aInterval);
  /** Logs changes of the upstreams that are kept although the list lacks
   * them. */
  void LogUnlisted();
  /** Counts a load report that could not be read, and logs it at a bounded
   * rate. */
  void OnUnreadableLoad(const trefoilarch::UpstreamId& aUpstream);
  void LogLimit(const trefoilarch::LimitChange& aChange);
  void LogAvailability(const trefoilarch::AvailabilityChange& aChange);
  /** Sends and logs the update after the current event has been handled. */
  void OnCrashUpdate();
  void SendCrashUpdates(bool aRepeat);
  void LogCrashes();
  void LogLoadChanges(Millis aNow);
  /** Logs and counts a caller that is cut off. */
  void OnRejected(const RejectedRequest& aRejected);
  void OnCutCaller(const CutCaller& aCut);
  /** A connection was closed for the sake of others. */
  void OnClosedCaller(const CutCaller& aClosed);
  /** Cuts off callers that don't read, and gives up bodies that upstreams don't
   * read. */
  void CheckBuffers(Millis aNow);
  /** Sets the bounds that depend on settings, peers and policy. */
  void UpdateBufferBounds();
  /** Whether the list has the upstream at this address. */
  bool IsListedAt(const trefoilarch::UpstreamId& aUpstream,
                  const std::string& aAddress) const;
  /** Opens a port; while it is in use, tries again for as long as the process
   * that had it before may take to stop. */
  void OpenPort(const char* aName, const std::function<void()>& aOpen);
  void Tick();
  void ContinueDrain();

  boost::asio::io_context& mLoop;
  GatewayOptions mOptions;
  DecisionLog mLog;
  GateMetrics mMetrics;
  LoadGauges mLoadGauges{ mMetrics };
  trefoilarch::DirectRouter mRouter;
  ConnectionPool mPool;
  ProcessWatch mWriters;
  CallerBuffers mBuffers;
  CallerUploads mUploads;
  CallerMemory mMemory;
  ParseQueue mParseQueue;
  ExchangeContext mContext;
  CallerListener mCallers;
  CallerListener mOperators;
  PeerLink mPeers;
  TableHooks mTableHooks;
  UsageHooks mUsageHooks;
  Coordinators mCoordinators;
  boost::asio::steady_timer mTimer;
  /** By path. */
  std::map<std::string, std::function<OperatorResponse()>, std::less<>>
    mOperatorHandlers;
  std::unordered_map<Exchange*, std::shared_ptr<Exchange>> mExchanges;
  std::string mLastReason = "starting";
  bool mListLoaded = false;
  /** When the list was last confirmed, and the store's time then. */
  Millis mListConfirmedAt;
  Millis mListStoreTime;
  /** Software versions by service, as last logged. */
  std::map<std::string, std::vector<std::string>> mLoggedVersions;
  /** As last logged. */
  std::map<trefoilarch::UpstreamId, trefoilarch::UnlistedUpstream> mUnlisted;
  /** When the last message of each other entry was received. */
  std::map<std::string, Millis> mLastReceivedAt;
  size_t mEntryCount;
  /** By table, so that many rows of one hide none of another. */
  std::map<std::string, LineLimiter, std::less<>> mUnreadableRowLines;
  LineLimiter mRejectedLines{ kLinesPerSecond };
  LineLimiter mClosedLines{ kLinesPerSecond };
  /** Load reports that could not be read since the last log line of one. */
  uint64_t mUnreadableLoads = 0;
  std::optional<Millis> mUnreadableLoadLoggedAt;
  bool mCrashUpdateDue = false;
  bool mExpiryDue = false;
  bool mDraining = false;
  Millis mDrainingSince;
};

} // namespace trefoilgate
