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

/** The processes of a Fleet and their flags. */
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

/** A TCP proxy between two processes that injects network faults. */
class Proxy
{
public:
  explicit Proxy(const std::string& aTarget);

  const std::string& Address() const { return mAddress; }
  /** Sends a command to the proxy; returns its counters. */
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
  std::string mState = "live"; /**< in the platform's host list */
  std::string mRecordFile;     /**< its executions; outlives a killed process */

  std::string UpstreamUrl() const;
  std::string OperatorUrl() const;
  /** The address at which entries connect to the sidecar. */
  std::string ChannelAddress() const;
  /** Sends a command to the control endpoint of the upstream stand-in. */
  void Control(const nlohmann::json& aOrder) const;
};

/** One execution of a request, as recorded by an upstream stand-in. */
struct ExecutionRecord
{
  std::string mUpstream;
  std::string mId;
  std::string mMark;
  int64_t mStartTime = 0; /**< monotonic milliseconds */
  int64_t mEndTime = 0;
  uint64_t mTokens = 0;
  bool mFinished = false;
  bool mCancelled = false;
};

/**
 * The complete system as real processes on loopback. When the constructor
 * returns, they run, are in the host list, have a policy and are ready.
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

  /** Sends the current host list to the platform. */
  void PublishHosts() const;
  /** Restarts an upstream stand-in on the same port. */
  void RestartUpstream(size_t aUpstream);
  /** Replaces the sidecar of an upstream by a new process. */
  void RestartSidecar(size_t aUpstream);
  /** Replaces an entry by a new process; does not wait for readiness. */
  void RestartEntry(size_t aEntry);
  /** Starts another entry; does not wait for readiness. */
  void AddEntry();
  bool AwaitReady(size_t aEntry) const;

  /** Changes the policy through an entry; returns status and body. */
  nlohmann::json ChangePolicy(
    const nlohmann::json& aOperations,
    size_t aEntry = 0,
    std::optional<uint64_t> aBaseVersion = std::nullopt);
  uint64_t PolicyVersion(size_t aEntry = 0) const;

  /** Sends a request to an entry. An idempotency key makes it repeatable. */
  std::unique_ptr<OpenCall> Send(
    const trefoilload::TraceRequest& aRequest,
    size_t aEntry = 0,
    const trefoilio::HttpHeaders& aExtraHeaders = {});
  /** Sends a request with the given mark. */
  std::unique_ptr<OpenCall> SendMarked(
    const trefoilload::TraceRequest& aRequest,
    const std::string& aMark,
    size_t aEntry = 0,
    const trefoilio::HttpHeaders& aExtraHeaders = {});

  /** All executions, or those of one mark. */
  std::vector<ExecutionRecord> Executions(const std::string& aMark = "") const;
  /** Counts executions, also by upstreams that were killed since. */
  size_t RunsOf(const std::string& aMark) const;

private:
  void AddUpstream(size_t aNumber, bool aEngine);
  std::unique_ptr<ChildProcess> MakeUpstream(const UpstreamHost& aHost,
                                             const std::string& aListen) const;
  std::unique_ptr<ChildProcess> MakeSidecar(const UpstreamHost& aHost) const;
  std::unique_ptr<ChildProcess> MakeEntry(size_t aNumber) const;
  /** The platform URL given to the daemons: the proxy's, if there is one. */
  std::string PlatformUrlForDaemons() const;

  FleetOptions mOptions;
  TemporaryFolder mFolder;
  std::unique_ptr<ChildProcess> mPlatform;
  std::unique_ptr<Proxy> mPlatformProxy;
  std::vector<std::unique_ptr<UpstreamHost>> mUpstreams;
  std::vector<std::unique_ptr<ChildProcess>> mEntries;
  std::unique_ptr<trefoilio::CallRunner> mRunner;
  size_t mSentCount = 0;
  size_t mChangeCount = 0;
};

/** The initial policy of every fleet. */
nlohmann::json
TestPolicy();

/** A chat completion request of the class with that many output tokens. */
trefoilload::TraceRequest
ChatRequest(const std::string& aClass, size_t aTokens, bool aStream = true);

/** A chat completion request that is not idempotent. */
trefoilload::TraceRequest
OnceRequest(const std::string& aClass, size_t aTokens, bool aStream = true);

/** A call to the booking service that is not idempotent. */
trefoilload::TraceRequest
BookingRequest();

} // namespace integration
