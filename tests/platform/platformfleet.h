#pragma once

#include "integration/childprocess.h"
#include "integration/fleet.h"
#include "integration/httpcall.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace platformtest {

/** Options of a PlatformFleet. */
struct FleetOptions
{
  size_t mWorkers = 1;
  size_t mGates = 1;
  /** A revoked key is honoured no longer than this. */
  int mRevokeMs = 5000;
  int mStopSeconds = 8;
  /** Retries of all gates together in addition to the share of requests. */
  double mRetrySlack = 50;
  double mMemoryMb = 512;
  int mCallerStallMs = 10000;
  /** Whether a fault proxy is used for each worker, and for the store of each
   * gate. */
  bool mProxied = false;
  /** Whether gates read timeouts and budgets from the settings file only. */
  bool mSettingsFromFile = false;
  /** Whether gates exchange updates. */
  bool mPeers = false;
  /** The address that accepts usage reports; empty if there is none. */
  std::string mUsageReceiver{};
  int mUsageWindowSeconds = 1;
  /** Software versions of the first workers, in the entries that List() and
   * ListProcess() write. */
  std::vector<std::string> mVersions{};
};

/** One request to a gate. */
struct GateCall
{
  std::string mId = "1";
  std::string mMethod = "GET";
  /** The routes are `/safe/`, `/once/`, `/stream/` and `/resume/`. */
  std::string mPath = "/safe/x";
  /** What the worker does; see the worker's plans. */
  std::string mPlan = "ok";
  std::string mKey = "key-1";
  std::string mBody{};
  int mDeadlineMs = 5000;
  trefoilio::HttpHeaders mHeaders{};
};

/**
 * A store, workers and gates as real processes on loopback, with a policy of
 * four routes to one service and one workspace.
 */
class PlatformFleet
{
public:
  explicit PlatformFleet(FleetOptions aOptions = {});

  /** Waits until every gate is ready. */
  void AwaitReady();
  /** Waits until every gate knows all others; returns false on timeout. */
  bool AwaitPeers() const;

  trefoilio::HttpReply Call(const GateCall& aCall, size_t aGate = 0) const;
  /** The request in HTTP format, for raw callers. */
  static std::string Text(const GateCall& aCall);

  /** All runs that a worker has recorded. */
  nlohmann::json Runs(size_t aWorker) const;
  /** Number of requests that a worker is running. */
  int Running(size_t aWorker) const;
  /** The runs of this request at all workers. */
  std::vector<nlohmann::json> RunsOf(const std::string& aId) const;
  /** Sets what the worker does with its next requests. */
  void SetPlan(size_t aWorker, const std::string& aPlan, int aTimes) const;

  /** The requests that a worker has refused without running them. */
  nlohmann::json Refusals(size_t aWorker) const;
  /** Whether the worker's answers state that it is leaving. */
  void SetLeaving(size_t aWorker, const std::string& aText) const;
  /** The worker refuses requests and asks for a pause; empty: no longer. */
  void SetPause(size_t aWorker, const std::string& aSeconds) const;
  /** Sets what follows the three figures of the worker's load reports. */
  void SetLoadSuffix(size_t aWorker, const std::string& aText) const;
  /** Sets the rate limit in the worker's answers; empty for none. */
  void SetLimit(size_t aWorker, const std::string& aLimit) const;

  /** Returns the fleet's policy with this version and these keys. */
  static nlohmann::json MakePolicy(uint64_t aVersion,
                                   const std::vector<std::string>& aKeys);
  void PutPolicy(const nlohmann::json& aPolicy) const;
  void List(size_t aWorker, const std::string& aState = "ready") const;
  /** Lists the worker with this software version. */
  void ListVersion(size_t aWorker,
                   const std::string& aVersion,
                   const std::string& aState = "ready") const;
  /** Lists a ready process of the worker with this start time. */
  void ListProcess(size_t aWorker, int64_t aStartTime) const;
  void ListAs(const std::string& aId,
              const std::string& aAddress,
              const std::string& aState = "ready") const;
  /** Puts any value into the store, bypassing its rules. */
  void PutRow(const std::string& aTable,
              const std::string& aKey,
              const nlohmann::json& aValue) const;
  /** The entry of a worker with this start time in Unix milliseconds. */
  static nlohmann::json EntryOf(const std::string& aAddress,
                                int64_t aStartTime,
                                uint64_t aSequence = 1);
  void Unlist(const std::string& aId) const;
  /** Sends a control command such as `{"fault":...}`; returns the store's
   * counters. */
  nlohmann::json Control(const nlohmann::json& aOrder) const;

  void StartGate();
  /** Replaces the gate's process by a new one. */
  void RestartGate(size_t aGate);
  /** Proxies of a proxied fleet. */
  integration::Proxy& StoreProxy(size_t aGate) { return *mStoreProxies[aGate]; }
  integration::Proxy& WorkerProxy(size_t aWorker)
  {
    return *mWorkerProxies[aWorker];
  }
  integration::ChildProcess& Gate(size_t aGate) { return *mGates[aGate]; }
  integration::ChildProcess& Worker(size_t aWorker)
  {
    return *mWorkers[aWorker];
  }
  std::string GateAddress(size_t aGate) const;
  std::string OperatorAddress(size_t aGate) const;
  std::string WorkerAddress(size_t aWorker) const;
  int ReadyStatus(size_t aGate) const;
  /** The gate's metrics in text form. */
  std::string Metrics(size_t aGate = 0) const;
  /** The gate's log lines of this event, parsed. */
  std::vector<nlohmann::json> LogOf(size_t aGate,
                                    const std::string& aEvent) const;

private:
  FleetOptions mOptions;
  std::unique_ptr<integration::ChildProcess> mStore;
  std::vector<std::unique_ptr<integration::ChildProcess>> mWorkers;
  std::vector<std::unique_ptr<integration::ChildProcess>> mGates;
  std::vector<std::unique_ptr<integration::Proxy>> mStoreProxies;
  std::vector<std::unique_ptr<integration::Proxy>> mWorkerProxies;

  /** The entry with the worker's software version, if it has one. */
  nlohmann::json WithVersion(size_t aWorker, nlohmann::json aEntry) const;
  /** Where gates reach the worker. */
  std::string ListedAddress(size_t aWorker) const;
  std::unique_ptr<integration::ChildProcess> MakeGate(size_t aGate) const;
};

} // namespace platformtest
