#include "requestfeatures.h"

#include <algorithm>

namespace trefoilarch {

namespace {

/** More segments of a prompt are not considered, as a caller could name any
 * number. */
constexpr size_t kMaxSegments = 16;

} // namespace

RequestFeatures
RequestFeatures::Of(const RequestFingerprint& aContent,
                    const PromptShape& aPrompt)
{
  RequestFeatures features{ .mContent = aContent };
  for (size_t each = 0; each + 1 < aPrompt.mSegments.size(); ++each) {
    const auto segment =
      RequestFingerprint::OfSegment(aPrompt.mSegments[each].mId);
    if (features.mSegments.size() < kMaxSegments &&
        !features.HasSegment(segment)) {
      features.mSegments.push_back(segment);
    }
  }
  return features;
}

bool
RequestFeatures::HasSegment(const RequestFingerprint& aSegment) const
{
  return std::find(mSegments.begin(), mSegments.end(), aSegment) !=
         mSegments.end();
}

std::vector<RequestFingerprint>
DistinctFeatures(const std::vector<RequestFeatures>& aRequests)
{
  std::vector<RequestFingerprint> all;
  for (const RequestFeatures& each : aRequests) {
    all.push_back(each.mContent);
    all.insert(all.end(), each.mSegments.begin(), each.mSegments.end());
  }
  std::sort(all.begin(), all.end(), [](const auto& aOne, const auto& aTwo) {
    return aOne.IsSegment() != aTwo.IsSegment() ? aOne.IsSegment()
                                                : aOne < aTwo;
  });
  all.erase(std::unique(all.begin(), all.end()), all.end());
  return all;
}

} // namespace trefoilarch
