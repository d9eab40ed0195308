#include "gateway.h"

#include "bootclock.h"

/** The gateway's log lines about slow upstreams and shares of workspaces. */
namespace trefoilgate {

using namespace trefoilarch;

void
Gateway::LogLoadChanges(Millis aNow)
{
  for (const SlowUpstreamChange& each : mRouter.Load().TakeSlowChanges()) {
    const SlowUpstream& upstream = each.mUpstream;
    const bool own = upstream.mSource == SlowSource::Own;
    mLog.Write(LineKind::StateChange,
               each.mSlow ? "upstream_slow" : "upstream_slow_ended",
               { { "upstream", upstream.mUpstream },
                 { "service", upstream.mService },
                 { "factor", upstream.mFactor },
                 { "slow_for_ms", (each.mAt - upstream.mSince).Count() },
                 { "source", own ? "own" : "peers" } });
  }
  for (const WorkspaceShare& each : mRouter.Load().TakeShareChanges(aNow)) {
    mLog.Write(LineKind::StateChange,
               each.mOverShare ? "workspace_over_share"
                               : "workspace_within_share",
               { { "service", each.mService },
                 { "workspace", each.mWorkspace },
                 { "tier", each.mTier },
                 { "share_ms_per_s", each.mShare },
                 { "demand_ms_per_s", each.mDemand },
                 { "refused", each.mShed } });
  }
}

} // namespace trefoilgate
