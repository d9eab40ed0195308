#pragma once

#include "ids.h"
#include "millis.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace trefoilarch {

struct OutlierOptions
{
  /** Consecutive failures that eject an upstream. */
  uint32_t mFailuresInRow = 5;
  /** Share of failures that ejects it, once there are mMinResults. */
  double mFailureShare = 0.5;
  uint32_t mMinResults = 10;
  /** A mean time to first token of this many times its group's median ejects
   * it. */
  double mSlowFactor = 4;
  /** A smaller difference to the median doesn't eject it. */
  Millis mSlowMargin{ 200 };
  Millis mInitialEjection{ 5000 };
  Millis mMaxEjection{ 60000 };
  /** Maximum share of a group's members that are ejected, but at least one. */
  double mMaxEjectedShare = 0.34;
};

/** Whether an upstream gets requests. */
enum class OutlierState : uint8_t
{
  Healthy,
  Ejected,
  Probing, /**< gets one request at a time until a result arrives */
};

/**
 * Ejects upstreams by their results: failures, and a time to first token that
 * is much longer than their group's. A group has the same model or service. At
 * most a share of a group is ejected at a time, since a fault of most members
 * has another cause. An upstream is probed again after the ejection time, which
 * doubles with each ejection.
 */
class OutlierDetector
{
public:
  explicit OutlierDetector(OutlierOptions aOptions);

  /** Adds an upstream to a group, or moves it there. */
  void Add(const UpstreamId& aUpstream, const std::string& aGroup);
  void Remove(const UpstreamId& aUpstream);
  /** Another process has replaced the upstream's: discards its results. */
  void Reset(const UpstreamId& aUpstream);

  void OnFailure(const UpstreamId& aUpstream, Millis aNow);
  /** A first token was received after aDuration, or will take at least that
   * long. */
  void OnFirstToken(const UpstreamId& aUpstream, Millis aDuration, Millis aNow);

  OutlierState State(const UpstreamId& aUpstream, Millis aNow) const;
  /** Total number of ejections. */
  uint64_t Ejections() const { return mEjections; }

private:
  struct Member
  {
    std::string mGroup;
    uint32_t mFailuresInRow = 0;
    /** Exponentially weighted means over about twenty results. */
    double mFailures = 0;
    double mFirstToken = 0;
    uint32_t mResultCount = 0;
    uint32_t mFirstTokenCount = 0;
    /** Consecutive ejections without a successful probe. */
    uint32_t mEjectionsInRow = 0;
    std::optional<Millis> mEjectedUntil;
  };

  /** The group's median time to first token, updated once a second. */
  struct Group
  {
    size_t mMembers = 0;
    double mMedian = 0;
    Millis mNextUpdateAt;
  };

  void AddResult(Member& aMember, bool aFailed);
  bool EndProbe(Member& aMember, bool aHealthy, Millis aNow);
  bool IsSlow(const Member& aMember, Millis aNow);
  double Median(const std::string& aGroup, Millis aNow);
  void Eject(Member& aMember, Millis aNow);
  bool MayEject(const Member& aMember, Millis aNow) const;
  Millis EjectionTime(uint32_t aEjectionsInRow) const;

  OutlierOptions mOptions;
  std::unordered_map<UpstreamId, Member> mMembers;
  std::unordered_map<std::string, Group> mGroups;
  uint64_t mEjections = 0;
};

} // namespace trefoilarch
