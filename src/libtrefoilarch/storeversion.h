#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>

namespace trefoilarch {

/**
 * A point in the history of the store. A store that comes back from an older
 * copy of itself gives versions out again, and its era rises by one, so only
 * the pair is ordered.
 */
struct StoreVersion
{
  /** How often the store has come back from a copy; 0 if it doesn't say. */
  uint64_t mEra = 0;
  /** The store's own version number. */
  uint64_t mVersion = 0;

  /** Enough for ten years of 400 writes a second. */
  static constexpr unsigned kVersionBits = 37;
  static constexpr uint64_t kMaxVersion = (1ULL << kVersionBits) - 1;
  /** Later eras count as this one, so that numbers stay below 2^53, where they
   * are exact in JSON. */
  static constexpr uint64_t kMaxEra = (1ULL << (53U - kVersionBits)) - 2;

  /** A number with the order of the pair. That of era 0 is its version. */
  constexpr uint64_t Number() const
  {
    return (std::min(mEra, kMaxEra) << kVersionBits) +
           std::min(mVersion, kMaxVersion);
  }
  static constexpr StoreVersion FromNumber(uint64_t aNumber)
  {
    return { .mEra = aNumber >> kVersionBits,
             .mVersion = aNumber & kMaxVersion };
  }

  auto operator<=>(const StoreVersion&) const = default;
};

} // namespace trefoilarch
