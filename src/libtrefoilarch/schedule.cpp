#include "schedule.h"

#include <algorithm>
#include <cmath>

namespace trefoilarch {

namespace {

Tier
Clamped(const ServiceLevel& aLevel)
{
  return std::min<Tier>(aLevel.mTier, kTierCount - 1);
}

} // namespace

Schedule::Schedule(ScheduleOptions aOptions)
  : mOptions(aOptions)
{
}

void
Schedule::Add(const WaitingRequest& aRequest, Millis aNow)
{
  const auto [found, fresh] = mRequests.emplace(aRequest.mKey, aRequest);
  if (!fresh) {
    return;
  }
  WaitingRequest& request = found->second;
  request.mArrival = mArrivals++;
  request.mLate = request.mStartBy < aNow;
  ScheduleClass& owner = ClassOf(request.mLevel);
  owner.mFloor = Floor(request.mLevel);
  if (owner.Waiting() == 0) {
    owner.mSince = aNow;
    owner.mFloorStart = mRegularStarts + FloorInterval(owner);
  }
  owner.Add(request);
  if (!request.mLate) {
    mOnTime.insert(&request);
  }
  mTokens[Clamped(request.mLevel)][request.mLate ? 1 : 0] += request.mTokens;
}

void
Schedule::Remove(const AttemptKey& aKey)
{
  const auto found = mRequests.find(aKey);
  if (found == mRequests.end()) {
    return;
  }
  WaitingRequest& request = found->second;
  const ServiceLevel level = request.mLevel;
  TierOf(level).at(level.mClass).Remove(request);
  if (!request.mLate) {
    mOnTime.erase(&request);
  }
  mTokens[Clamped(level)][request.mLate ? 1 : 0] -= request.mTokens;
  mRequests.erase(found);
  ForgetIfUnused(level);
}

std::vector<AttemptKey>
Schedule::TakeLate(Millis aNow)
{
  std::vector<AttemptKey> late;
  while (!mOnTime.empty() && (*mOnTime.begin())->mStartBy < aNow) {
    WaitingRequest& request = **mOnTime.begin();
    mOnTime.erase(mOnTime.begin());
    ClassOf(request.mLevel).MarkLate(request);
    auto& [onTime, tooLate] = mTokens[Clamped(request.mLevel)];
    onTime -= request.mTokens;
    tooLate += request.mTokens;
    late.push_back(request.mKey);
  }
  return late;
}

const WaitingRequest*
Schedule::Find(const AttemptKey& aKey) const
{
  const auto found = mRequests.find(aKey);
  return found == mRequests.end() ? nullptr : &found->second;
}

std::optional<Dispatch>
Schedule::NextFloor(uint64_t aRoom, Millis aNow) const
{
  for (const ClassMap& tier : mTiers) {
    for (const auto& [name, owner] : tier) {
      if (IsOwed(owner, aNow) && HasFloorRoom(owner, aRoom)) {
        return Dispatch{ .mKey = owner.Next()->mKey, .mFloor = true };
      }
    }
  }
  return std::nullopt;
}

std::optional<Dispatch>
Schedule::NextRegular() const
{
  for (const ClassMap& tier : mTiers) {
    for (const bool late : { false, true }) {
      const WaitingRequest* best = nullptr;
      for (const auto& [name, owner] : tier) {
        const WaitingRequest* next = owner.Next(late);
        if (next && (!best || ByUrgency()(next, best))) {
          best = next;
        }
      }
      if (best) {
        return Dispatch{ .mKey = best->mKey, .mFloor = false };
      }
    }
  }
  return std::nullopt;
}

void
Schedule::Take(const Dispatch& aTurn, Millis aNow)
{
  const WaitingRequest& request = mRequests.at(aTurn.mKey);
  const ServiceLevel level = request.mLevel;
  const auto tokens = static_cast<int64_t>(request.mTokens);
  ScheduleClass& owner = ClassOf(level);
  owner.Charge(level.mWorkspace, std::max<int64_t>(tokens, 1));
  if (aTurn.mFloor) {
    owner.mFloorTokens += request.mTokens;
  } else {
    ++mRegularStarts;
  }
  owner.mFloorStart = mRegularStarts + FloorInterval(owner);
  owner.mSince = aNow;
  ++owner.mRunning;
  Remove(aTurn.mKey);
}

void
Schedule::OnEnded(const ServiceLevel& aLevel,
                  uint64_t aFloorTokens,
                  Millis aNow)
{
  ScheduleClass& owner = ClassOf(aLevel);
  owner.mFloorTokens -= aFloorTokens;
  --owner.mRunning;
  if (owner.mRunning == 0) {
    owner.mSince = aNow;
  }
  ForgetIfUnused(aLevel);
}

void
Schedule::Adjust(const ServiceLevel& aLevel, int64_t aTokens)
{
  ClassMap& tier = TierOf(aLevel);
  const auto found = tier.find(aLevel.mClass);
  if (found != tier.end()) {
    found->second.Charge(aLevel.mWorkspace, aTokens);
  }
}

std::optional<AttemptKey>
Schedule::ToShedFor(const ServiceLevel& aLevel) const
{
  for (Tier tier = kTierCount - 1; tier > Clamped(aLevel); --tier) {
    const WaitingRequest* last = nullptr;
    for (const auto& [name, owner] : mTiers[tier]) {
      if (owner.Waiting() <= mOptions.mKeptPlaces) {
        continue;
      }
      if (!last || owner.LastArrival().mArrival > last->mArrival) {
        last = &owner.LastArrival();
      }
    }
    if (last) {
      return last->mKey;
    }
  }
  return std::nullopt;
}

bool
Schedule::HasKeptPlace(const ServiceLevel& aLevel) const
{
  return WaitingOf(aLevel) < mOptions.mKeptPlaces;
}

uint64_t
Schedule::TokensAhead(const ServiceLevel& aLevel, bool aLate) const
{
  const Tier own = Clamped(aLevel);
  uint64_t ahead = mTokens[own][0] + (aLate ? mTokens[own][1] : 0);
  for (Tier tier = 0; tier < own; ++tier) {
    ahead += mTokens[tier][0] + mTokens[tier][1];
  }
  const ScheduleClass* owner = FindClass(aLevel);
  if (!owner) {
    return ahead;
  }
  ahead -= owner->Tokens(false) + (aLate ? owner->Tokens(true) : 0);
  return ahead + owner->TokensAhead(aLevel.mWorkspace, aLevel.mWeight, aLate);
}

size_t
Schedule::WaitingOf(const ServiceLevel& aLevel) const
{
  const ScheduleClass* owner = FindClass(aLevel);
  return owner ? owner->Waiting() : 0;
}

uint64_t
Schedule::Tokens() const
{
  uint64_t tokens = 0;
  for (const auto& [onTime, late] : mTokens) {
    tokens += onTime + late;
  }
  return tokens;
}

Millis
Schedule::NextWake() const
{
  Millis next = mOnTime.empty() ? Millis::Never()
                                : (*mOnTime.begin())->mStartBy + Millis(1);
  for (const ClassMap& tier : mTiers) {
    for (const auto& [name, owner] : tier) {
      if (owner.Waiting() > 0 && owner.mRunning == 0) {
        next = std::min(next, owner.mSince + mOptions.mFloorStartDelay);
      }
    }
  }
  return next;
}

double
Schedule::Floor(const ServiceLevel& aLevel) const
{
  return std::clamp(aLevel.mFloor, mOptions.mLeastFloor, 1.0);
}

Schedule::ClassMap&
Schedule::TierOf(const ServiceLevel& aLevel)
{
  return mTiers[Clamped(aLevel)];
}

const ScheduleClass*
Schedule::FindClass(const ServiceLevel& aLevel) const
{
  const ClassMap& tier = mTiers[Clamped(aLevel)];
  const auto found = tier.find(aLevel.mClass);
  return found == tier.end() ? nullptr : &found->second;
}

ScheduleClass&
Schedule::ClassOf(const ServiceLevel& aLevel)
{
  return TierOf(aLevel)[aLevel.mClass];
}

uint64_t
Schedule::FloorInterval(const ScheduleClass& aClass)
{
  return static_cast<uint64_t>(std::ceil(1 / aClass.mFloor));
}

bool
Schedule::IsOwed(const ScheduleClass& aClass, Millis aNow) const
{
  if (aClass.Waiting() == 0) {
    return false;
  }
  if (mRegularStarts >= aClass.mFloorStart) {
    return true;
  }
  return aClass.mRunning == 0 &&
         aNow >= aClass.mSince + mOptions.mFloorStartDelay;
}

bool
Schedule::HasFloorRoom(const ScheduleClass& aClass, uint64_t aRoom)
{
  const double part = aClass.mFloor * static_cast<double>(aRoom);
  const uint64_t tokens = aClass.mFloorTokens + aClass.Next()->mTokens;
  return aClass.mFloorTokens == 0 || static_cast<double>(tokens) <= part;
}

void
Schedule::ForgetIfUnused(const ServiceLevel& aLevel)
{
  ClassMap& tier = TierOf(aLevel);
  const auto found = tier.find(aLevel.mClass);
  if (found == tier.end()) {
    return;
  }
  if (found->second.Waiting() == 0 && found->second.mRunning == 0) {
    tier.erase(found);
  }
}

} // namespace trefoilarch
