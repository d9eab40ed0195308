#include "sharedsegmentdetector.h"

namespace trefoilarch {

namespace {

/** Last parts that are remembered for each route. */
constexpr size_t kMostIds = 1024;

/** Weight of the newest prompt. */
constexpr double kNewest = 0.02;

/** This share of last parts seen before makes them a session's. */
constexpr double kSessionShare = 0.08;

} // namespace

size_t
SharedSegmentDetector::OnPrompt(const std::string& aRoute,
                                const PromptShape& aPrompt)
{
  if (aPrompt.mSegments.empty()) {
    return 0;
  }
  Seen& seen = mRoutes[aRoute];
  const uint64_t last = aPrompt.mSegments.back().mId;
  const bool again = !seen.mIds.insert(last).second;
  seen.mAgain += kNewest * ((again ? 1 : 0) - seen.mAgain);
  if (!again) {
    seen.mOrder.push_back(last);
  }
  if (seen.mOrder.size() > kMostIds) {
    seen.mIds.erase(seen.mOrder.front());
    seen.mOrder.pop_front();
  }
  const size_t parts = aPrompt.mSegments.size();
  return seen.mAgain >= kSessionShare ? parts : parts - 1;
}

} // namespace trefoilarch
