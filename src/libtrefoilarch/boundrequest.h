#pragma once

#include "millis.h"
#include "prompt.h"
#include "requestfingerprint.h"
#include "routeindex.h"

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
  /** Zero if the caller of Bind() sets none: no crash is attributed to it. */
  RequestFingerprint mFingerprint;
  Millis mArrivedAt;
  /** The earlier of the caller's deadline and the route's timeout. */
  Millis mDeadline;
};

} // namespace trefoilarch
