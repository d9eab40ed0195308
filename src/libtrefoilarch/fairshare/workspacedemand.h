#pragma once

#include "../millis.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace trefoilarch {

/** Engine milliseconds per second. */
struct DemandRates
{
  /** Of all requests, admitted or not. */
  double mDemand = 0;
  /** Of those that were admitted. */
  double mServed = 0;

  bool operator==(const DemandRates&) const = default;
};

struct WorkspaceDemandOptions
{
  /** Time constant of the decaying sums. */
  Millis mDecayTime{ 1000 };
  /** Rates heard from another entry lapse after this time. */
  Millis mHeardLifetime{ 3000 };
  /** Entries whose rates are kept; an entry hears at most 40 others. */
  size_t mMaxPeers = 64;
};

/** What a workspace requests of a service in one tier, through this entry and
 * through others that reported it. */
class WorkspaceDemand
{
public:
  explicit WorkspaceDemand(const WorkspaceDemandOptions& aOptions);

  /** Adds requested work; may be negative to correct an estimate. */
  void OnAsked(double aCostMs, Millis aNow);
  void OnServed(double aCostMs, Millis aNow);
  /** Lowers the demand to that rate, but not below what was served. */
  void LimitDemand(double aRate, Millis aNow);
  /** Replaces what that entry reported before. */
  void OnHeard(uint32_t aPeer, const DemandRates& aRates, Millis aNow);

  DemandRates Own(Millis aNow) const;
  /** The sum over other entries. */
  DemandRates Heard(Millis aNow) const;
  bool IsHeard(Millis aNow) const;
  /** Drops the rates that have lapsed. */
  void Expire(Millis aNow);

private:
  struct HeardRates
  {
    uint32_t mPeer = 0;
    DemandRates mRates;
    Millis mAt;
  };

  /** The part of the sums that is left at that time. */
  double KeptSince(Millis aNow) const;
  void Decay(Millis aNow);
  bool HasLapsed(const HeardRates& aHeard, Millis aNow) const;

  Millis mDecayTime;
  Millis mHeardLifetime;
  size_t mMaxPeers;
  /** Decaying sums in milliseconds. */
  DemandRates mSums;
  Millis mDecayedAt;
  std::vector<HeardRates> mHeard;
};

} // namespace trefoilarch
