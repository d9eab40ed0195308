#include "outlierdetector.h"

#include <algorithm>
#include <vector>

namespace trefoilarch {

namespace {

/** Weight of the newest result in the means. */
constexpr double kNewestWeight = 0.1;

constexpr Millis kMedianInterval{ 1000 };

/** The ejection time is doubled at most this many times. */
constexpr uint32_t kMaxDoublings = 10;

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
      Member{ .mGroup = member->second.mGroup, .mEjectedUntil = std::nullopt };
  }
}

void
OutlierDetector::OnFailure(const UpstreamId& aUpstream, Millis aNow)
{
  const auto it = mMembers.find(aUpstream);
  if (it == mMembers.end()) {
    return;
  }
  Member& member = it->second;
  AddResult(member, true);
  member.mFailuresInRow++;
  if (EndProbe(member, false, aNow)) {
    return;
  }
  const bool failsOften = member.mResultCount >= mOptions.mMinResults &&
                          member.mFailures >= mOptions.mFailureShare;
  if (failsOften || member.mFailuresInRow >= mOptions.mFailuresInRow) {
    Eject(member, aNow);
  }
}

void
OutlierDetector::OnFirstToken(const UpstreamId& aUpstream,
                              Millis aDuration,
                              Millis aNow)
{
  const auto it = mMembers.find(aUpstream);
  if (it == mMembers.end()) {
    return;
  }
  Member& member = it->second;
  AddResult(member, false);
  member.mFailuresInRow = 0;
  const auto duration = static_cast<double>(aDuration.Count());
  const double weight = member.mFirstTokenCount == 0 ? 1 : kNewestWeight;
  member.mFirstToken += weight * (duration - member.mFirstToken);
  member.mFirstTokenCount++;
  const double median = Median(member.mGroup, aNow);
  const bool healthy =
    median == 0 || duration < median * mOptions.mSlowFactor ||
    duration < median + static_cast<double>(mOptions.mSlowMargin.Count());
  if (!EndProbe(member, healthy, aNow) && IsSlow(member, aNow)) {
    Eject(member, aNow);
  }
}

OutlierState
OutlierDetector::State(const UpstreamId& aUpstream, Millis aNow) const
{
  const auto member = mMembers.find(aUpstream);
  if (member == mMembers.end() || !member->second.mEjectedUntil) {
    return OutlierState::Healthy;
  }
  return aNow < *member->second.mEjectedUntil ? OutlierState::Ejected
                                              : OutlierState::Probing;
}

void
OutlierDetector::AddResult(Member& aMember, bool aFailed)
{
  aMember.mFailures += kNewestWeight * ((aFailed ? 1 : 0) - aMember.mFailures);
  aMember.mResultCount++;
}

bool
OutlierDetector::EndProbe(Member& aMember, bool aHealthy, Millis aNow)
{
  if (!aMember.mEjectedUntil) {
    return false;
  }
  if (aNow < *aMember.mEjectedUntil) {
    return true;
  }
  if (aHealthy) {
    aMember = Member{ .mGroup = aMember.mGroup, .mEjectedUntil = std::nullopt };
  } else {
    aMember.mEjectedUntil.reset();
    Eject(aMember, aNow);
  }
  return true;
}

bool
OutlierDetector::IsSlow(const Member& aMember, Millis aNow)
{
  if (aMember.mFirstTokenCount < mOptions.mMinResults) {
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
  if (aNow < group.mNextUpdateAt) {
    return group.mMedian;
  }
  group.mNextUpdateAt = aNow + kMedianInterval;
  std::vector<double> times;
  for (const auto& [name, member] : mMembers) {
    if (member.mGroup == aGroup &&
        member.mFirstTokenCount >= mOptions.mMinResults) {
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
  aMember.mEjectedUntil = aNow + EjectionTime(aMember.mEjectionsInRow);
  aMember.mEjectionsInRow++;
}

bool
OutlierDetector::MayEject(const Member& aMember, Millis aNow) const
{
  const auto ejected =
    std::count_if(mMembers.begin(), mMembers.end(), [&](const auto& aOther) {
      const Member& other = aOther.second;
      return other.mGroup == aMember.mGroup && other.mEjectedUntil &&
             aNow < *other.mEjectedUntil;
    });
  const size_t members = mGroups.at(aMember.mGroup).mMembers;
  const double limit =
    std::max(1.0, mOptions.mMaxEjectedShare * static_cast<double>(members));
  return members > 1 && static_cast<double>(ejected + 1) <= limit;
}

Millis
OutlierDetector::EjectionTime(uint32_t aEjectionsInRow) const
{
  const int64_t factor = int64_t{ 1 }
                         << std::min(aEjectionsInRow, kMaxDoublings);
  return std::min(mOptions.mInitialEjection * factor, mOptions.mMaxEjection);
}

} // namespace trefoilarch
