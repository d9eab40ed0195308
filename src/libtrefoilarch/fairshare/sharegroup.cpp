#include "sharegroup.h"

#include "maxminshares.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <vector>

namespace trefoilarch {

namespace {

constexpr double kMillisPerSecond = 1000;

/** Weight of a request in the mean cost; the mean is over some fifty. */
constexpr double kMeanCostWeight = 0.02;

/** How often workspaces that are no longer seen are dropped. */
constexpr Millis kExpiryInterval{ 1000 };

/** Demand below this, in engine milliseconds per second, is none. */
constexpr double kMinDemand = 1e-3;

double
AsDouble(Millis aTime)
{
  return static_cast<double>(aTime.Count());
}

} // namespace

ShareGroup::ShareGroup(const ShareGroupOptions& aOptions)
  : mOptions(aOptions)
  , mReturns(aOptions.mReturns)
  , mCapacity(aOptions.mCapacity)
{
}

ShareVerdict
ShareGroup::Admit(ShareAccount& aAccount,
                  double aCostMs,
                  Millis aCallerTime,
                  double aPressure,
                  const FleetSize& aFleet,
                  std::minstd_rand& aRandom,
                  Millis aNow)
{
  mMeanCostMs = mMeanCostMs == 0
                  ? aCostMs
                  : mMeanCostMs + kMeanCostWeight * (aCostMs - mMeanCostMs);
  const double ownBefore = aAccount.mDemand.Own(aNow).mDemand;
  aAccount.mSeenAt = aNow;
  aAccount.mDemand.OnAsked(aCostMs, aNow);
  mCapacity.OnPressure(aPressure);
  if (aNow >= mRefreshAt) {
    Refresh(aFleet, aNow);
  }
  const double own = aAccount.mDemand.Own(aNow).mDemand * aFleet.OwnScale();
  const double demand = own + aAccount.mOthersDemand;
  if (!mCapacity.IsLimited() || !IsOverShare(aAccount, ownBefore, aFleet)) {
    aAccount.mIsMetered = false;
  } else {
    const double part = own / aFleet.OwnScale() / demand;
    if (!aAccount.mIsMetered) {
      StartMetering(aAccount, aCostMs, part, aFleet, aRandom, aNow);
    }
    if (!TakeCredit(aAccount, aCostMs) && aNow < aAccount.mFloorAt) {
      const ShareVerdict verdict =
        Refuse(aAccount, aCostMs, demand, aCallerTime, aRandom, aNow);
      if (demand > mOptions.mMaxExcess * FlooredShare(aAccount, aCostMs)) {
        aAccount.mDemand.LimitDemand(ownBefore, aNow);
      }
      return verdict;
    }
    aAccount.mFloorAt = aNow + FloorInterval(part, aFleet);
  }
  aAccount.mDemand.OnServed(aCostMs, aNow);
  return { .mShare = aAccount.mShare, .mDemand = demand };
}

ShareAccount*
ShareGroup::Find(const std::string& aWorkspace)
{
  const auto found = mAccounts.find(aWorkspace);
  return found == mAccounts.end() ? nullptr : &found->second;
}

ShareAccount&
ShareGroup::Add(const std::string& aWorkspace, double aWeight, Millis aNow)
{
  ShareAccount account{ .mDemand = WorkspaceDemand(mOptions.mDemand),
                        .mWeight = aWeight,
                        .mShare = std::numeric_limits<double>::infinity(),
                        .mSeenAt = aNow };
  return mAccounts.emplace(aWorkspace, std::move(account)).first->second;
}

void
ShareGroup::SetWeights(const std::map<std::string, double>& aWeights)
{
  for (auto& [name, account] : mAccounts) {
    const auto named = aWeights.find(name);
    account.mWeight = named == aWeights.end() ? 1 : named->second;
  }
}

void
ShareGroup::Expire(Millis aUnseen, Millis aNow)
{
  std::erase_if(mAccounts, [aUnseen, aNow](const auto& aEntry) {
    const ShareAccount& account = aEntry.second;
    return aNow - account.mSeenAt > aUnseen && !account.mAnnounced &&
           !account.mDemand.IsHeard(aNow);
  });
}

double
ShareGroup::PartOf(double aWeight) const
{
  return mCapacity.Capacity() * aWeight / std::max(mActiveWeight, aWeight);
}

void
ShareGroup::Refresh(const FleetSize& aFleet, Millis aNow)
{
  const Millis elapsed = std::max(aNow - mRefreshedAt, Millis(0));
  mRefreshedAt = aNow;
  if (aNow >= mExpireAt) {
    Expire(mOptions.mForgetAfter, aNow);
    mExpireAt = aNow + kExpiryInterval;
  }
  std::vector<ShareClaim> claims;
  claims.reserve(mAccounts.size());
  DemandRates fleet;
  mActiveWeight = 0;
  for (auto& [name, account] : mAccounts) {
    Measure(account, aFleet, aNow);
    fleet.mDemand += account.mFleet.mDemand;
    fleet.mServed += account.mFleet.mServed;
    if (account.mFleet.mDemand >= kMinDemand) {
      mActiveWeight += account.mWeight;
      claims.push_back(
        { .mDemand = account.mFleet.mDemand, .mWeight = account.mWeight });
    }
  }
  mCapacity.Update(fleet.mServed, fleet.mDemand, aNow);
  const bool limited = mCapacity.IsLimited();
  const double level = limited
                         ? MaxMinLevel(std::move(claims), mCapacity.Capacity())
                         : std::numeric_limits<double>::infinity();
  for (auto& [name, account] : mAccounts) {
    account.mShare = level * account.mWeight;
    if (account.mIsMetered) {
      AddCredit(account, elapsed, aNow);
    }
  }
  mRefreshAt = aNow + (limited ? mOptions.mRefreshInterval
                               : mOptions.mIdleRefreshInterval);
}

DemandRates
ShareGroup::FleetRates(const ShareAccount& aAccount,
                       const FleetSize& aFleet,
                       Millis aNow) const
{
  const DemandRates own = aAccount.mDemand.Own(aNow);
  const DemandRates heard = aAccount.mDemand.Heard(aNow);
  const double heardScale = aFleet.HeardScale();
  double ownScale = aFleet.OwnScale();
  // What is too small for this entry's reports is too small for those of
  // others too. What it reports, others would report if they had it.
  const bool isReported =
    aAccount.mReportedDemand > 0 &&
    aNow - aAccount.mReportedAt <= mOptions.mDemand.mHeardLifetime;
  if (!isReported && !aAccount.mDemand.IsHeard(aNow)) {
    ownScale = static_cast<double>(aFleet.mAll);
  }
  return { .mDemand = own.mDemand * ownScale + heard.mDemand * heardScale,
           .mServed = own.mServed * ownScale + heard.mServed * heardScale };
}

void
ShareGroup::Measure(ShareAccount& aAccount,
                    const FleetSize& aFleet,
                    Millis aNow) const
{
  aAccount.mDemand.Expire(aNow);
  aAccount.mOthersDemand =
    aAccount.mDemand.Heard(aNow).mDemand * aFleet.HeardScale();
  aAccount.mFleet = FleetRates(aAccount, aFleet, aNow);
}

bool
ShareGroup::IsOverShare(const ShareAccount& aAccount,
                        double aOwnBefore,
                        const FleetSize& aFleet) const
{
  const double own = aOwnBefore * aFleet.OwnScale();
  const double demand = own + aAccount.mOthersDemand;
  // A decaying sum of requests that arrive independently has the variance of
  // half its number; scaled sums have it times the scale.
  const double decaySeconds =
    AsDouble(mOptions.mDemand.mDecayTime) / kMillisPerSecond;
  const double variance =
    (own * aFleet.OwnScale() + aAccount.mOthersDemand * aFleet.HeardScale()) *
    mMeanCostMs / (2 * decaySeconds);
  const double margin = mOptions.mDeviations * std::sqrt(variance);
  return demand - margin > aAccount.mShare * (1 + mOptions.mSlack);
}

void
ShareGroup::AddCredit(ShareAccount& aAccount,
                      Millis aElapsed,
                      Millis aNow) const
{
  const double ratePerMs =
    aAccount.mShare * mCapacity.Factor() * aAccount.mDemand.Own(aNow).mDemand /
    std::max(aAccount.mFleet.mDemand, kMinDemand) / kMillisPerSecond;
  // An entry with few requests would lose what it has saved between two of
  // them.
  const double most = ratePerMs * AsDouble(mOptions.mCreditTime) + mMeanCostMs;
  aAccount.mCredit =
    std::min(aAccount.mCredit + ratePerMs * AsDouble(aElapsed), most);
}

bool
ShareGroup::TakeCredit(ShareAccount& aAccount, double aCostMs)
{
  if (aAccount.mCredit < 0) {
    return false;
  }
  aAccount.mCredit -= aCostMs;
  return true;
}

void
ShareGroup::StartMetering(ShareAccount& aAccount,
                          double aCostMs,
                          double aLocalPart,
                          const FleetSize& aFleet,
                          std::minstd_rand& aRandom,
                          Millis aNow) const
{
  std::uniform_real_distribution<double> part(0, 1);
  const double interval = AsDouble(FloorInterval(aLocalPart, aFleet));
  aAccount.mIsMetered = true;
  aAccount.mCredit = -aCostMs * part(aRandom);
  aAccount.mFloorAt =
    aNow + Millis(static_cast<int64_t>(interval * part(aRandom)));
}

Millis
ShareGroup::FloorInterval(double aLocalPart, const FleetSize& aFleet) const
{
  const double leastPart = 1 / static_cast<double>(aFleet.mAll);
  return Millis(static_cast<int64_t>(AsDouble(mOptions.mFloorInterval) /
                                     std::clamp(aLocalPart, leastPart, 1.0)));
}

double
ShareGroup::FlooredShare(const ShareAccount& aAccount, double aCostMs) const
{
  const double floor =
    aCostMs * kMillisPerSecond / AsDouble(mOptions.mFloorInterval);
  return std::max(aAccount.mShare, floor);
}

ShareVerdict
ShareGroup::Refuse(ShareAccount& aAccount,
                   double aCostMs,
                   double aDemand,
                   Millis aCallerTime,
                   std::minstd_rand& aRandom,
                   Millis aNow) const
{
  const double share = FlooredShare(aAccount, aCostMs);
  aAccount.mShed++;
  aAccount.mRefusedAt = aNow;
  return { .mAdmitted = false,
           .mReturnAfter = mReturns.Draw(aDemand / share, aCallerTime, aRandom),
           .mShare = aAccount.mShare,
           .mDemand = aDemand };
}

} // namespace trefoilarch
