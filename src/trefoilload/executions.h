#pragma once

#include "callrecord.h"
#include "trace.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace trefoilload {

/** Executions of one request recorded by the upstream stand-ins. */
struct RequestExecutions
{
  size_t mRuns = 0;
  uint64_t mTokens = 0;
};

/** Keyed by the request's mark, which is unknown to the router. */
using Executions = std::map<std::string, RequestExecutions>;

/** Full URL of a stand-in's list of executions. */
struct ExecutionSource
{
  std::string mUrl;
};

/**
 * Fetches and merges the lists of all sources, skipping executions started
 * before the given monotonic time. Throws std::runtime_error if one fails.
 */
Executions
FetchExecutions(const std::vector<ExecutionSource>& aSources, int64_t aSince);

/** Violations and wasted work found in the executions. */
struct ExecutionReport
{
  uint64_t mEngineTokens = 0;
  uint64_t mWastedTokens = 0;   /**< not in a complete response */
  size_t mRunTwice = 0;         /**< non-idempotent requests run again */
  size_t mRanDespiteReport = 0; /**< run, but reported `ran: no` */
};

ExecutionReport
EvaluateExecutions(const Trace& aTrace,
                   const std::vector<CallRecord>& aRecords,
                   const Executions& aExecutions);

} // namespace trefoilload
