#include "loadtracker.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace trefoilarch {

LoadTracker::LoadTracker(LoadTrackerOptions aOptions)
  : mOptions(std::move(aOptions))
{
}

bool
LoadTracker::HasUpdate(Millis /*aNow*/) const
{
  return false;
}

LoadUpdate
LoadTracker::TakeUpdate(Millis /*aNow*/)
{
  return { .mFrom = mOptions.mName, .mProcess = mOptions.mProcess };
}

void
LoadTracker::OnUpdate(const LoadUpdate& /*aUpdate*/, Millis /*aNow*/)
{
}

nlohmann::json
LoadTracker::SlowUpstreams(Millis /*aNow*/) const
{
  return { { "slow", nlohmann::json::array() } };
}

nlohmann::json
LoadTracker::Workspaces(Millis /*aNow*/) const
{
  return { { "workspaces", nlohmann::json::array() } };
}

std::map<std::string, size_t>
LoadTracker::SlowUpstreamCounts(Millis /*aNow*/) const
{
  return {};
}

std::vector<WorkspaceLoad>
LoadTracker::WorkspaceLoads(Millis /*aNow*/) const
{
  return {};
}

} // namespace trefoilarch
