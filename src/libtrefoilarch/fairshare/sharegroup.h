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
  /** Shares are recomputed at most this often while they apply... */
  Millis mRefreshInterval{ 100 };
  /** ...and otherwise. */
  Millis mIdleRefreshInterval{ 250 };
  /** A workspace that asks gets a request from the fleet this often. Shorter
   * than a second, because its next request comes somewhat later. */
  Millis mFloorInterval{ 900 };
  /** Refused requests count as demand up to this multiple of the share. */
  double mMaxExcess = 8;
  /** Credit that an unmetered time gives, as time at the rate of the share. */
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
  /** aLocalPart: this entry's part of the workspace's demand. */
  bool TakeCredit(ShareAccount& aAccount,
                  double aCostMs,
                  double aLocalPart,
                  std::minstd_rand& aRandom,
                  Millis aNow) const;
  bool IsFloorDue(const ShareAccount& aAccount,
                  double aLocalPart,
                  const FleetSize& aFleet,
                  Millis aNow) const;
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
  Millis mRefreshAt;
  Millis mExpireAt;
};

} // namespace trefoilarch
