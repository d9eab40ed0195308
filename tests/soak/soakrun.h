#pragma once

#include "integration/rawcaller.h"
#include "platform/platformfleet.h"
#include "platform/usagereceiver.h"
#include "soakrecord.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace soak {

/** Seed, duration and size of a run. */
struct SoakOptions
{
  uint64_t mSeed = 1;
  int mSeconds = 10;
  size_t mGates = 3;
  size_t mWorkers = 4;
  size_t mCallers = 8;
};

/** The results of a run. */
struct SoakResult
{
  std::vector<std::string> mViolations;
  size_t mRequests = 0;
  size_t mServed = 0;
  size_t mFaults = 0;
};

/**
 * One seeded run: callers send requests, to which workers respond well and in
 * many faulty ways, while gates are killed, stopped, paused and restarted,
 * links are cut, delayed or silenced, the store fails and the policy changes.
 * At the end all faults are undone, and the records of callers and workers are
 * checked.
 */
class SoakRun
{
public:
  explicit SoakRun(SoakOptions aOptions);

  SoakResult Run();

private:
  friend class SoakFaults;

  void CallerLoop(size_t aCaller);
  void Record(SoakRecord aRecord);
  /** Takes up a resumable stream that broke off, at any gate. */
  SoakRecord TakeUp(std::mt19937_64& aRandom, const SoakRecord& aBroken);
  SoakRecord MakeCall(std::mt19937_64& aRandom, size_t aCaller, int aNumber);
  /** Sends the request, records the response's head and returns its body. */
  integration::RawAnswer Exchange(SoakRecord& aRecord,
                                  platformtest::GateCall aCall) const;
  void CallStream(SoakRecord& aRecord,
                  const platformtest::GateCall& aCall) const;
  std::string AddressOf(size_t aGate) const;
  void UpdateAddress(size_t aGate);
  void FaultLoop();

  SoakOptions mOptions;
  /** Started before the gates that report to it. */
  platformtest::UsageReceiver mUsageReceiver;
  platformtest::PlatformFleet mFleet;
  mutable std::mutex mMutex;
  std::vector<std::string> mAddresses;
  std::vector<SoakRecord> mRecords;
  std::vector<FaultInterval> mIntervals;
  std::vector<Revocation> mRevoked;
  std::string mGoodKey = "key-1";
  std::string mSecondKey = "key-2";
  std::atomic<bool> mStop = false;
};

/** The host's steady clock in ms. */
int64_t
SteadyNow();

/** Checks what reached workers that stated that they leave, or that asked for a
 * pause; appends all violations. */
void
CheckStatements(const std::vector<SoakRecord>& aRecords,
                const std::vector<nlohmann::json>& aRuns,
                const std::vector<nlohmann::json>& aRefusals,
                const std::vector<FaultInterval>& aIntervals,
                std::vector<std::string>& aViolations);

/** The software version of a worker in the soak. */
std::string
VersionOf(size_t aWorker);

/** Checks that streams go on at the software version that began them; appends
 * all violations. */
void
CheckVersions(const std::vector<SoakRecord>& aRecords,
              const std::vector<nlohmann::json>& aRuns,
              std::vector<std::string>& aViolations);

/** A fault, and how it is undone. */
struct SoakFault
{
  std::string mName;
  /** Affects one gate. */
  bool mTargetsGate = false;
  /** Affects one worker. */
  bool mTargetsWorker = false;
  std::function<void(platformtest::PlatformFleet&, size_t)> mInject;
  std::function<void(platformtest::PlatformFleet&, size_t)> mUndo;
  /** The gate is a new process afterwards. */
  bool mRestarts = false;
};

/** All faults from which a run chooses. */
const std::vector<SoakFault>&
SoakFaultList();

/** Checks the records against the documented guarantees; returns all
 * violations. aRefusals are the requests that workers refused. */
std::vector<std::string>
CheckSoak(const std::vector<SoakRecord>& aRecords,
          const std::vector<nlohmann::json>& aRuns,
          const std::vector<nlohmann::json>& aRefusals,
          const std::vector<FaultInterval>& aIntervals,
          const std::vector<Revocation>& aRevoked,
          int aRevokeMs);

} // namespace soak
