#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace trefoilarch {

/** Identifies a caller's request in all processes; 128 random bits. */
struct RequestId
{
  uint64_t mHigh = 0;
  uint64_t mLow = 0;

  auto operator<=>(const RequestId&) const = default;

  /** 32 lower-case hexadecimal digits. */
  std::string Text() const;

  /** Parses the output of Text(); all zero if the text is malformed. */
  static RequestId FromText(std::string_view aText);
};

/** One attempt of a request at an upstream. Attempts count from 1. */
struct AttemptKey
{
  RequestId mRequest;
  uint32_t mAttempt = 0;

  auto operator<=>(const AttemptKey&) const = default;
};

/** An upstream's name in the platform's host list. */
using UpstreamId = std::string;

/** An entry process's name, generated at each start of the process. */
using EntryId = std::string;

} // namespace trefoilarch

template<>
struct std::hash<trefoilarch::RequestId>
{
  size_t operator()(const trefoilarch::RequestId& aId) const noexcept
  {
    return static_cast<size_t>(aId.mHigh ^ (aId.mLow * 0x9e3779b97f4a7c15ULL));
  }
};

template<>
struct std::hash<trefoilarch::AttemptKey>
{
  size_t operator()(const trefoilarch::AttemptKey& aKey) const noexcept
  {
    return std::hash<trefoilarch::RequestId>()(aKey.mRequest) +
           aKey.mAttempt * 0x9e3779b97f4a7c15ULL;
  }
};
