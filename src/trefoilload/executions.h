#pragma once

#include "callrecord.h"
#include "trace.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace trefoilload {

/** All runs of one request that the upstream stand-ins recorded. */
struct RequestExecutions
{
  size_t mRuns = 0;
  uint64_t mTokens = 0;
};

/** By the request's mark, which the router does not know of. */
using Executions = std::map<std::string, RequestExecutions>;

/** A stand-in's list of executions: its whole URL. */
struct ExecutionSource
{
  std::string mUrl;
};

/**
 * Fetches and joins the lists of all sources, leaving out what began before
 * the given monotonic time. Throws std::runtime_error where one is silent.
 */
Executions
FetchExecutions(const std::vector<ExecutionSource>& aSources, int64_t aSince);

/** What the executions say about the run. */
struct ExecutionReport
{
  uint64_t mEngineTokens = 0;
  uint64_t mWastedTokens = 0; /**< not of an answer received whole */
  size_t mRunTwice = 0;       /**< requests not idempotent, run again */
  size_t mRanThoughTold = 0;  /**< told `ran: no`, but an upstream ran it */
};

ExecutionReport
JudgeExecutions(const Trace& aTrace,
                const std::vector<CallRecord>& aRecords,
                const Executions& aExecutions);

} // namespace trefoilload
