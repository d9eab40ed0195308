#pragma once

#include "../millis.h"
#include "returnspread.h"
#include "shareaccount.h"
#include "sharecapacity.h"
#include "workspacedemand.h"

#include <map>
#include <random>
#include <string>
#include <unordered_map>

namespace trefoilarch {

struct ShareGroupOptions
{
  WorkspaceDemandOptions mDemand;
  ShareCapacityOptions mCapacity;
  ReturnSpreadOptions mReturns;
  /** A workspace is over its share if its demand exceeds it by this many
   * standard deviations of its measurement, so that one that asks for little is
   * not taken for a flood because two of its requests come together. */
  double mDeviations = 2;
  /** It must also exceed it by this part of it, because the capacity isn't
   * known better. */
  double mSlack = 0.1;
  /** Shares are recomputed at most this often while they apply... */
  Millis mRefreshInterval{ 100 };
  /** ...and otherwise. */
  Millis mIdleRefreshInterval{ 250 };
  /** A workspace that asks gets a request from the fleet this often. Shorter
   * than a second, because its next request comes somewhat later. */
  Millis mFloorInterval{ 900 };
  /** A refused request doesn't count as demand if the demand is more than this
   * multiple of the share already. */
  double mMaxExcess = 16;
  /** Credit that may be saved besides that of one request, as time at the rate
   * of the share. */
  Millis mCreditTime{ 250 };
  /** Workspaces that weren't seen for this long are dropped. */
  Millis mForgetAfter{ 60000 };
};

/** Outcome for one request. */
struct ShareVerdict
{
  bool mAdmitted = true;
  /** When to return if not admitted. */
  Millis mReturnAfter;
  /** The workspace's share and demand at all entries, in engine milliseconds
   * per second; the share is infinite without contention. */
  double mShare = 0;
  double mDemand = 0;

  bool operator==(const ShareVerdict&) const = default;
};

/** The workspaces that share a service's engines within one tier. */
class ShareGroup
{
public:
  using Accounts = std::unordered_map<std::string, ShareAccount>;

  explicit ShareGroup(const ShareGroupOptions& aOptions);

  ShareVerdict Admit(ShareAccount& aAccount,
                     double aCostMs,
                     Millis aCallerTime,
                     double aPressure,
                     const FleetSize& aFleet,
                     std::minstd_rand& aRandom,
                     Millis aNow);

  /** Null if it is not tracked. */
  ShareAccount* Find(const std::string& aWorkspace);
  ShareAccount& Add(const std::string& aWorkspace, double aWeight, Millis aNow);
  void SetWeights(const std::map<std::string, double>& aWeights);
  /** Drops workspaces that were neither seen for that long nor are heard. */
  void Expire(Millis aUnseen, Millis aNow);

  const Accounts& All() const { return mAccounts; }
  Accounts& All() { return mAccounts; }
  const ShareCapacity& Capacity() const { return mCapacity; }
  /** The part of the capacity due to a workspace of that weight if all that
   * have demand use theirs. */
  double PartOf(double aWeight) const;
  /** The rates of the workspace at all entries, as far as known. */
  DemandRates FleetRates(const ShareAccount& aAccount,
                         const FleetSize& aFleet,
                         Millis aNow) const;

private:
  void Refresh(const FleetSize& aFleet, Millis aNow);
  /** Updates what is known of the demand of all entries. */
  void Measure(ShareAccount& aAccount,
               const FleetSize& aFleet,
               Millis aNow) const;
  /** aOwnBefore: the demand here before the request, as the request itself
   * says nothing about the rate. */
  bool IsOverShare(const ShareAccount& aAccount,
                   double aOwnBefore,
                   const FleetSize& aFleet) const;
  /** Adds this entry's part of the share. At times that don't depend on the
   * requests, after which the demand here is at its highest. */
  void AddCredit(ShareAccount& aAccount, Millis aElapsed, Millis aNow) const;
  static bool TakeCredit(ShareAccount& aAccount, double aCostMs);
  /** Starts each entry at a different point of its first request and of its
   * first floor interval, or all would admit one at the same time and then
   * none. */
  void StartMetering(ShareAccount& aAccount,
                     double aCostMs,
                     double aLocalPart,
                     const FleetSize& aFleet,
                     std::minstd_rand& aRandom,
                     Millis aNow) const;
  /** How often this entry admits a request whatever the share. aLocalPart: its
   * part of the workspace's demand. */
  Millis FloorInterval(double aLocalPart, const FleetSize& aFleet) const;
  /** The share, or the rate of the floor if that is more. */
  double FlooredShare(const ShareAccount& aAccount, double aCostMs) const;
  ShareVerdict Refuse(ShareAccount& aAccount,
                      double aCostMs,
                      double aDemand,
                      Millis aCallerTime,
                      std::minstd_rand& aRandom,
                      Millis aNow) const;

  ShareGroupOptions mOptions;
  ReturnSpread mReturns;
  ShareCapacity mCapacity;
  Accounts mAccounts;
  double mMeanCostMs = 0;
  /** Weights of the workspaces with demand. */
  double mActiveWeight = 0;
  Millis mRefreshedAt;
  Millis mRefreshAt;
  Millis mExpireAt;
};

} // namespace trefoilarch
