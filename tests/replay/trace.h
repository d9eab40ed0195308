#pragma once

#include "libtrefoilarch/policy.h"
#include "standins/engine/batchmodel.h"
#include "virtualtime.h"

#include <cstdint>
#include <string>
#include <vector>

namespace replay {

/** One caller's request in a trace. */
struct TraceRequest
{
  Millis mAt;
  std::string mClass;
  std::string mWorkspace;
  uint64_t mPrefix = 0;
  uint32_t mPrefixTokens = 0;
  uint32_t mPromptTokens = 0;
  uint32_t mOutputTokens = 0;
  bool mIdempotent = true;
};

/** A slowdown, a recovery or the loss of one engine. */
struct TraceFault
{
  Millis mAt;
  size_t mEngine = 0;
  /** Factor on the duration of steps; 0 means that the host is lost. */
  double mSlowdown = 1;
};

/** Lower bounds on one class's results in a replay through the sidecar
 * router. */
struct Expectation
{
  std::string mClass;
  double mMinAttainment = 0; /**< share of all requests, 0 to 1 */
  double mMinCompleted = 0;  /**< share completed before the deadline */
};

/** A recorded or generated load and the bounds that its results must meet. */
struct Trace
{
  std::string mName;
  std::string mDescription;
  uint64_t mSeed = 0;
  size_t mEntries = 2;
  size_t mEngines = 4;
  standin::BatchOptions mBatch;
  std::vector<trefoilarch::RequestClass> mClasses;
  std::vector<TraceRequest> mRequests;
  std::vector<TraceFault> mFaults;
  /** Refused callers retry after this delay, whatever retry time the refusal
   * states, up to mMaxRetries times; 0 for callers that do not retry. */
  Millis mRetryDelay;
  uint32_t mMaxRetries = 0;
  std::vector<Expectation> mExpectations;
  double mMinGoodput = 0; /**< work in time, as a share of the upper bound */
  double mMaxWaste = 1;   /**< share of the engines' work */

  const trefoilarch::RequestClass& ClassOf(const TraceRequest& aRequest) const;
  Millis End() const;
};

/** Default size and speed of the engines in replays. */
standin::BatchOptions
ReplayBatch();

/** The minimum time in milliseconds that an engine of ReplayBatch() spends on a
 * request: its prefill, and its share of the steps of a full batch. */
double
MinCost(uint32_t aPromptTokens, uint32_t aOutputTokens);

/** Generates all traces, each from its own recorded seed. */
std::vector<Trace>
GenerateTraces();

/** Writes NAME.json (settings and expectations) and NAME.csv (requests). */
void
WriteTrace(const Trace& aTrace, const std::string& aFolder);

/** Reads the files of WriteTrace; throws std::runtime_error on bad files. */
Trace
ReadTrace(const std::string& aFolder, const std::string& aName);

/** The names of the traces in a folder, sorted. */
std::vector<std::string>
TraceNames(const std::string& aFolder);

} // namespace replay
