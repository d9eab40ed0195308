#include "scheduleclass.h"

#include <algorithm>
#include <cmath>

namespace trefoilarch {

namespace {

/** A weight of zero or less would give a workspace no share at all. */
constexpr double kMinWeight = 0.001;

} // namespace

void
ScheduleClass::Add(const WaitingRequest& aRequest)
{
  Workspace& workspace = WorkspaceOf(aRequest.mLevel);
  Dequeue(workspace);
  if (workspace.IsIdle()) {
    workspace.mWeight = std::max(aRequest.mLevel.mWeight, kMinWeight);
    workspace.mServed = std::max(workspace.mServed, mVirtualTime);
    mWaitingWeight += workspace.mWeight;
  }
  AddTo(workspace, aRequest);
  Enqueue(workspace);
  mByArrival.emplace(aRequest.mArrival, &aRequest);
}

void
ScheduleClass::Remove(const WaitingRequest& aRequest)
{
  Workspace& workspace = WorkspaceOf(aRequest.mLevel);
  Dequeue(workspace);
  RemoveFrom(workspace, aRequest);
  if (workspace.IsIdle()) {
    mWaitingWeight -= workspace.mWeight;
  }
  Enqueue(workspace);
  mByArrival.erase(aRequest.mArrival);
  EraseIdle();
}

void
ScheduleClass::MarkLate(WaitingRequest& aRequest)
{
  Workspace& workspace = WorkspaceOf(aRequest.mLevel);
  Dequeue(workspace);
  RemoveFrom(workspace, aRequest);
  aRequest.mLate = true;
  AddTo(workspace, aRequest);
  Enqueue(workspace);
}

const WaitingRequest*
ScheduleClass::Next(bool aLate) const
{
  const ShareQueue& fairQueue = mFairQueues[aLate ? 1 : 0];
  if (fairQueue.empty()) {
    return nullptr;
  }
  return *(*fairQueue.begin())->mQueues[aLate ? 1 : 0].begin();
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
  Dequeue(workspace);
  if (aTokens > 0) {
    mVirtualTime = std::max(mVirtualTime, workspace.mServed);
  }
  workspace.mServed += static_cast<double>(aTokens) / workspace.mWeight;
  Enqueue(workspace);
  EraseIdle();
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
  const double weight = std::max(aWeight, kMinWeight);
  const double weightRatio = std::max(1.0, mWaitingWeight / weight);
  const double fairTokens = static_cast<double>(own) * weightRatio;
  return std::min(all, static_cast<uint64_t>(std::llround(fairTokens)));
}

ScheduleClass::Workspace&
ScheduleClass::WorkspaceOf(const ServiceLevel& aLevel)
{
  const auto [found, inserted] = mWorkspaces.try_emplace(aLevel.mWorkspace);
  if (inserted) {
    found->second.mName = &found->first;
    found->second.mOrder = mNextOrder++;
  }
  return found->second;
}

void
ScheduleClass::AddTo(Workspace& aWorkspace, const WaitingRequest& aRequest)
{
  aWorkspace.mQueues[aRequest.mLate ? 1 : 0].insert(&aRequest);
  aWorkspace.mTokens[aRequest.mLate ? 1 : 0] += aRequest.mTokens;
  mTokens[aRequest.mLate ? 1 : 0] += aRequest.mTokens;
}

void
ScheduleClass::RemoveFrom(Workspace& aWorkspace, const WaitingRequest& aRequest)
{
  aWorkspace.mQueues[aRequest.mLate ? 1 : 0].erase(&aRequest);
  aWorkspace.mTokens[aRequest.mLate ? 1 : 0] -= aRequest.mTokens;
  mTokens[aRequest.mLate ? 1 : 0] -= aRequest.mTokens;
}

void
ScheduleClass::Dequeue(Workspace& aWorkspace)
{
  for (size_t queue = 0; queue < mFairQueues.size(); ++queue) {
    if (!aWorkspace.mQueues[queue].empty()) {
      mFairQueues[queue].erase(&aWorkspace);
    }
  }
  if (aWorkspace.IsIdle()) {
    mIdle.erase(&aWorkspace);
  }
}

void
ScheduleClass::Enqueue(Workspace& aWorkspace)
{
  for (size_t queue = 0; queue < mFairQueues.size(); ++queue) {
    if (!aWorkspace.mQueues[queue].empty()) {
      mFairQueues[queue].insert(&aWorkspace);
    }
  }
  if (aWorkspace.IsIdle()) {
    mIdle.insert(&aWorkspace);
  }
}

void
ScheduleClass::EraseIdle()
{
  while (!mIdle.empty() && (*mIdle.begin())->mServed <= mVirtualTime) {
    const std::string name = *(*mIdle.begin())->mName;
    mIdle.erase(mIdle.begin());
    mWorkspaces.erase(name);
  }
}

} // namespace trefoilarch
