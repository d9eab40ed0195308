#pragma once

#include "libtrefoilarch/loadtracker.h"
#include "libtrefoilarch/millis.h"
#include "libtrefoilio/settings.h"

#include <cstdint>
#include <string>
#include <vector>

namespace trefoilgate {

/** The validated settings of a gateway. */
struct GateSettings
{
  std::string mName;
  std::string mDataCentre;
  std::string mListen;
  std::string mOperatorListen;
  std::string mPlatform;
  /** Empty: no updates are sent to or received from other entries. */
  std::string mPeerListen;
  trefoilarch::Millis mKeyPolicyMaxAge;
  /** Maximum delay until a policy is in force. */
  trefoilarch::Millis mMaxApplyDelay;
  /** Maximum time after which a leaving upstream gets no more requests. */
  trefoilarch::Millis mMaxDrainDelay;
  /** Interval at which upstreams renew their entries. */
  trefoilarch::Millis mHeartbeatInterval;
  double mRetryPercent = 0;
  /** Retries in addition to the share, for all entries together. */
  double mRetrySlack = 0;
  trefoilarch::Millis mStopTimeout;
  uint32_t mMaxDescriptors = 0;
  /** Duties that one entry performs for the fleet, separated by commas. */
  std::string mDuties;
  /** Receives the duties' calls; empty: none are performed. */
  std::string mDutyReceiver;
  /** Length of a usage window. */
  trefoilarch::Millis mUsageWindow;
  /** A window's report is due within this time after the window's end. */
  trefoilarch::Millis mUsageLateness;
  trefoilarch::Millis mDutyLease;
  /** Maximum size in bytes of all callers' bodies held at a time. */
  uint64_t mMaxBodyBytes = 0;
  trefoilarch::PartMode mUpstreamPerformance = trefoilarch::PartMode::Auto;
  trefoilarch::PartMode mEngineMemory = trefoilarch::PartMode::Off;
  trefoilarch::PartMode mFairShares = trefoilarch::PartMode::Auto;
  /** A caller that reads nothing for this long is cut off, and an upstream that
   * reads nothing of a body is given up. */
  trefoilarch::Millis mCallerStall{ 10000 };
  /** Maximum size in bytes of all answers held for callers at a time. */
  uint64_t mAnswerBufferBytes = 134217728;
  /** Memory that all callers' connections may take. */
  uint64_t mConnectionBytes = 268435456;

  bool operator==(const GateSettings&) const = default;
};

/** Flags and environment variables of the gateway with their checks. */
std::vector<trefoilio::SettingSpec>
GateSettingSpecs();

/** Names of the settings in which the two differ. */
std::vector<std::string>
ChangedNames(const GateSettings& aBefore, const GateSettings& aAfter);

GateSettings
ReadGateSettings(const trefoilio::Settings& aSettings);

} // namespace trefoilgate
