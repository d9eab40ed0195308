#include "sharedsegmentdetector.h"

namespace trefoilarch {

namespace {

/** Last segments that are tracked for each route. */
constexpr size_t kMaxIds = 1024;

/** Weight of the newest prompt. */
constexpr double kNewestWeight = 0.02;

/** Share of repeated last segments from which they belong to sessions. */
constexpr double kSessionShare = 0.08;

} // namespace

size_t
SharedSegmentDetector::OnPrompt(const std::string& aRoute,
                                const PromptShape& aPrompt)
{
  if (aPrompt.mSegments.empty()) {
    return 0;
  }
  RouteHistory& history = mRoutes[aRoute];
  const uint64_t last = aPrompt.mSegments.back().mId;
  const bool repeated = !history.mIds.insert(last).second;
  history.mRepeatedShare +=
    kNewestWeight * ((repeated ? 1 : 0) - history.mRepeatedShare);
  if (!repeated) {
    history.mInsertionOrder.push_back(last);
  }
  if (history.mInsertionOrder.size() > kMaxIds) {
    history.mIds.erase(history.mInsertionOrder.front());
    history.mInsertionOrder.pop_front();
  }
  const size_t segments = aPrompt.mSegments.size();
  return history.mRepeatedShare >= kSessionShare ? segments : segments - 1;
}

} // namespace trefoilarch
