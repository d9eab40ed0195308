#pragma once

#include <cstddef>
#include <cstdint>
#include <istream>
#include <ostream>
#include <string>
#include <vector>

namespace trefoilload {

/** One request of a trace and its time. */
struct TraceRequest
{
  int64_t mAt = 0; /**< milliseconds after the start */
  std::string mWorkspace;
  std::string mClass;
  std::string mLabels; /**< `key=value,...` */
  std::string mModel;  /**< empty: a call to mService */
  std::string mService;
  std::string mPrefix; /**< requests with the same prefix start alike */
  size_t mPrefixTokens = 0;
  size_t mPromptTokens = 0; /**< after the prefix */
  size_t mOutputTokens = 0;
  bool mStream = false;
  bool mIdempotent = true;

  bool operator==(const TraceRequest&) const = default;
};

/** A recorded or generated sequence of requests, ordered by time. */
struct Trace
{
  /** Origin of the trace, with the seed if it is generated. */
  std::string mAbout;
  std::vector<TraceRequest> mRequests;
};

/** Writes one JSON object per line; the first describes the origin. */
void
WriteTrace(std::ostream& aOut, const Trace& aTrace);

/** Throws std::runtime_error with the line of the first error. */
Trace
ReadTrace(std::istream& aIn);

} // namespace trefoilload
