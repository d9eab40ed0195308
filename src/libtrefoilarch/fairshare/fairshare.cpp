#include "fairshare.h"

#include <algorithm>
#include <cmath>

namespace trefoilarch {

namespace {

/** Limits for costs, in engine milliseconds. */
constexpr double kMinCostMs = 1;
constexpr double kMaxCostMs = 1e6;

constexpr double kMinWeight = 0.01;
constexpr double kMaxWeight = 100;

constexpr size_t kMaxEntries = 100000;

/** A workspace is within its share after this long without a refusal. */
constexpr Millis kWithinAfter{ 3000 };

/** A workspace unseen for this long has no demand left to speak of, and may be
 * dropped when the table is full. */
constexpr Millis kEvictUnseen{ 5000 };

/** How often a full table is searched for workspaces to drop. */
constexpr Millis kRoomCheckInterval{ 1000 };

/** The account of the workspaces that aren't tracked one by one. */
const std::string kSharedAccount;

double
CostOf(double aCostMs)
{
  return std::isfinite(aCostMs) ? std::clamp(aCostMs, kMinCostMs, kMaxCostMs)
                                : kMinCostMs;
}

uint8_t
TierOf(uint8_t aTier)
{
  return std::min<uint8_t>(aTier, kTierCount - 1);
}

} // namespace

FairShare::FairShare(FairShareOptions aOptions)
  : mOptions(aOptions)
  , mRandom(static_cast<std::minstd_rand::result_type>(aOptions.mSeed))
{
}

void
FairShare::SetWeights(const std::map<std::string, double>& aWeights)
{
  mWeights.clear();
  for (const auto& [name, weight] : aWeights) {
    if (std::isfinite(weight)) {
      mWeights[name] = std::clamp(weight, kMinWeight, kMaxWeight);
    }
  }
  for (auto& [key, group] : mGroups) {
    group.SetWeights(mWeights);
  }
}

void
FairShare::SetEntries(size_t aAll, size_t aHeard)
{
  mAllEntries = std::clamp<size_t>(aAll, 1, kMaxEntries);
  mHeardEntries = std::min(aHeard, mAllEntries - 1);
}

ShareVerdict
FairShare::Admit(const ShareRequest& aRequest,
                 const Contention& aContention,
                 Millis aNow)
{
  const uint8_t tier = TierOf(aRequest.mTier);
  ShareGroup* group = GroupOf(aRequest.mService, tier);
  if (group == nullptr) {
    return {};
  }
  ShareAccount& account = AccountOf(*group, aRequest.mWorkspace, aNow);
  return group->Admit(account,
                      CostOf(aRequest.mCostMs),
                      aRequest.mCallerTime,
                      PressureOf(aContention, tier),
                      Fleet(aNow),
                      mRandom,
                      aNow);
}

void
FairShare::OnServed(const ShareRequest& aRequest, double aActualMs, Millis aNow)
{
  if (ShareAccount* account = FindAccount(aRequest)) {
    const double difference = CostOf(aActualMs) - CostOf(aRequest.mCostMs);
    account->mDemand.OnAsked(difference, aNow);
    account->mDemand.OnServed(difference, aNow);
    account->mCredit -= account->mIsMetered ? difference : 0;
  }
}

void
FairShare::OnRefused(const ShareRequest& aRequest, Millis aNow)
{
  if (ShareAccount* account = FindAccount(aRequest)) {
    const double cost = CostOf(aRequest.mCostMs);
    account->mDemand.OnServed(-cost, aNow);
    account->mCredit += account->mIsMetered ? cost : 0;
  }
}

std::vector<WorkspaceShare>
FairShare::Shares(Millis aNow) const
{
  const FleetSize fleet = Fleet(aNow);
  std::vector<WorkspaceShare> shares;
  for (const auto& [key, group] : mGroups) {
    for (const auto& [name, account] : group.All()) {
      shares.push_back(ShareOf(key, name, account, fleet, aNow));
    }
  }
  std::sort(shares.begin(),
            shares.end(),
            [](const WorkspaceShare& aLhs, const WorkspaceShare& aRhs) {
              return aLhs.mDemand > aRhs.mDemand;
            });
  return shares;
}

std::vector<WorkspaceShare>
FairShare::TakeChanges(Millis aNow)
{
  const FleetSize fleet = Fleet(aNow);
  std::vector<WorkspaceShare> changes;
  for (auto& [key, group] : mGroups) {
    for (auto& [name, account] : group.All()) {
      const bool over = IsOverShare(account, aNow);
      if (over != account.mAnnounced) {
        account.mAnnounced = over;
        changes.push_back(ShareOf(key, name, account, fleet, aNow));
      }
    }
  }
  return changes;
}

double
FairShare::Capacity(const std::string& aService, uint8_t aTier) const
{
  const auto found = mGroups.find({ aService, TierOf(aTier) });
  return found == mGroups.end() ? 0 : found->second.Capacity().Capacity();
}

double
FairShare::PressureOf(const Contention& aContention, uint8_t aTier)
{
  // What a more urgent tier lacks, a less urgent one must not take.
  double most = 0;
  for (uint8_t tier = 0; tier <= aTier; ++tier) {
    const double pressure = aContention.mPressure.at(tier);
    most = std::max(most, std::isfinite(pressure) ? pressure : 0);
  }
  return most;
}

ShareGroup*
FairShare::GroupOf(const std::string& aService, uint8_t aTier)
{
  const GroupKey key(aService, aTier);
  const auto found = mGroups.find(key);
  if (found != mGroups.end()) {
    return &found->second;
  }
  if (mGroups.size() >= mOptions.mMaxGroups ||
      aService.size() > mOptions.mMaxNameBytes) {
    return nullptr;
  }
  return &mGroups.emplace(key, ShareGroup(mOptions.mGroup)).first->second;
}

ShareAccount*
FairShare::FindAccount(const ShareRequest& aRequest)
{
  const auto group =
    mGroups.find({ aRequest.mService, TierOf(aRequest.mTier) });
  if (group == mGroups.end()) {
    return nullptr;
  }
  ShareAccount* account = group->second.Find(aRequest.mWorkspace);
  return account != nullptr ? account : group->second.Find(kSharedAccount);
}

ShareAccount&
FairShare::AccountOf(ShareGroup& aGroup,
                     const std::string& aWorkspace,
                     Millis aNow)
{
  if (ShareAccount* known = aGroup.Find(aWorkspace)) {
    return *known;
  }
  if (aWorkspace.size() <= mOptions.mMaxNameBytes && HasRoom(aNow)) {
    return aGroup.Add(aWorkspace, WeightOf(aWorkspace), aNow);
  }
  ShareAccount* shared = aGroup.Find(kSharedAccount);
  return shared != nullptr ? *shared : aGroup.Add(kSharedAccount, 1, aNow);
}

bool
FairShare::HasRoom(Millis aNow)
{
  const auto count = [this] {
    size_t sum = 0;
    for (const auto& [key, group] : mGroups) {
      sum += group.All().size();
    }
    return sum;
  };
  if (count() < mOptions.mMaxAccounts) {
    return true;
  }
  if (aNow - mRoomCheckedAt < kRoomCheckInterval) {
    return false;
  }
  mRoomCheckedAt = aNow;
  for (auto& [key, group] : mGroups) {
    group.Expire(kEvictUnseen, aNow);
  }
  return count() < mOptions.mMaxAccounts;
}

FairShare::Peer*
FairShare::PeerOf(const std::string& aFrom, Millis aNow)
{
  const auto known = mPeers.find(aFrom);
  if (known != mPeers.end()) {
    return &known->second;
  }
  if (mPeers.size() >= mOptions.mGroup.mDemand.mMaxPeers) {
    ExpirePeers(aNow);
  }
  if (mPeers.size() >= mOptions.mGroup.mDemand.mMaxPeers) {
    return nullptr;
  }
  const Peer peer{ .mNumber = mNextPeer++, .mHeardAt = aNow };
  return &mPeers.emplace(aFrom, peer).first->second;
}

void
FairShare::ExpirePeers(Millis aNow)
{
  std::erase_if(mPeers, [this, aNow](const auto& aPeer) {
    return aNow - aPeer.second.mHeardAt >
           mOptions.mGroup.mDemand.mHeardLifetime;
  });
}

FleetSize
FairShare::Fleet(Millis aNow) const
{
  const auto heard = static_cast<size_t>(std::count_if(
    mPeers.begin(), mPeers.end(), [this, aNow](const auto& aPeer) {
      return aNow - aPeer.second.mHeardAt <=
             mOptions.mGroup.mDemand.mHeardLifetime;
    }));
  return { .mAll = mAllEntries, .mHeard = std::min(heard, mHeardEntries) };
}

double
FairShare::WeightOf(const std::string& aWorkspace) const
{
  const auto named = mWeights.find(aWorkspace);
  return named == mWeights.end() ? 1 : named->second;
}

bool
FairShare::IsOverShare(const ShareAccount& aAccount, Millis aNow) const
{
  return aAccount.mShed > 0 && aNow - aAccount.mRefusedAt < kWithinAfter;
}

WorkspaceShare
FairShare::ShareOf(const GroupKey& aKey,
                   const std::string& aWorkspace,
                   const ShareAccount& aAccount,
                   const FleetSize& aFleet,
                   Millis aNow) const
{
  const ShareGroup& group = mGroups.at(aKey);
  // The group is refreshed by requests only; demand may have ended since.
  const double demand = std::min(
    aAccount.mFleet.mDemand, group.FleetRates(aAccount, aFleet, aNow).mDemand);
  const double share = std::min(aAccount.mShare, demand);
  const bool limited = group.Capacity().IsLimited();
  const double part = group.PartOf(aAccount.mWeight);
  return { .mService = aKey.first,
           .mWorkspace = aWorkspace,
           .mTier = aKey.second,
           .mShare = share,
           .mDemand = demand,
           .mBorrowed = limited ? std::max(share - part, 0.0) : 0,
           .mShed = aAccount.mShed,
           .mOverShare = IsOverShare(aAccount, aNow) };
}

} // namespace trefoilarch
