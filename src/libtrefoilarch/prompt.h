#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace trefoilarch {

/** A segment of a prompt that other requests may share. */
struct PromptSegment
{
  uint64_t mId = 0;
  uint32_t mTokens = 0;

  bool operator==(const PromptSegment&) const = default;
};

/** The segment's id as callers write it: hexadecimal, in lower case. */
std::string
SegmentName(uint64_t aId);

/** What a caller states about its prompt and the expected response. */
struct PromptShape
{
  /** More segments are not told apart, as a caller could name thousands. */
  static constexpr size_t kMaxSegments = 64;

  std::string mModel;
  uint32_t mPromptTokens = 0;
  /** Maximum output tokens of the response; 0 if not given. */
  uint32_t mMaxOutput = 0;
  /** The caller's estimate, accurate in the median but often far off; 0 if
   * none. */
  uint32_t mExpectedOutput = 0;
  /** In the prompt's order; the last belongs to the request or its session. */
  std::vector<PromptSegment> mSegments;
  /** Number of leading segments that other requests are likely to share. */
  size_t mSharedSegments = 0;

  /** Appends a segment. Beyond kMaxSegments it replaces the last one, which
   * belongs to the request or its session. */
  void AddSegment(const PromptSegment& aSegment)
  {
    if (mSegments.size() == kMaxSegments) {
      mSegments.back() = aSegment;
    } else {
      mSegments.push_back(aSegment);
    }
  }

  /** Output tokens to expect of the response. */
  uint32_t PlannedOutput() const
  {
    if (mExpectedOutput > 0) {
      return mExpectedOutput;
    }
    return mMaxOutput > 0 ? mMaxOutput / 2 : kDefaultOutput;
  }

  /** Tokens of the shared segments. */
  uint32_t SharedTokens() const
  {
    uint32_t tokens = 0;
    for (size_t each = 0; each < mSharedSegments; ++each) {
      tokens += mSegments[each].mTokens;
    }
    return tokens;
  }

  /** Ids of the shared segments. */
  std::vector<uint64_t> SharedIds() const
  {
    std::vector<uint64_t> ids;
    ids.reserve(mSharedSegments);
    for (size_t each = 0; each < mSharedSegments; ++each) {
      ids.push_back(mSegments[each].mId);
    }
    return ids;
  }

  bool operator==(const PromptShape&) const = default;

private:
  /** Output tokens of a request without an estimate. */
  static constexpr uint32_t kDefaultOutput = 100;
};

} // namespace trefoilarch
