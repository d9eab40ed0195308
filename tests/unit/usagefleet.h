#pragma once

#include "modelevents.h"
#include "modelrandom.h"

#include "libtrefoilarch/agreedtime.h"
#include "libtrefoilarch/usagecounter.h"
#include "libtrefoilarch/usagereporter.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace usagefleet {

using trefoilarch::Millis;

/** Faults of a history; each happens this often. */
struct FleetOptions
{
  uint32_t mSeed = 1;
  int64_t mSeconds = 60;
  /** Share of updates that are lost, in percent. */
  uint32_t mLossPercent = 1;
  int mKills = 0;
  int mCuts = 0;
  int mFreezes = 0;
  /** Each outage of the store lasts up to this long, in milliseconds. */
  int mOutages = 0;
  int64_t mMaxOutage = 4000;
  /** Each return of the store from a copy of up to mMaxCopyAge, in
   * milliseconds, ends an outage of up to mMaxOutage. */
  int mRestores = 0;
  int64_t mMaxCopyAge = 6000;
  /** Entries; the first three are coordinators. */
  size_t mHosts = 8;
  /** Clocks of half of the hosts jump by up to three seconds, for a while. */
  bool mClocksJump = false;
  /** Whether windows are of the time that the fleet has agreed on. */
  bool mUsesAgreedTime = true;
};

/** What the receiver got, compared with the truth. */
struct FleetResult
{
  uint64_t mWindows = 0;
  uint64_t mMissed = 0;
  /** Reported windows with a workspace whose count is off by over 5%. */
  uint64_t mWrong = 0;
  /** The largest error of a workspace, as a share of its requests. */
  double mLargestError = 0;
  /** The same if each entry wrote its counts to the store when the window had
   * ended, and a killed entry's were lost. */
  double mLargestErrorOfRows = 0;
  uint64_t mUpdates = 0;
  uint64_t mStoreCalls = 0;
  uint64_t mReceiverCalls = 0;
  /** Windows that no holder could vouch for. */
  uint64_t mSkipped = 0;
  /** A broken promise at the receiver; empty if none. */
  std::string mViolation;
};

/**
 * Entries in virtual time whose upstreams begin requests of several
 * workspaces. Three of the entries are coordinators. The requests' true times
 * are known to the model alone.
 */
class UsageFleet
  : private ModelRandom
  , private ModelEvents
{
public:
  explicit UsageFleet(FleetOptions aOptions);

  FleetResult Run();

private:
  struct Host
  {
    std::string mName;
    bool mCoordinator = false;
    /** Local time less true time. */
    Millis mBootOffset;
    /** Host's clock less true time. */
    Millis mClockError;
    uint64_t mProcess = 0;
    bool mRunning = false;
    bool mFrozen = false;
    bool mCut = false;
    Millis mSentAt;
    /** The true counts of the process. */
    std::map<uint64_t, trefoilarch::UsageCollector::Counts> mBegun;
    std::unique_ptr<trefoilarch::UsageCounter> mCounter;
    std::unique_ptr<trefoilarch::UsageReporter> mReporter;
    trefoilarch::AgreedTime mTime;
  };

  Millis Local(const Host& aHost) const { return mNow + aHost.mBootOffset; }
  Millis Wall(const Host& aHost) const;
  Millis UnixTime(const Host& aHost) const;
  void StartHost(size_t aHost);
  void KillHost(size_t aHost);
  void PlanFaults();
  void Step();
  void BeginRequests(size_t aHost);
  void TickHost(size_t aHost);
  void SendCounts(size_t aHost);
  void Deliver(size_t aFrom,
               size_t aTo,
               const trefoilarch::UsageUpdate& aUpdate);
  void Perform(size_t aHost, const trefoilarch::DutyActions& aActions);
  void ReadStore(size_t aHost);
  void WriteStore(size_t aHost, const trefoilarch::WriteDutyRows& aWrite);
  void CallReceiver(size_t aHost, const trefoilarch::CallReceiver& aCall);
  void Accept(size_t aHost, const trefoilarch::CallReceiver& aCall);
  void RestoreStore(Millis aCopyAge);
  /** Runs the action later, unless the process has ended by then. */
  void Later(size_t aHost, int64_t aDelay, std::function<void()> aAction);
  void Compare(FleetResult& aResult) const;
  double ErrorOfRows(uint64_t aWindow,
                     const trefoilarch::UsageCollector::Counts& aTruth) const;
  static double LargestError(
    const trefoilarch::UsageCollector::Counts& aTruth,
    const trefoilarch::UsageCollector::Counts& aReported);

  FleetOptions mOptions;
  std::vector<Host> mHosts;
  bool mStoreDown = false;
  struct Store
  {
    uint64_t mVersion = 1;
    std::map<std::string, trefoilarch::DutyRow> mRows;
  };
  uint64_t VersionOf(const std::string& aKey) const;

  Store mStore;
  uint64_t mEra = 1;
  /** By time: what the store held after each write. */
  std::map<Millis, Store> mCopies;
  using WindowCounts = std::map<uint64_t, trefoilarch::UsageCollector::Counts>;
  WindowCounts mTruth;
  /** Of processes that were killed before the window's end. */
  WindowCounts mLostByKills;
  std::map<uint64_t, std::string> mAccepted;
  uint64_t mHighestToken = 0;
  std::map<uint64_t, std::string> mTokenOwners;
  FleetResult mResult;
};

} // namespace usagefleet
