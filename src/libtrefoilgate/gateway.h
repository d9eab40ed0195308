#pragma once

#include "callerlistener.h"
#include "connectionpool.h"
#include "decisionlog.h"
#include "dialect.h"
#include "exchange.h"
#include "gatemetrics.h"
#include "gatesettings.h"
#include "peerlink.h"

#include "libtrefoilarch/directrouter.h"
#include "libtrefoilio/service.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace trefoilgate {

/** What a Gateway needs to be made. */
struct GatewayOptions
{
  GateSettings mSettings;
  Dialect mDialect;
  /** Where the platform asks whether the process is ready. */
  std::string mReadyPath = "/ready";
  uint64_t mSeed = 1;
};

/** What a Gateway's notes to other entries say of the store's tables; nothing,
 * where the hooks are not set. */
struct TableHooks
{
  using Notes = std::vector<trefoilarch::PeerTableCheckpoint>;

  std::function<Notes()> mGetCheckpoints = [] { return Notes(); };
  std::function<void(const Notes&)> mOnCheckpoints = [](const Notes&) {};
  std::function<void(const trefoilarch::TableUpdate&)> mOnTableUpdate =
    [](const trefoilarch::TableUpdate&) {};
  /** The list of upstreams is to be confirmed when the store's clock shows
   * that. */
  std::function<void(trefoilarch::Millis)> mOnListConfirmationWanted =
    [](trefoilarch::Millis) {};
};

/** What the operator port answers. */
struct OperatorResponse
{
  int mStatus = 200;
  /** Empty, or the content's type. */
  std::string mType{};
  std::string mText{};
};

/**
 * An entry that sends callers' requests straight to upstreams: listens,
 * binds each request by the policy, and hands it to an Exchange. Everything
 * runs on the one loop.
 */
class Gateway : public trefoilio::Service
{
public:
  Gateway(boost::asio::io_context& aLoop, GatewayOptions aOptions);

  void Start(trefoilio::Kernel& aKernel) override;
  /** Cuts what is still open. */
  void Stop() override;
  std::string DumpState() const override;

  /** Not ready any more; answers close their connections; what is in flight
   * goes on. The loop ends when all is done or the time is up. */
  void Drain();

  /** A policy from its source; tells whether it was newer. */
  bool SetPolicy(std::shared_ptr<const trefoilarch::RoutePolicy> aPolicy);
  void ConfirmPolicy(trefoilarch::Millis aAt);
  /** Changes the directory by the given action, and takes note. */
  void ChangeDirectory(
    const std::function<void(trefoilarch::UpstreamDirectory&)>& aChange);
  /** The store has answered, and its clock showed that; to be told before
   * what the answer holds. */
  void OnStoreResponse(trefoilarch::Millis aReading);
  /** The list has been read as a whole once. */
  void SetListLoaded() { mListKnown = true; }
  /** The list was the newest at that instant, when the store's clock showed
   * aReading. */
  void ConfirmList(trefoilarch::Millis aAt, trefoilarch::Millis aReading);

  /** The other entries' addresses. */
  void SetPeers(const std::vector<std::string>& aAddresses);
  void SetTableHooks(TableHooks aHooks) { mTables = std::move(aHooks); }
  void SendTableUpdate(const trefoilarch::TableUpdate& aNews)
  {
    mPeers.SendUpdate(aNews);
  }
  /** Where other entries reach this one; empty where they can't. */
  std::string PeerAddress() const { return mPeers.Address(); }
  /** When that entry was last heard; 0 for never. */
  trefoilarch::Millis LastReceivedAt(const std::string& aName) const;
  const std::string& EntryName() const { return mOptions.mSettings.mName; }

  /** Takes over what a running process can change, and says in the log what
   * needs a restart. */
  void ChangeSettings(const GateSettings& aSettings);
  /** Settings that were read again have faults: the old ones stay. */
  void RejectSettings(const std::vector<std::string>& aFaults);

  /** Where callers connect, once it is started. */
  std::string CallersAddress() const { return mCallers.Address(); }
  DecisionLog& Log() { return mLog; }
  trefoilarch::Quarantine& CrashQuarantine()
  {
    return mRouter.CrashQuarantine();
  }
  /** A row of that table could not be read. */
  void CountUnreadableRow(std::string_view aTable)
  {
    mMetrics.OnUnreadableRow(aTable);
  }

private:
  using Millis = trefoilarch::Millis;

  PeerHooks HooksForPeers();
  CallerHooks CallersHooks();
  CallerHooks OperatorHooks();
  void OnRequest(const std::shared_ptr<CallerConnection>& aCaller,
                 CallerRequest aRequest);
  std::map<std::string, std::function<OperatorResponse()>, std::less<>>
  OperatorPages();
  void OnOperatorRequest(const std::shared_ptr<CallerConnection>& aCaller,
                         const CallerRequest& aRequest);
  void OnExchangeEnded(Exchange* aEnded);
  void RefuseUnbound(const std::shared_ptr<CallerConnection>& aCaller,
                     const CallerRequest& aRequest,
                     const std::string& aId,
                     const trefoilarch::Refusal& aRefusal);
  OperatorResponse ReadyPage();
  /** Requests in quarantine, as JSON text. */
  std::string QuarantineText() const;
  /** Lets the request go; the status that tells whether it was held back. */
  int Release(std::string_view aFingerprint);
  /** Empty where requests can be served, else the reason. */
  std::string NotReady() const;
  void LogReadiness(const std::string& aReason);
  std::string MetricsText();
  /** The fleet as this gate sees it, in the form of an entry's status. */
  std::string StatusText() const;
  void OnDirectoryChanged();
  /** Drops upstreams that are gone by what is known of the store, once the
   * event that is being handled is over: it may list some of them again. */
  void ExpireUpstreams();
  void OnStoreReport(const trefoilarch::StoreServingInterval& aRun);
  /** Which upstreams are kept though the list lacks them. */
  void LogUnlisted();
  void LogLimit(const trefoilarch::LimitChange& aChange);
  /** Tells and logs it once the event that is being handled is over. */
  void OnCrashUpdate();
  void TellCrashNews(bool aAgain);
  void LogCrashes();
  void Tick();
  void ContinueDrain();

  boost::asio::io_context& mLoop;
  GatewayOptions mOptions;
  DecisionLog mLog;
  GateMetrics mMetrics;
  trefoilarch::DirectRouter mRouter;
  ConnectionPool mPool;
  ExchangeContext mContext;
  CallerListener mCallers;
  CallerListener mOperators;
  PeerLink mPeers;
  TableHooks mTables;
  boost::asio::steady_timer mTimer;
  /** By path. */
  std::map<std::string, std::function<OperatorResponse()>, std::less<>> mPages;
  std::unordered_map<Exchange*, std::shared_ptr<Exchange>> mExchanges;
  /** Of the bodies of open requests. */
  uint64_t mBodyBytes = 0;
  std::string mLastReason = "starting";
  bool mListKnown = false;
  /** As it was last logged. */
  std::map<trefoilarch::UpstreamId, trefoilarch::UnlistedUpstream> mUnlisted;
  /** When each other entry was last heard. */
  std::map<std::string, Millis> mHeardAt;
  /** This one and the others that are listed; 0 before the list is known. */
  size_t mEntries;
  bool mCrashNewsDue = false;
  bool mExpiryDue = false;
  bool mDraining = false;
  Millis mDrainingSince;
};

} // namespace trefoilgate
