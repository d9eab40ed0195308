#pragma once

#include "callrecord.h"
#include "requestbuilder.h"
#include "trace.h"

#include <cstdint>
#include <string>
#include <vector>

namespace trefoilload {

/** Where and how a trace is replayed. */
struct ReplayOptions
{
  std::vector<std::string> mEntries; /**< URLs; taken in turn */
  Tokens mTokens;
  std::string mRun = "run";  /**< makes the prompts of this run its own */
  double mSpeed = 1;         /**< 2: twice as fast as recorded */
  int64_t mPatience = 60000; /**< milliseconds after the last is sent */
};

/**
 * Sends every request of a trace at its time and follows it to its end. One
 * record for each request, in the order of the trace.
 */
std::vector<CallRecord>
Replay(const Trace& aTrace, const ReplayOptions& aOptions);

} // namespace trefoilload
