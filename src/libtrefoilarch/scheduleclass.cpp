#include "scheduleclass.h"

#include <algorithm>
#include <cmath>

namespace trefoilarch {

namespace {

/** A weight of zero or less would give a workspace no share at all. */
constexpr double kLeastWeight = 0.001;

} // namespace

void
ScheduleClass::Add(const WaitingRequest& aRequest)
{
  Workspace& workspace = WorkspaceOf(aRequest.mLevel);
  Unlist(workspace);
  if (workspace.IsIdle()) {
    workspace.mWeight = std::max(aRequest.mLevel.mWeight, kLeastWeight);
    workspace.mServed = std::max(workspace.mServed, mClock);
    mWaitingWeight += workspace.mWeight;
  }
  Enter(workspace, aRequest);
  List(workspace);
  mByArrival.emplace(aRequest.mArrival, &aRequest);
}

void
ScheduleClass::Remove(const WaitingRequest& aRequest)
{
  Workspace& workspace = WorkspaceOf(aRequest.mLevel);
  Unlist(workspace);
  Leave(workspace, aRequest);
  if (workspace.IsIdle()) {
    mWaitingWeight -= workspace.mWeight;
  }
  List(workspace);
  mByArrival.erase(aRequest.mArrival);
  ForgetIdle();
}

void
ScheduleClass::MarkLate(WaitingRequest& aRequest)
{
  Workspace& workspace = WorkspaceOf(aRequest.mLevel);
  Unlist(workspace);
  Leave(workspace, aRequest);
  aRequest.mLate = true;
  Enter(workspace, aRequest);
  List(workspace);
}

const WaitingRequest*
ScheduleClass::Next(bool aLate) const
{
  const ShareQueue& shares = mShares[aLate ? 1 : 0];
  if (shares.empty()) {
    return nullptr;
  }
  return *(*shares.begin())->mLanes[aLate ? 1 : 0].begin();
}

const WaitingRequest*
ScheduleClass::Next() const
{
  const WaitingRequest* onTime = Next(false);
  return onTime ? onTime : Next(true);
}

const WaitingRequest&
ScheduleClass::LastArrival() const
{
  return *mByArrival.rbegin()->second;
}

void
ScheduleClass::Charge(const std::string& aWorkspace, int64_t aTokens)
{
  const auto found = mWorkspaces.find(aWorkspace);
  if (found == mWorkspaces.end()) {
    return;
  }
  Workspace& workspace = found->second;
  Unlist(workspace);
  if (aTokens > 0) {
    mClock = std::max(mClock, workspace.mServed);
  }
  workspace.mServed += static_cast<double>(aTokens) / workspace.mWeight;
  List(workspace);
  ForgetIdle();
}

uint64_t
ScheduleClass::TokensAhead(const std::string& aWorkspace,
                           double aWeight,
                           bool aLate) const
{
  const auto found = mWorkspaces.find(aWorkspace);
  if (found == mWorkspaces.end()) {
    return 0;
  }
  const auto& [ownOnTime, ownLate] = found->second.mTokens;
  const uint64_t own = ownOnTime + (aLate ? ownLate : 0);
  const uint64_t all = mTokens[0] + (aLate ? mTokens[1] : 0);
  const double weight = std::max(aWeight, kLeastWeight);
  const double rounds = std::max(1.0, mWaitingWeight / weight);
  const double fair = static_cast<double>(own) * rounds;
  return std::min(all, static_cast<uint64_t>(std::llround(fair)));
}

ScheduleClass::Workspace&
ScheduleClass::WorkspaceOf(const ServiceLevel& aLevel)
{
  const auto [found, fresh] = mWorkspaces.try_emplace(aLevel.mWorkspace);
  if (fresh) {
    found->second.mName = &found->first;
    found->second.mOrder = mWorkspacesSeen++;
  }
  return found->second;
}

void
ScheduleClass::Enter(Workspace& aWorkspace, const WaitingRequest& aRequest)
{
  aWorkspace.mLanes[aRequest.mLate ? 1 : 0].insert(&aRequest);
  aWorkspace.mTokens[aRequest.mLate ? 1 : 0] += aRequest.mTokens;
  mTokens[aRequest.mLate ? 1 : 0] += aRequest.mTokens;
}

void
ScheduleClass::Leave(Workspace& aWorkspace, const WaitingRequest& aRequest)
{
  aWorkspace.mLanes[aRequest.mLate ? 1 : 0].erase(&aRequest);
  aWorkspace.mTokens[aRequest.mLate ? 1 : 0] -= aRequest.mTokens;
  mTokens[aRequest.mLate ? 1 : 0] -= aRequest.mTokens;
}

void
ScheduleClass::Unlist(Workspace& aWorkspace)
{
  for (size_t lane = 0; lane < mShares.size(); ++lane) {
    if (!aWorkspace.mLanes[lane].empty()) {
      mShares[lane].erase(&aWorkspace);
    }
  }
  if (aWorkspace.IsIdle()) {
    mIdle.erase(&aWorkspace);
  }
}

void
ScheduleClass::List(Workspace& aWorkspace)
{
  for (size_t lane = 0; lane < mShares.size(); ++lane) {
    if (!aWorkspace.mLanes[lane].empty()) {
      mShares[lane].insert(&aWorkspace);
    }
  }
  if (aWorkspace.IsIdle()) {
    mIdle.insert(&aWorkspace);
  }
}

void
ScheduleClass::ForgetIdle()
{
  while (!mIdle.empty() && (*mIdle.begin())->mServed <= mClock) {
    const std::string name = *(*mIdle.begin())->mName;
    mIdle.erase(mIdle.begin());
    mWorkspaces.erase(name);
  }
}

} // namespace trefoilarch
