#pragma once

#include "ids.h"
#include "millis.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace trefoilarch {

/** When an upstream counts as an outlier. */
struct OutlierOptions
{
  /** This many failures in a row eject. */
  uint32_t mFailuresInRow = 5;
  /** So does this share of failures, once there are mMinResults. */
  double mFailureShare = 0.5;
  uint32_t mMinResults = 10;
  /** So does a mean first-token time of this many times the peers' median. */
  double mSlowFactor = 4;
  /** But not one that is slower by less than this. */
  Millis mSlowMargin{ 200 };
  Millis mInitialEjection{ 5000 };
  Millis mMaxEjection{ 60000 };
  /** Share of a group's members that may be ejected at a time; one may. */
  double mMaxEjectedShare = 0.34;
};

/** Whether an upstream takes part. */
enum class OutlierState : uint8_t
{
  Healthy,
  Ejected,
  Probing, /**< may get one request at a time until a result comes */
};

/**
 * Ejects upstreams by their results: failures, and first tokens that come far
 * later than from their peers. Peers are those of one group: the same model
 * or service. No more than a share of a group is out at a time, since when
 * most members fail the cause lies elsewhere. After a span, each time twice
 * as long, an upstream returns on trial.
 */
class OutlierDetector
{
public:
  explicit OutlierDetector(OutlierOptions aOptions);

  /** Puts an upstream into a group, or moves it there. */
  void Add(const UpstreamId& aUpstream, const std::string& aGroup);
  void Remove(const UpstreamId& aUpstream);
  /** Another process has taken the upstream's place: its past is void. */
  void Reset(const UpstreamId& aUpstream);

  void OnFailure(const UpstreamId& aUpstream, Millis aNow);
  /** A first token came, or is known to take at least that long. */
  void OnFirstToken(const UpstreamId& aUpstream, Millis aTook, Millis aNow);

  OutlierState State(const UpstreamId& aUpstream, Millis aNow) const;
  /** Ejections since the start. */
  uint64_t Ejections() const { return mEjections; }

private:
  struct Member
  {
    std::string mGroup;
    uint32_t mFailuresInRow = 0;
    /** Weighted means over about the last twenty results. */
    double mFailures = 0;
    double mFirstToken = 0;
    uint32_t mResults = 0;
    uint32_t mTimes = 0;
    /** Ejections in a row, without a sound trial between. */
    uint32_t mEjected = 0;
    std::optional<Millis> mUntil;
  };

  /** The group's median first-token time, looked up anew once a second. */
  struct Group
  {
    size_t mMembers = 0;
    double mMedian = 0;
    Millis mNextLook;
  };

  void AddResult(Member& aMember, bool aFailed);
  bool EndProbe(Member& aMember, bool aSound, Millis aNow);
  bool Slow(const Member& aMember, Millis aNow);
  double Median(const std::string& aGroup, Millis aNow);
  void Eject(Member& aMember, Millis aNow);
  bool MayEject(const Member& aMember, Millis aNow) const;
  Millis Span(uint32_t aEjected) const;

  OutlierOptions mOptions;
  std::unordered_map<UpstreamId, Member> mMembers;
  std::unordered_map<std::string, Group> mGroups;
  uint64_t mEjections = 0;
};

} // namespace trefoilarch
