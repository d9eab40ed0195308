#pragma once

#include "callrecord.h"
#include "requestbuilder.h"
#include "trace.h"

#include <cstdint>
#include <string>
#include <vector>

namespace trefoilload {

/** Target and parameters of a replay. */
struct ReplayOptions
{
  std::vector<std::string> mEntries; /**< URLs, used round-robin */
  Tokens mTokens;
  std::string mRunId = "run";    /**< makes the prompts unique to this run */
  double mSpeed = 1;             /**< 2: twice as fast as recorded */
  int64_t mDrainTimeout = 60000; /**< ms after the last request is sent */
};

/**
 * Sends every request of a trace at its time and tracks it until it ends.
 * Returns one record per request, in trace order.
 */
std::vector<CallRecord>
Replay(const Trace& aTrace, const ReplayOptions& aOptions);

} // namespace trefoilload
