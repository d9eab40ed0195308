#pragma once

#include "libtrefoilarch/millis.h"
#include "libtrefoilio/settings.h"

#include <cstdint>
#include <string>
#include <vector>

namespace trefoilgate {

/** The settings of a gateway, checked. */
struct GateSettings
{
  std::string mName;
  std::string mDataCentre;
  std::string mListen;
  std::string mOperatorListen;
  std::string mPlatform;
  /** Empty: other entries are neither told anything nor heard. */
  std::string mPeerListen;
  trefoilarch::Millis mKeyPolicyMaxAge;
  /** A policy is in force within this. */
  trefoilarch::Millis mMaxApplyDelay;
  /** An upstream that leaves gets no request later than this. */
  trefoilarch::Millis mMaxDrainDelay;
  /** Upstreams renew their entries this often. */
  trefoilarch::Millis mHeartbeatInterval;
  double mRetryPercent = 0;
  /** Retries beside the share, of all entries together. */
  double mRetrySlack = 0;
  trefoilarch::Millis mStopTimeout;
  uint32_t mMaxDescriptors = 0;
  /** Bytes of callers' bodies that may be held at a time. */
  uint64_t mMaxBodyBytes = 0;

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
