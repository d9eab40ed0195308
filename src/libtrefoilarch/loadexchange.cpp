#include "loadtracker.h"

#include <nlohmann/json.hpp>

/** Updates between entries, and what operators see of the load tracker. */
namespace trefoilarch {

namespace {

/** Maximum numbers of elements of an update, so that a datagram holds all. */
constexpr size_t kMaxPerformanceReports = 18;
constexpr size_t kMaxMemoryReports = 18;
constexpr size_t kMaxDemandReports = 16;

/** Three updates of a large fleet: losing as many in a row is rare. */
constexpr Millis kPeerTimeout{ 6000 };

} // namespace

bool
LoadTracker::HasUpdate(Millis /*aNow*/) const
{
  const auto isUsed = [](PartMode aMode) { return aMode == PartMode::On; };
  return mContentionStated || isUsed(mOptions.mUpstreamPerformance) ||
         isUsed(mOptions.mEngineMemory) || isUsed(mOptions.mFairShares);
}

LoadUpdate
LoadTracker::TakeUpdate(Millis aNow)
{
  Expire(aNow);
  return { .mFrom = mOptions.mName,
           .mProcess = mOptions.mProcess,
           .mSequence = ++mSequence,
           .mPerformance =
             mPerformance.TakeReports(kMaxPerformanceReports, aNow),
           .mMemory = mMemory.TakeReports(kMaxMemoryReports, aNow),
           .mDemands = mShares.TakeReports(kMaxDemandReports, aNow) };
}

void
LoadTracker::OnUpdate(const LoadUpdate& aUpdate, Millis aNow)
{
  Peer& peer = mPeers[aUpdate.mFrom];
  const bool late =
    peer.mProcess == aUpdate.mProcess && aUpdate.mSequence <= peer.mSequence;
  if (late) {
    return;
  }
  peer = { .mProcess = aUpdate.mProcess,
           .mSequence = aUpdate.mSequence,
           .mReceivedAt = aNow };
  for (const UpstreamPerformanceReport& each : aUpdate.mPerformance) {
    mPerformance.OnPeerReport(aUpdate.mFrom, each, aNow);
  }
  for (const EngineMemoryReport& each : aUpdate.mMemory) {
    mMemory.OnPeerReport(aUpdate.mFrom, each, aNow);
  }
  for (const WorkspaceDemandReport& each : aUpdate.mDemands) {
    mShares.OnPeerReport(aUpdate.mFrom, each, aNow);
  }
  Expire(aNow);
}

void
LoadTracker::Expire(Millis aNow)
{
  mExpiredAt = aNow;
  std::erase_if(mPeers, [aNow](const auto& aEntry) {
    return aNow - aEntry.second.mReceivedAt > kPeerTimeout;
  });
  mMemory.SetEntries(mEntries, mPeers.size(), LoadUpdate::Interval(mEntries));
  mShares.SetEntries(mEntries, mPeers.size());
  mMemory.Expire(aNow);
}

std::vector<SlowUpstreamChange>
LoadTracker::TakeSlowChanges()
{
  return mPerformance.TakeChanges();
}

std::vector<WorkspaceShare>
LoadTracker::TakeShareChanges(Millis aNow)
{
  return mShares.TakeChanges(aNow);
}

std::vector<SlowUpstream>
LoadTracker::Slow(Millis aNow) const
{
  return mPerformance.Slow(aNow);
}

std::vector<WorkspaceShare>
LoadTracker::Shares(Millis aNow) const
{
  return mShares.Shares(aNow);
}

std::map<std::string, size_t>
LoadTracker::SlowUpstreamCounts(Millis aNow) const
{
  std::map<std::string, size_t> counts;
  for (const SlowUpstream& each : Slow(aNow)) {
    counts[each.mService]++;
  }
  return counts;
}

std::vector<WorkspaceLoad>
LoadTracker::WorkspaceLoads(Millis aNow) const
{
  std::vector<WorkspaceLoad> loads;
  for (const WorkspaceShare& each : Shares(aNow)) {
    loads.push_back({ .mWorkspace = each.mWorkspace,
                      .mDemand = each.mDemand,
                      .mShare = each.mShare,
                      .mShed = each.mShed });
  }
  return loads;
}

nlohmann::json
LoadTracker::SlowUpstreams(Millis aNow) const
{
  nlohmann::json slow = nlohmann::json::array();
  for (const SlowUpstream& each : Slow(aNow)) {
    slow.push_back(
      { { "upstream", each.mUpstream },
        { "service", each.mService },
        { "factor", each.mFactor },
        { "since_ms", (aNow - each.mSince).Count() },
        { "source", each.mSource == SlowSource::Own ? "own" : "peers" } });
  }
  return { { "slow", std::move(slow) } };
}

nlohmann::json
LoadTracker::Workspaces(Millis aNow) const
{
  nlohmann::json workspaces = nlohmann::json::array();
  for (const WorkspaceShare& each : Shares(aNow)) {
    workspaces.push_back({ { "service", each.mService },
                           { "workspace", each.mWorkspace },
                           { "tier", each.mTier },
                           { "share", each.mShare },
                           { "demand", each.mDemand },
                           { "borrowed", each.mBorrowed },
                           { "shed", each.mShed } });
  }
  return { { "workspaces", std::move(workspaces) } };
}

} // namespace trefoilarch
