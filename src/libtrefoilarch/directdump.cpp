#include "directrouter.h"

#include <nlohmann/json.hpp>

/** State dumps and status of DirectRouter. */
namespace trefoilarch {

std::string
DirectRouter::DumpState(Millis aNow) const
{
  nlohmann::json dump;
  dump["policy_version"] = mIndex ? mIndex->Version() : 0;
  dump["policy_age_ms"] = mPolicyFreshness.Age(aNow).Count();
  nlohmann::json& upstreams = dump["upstreams"] = nlohmann::json::object();
  for (const auto& [id, tracked] : mTracked) {
    const ListedUpstream* listed = mDirectory.Find(id);
    nlohmann::json& each = upstreams[id];
    each["service"] = tracked.mService;
    each["version"] = listed != nullptr ? listed->mVersion : "";
    each["listed"] = tracked.mListed;
    each["leaving"] = listed != nullptr && IsLeaving(*listed);
    each["states_leaving"] = mAvailability.IsLeaving(id);
    each["paused_for_ms"] = mAvailability.WaitFor(id, aNow).Count();
    each["open"] = tracked.mWork.Open();
    each["busy"] = tracked.mWork.Busy(aNow);
    each["silent_ms"] = tracked.mWork.Silence(aNow).Count();
    each["outlier"] = !IsHealthy(id, aNow);
    if (const auto limit = mLimits.Of(id)) {
      each["limit_per_second"] = *limit;
    }
  }
  dump["service_versions"] = mVersions.Counts();
  dump["known_streams"] = mStreams.Size();
  nlohmann::json& tiers = dump["tiers"] = nlohmann::json::array();
  for (const TierState& each : mTiers.State(aNow)) {
    tiers.push_back({ { "service", each.mService },
                      { "priority", each.mPriority },
                      { "late_share", each.mLateShare },
                      { "rejected_share", each.mRejectedShare },
                      { "shed_share", each.mShedShare } });
  }
  return dump.dump();
}

nlohmann::json
DirectRouter::Status(Millis aNow) const
{
  nlohmann::json upstreams = nlohmann::json::array();
  for (const auto& [id, listed] : mDirectory.All()) {
    const auto tracked = mTracked.find(id);
    const bool known = tracked != mTracked.end();
    nlohmann::json load = {
      { "open", known ? tracked->second.mWork.Open() : 0 },
      { "busy", known ? tracked->second.mWork.Busy(aNow) : 0 }
    };
    if (const auto limit = mLimits.Of(id)) {
      load["limit_per_second"] = *limit;
      load["limited_for_ms"] = (aNow - *mLimits.LimitedSince(id)).Count();
      load["sent_by_permit"] = mPermits.Used(id);
    }
    if (mAvailability.IsPaused(id, aNow)) {
      load["paused_for_ms"] = mAvailability.WaitFor(id, aNow).Count();
    }
    nlohmann::json labels = { { "service", listed.mService } };
    if (!listed.mVersion.empty()) {
      labels["version"] = listed.mVersion;
    }
    upstreams.push_back({ { "name", id },
                          { "data_centre", listed.mDataCentre },
                          { "state", StateName(listed, aNow) },
                          { "labels", std::move(labels) },
                          { "load", std::move(load) } });
  }
  return { { "policy_version", mIndex ? mIndex->Version() : 0 },
           { "upstreams", std::move(upstreams) } };
}

std::map<std::string, uint32_t>
DirectRouter::UpstreamsByState(Millis aNow) const
{
  std::map<std::string, uint32_t> counts{ { "ready", 0 },
                                          { "ejected", 0 },
                                          { "unlisted", 0 },
                                          { "draining", 0 },
                                          { "paused", 0 } };
  for (const auto& [id, listed] : mDirectory.All()) {
    counts[StateName(listed, aNow)]++;
  }
  return counts;
}

const char*
DirectRouter::StateName(const ListedUpstream& aListed, Millis aNow) const
{
  if (IsLeaving(aListed)) {
    return "draining";
  }
  if (mDirectory.Unlisted().contains(aListed.mId)) {
    return "unlisted";
  }
  if (mAvailability.IsPaused(aListed.mId, aNow)) {
    return "paused";
  }
  return IsHealthy(aListed.mId, aNow) ? "ready" : "ejected";
}

} // namespace trefoilarch
