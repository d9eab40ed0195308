#include "outlierdetector.h"

#include <algorithm>
#include <vector>

namespace trefoilarch {

namespace {

/** Weight of the newest result in the means. */
constexpr double kNewest = 0.1;

constexpr Millis kLookSpan{ 1000 };

/** Ejections after which the span stays as it is. */
constexpr uint32_t kMostDoublings = 10;

} // namespace

OutlierDetector::OutlierDetector(OutlierOptions aOptions)
  : mOptions(aOptions)
{
}

void
OutlierDetector::Add(const UpstreamId& aUpstream, const std::string& aGroup)
{
  const auto known = mMembers.find(aUpstream);
  if (known != mMembers.end() && known->second.mGroup == aGroup) {
    return;
  }
  Remove(aUpstream);
  mMembers[aUpstream].mGroup = aGroup;
  mGroups[aGroup].mMembers++;
}

void
OutlierDetector::Remove(const UpstreamId& aUpstream)
{
  const auto member = mMembers.find(aUpstream);
  if (member == mMembers.end()) {
    return;
  }
  const auto group = mGroups.find(member->second.mGroup);
  if (group != mGroups.end() && --group->second.mMembers == 0) {
    mGroups.erase(group);
  }
  mMembers.erase(member);
}

void
OutlierDetector::Reset(const UpstreamId& aUpstream)
{
  const auto member = mMembers.find(aUpstream);
  if (member != mMembers.end()) {
    member->second =
      Member{ .mGroup = member->second.mGroup, .mUntil = std::nullopt };
  }
}

void
OutlierDetector::OnFailure(const UpstreamId& aUpstream, Millis aNow)
{
  const auto place = mMembers.find(aUpstream);
  if (place == mMembers.end()) {
    return;
  }
  Member& member = place->second;
  AddResult(member, true);
  member.mFailuresInRow++;
  if (EndProbe(member, false, aNow)) {
    return;
  }
  const bool often = member.mResults >= mOptions.mMinResults &&
                     member.mFailures >= mOptions.mFailureShare;
  if (often || member.mFailuresInRow >= mOptions.mFailuresInRow) {
    Eject(member, aNow);
  }
}

void
OutlierDetector::OnFirstToken(const UpstreamId& aUpstream,
                              Millis aTook,
                              Millis aNow)
{
  const auto place = mMembers.find(aUpstream);
  if (place == mMembers.end()) {
    return;
  }
  Member& member = place->second;
  AddResult(member, false);
  member.mFailuresInRow = 0;
  const auto took = static_cast<double>(aTook.Count());
  const double weight = member.mTimes == 0 ? 1 : kNewest;
  member.mFirstToken += weight * (took - member.mFirstToken);
  member.mTimes++;
  const double median = Median(member.mGroup, aNow);
  const bool sound =
    median == 0 || took < median * mOptions.mSlowFactor ||
    took < median + static_cast<double>(mOptions.mSlowMargin.Count());
  if (!EndProbe(member, sound, aNow) && Slow(member, aNow)) {
    Eject(member, aNow);
  }
}

OutlierState
OutlierDetector::State(const UpstreamId& aUpstream, Millis aNow) const
{
  const auto member = mMembers.find(aUpstream);
  if (member == mMembers.end() || !member->second.mUntil) {
    return OutlierState::Healthy;
  }
  return aNow < *member->second.mUntil ? OutlierState::Ejected
                                       : OutlierState::Probing;
}

void
OutlierDetector::AddResult(Member& aMember, bool aFailed)
{
  aMember.mFailures += kNewest * ((aFailed ? 1 : 0) - aMember.mFailures);
  aMember.mResults++;
}

bool
OutlierDetector::EndProbe(Member& aMember, bool aSound, Millis aNow)
{
  if (!aMember.mUntil) {
    return false;
  }
  if (aNow < *aMember.mUntil) {
    return true;
  }
  if (aSound) {
    aMember = Member{ .mGroup = aMember.mGroup, .mUntil = std::nullopt };
  } else {
    aMember.mUntil.reset();
    Eject(aMember, aNow);
  }
  return true;
}

bool
OutlierDetector::Slow(const Member& aMember, Millis aNow)
{
  if (aMember.mTimes < mOptions.mMinResults) {
    return false;
  }
  const double median = Median(aMember.mGroup, aNow);
  const auto margin = static_cast<double>(mOptions.mSlowMargin.Count());
  return median > 0 && aMember.mFirstToken > median * mOptions.mSlowFactor &&
         aMember.mFirstToken > median + margin;
}

double
OutlierDetector::Median(const std::string& aGroup, Millis aNow)
{
  Group& group = mGroups[aGroup];
  if (aNow < group.mNextLook) {
    return group.mMedian;
  }
  group.mNextLook = aNow + kLookSpan;
  std::vector<double> times;
  for (const auto& [name, member] : mMembers) {
    if (member.mGroup == aGroup && member.mTimes >= mOptions.mMinResults) {
      times.push_back(member.mFirstToken);
    }
  }
  if (times.empty()) {
    return group.mMedian = 0;
  }
  const auto middle =
    times.begin() + static_cast<std::ptrdiff_t>((times.size() - 1) / 2);
  std::nth_element(times.begin(), middle, times.end());
  return group.mMedian = *middle;
}

void
OutlierDetector::Eject(Member& aMember, Millis aNow)
{
  if (!MayEject(aMember, aNow)) {
    return;
  }
  mEjections++;
  aMember.mUntil = aNow + Span(aMember.mEjected);
  aMember.mEjected++;
}

bool
OutlierDetector::MayEject(const Member& aMember, Millis aNow) const
{
  const auto out =
    std::count_if(mMembers.begin(), mMembers.end(), [&](const auto& aOther) {
      const Member& other = aOther.second;
      return other.mGroup == aMember.mGroup && other.mUntil &&
             aNow < *other.mUntil;
    });
  const size_t members = mGroups.at(aMember.mGroup).mMembers;
  const double most =
    std::max(1.0, mOptions.mMaxEjectedShare * static_cast<double>(members));
  return members > 1 && static_cast<double>(out + 1) <= most;
}

Millis
OutlierDetector::Span(uint32_t aEjected) const
{
  const int64_t factor = int64_t{ 1 } << std::min(aEjected, kMostDoublings);
  return std::min(mOptions.mInitialEjection * factor, mOptions.mMaxEjection);
}

} // namespace trefoilarch
