#pragma once

#include "libtrefoilarch/directrouter.h"
#include "libtrefoilarch/millis.h"
#include "libtrefoilio/metrics.h"

#include <string>
#include <string_view>

namespace trefoilgate {

/** One ended request, as counted. */
struct EndedRequest
{
  std::string mRoute;
  std::string_view mOutcome;
  trefoilarch::Millis mFirstByte;
  trefoilarch::Millis mTook;
};

/** The gateway's metrics; their names and meaning stand here alone. */
class GateMetrics
{
public:
  /** trefoilarch_gate_requests_total{outcome} and the latency histograms
   * trefoilarch_gate_first_byte_ms and trefoilarch_gate_request_ms. */
  void OnRequest(const EndedRequest& aRequest);
  /** trefoilarch_gate_refusals_total{kind}. */
  void OnRefusal(std::string_view aKind);
  /** trefoilarch_gate_attempts_total{outcome}. */
  void OnAttempt(trefoilarch::AttemptOutcome aOutcome);
  /** trefoilarch_gate_policies_total{result}. */
  void OnPolicy(std::string_view aResult);
  /** A gauge of that name, with `trefoilarch_gate_` before it. */
  void SetGauge(std::string_view aName, double aValue);
  void SetGauge(std::string_view aName, std::string_view aLabel, double aValue);

  std::string Text() const { return mMetrics.Text(); }

private:
  trefoilio::Metrics mMetrics;
};

/** "good", "refused", "failed", "unreachable", "broken" or "withdrawn". */
std::string_view
Name(trefoilarch::AttemptOutcome aOutcome);

} // namespace trefoilgate
