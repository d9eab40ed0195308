#pragma once

#include <cstddef>
#include <cstdint>
#include <istream>
#include <ostream>
#include <string>
#include <vector>

namespace trefoilload {

/** One request of a trace: what a caller asked for, and when. */
struct TraceRequest
{
  int64_t mAt = 0; /**< milliseconds after the start */
  std::string mWorkspace;
  std::string mClass;
  std::string mLabels; /**< `key=value,...` */
  std::string mModel;  /**< empty: a call to mService */
  std::string mService;
  std::string mPrefix; /**< requests of one prefix begin alike */
  size_t mPrefixTokens = 0;
  size_t mPromptTokens = 0; /**< after the prefix */
  size_t mOutputTokens = 0;
  bool mStream = false;
  bool mIdempotent = true;

  bool operator==(const TraceRequest&) const = default;
};

/** A recorded or generated run of requests, in the order of time. */
struct Trace
{
  /** Where it comes from, and the seed if it is generated. */
  std::string mAbout;
  std::vector<TraceRequest> mRequests;
};

/** One JSON object a line; the first one says where the trace is from. */
void
WriteTrace(std::ostream& aOut, const Trace& aTrace);

/** Throws std::runtime_error with the line of the first fault. */
Trace
ReadTrace(std::istream& aIn);

} // namespace trefoilload
