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

/** Something that happens to an engine. */
struct TraceFault
{
  Millis mAt;
  size_t mEngine = 0;
  /** Steps take this many times as long; 0 means that the host is lost. */
  double mSlow = 1;
};

/** A bound on what a replay of the trace through the design must give. */
struct Promise
{
  std::string mClass;
  double mLeastAttainment = 0; /**< share of all that was asked, 0 to 1 */
  double mLeastCompleted = 0;  /**< share completed before the deadline */
};

/** A recorded or generated load, and the outcome that is promised for it. */
struct Trace
{
  std::string mName;
  std::string mAbout;
  uint64_t mSeed = 0;
  size_t mEntries = 2;
  size_t mEngines = 4;
  standin::BatchOptions mBatch;
  std::vector<trefoilarch::RequestClass> mClasses;
  std::vector<TraceRequest> mRequests;
  std::vector<TraceFault> mFaults;
  /** Refused callers ask again after this, without regard to the time they
   * were told, up to mRepeats times; 0 for callers that do not ask again. */
  Millis mRepeatAfter;
  uint32_t mRepeats = 0;
  std::vector<Promise> mPromises;
  double mLeastGoodput = 0; /**< tokens in time, of the engines' best */
  double mMostWaste = 1;    /**< share of the engines' work */

  const trefoilarch::RequestClass& ClassOf(const TraceRequest& aRequest) const;
  Millis End() const;
};

/** The size and speed of the engines in every replay. */
standin::BatchOptions
ReplayBatch();

/** The least time that an engine of ReplayBatch() spends on a request, in
 * milliseconds: its prefill, and its share of the steps of a full batch. */
double
LeastCost(uint32_t aPromptTokens, uint32_t aOutputTokens);

/** The generated traces, each from its own stated seed. */
std::vector<Trace>
GenerateTraces();

/** Writes NAME.json (the promise) and NAME.csv (the requests). */
void
WriteTrace(const Trace& aTrace, const std::string& aFolder);

/** Reads what WriteTrace wrote; throws std::runtime_error on bad files. */
Trace
ReadTrace(const std::string& aFolder, const std::string& aName);

/** The names of the traces in a folder, in order. */
std::vector<std::string>
TraceNames(const std::string& aFolder);

} // namespace replay
