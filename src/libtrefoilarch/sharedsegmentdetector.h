#pragma once

#include "prompt.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace trefoilarch {

/**
 * Learns for each route whether the last segment of a prompt belongs to the
 * request alone or to a session with further requests. A segment of a single
 * request is cached nowhere and must not determine its upstream.
 */
class SharedSegmentDetector
{
public:
  /** Records a prompt and returns how many of its first segments other requests
   * are likely to share. */
  size_t OnPrompt(const std::string& aRoute, const PromptShape& aPrompt);

private:
  struct RouteHistory
  {
    std::unordered_set<uint64_t> mIds;
    std::deque<uint64_t> mInsertionOrder;
    double mRepeatedShare = 0;
  };

  std::unordered_map<std::string, RouteHistory> mRoutes;
};

} // namespace trefoilarch
