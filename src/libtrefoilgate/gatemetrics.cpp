#include "gatemetrics.h"

#include <array>

namespace trefoilgate {

using trefoilarch::AttemptOutcome;
using trefoilarch::Millis;

namespace {

/** Maximum number of routes with their own series; a policy may have many
 * hundreds. */
constexpr size_t kMaxRoutes = 40;

constexpr const char* kRequests = "trefoilarch_gate_requests_total";
constexpr const char* kFirstByte = "trefoilarch_gate_first_byte_ms";
constexpr const char* kRequestDuration = "trefoilarch_gate_request_ms";
constexpr const char* kRefusals = "trefoilarch_gate_refusals_total";
constexpr const char* kAttempts = "trefoilarch_gate_attempts_total";
constexpr const char* kPolicies = "trefoilarch_gate_policies_total";
constexpr const char* kReloads = "trefoilarch_gate_reloads_total";
constexpr const char* kUnreadable = "trefoilarch_gate_unreadable_rows_total";
constexpr const char* kUnreadableLoad =
  "trefoilarch_gate_unreadable_load_reports_total";
constexpr const char* kCutCallers = "trefoilarch_gate_cut_callers_total";
constexpr const char* kCallerLimits = "trefoilarch_gate_caller_limits_total";
constexpr const char* kUnmarkedEnds = "trefoilarch_gate_unmarked_ends_total";
constexpr const char* kLoopLag = "trefoilarch_gate_loop_lag_ms";

/** A metric that is not a gauge. */
struct MetricDescription
{
  const char* mName;
  const char* mHelp;
};

constexpr std::array kMetricDescriptions{
  MetricDescription{ kRequests, "Bound requests that ended." },
  MetricDescription{ kFirstByte,
                     "From a request's arrival to its first byte back." },
  MetricDescription{ kRequestDuration, "From a request's arrival to its end." },
  MetricDescription{ kRefusals,
                     "Answers of the gate's own, by kind of error." },
  MetricDescription{ kAttempts, "Attempts at upstreams that ended." },
  MetricDescription{ kPolicies, "Policies that came from the store." },
  MetricDescription{ kUnreadable, "Rows of the store that could not be read." },
  MetricDescription{ kUnreadableLoad,
                     "Load reports of upstreams that could not be read." },
  MetricDescription{ kCutCallers,
                     "Callers that were cut off, as they read too slowly." },
  MetricDescription{ kCallerLimits,
                     "Requests rejected and connections closed, by the limit "
                     "that their callers met." },
  MetricDescription{ kUnmarkedEnds,
                     "Ends of answers without length or chunks, by what is "
                     "known of their process." },
  MetricDescription{ kReloads, "Times that the settings were read again." },
  MetricDescription{ kLoopLag, "How late a timer of the event loop fired." },
};

/** A gauge's name, the label it is split by, and its help text. */
struct GaugeDescription
{
  Gauge mGauge;
  const char* mName;
  const char* mLabel;
  const char* mHelp;
};

/** In the order of the enumeration. */
constexpr std::array kGauges{
  GaugeDescription{ Gauge::OpenRequests,
                    "trefoilarch_gate_open_requests",
                    "",
                    "Requests without a final answer." },
  GaugeDescription{ Gauge::BodyBytes,
                    "trefoilarch_gate_body_bytes",
                    "",
                    "Bytes that callers' requests may need." },
  GaugeDescription{ Gauge::WaitingUploads,
                    "trefoilarch_gate_waiting_uploads",
                    "",
                    "Requests that are not read, as there is no memory." },
  GaugeDescription{ Gauge::LongestUploadWaitMs,
                    "trefoilarch_gate_longest_upload_wait_ms",
                    "",
                    "How long the first of them has waited." },
  GaugeDescription{ Gauge::AnswerBytes,
                    "trefoilarch_gate_answer_bytes",
                    "",
                    "Bytes of answers that callers have not read yet." },
  GaugeDescription{ Gauge::CallerConnections,
                    "trefoilarch_gate_caller_connections",
                    "",
                    "Open connections of callers." },
  GaugeDescription{ Gauge::ConnectionBytes,
                    "trefoilarch_gate_connection_bytes",
                    "",
                    "Memory that connections take, of callers and "
                    "operators." },
  GaugeDescription{ Gauge::IdleUpstreamConnections,
                    "trefoilarch_gate_idle_upstream_connections",
                    "",
                    "Connections to upstreams that wait for a request." },
  GaugeDescription{ Gauge::UpstreamConnectionsMade,
                    "trefoilarch_gate_upstream_connections_made",
                    "",
                    "Connections to upstreams made since the start." },
  GaugeDescription{ Gauge::UpstreamConnectionsFailed,
                    "trefoilarch_gate_upstream_connections_failed",
                    "",
                    "Connections to upstreams that could not be made." },
  GaugeDescription{ Gauge::PolicyAgeMs,
                    "trefoilarch_gate_policy_age_ms",
                    "",
                    "Since the policy was last confirmed as the newest." },
  GaugeDescription{ Gauge::PolicyVersion,
                    "trefoilarch_gate_policy_version",
                    "",
                    "Version of the policy in force." },
  GaugeDescription{ Gauge::ListAgeMs,
                    "trefoilarch_gate_list_age_ms",
                    "",
                    "Since the list of upstreams was last confirmed." },
  GaugeDescription{ Gauge::Ejections,
                    "trefoilarch_gate_ejections",
                    "",
                    "Times that an upstream was avoided for its results." },
  GaugeDescription{
    Gauge::UpstreamCrashes,
    "trefoilarch_gate_upstream_crashes",
    "",
    "Upstreams that crashed with requests of this gate, since the "
    "start." },
  GaugeDescription{ Gauge::Quarantined,
                    "trefoilarch_gate_quarantined_requests",
                    "",
                    "Requests that are not run, as they crash upstreams, and "
                    "prompt segments with which none is." },
  GaugeDescription{ Gauge::QuarantinedSegments,
                    "trefoilarch_gate_quarantined_segments",
                    "",
                    "Prompt segments with which no request is run." },
  GaugeDescription{ Gauge::LimitedUpstreams,
                    "trefoilarch_gate_limited_upstreams",
                    "",
                    "Upstreams that name a rate limit." },
  GaugeDescription{ Gauge::LogLinesLeftOut,
                    "trefoilarch_gate_log_lines_left_out",
                    "",
                    "Log lines left out since the start." },
  GaugeDescription{ Gauge::RetriesLeft,
                    "trefoilarch_gate_retries_left",
                    "service",
                    "Retries that this gate may make now." },
  GaugeDescription{ Gauge::Upstreams,
                    "trefoilarch_gate_upstreams",
                    "state",
                    "Known upstreams: ready, ejected, draining, or kept though "
                    "unlisted." },
  GaugeDescription{ Gauge::UpstreamVersions,
                    "trefoilarch_gate_upstream_versions",
                    "version",
                    "Listed upstreams by service and software version." },
  GaugeDescription{ Gauge::KnownStreams,
                    "trefoilarch_gate_known_streams",
                    "",
                    "Streams whose software version this gate knows." },
  GaugeDescription{ Gauge::DutyHeld,
                    "trefoilarch_gate_duty_held",
                    "duty",
                    "1 if this gate performs the duty for the fleet." },
  GaugeDescription{ Gauge::DutyFencingToken,
                    "trefoilarch_gate_duty_fencing_token",
                    "duty",
                    "The duty's fencing token, as this gate knows it." },
  GaugeDescription{ Gauge::UsageWindowAccepted,
                    "trefoilarch_gate_usage_window_accepted",
                    "",
                    "The last usage window whose report of this gate was "
                    "accepted." },
  GaugeDescription{ Gauge::UsageWindowsMissed,
                    "trefoilarch_gate_usage_windows_missed",
                    "",
                    "Usage windows that this gate did not report in time." },
  GaugeDescription{ Gauge::UsageWindowsSkipped,
                    "trefoilarch_gate_usage_windows_skipped",
                    "",
                    "Usage windows that this gate did not report, as the "
                    "store may have lost an earlier report of them." },
  GaugeDescription{ Gauge::StoreEra,
                    "trefoilarch_gate_store_era",
                    "",
                    "How often the store has come back from an older copy, "
                    "as this gate's duty knows it." },
  GaugeDescription{ Gauge::ClockCorrectionMs,
                    "trefoilarch_gate_clock_correction_ms",
                    "",
                    "How far the host's clock is ahead of the time that the "
                    "fleet has agreed on." },
  GaugeDescription{ Gauge::UnreadableDatagrams,
                    "trefoilarch_gate_unreadable_datagrams",
                    "",
                    "Datagrams of other gates that could not be read, since "
                    "the start." },
  GaugeDescription{ Gauge::PeerDatagrams,
                    "trefoilarch_gate_peer_datagrams",
                    "direction",
                    "Datagrams that this gate has sent to other gates and "
                    "received from them, since the start." },
  GaugeDescription{ Gauge::SlowUpstreams,
                    "trefoilarch_gate_slow_upstreams",
                    "service",
                    "Upstreams that are slower than usual for their service." },
  GaugeDescription{ Gauge::WorkspaceDemand,
                    "trefoilarch_gate_workspace_demand",
                    "workspace",
                    "What the workspace asks of the fleet, in ms of engine "
                    "time per second." },
  GaugeDescription{ Gauge::WorkspaceShare,
                    "trefoilarch_gate_workspace_share",
                    "workspace",
                    "The workspace's fair share of the fleet, in ms of engine "
                    "time per second." },
  GaugeDescription{ Gauge::WorkspaceShedTotal,
                    "trefoilarch_gate_workspace_shed_total",
                    "workspace",
                    "Requests of the workspace that this gate refused for its "
                    "share." },
};

constexpr bool
AreGaugesInOrder()
{
  for (size_t each = 0; each < kGauges.size(); ++each) {
    if (kGauges[each].mGauge != static_cast<Gauge>(each)) {
      return false;
    }
  }
  return true;
}
static_assert(AreGaugesInOrder(), "DescriptionOf() finds a gauge by its index");

const GaugeDescription&
DescriptionOf(Gauge aGauge)
{
  return kGauges[static_cast<size_t>(aGauge)];
}

std::string
Label(std::string_view aKey, std::string_view aValue)
{
  std::string label(aKey);
  label += "=\"";
  for (const char each : aValue) {
    if (each == '"' || each == '\\') {
      label += '\\';
    }
    label += each == '\n' ? ' ' : each;
  }
  label += '"';
  return label;
}

} // namespace

std::string_view
Name(AttemptOutcome aOutcome)
{
  switch (aOutcome) {
    case AttemptOutcome::Good:
      return "good";
    case AttemptOutcome::Refused:
      return "refused";
    case AttemptOutcome::Failed:
      return "failed";
    case AttemptOutcome::Unreachable:
      return "unreachable";
    case AttemptOutcome::Broken:
      return "broken";
    case AttemptOutcome::Withdrawn:
      return "withdrawn";
  }
  return "unknown";
}

GateMetrics::GateMetrics()
{
  for (const MetricDescription& each : kMetricDescriptions) {
    mMetrics.Describe(each.mName, each.mHelp);
  }
  for (const GaugeDescription& each : kGauges) {
    mMetrics.Describe(each.mName, each.mHelp);
  }
}

void
GateMetrics::OnRequest(const EndedRequest& aRequest)
{
  const std::string route = Label("route", RouteLabel(aRequest.mRoute));
  const std::string priority =
    Label("priority", std::to_string(aRequest.mPriority));
  mMetrics.Count(kRequests,
                 route + "," + priority + "," +
                   Label("outcome", aRequest.mOutcome));
  if (aRequest.mTimeToFirstByte > Millis(0)) {
    mMetrics.Observe(kFirstByte,
                     static_cast<double>(aRequest.mTimeToFirstByte.Count()),
                     route);
  }
  mMetrics.Observe(
    kRequestDuration, static_cast<double>(aRequest.mDuration.Count()), route);
}

void
GateMetrics::OnRefusal(std::string_view aKind)
{
  mMetrics.Count(kRefusals, Label("kind", aKind));
}

void
GateMetrics::OnAttempt(AttemptOutcome aOutcome)
{
  mMetrics.Count(kAttempts, Label("outcome", Name(aOutcome)));
}

void
GateMetrics::OnPolicy(std::string_view aResult)
{
  mMetrics.Count(kPolicies, Label("result", aResult));
}

void
GateMetrics::OnReload(std::string_view aResult)
{
  mMetrics.Count(kReloads, Label("result", aResult));
}

void
GateMetrics::OnUnreadableRow(std::string_view aTable)
{
  mMetrics.Count(kUnreadable, Label("table", aTable));
}

void
GateMetrics::OnUnreadableLoadReport()
{
  mMetrics.Count(kUnreadableLoad);
}

void
GateMetrics::OnCutCaller(std::string_view aReason)
{
  mMetrics.Count(kCutCallers, Label("reason", aReason));
}

void
GateMetrics::OnCallerLimit(std::string_view aLimit)
{
  mMetrics.Count(kCallerLimits, Label("limit", aLimit));
}

void
GateMetrics::OnUnmarkedEnd(std::string_view aResult)
{
  mMetrics.Count(kUnmarkedEnds, Label("result", aResult));
}

void
GateMetrics::OnLoopLag(Millis aLag)
{
  mMetrics.Observe(kLoopLag, static_cast<double>(aLag.Count()));
}

void
GateMetrics::Set(Gauge aGauge, double aValue)
{
  mMetrics.SetGauge(DescriptionOf(aGauge).mName, aValue);
}

void
GateMetrics::Set(Gauge aGauge, std::string_view aLabelValue, double aValue)
{
  const GaugeDescription& gauge = DescriptionOf(aGauge);
  mMetrics.SetGauge(gauge.mName, aValue, Label(gauge.mLabel, aLabelValue));
}

void
GateMetrics::Remove(Gauge aGauge, std::string_view aLabelValue)
{
  const GaugeDescription& gauge = DescriptionOf(aGauge);
  mMetrics.RemoveGauge(gauge.mName, Label(gauge.mLabel, aLabelValue));
}

std::string_view
GateMetrics::RouteLabel(const std::string& aRoute)
{
  if (mRoutes.contains(aRoute)) {
    return aRoute;
  }
  if (mRoutes.size() >= kMaxRoutes) {
    return "other";
  }
  mRoutes.insert(aRoute);
  return aRoute;
}

} // namespace trefoilgate
