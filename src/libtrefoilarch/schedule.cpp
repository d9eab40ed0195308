#include "schedule.h"

#include <algorithm>
#include <cmath>

namespace trefoilarch {

namespace {

Tier
ClampedTier(const ServiceLevel& aLevel)
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
  const auto [found, inserted] = mRequests.emplace(aRequest.mKey, aRequest);
  if (!inserted) {
    return;
  }
  WaitingRequest& request = found->second;
  request.mArrival = mArrivals++;
  request.mLate = request.mStartBy < aNow;
  ScheduleClass& scheduleClass = ClassOf(request.mLevel);
  scheduleClass.mFloor = Floor(request.mLevel);
  if (scheduleClass.Waiting() == 0) {
    scheduleClass.mWaitingSince = aNow;
    scheduleClass.mFloorDueAt = mRegularStarts + FloorInterval(scheduleClass);
  }
  scheduleClass.Add(request);
  if (!request.mLate) {
    mOnTime.insert(&request);
  }
  mTokens[ClampedTier(request.mLevel)][request.mLate ? 1 : 0] +=
    request.mTokens;
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
  mTokens[ClampedTier(level)][request.mLate ? 1 : 0] -= request.mTokens;
  mRequests.erase(found);
  EraseIfUnused(level);
}

std::vector<AttemptKey>
Schedule::TakeLate(Millis aNow)
{
  std::vector<AttemptKey> late;
  while (!mOnTime.empty() && (*mOnTime.begin())->mStartBy < aNow) {
    WaitingRequest& request = **mOnTime.begin();
    mOnTime.erase(mOnTime.begin());
    ClassOf(request.mLevel).MarkLate(request);
    auto& [onTime, lateTokens] = mTokens[ClampedTier(request.mLevel)];
    onTime -= request.mTokens;
    lateTokens += request.mTokens;
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
Schedule::NextFloorDispatch(uint64_t aCapacity, Millis aNow) const
{
  for (const ClassMap& tier : mTiers) {
    for (const auto& [name, scheduleClass] : tier) {
      if (IsFloorDue(scheduleClass, aNow) &&
          HasFloorCapacity(scheduleClass, aCapacity)) {
        return Dispatch{ .mKey = scheduleClass.Next()->mKey, .mFloor = true };
      }
    }
  }
  return std::nullopt;
}

std::optional<Dispatch>
Schedule::NextRegularDispatch() const
{
  for (const ClassMap& tier : mTiers) {
    for (const bool late : { false, true }) {
      const WaitingRequest* best = nullptr;
      for (const auto& [name, scheduleClass] : tier) {
        const WaitingRequest* next = scheduleClass.Next(late);
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
Schedule::Take(const Dispatch& aDispatch, Millis aNow)
{
  const WaitingRequest& request = mRequests.at(aDispatch.mKey);
  const ServiceLevel level = request.mLevel;
  const auto tokens = static_cast<int64_t>(request.mTokens);
  ScheduleClass& scheduleClass = ClassOf(level);
  scheduleClass.Charge(level.mWorkspace, std::max<int64_t>(tokens, 1));
  if (aDispatch.mFloor) {
    scheduleClass.mFloorTokens += request.mTokens;
  } else {
    ++mRegularStarts;
  }
  scheduleClass.mFloorDueAt = mRegularStarts + FloorInterval(scheduleClass);
  scheduleClass.mWaitingSince = aNow;
  ++scheduleClass.mRunning;
  Remove(aDispatch.mKey);
}

void
Schedule::OnEnded(const ServiceLevel& aLevel,
                  uint64_t aFloorTokens,
                  Millis aNow)
{
  ScheduleClass& scheduleClass = ClassOf(aLevel);
  scheduleClass.mFloorTokens -= aFloorTokens;
  --scheduleClass.mRunning;
  if (scheduleClass.mRunning == 0) {
    scheduleClass.mWaitingSince = aNow;
  }
  EraseIfUnused(aLevel);
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
Schedule::VictimFor(const ServiceLevel& aLevel) const
{
  for (Tier tier = kTierCount - 1; tier > ClampedTier(aLevel); --tier) {
    const WaitingRequest* latestArrival = nullptr;
    for (const auto& [name, scheduleClass] : mTiers[tier]) {
      if (scheduleClass.Waiting() <= mOptions.mReservedPlaces) {
        continue;
      }
      if (!latestArrival ||
          scheduleClass.LastArrival().mArrival > latestArrival->mArrival) {
        latestArrival = &scheduleClass.LastArrival();
      }
    }
    if (latestArrival) {
      return latestArrival->mKey;
    }
  }
  return std::nullopt;
}

bool
Schedule::HasReservedPlace(const ServiceLevel& aLevel) const
{
  return WaitingOf(aLevel) < mOptions.mReservedPlaces;
}

uint64_t
Schedule::TokensAhead(const ServiceLevel& aLevel, bool aLate) const
{
  const Tier own = ClampedTier(aLevel);
  uint64_t ahead = mTokens[own][0] + (aLate ? mTokens[own][1] : 0);
  for (Tier tier = 0; tier < own; ++tier) {
    ahead += mTokens[tier][0] + mTokens[tier][1];
  }
  const ScheduleClass* scheduleClass = FindClass(aLevel);
  if (!scheduleClass) {
    return ahead;
  }
  ahead -=
    scheduleClass->Tokens(false) + (aLate ? scheduleClass->Tokens(true) : 0);
  return ahead +
         scheduleClass->TokensAhead(aLevel.mWorkspace, aLevel.mWeight, aLate);
}

size_t
Schedule::WaitingOf(const ServiceLevel& aLevel) const
{
  const ScheduleClass* scheduleClass = FindClass(aLevel);
  return scheduleClass ? scheduleClass->Waiting() : 0;
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
    for (const auto& [name, scheduleClass] : tier) {
      if (scheduleClass.Waiting() > 0 && scheduleClass.mRunning == 0) {
        next = std::min(
          next, scheduleClass.mWaitingSince + mOptions.mFloorStartDelay);
      }
    }
  }
  return next;
}

double
Schedule::Floor(const ServiceLevel& aLevel) const
{
  return std::clamp(aLevel.mFloor, mOptions.mMinFloor, 1.0);
}

Schedule::ClassMap&
Schedule::TierOf(const ServiceLevel& aLevel)
{
  return mTiers[ClampedTier(aLevel)];
}

const ScheduleClass*
Schedule::FindClass(const ServiceLevel& aLevel) const
{
  const ClassMap& tier = mTiers[ClampedTier(aLevel)];
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
Schedule::IsFloorDue(const ScheduleClass& aClass, Millis aNow) const
{
  if (aClass.Waiting() == 0) {
    return false;
  }
  if (mRegularStarts >= aClass.mFloorDueAt) {
    return true;
  }
  return aClass.mRunning == 0 &&
         aNow >= aClass.mWaitingSince + mOptions.mFloorStartDelay;
}

bool
Schedule::HasFloorCapacity(const ScheduleClass& aClass, uint64_t aCapacity)
{
  const double floorTokens = aClass.mFloor * static_cast<double>(aCapacity);
  const uint64_t tokens = aClass.mFloorTokens + aClass.Next()->mTokens;
  return aClass.mFloorTokens == 0 || static_cast<double>(tokens) <= floorTokens;
}

void
Schedule::EraseIfUnused(const ServiceLevel& aLevel)
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
