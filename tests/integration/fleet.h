#pragma once

#include "childprocess.h"
#include "opencall.h"
#include "temporaryfolder.h"

#include "libtrefoilio/callrunner.h"
#include "trefoilload/trace.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace integration {

/** What a Fleet is made of. */
struct FleetOptions
{
  size_t mEngines = 1;
  size_t mServices = 0;
  size_t mEntries = 1;
  bool mProxyChannels = false;  /**< between the entries and each sidecar */
  bool mProxyUpstreams = false; /**< between each sidecar and its upstream */
  bool mProxyPlatform = false;  /**< between all daemons and the platform */
  std::vector<std::string> mEngineFlags;
  std::vector<std::string> mSidecarFlags;
  std::vector<std::string> mEntryFlags;
};

/** A TCP relay between two processes, and its control. */
class Proxy
{
public:
  explicit Proxy(const std::string& aTarget);

  const std::string& Address() const { return mAddress; }
  /** Gives it an order; its counts. */
  nlohmann::json Order(const nlohmann::json& aOrder) const;
  nlohmann::json Counts() const;

private:
  ChildProcess mProcess;
  std::string mAddress;
  std::string mControl;
};

/** An upstream stand-in with its sidecar. */
struct UpstreamHost
{
  std::string mName;
  bool mEngine = true;
  std::unique_ptr<ChildProcess> mUpstream;
  std::unique_ptr<Proxy> mUpstreamProxy;
  std::unique_ptr<ChildProcess> mSidecar;
  std::unique_ptr<Proxy> mChannelProxy;
  std::string mState = "live"; /**< on the platform's list */
  std::string mRecordFile;     /**< executions, also of killed stand-ins */

  std::string UpstreamUrl() const;
  std::string OperatorUrl() const;
  /** Where entries reach the sidecar. */
  std::string ChannelAddress() const;
  /** Sends an order to the upstream stand-in's control. */
  void Control(const nlohmann::json& aOrder) const;
};

/** An execution as an upstream stand-in recorded it. */
struct SeenExecution
{
  std::string mUpstream;
  std::string mId;
  std::string mMark;
  int64_t mStarted = 0; /**< monotonic milliseconds */
  int64_t mEnded = 0;
  uint64_t mTokens = 0;
  bool mFinished = false;
  bool mCancelled = false;
};

/**
 * The whole system as real processes on loopback: started, made known to the
 * platform, given a policy and ready when the constructor returns.
 */
class Fleet
{
public:
  explicit Fleet(FleetOptions aOptions);

  std::string PlatformUrl() const;
  std::string EntryUrl(size_t aEntry = 0) const;
  std::string OperatorUrl(size_t aEntry = 0) const;
  ChildProcess& Entry(size_t aEntry = 0) { return *mEntries[aEntry]; }
  UpstreamHost& Upstream(size_t aUpstream = 0)
  {
    return *mUpstreams[aUpstream];
  }
  size_t UpstreamCount() const { return mUpstreams.size(); }
  Proxy& PlatformProxy() { return *mPlatformProxy; }
  void PlatformControl(const nlohmann::json& aOrder) const;

  /** Tells the platform the hosts as they are now. */
  void PublishHosts() const;
  /** Starts an upstream stand-in anew, on the same port. */
  void RestartUpstream(size_t aUpstream);
  /** Starts a sidecar anew beside its upstream, in place of the old one. */
  void RestartSidecar(size_t aUpstream);
  /** Starts an entry anew in place of the old one; does not await it. */
  void RestartEntry(size_t aEntry);
  /** Starts one entry more; does not await it. */
  void AddEntry();
  bool AwaitReady(size_t aEntry) const;

  /** Changes the policy through an entry; the answer and its status. */
  nlohmann::json ChangePolicy(const nlohmann::json& aOperations,
                              size_t aEntry = 0,
                              std::optional<uint64_t> aBase = std::nullopt);
  uint64_t PolicyVersion(size_t aEntry = 0) const;

  /** Sends a request to an entry. A key makes it repeatable. */
  std::unique_ptr<OpenCall> Send(const trefoilload::TraceRequest& aRequest,
                                 size_t aEntry = 0,
                                 const trefoilio::HttpHeaders& aMore = {});
  /** The same, with a mark of the caller's own. */
  std::unique_ptr<OpenCall> SendMarked(
    const trefoilload::TraceRequest& aRequest,
    const std::string& aMark,
    size_t aEntry = 0,
    const trefoilio::HttpHeaders& aMore = {});

  /** All executions, or those of one mark. */
  std::vector<SeenExecution> Executions(const std::string& aMark = "") const;
  /** How often upstreams ran it, those that were killed since included. */
  size_t RunsOf(const std::string& aMark) const;

private:
  void AddUpstream(size_t aNumber, bool aEngine);
  std::unique_ptr<ChildProcess> MakeUpstream(const UpstreamHost& aHost,
                                             const std::string& aListen) const;
  std::unique_ptr<ChildProcess> MakeSidecar(const UpstreamHost& aHost) const;
  std::unique_ptr<ChildProcess> MakeEntry(size_t aNumber) const;
  /** Where the daemons reach the platform. */
  std::string PlatformForDaemons() const;

  FleetOptions mOptions;
  TemporaryFolder mFolder;
  std::unique_ptr<ChildProcess> mPlatform;
  std::unique_ptr<Proxy> mPlatformProxy;
  std::vector<std::unique_ptr<UpstreamHost>> mUpstreams;
  std::vector<std::unique_ptr<ChildProcess>> mEntries;
  std::unique_ptr<trefoilio::CallRunner> mRunner;
  size_t mSent = 0;
  size_t mChanges = 0;
};

/** The policy that every fleet begins with. */
nlohmann::json
TestPolicy();

/** A streamed completion of the class, of that many tokens. */
trefoilload::TraceRequest
ChatRequest(const std::string& aClass, size_t aTokens, bool aStream = true);

/** The same, not idempotent. */
trefoilload::TraceRequest
OnceRequest(const std::string& aClass, size_t aTokens, bool aStream = true);

/** A call to the booking service that may not be repeated. */
trefoilload::TraceRequest
BookingRequest();

} // namespace integration
