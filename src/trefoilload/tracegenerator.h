#pragma once

#include "trace.h"

namespace trefoilload {

/** Parameters of a generated trace. */
struct GeneratorOptions
{
  uint64_t mSeed = 1;
  int64_t mSeconds = 20;
  double mRateFactor = 1; /**< factor for every class's rate */
};

/**
 * Generates a trace of both deployments' workloads from their description,
 * since no user recordings are available. Arrivals are Poisson; the public
 * page's rate rises fourfold in the middle third.
 */
Trace
GenerateTrace(const GeneratorOptions& aOptions);

} // namespace trefoilload
