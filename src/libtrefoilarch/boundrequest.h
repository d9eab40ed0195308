#pragma once

#include "millis.h"
#include "prompt.h"
#include "requestfeatures.h"
#include "routeindex.h"
#include "streams/streamorigin.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace trefoilarch {

/** Attributes of a caller's request; views into the request. */
struct RequestAttributes
{
  std::string_view mHost;
  std::string_view mPath;
  std::string mKey;
  /** When its first byte was received. */
  Millis mArrivedAt;
  /** How long the caller waits, from mArrivedAt. */
  std::optional<Millis> mCallerTimeout;
  /** The caller's id of the request. */
  std::string_view mRequestId;
  /** The request that brought the first event of the stream that this one
   * continues, or empty. */
  std::string_view mResumedRequestId;
  /** Whether it continues a stream after an event of an earlier request. */
  bool mResumes = false;
  PromptShape mPrompt;
};

/** A request with its route and workspace. Keeps its policy alive. */
struct BoundRequest
{
  std::shared_ptr<const RouteIndex> mIndex;
  const Route* mRoute = nullptr;
  std::string mService;
  /** Empty on a public route. */
  std::string mWorkspace;
  std::string mKey;
  /** The workspace's or else the route's. */
  uint8_t mPriority = 0;
  /** The route's, which orders requests of the same priority. */
  uint8_t mRoutePriority = 0;
  PromptShape mPrompt;
  /** The request's stream; of an earlier request if it continues that one's. */
  StreamKey mStream = kNoStream;
  /** Whether it continues a stream that began with an earlier request. */
  bool mResumes = false;
  /** Where its stream began, once that is known. */
  std::optional<StreamOrigin> mOrigin;
  /** When its stream was last found interrupted: the versions of upstreams have
   * to be known at this time for it to continue. */
  Millis mInterruptedAt;
  /** Empty if the caller of Bind() sets none: no crash is attributed to it. */
  RequestFeatures mFeatures;
  Millis mArrivedAt;
  /** The earlier of the caller's deadline and the route's timeout. */
  Millis mDeadline;
};

} // namespace trefoilarch
