#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace trefoilarch {

/** The attributes that identify a request. */
struct RequestIdentity
{
  std::string_view mMethod;
  std::string_view mHost;
  /** Path and query. */
  std::string_view mTarget;
  /** The caller's workspace instead of its key, since keys are rotated. Empty
   * on a public route. */
  std::string_view mWorkspace;
  std::string_view mBody;
};

/**
 * Identifies a request or a prompt segment, alike at every entry. A caller's
 * repeat has another request id and the same fingerprint. Entries exchange
 * fingerprints and keep them in the store, so they must not change between
 * versions. 128 bits, since a collision could reject another caller's request.
 */
struct RequestFingerprint
{
  uint64_t mHigh = 0;
  uint64_t mLow = 0;

  auto operator<=>(const RequestFingerprint&) const = default;

  static RequestFingerprint Of(const RequestIdentity& aRequest);
  /** The fingerprint of a prompt segment with this id. */
  static RequestFingerprint OfSegment(uint64_t aId);

  /** Whether it identifies a prompt segment instead of a whole request. */
  bool IsSegment() const;
  /** 32 lower-case hexadecimal digits. */
  std::string Text() const;
  /** Parses the output of Text(). Returns all zeros for anything else. */
  static RequestFingerprint FromText(std::string_view aText);
};

} // namespace trefoilarch

template<>
struct std::hash<trefoilarch::RequestFingerprint>
{
  size_t operator()(
    const trefoilarch::RequestFingerprint& aFingerprint) const noexcept
  {
    return static_cast<size_t>(aFingerprint.mLow);
  }
};
