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
 * Learns, route by route, whether the last part of a prompt belongs to the
 * request alone or to a session that comes again. Nobody else has read what
 * belongs to one request alone, so it must not decide where to go.
 */
class SharedSegmentDetector
{
public:
  /** Takes note of a prompt and returns how many of its first parts other
   * requests are likely to share. */
  size_t OnPrompt(const std::string& aRoute, const PromptShape& aPrompt);

private:
  struct Seen
  {
    std::unordered_set<uint64_t> mIds;
    std::deque<uint64_t> mOrder;
    double mAgain = 0;
  };

  std::unordered_map<std::string, Seen> mRoutes;
};

} // namespace trefoilarch
