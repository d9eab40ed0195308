#pragma once

#include "libtrefoilarch/directrouter.h"
#include "libtrefoilarch/millis.h"
#include "libtrefoilio/metrics.h"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace trefoilgate {

/** One ended request, for the metrics. */
struct EndedRequest
{
  std::string mRoute;
  /** 0 is the most urgent. */
  uint8_t mPriority = 0;
  std::string_view mOutcome;
  /** 0 if no byte of an answer arrived. */
  trefoilarch::Millis mTimeToFirstByte;
  trefoilarch::Millis mDuration;
};

/** A gauge of the gateway; the metric names are defined in the source file. */
enum class Gauge : uint8_t
{
  OpenRequests,
  BodyBytes,
  WaitingUploads,
  LongestUploadWaitMs,
  AnswerBytes,
  CallerConnections,
  ConnectionBytes,
  IdleUpstreamConnections,
  UpstreamConnectionsMade,
  UpstreamConnectionsFailed,
  PolicyAgeMs,
  PolicyVersion,
  ListAgeMs,
  Ejections,
  UpstreamCrashes,
  Quarantined,
  QuarantinedSegments,
  LimitedUpstreams,
  LogLinesLeftOut,
  RetriesLeft,      /**< by service */
  Upstreams,        /**< by state */
  UpstreamVersions, /**< by service and software version */
  KnownStreams,
  DutyHeld,
  DutyFencingToken,
  UsageWindowAccepted,
  UsageWindowsMissed,
  UsageWindowsSkipped,
  StoreEra,
  ClockCorrectionMs,
  UnreadableDatagrams,
  PeerDatagrams,      /**< by direction: "sent", "received" */
  SlowUpstreams,      /**< by service */
  WorkspaceDemand,    /**< by workspace */
  WorkspaceShare,     /**< by workspace */
  WorkspaceShedTotal, /**< by workspace */
};

/** The gateway's metrics; names and help texts are defined in the source
 * file. */
class GateMetrics
{
public:
  GateMetrics();

  void OnRequest(const EndedRequest& aRequest);
  void OnRefusal(std::string_view aKind);
  void OnAttempt(trefoilarch::AttemptOutcome aOutcome);
  void OnPolicy(std::string_view aResult);
  void OnUnreadableRow(std::string_view aTable);
  void OnUnreadableLoadReport();
  /** A caller was cut off for this reason before its answer was complete. */
  void OnCutCaller(std::string_view aReason);
  /** A request was rejected, or its connection closed, for this limit. */
  void OnCallerLimit(std::string_view aLimit);
  /** The end of an answer without length or chunks was judged: "complete",
   * "process_ended" or "process_unknown". */
  void OnUnmarkedEnd(std::string_view aResult);
  void OnReload(std::string_view aResult);
  /** Records how late a timer of the event loop fired. */
  void OnLoopLag(trefoilarch::Millis aLag);
  void Set(Gauge aGauge, double aValue);
  void Set(Gauge aGauge, std::string_view aLabelValue, double aValue);
  /** Removes the gauge's series with this label. */
  void Remove(Gauge aGauge, std::string_view aLabelValue);

  std::string Text() const { return mMetrics.Text(); }

private:
  /** The route's name, or "other" if too many routes have been seen. */
  std::string_view RouteLabel(const std::string& aRoute);

  trefoilio::Metrics mMetrics;
  std::set<std::string, std::less<>> mRoutes;
};

/** "good", "refused", "failed", "unreachable", "broken" or "withdrawn". */
std::string_view
Name(trefoilarch::AttemptOutcome aOutcome);

} // namespace trefoilgate
