#pragma once

#include "trace.h"

namespace trefoilload {

/** What a generated trace is to be like. */
struct GeneratorOptions
{
  uint64_t mSeed = 1;
  int64_t mSeconds = 20;
  double mRate = 1; /**< factor on every class's rate */
};

/**
 * A trace of both deployments' workloads as the brief describes them; no
 * recording of the users' is at hand. Arrivals are Poisson; the public page
 * bursts to four times its rate in the middle third.
 */
Trace
GenerateTrace(const GeneratorOptions& aOptions);

} // namespace trefoilload
