#include "gatemetrics.h"

namespace trefoilgate {

using trefoilarch::AttemptOutcome;
using trefoilarch::Millis;

namespace {

std::string
Label(std::string_view aKey, std::string_view aValue)
{
  std::string label(aKey);
  label += "=\"";
  label += aValue;
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

void
GateMetrics::OnRequest(const EndedRequest& aRequest)
{
  mMetrics.Count("trefoilarch_gate_requests_total",
                 Label("outcome", aRequest.mOutcome));
  if (aRequest.mFirstByte > Millis(0)) {
    mMetrics.Observe("trefoilarch_gate_first_byte_ms",
                     static_cast<double>(aRequest.mFirstByte.Count()));
  }
  mMetrics.Observe("trefoilarch_gate_request_ms",
                   static_cast<double>(aRequest.mTook.Count()));
}

void
GateMetrics::OnRefusal(std::string_view aKind)
{
  mMetrics.Count("trefoilarch_gate_refusals_total", Label("kind", aKind));
}

void
GateMetrics::OnAttempt(AttemptOutcome aOutcome)
{
  mMetrics.Count("trefoilarch_gate_attempts_total",
                 Label("outcome", Name(aOutcome)));
}

void
GateMetrics::OnPolicy(std::string_view aResult)
{
  mMetrics.Count("trefoilarch_gate_policies_total", Label("result", aResult));
}

void
GateMetrics::SetGauge(std::string_view aName, double aValue)
{
  mMetrics.SetGauge("trefoilarch_gate_" + std::string(aName), aValue);
}

void
GateMetrics::SetGauge(std::string_view aName,
                      std::string_view aLabel,
                      double aValue)
{
  mMetrics.SetGauge(
    "trefoilarch_gate_" + std::string(aName), aValue, std::string(aLabel));
}

} // namespace trefoilgate
