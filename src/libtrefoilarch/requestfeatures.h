#pragma once

#include "prompt.h"
#include "requestfingerprint.h"

#include <vector>

namespace trefoilarch {

/**
 * What may be the cause if a request crashes its upstream: its whole content,
 * or a prompt segment that other requests share.
 */
struct RequestFeatures
{
  /** Zero if no crash is to be attributed to the request. */
  RequestFingerprint mContent;
  /** Of the prompt's segments except the last, which no other request shares.
   * Without duplicates. */
  std::vector<RequestFingerprint> mSegments;

  static RequestFeatures Of(const RequestFingerprint& aContent,
                            const PromptShape& aPrompt);

  bool IsEmpty() const { return mContent == RequestFingerprint{}; }
  bool HasSegment(const RequestFingerprint& aSegment) const;

  bool operator==(const RequestFeatures&) const = default;
};

/** All features of the requests without duplicates, segments first. */
std::vector<RequestFingerprint>
DistinctFeatures(const std::vector<RequestFeatures>& aRequests);

} // namespace trefoilarch
