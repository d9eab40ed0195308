#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

namespace trefoilarch {

/** Prompt tokens that are not yet prefilled at an upstream, by urgency. An
 * engine prefills more urgent prompts first. */
class PendingPrefill
{
public:
  /** Number of distinct urgencies; higher values count as the last. */
  static constexpr size_t kUrgencies = 3;

  void Add(uint8_t aUrgency, uint64_t aTokens)
  {
    mTokens[IndexOf(aUrgency)] += aTokens;
  }
  void Subtract(uint8_t aUrgency, uint64_t aTokens)
  {
    uint64_t& tokens = mTokens[IndexOf(aUrgency)];
    tokens -= std::min(tokens, aTokens);
  }

  /** Tokens that are prefilled before a new prompt of that urgency. */
  uint64_t Ahead(uint8_t aUrgency) const
  {
    uint64_t tokens = 0;
    for (size_t each = 0; each <= IndexOf(aUrgency); ++each) {
      tokens += mTokens[each];
    }
    return tokens;
  }
  /** Tokens of less urgent prompts. */
  uint64_t Behind(uint8_t aUrgency) const { return All() - Ahead(aUrgency); }
  uint64_t All() const
  {
    uint64_t tokens = 0;
    for (const uint64_t each : mTokens) {
      tokens += each;
    }
    return tokens;
  }
  uint64_t Of(uint8_t aUrgency) const { return mTokens[IndexOf(aUrgency)]; }

  PendingPrefill& operator+=(const PendingPrefill& aOther)
  {
    for (size_t each = 0; each < kUrgencies; ++each) {
      mTokens[each] += aOther.mTokens[each];
    }
    return *this;
  }
  PendingPrefill& operator-=(const PendingPrefill& aOther)
  {
    for (size_t each = 0; each < kUrgencies; ++each) {
      mTokens[each] -= std::min(mTokens[each], aOther.mTokens[each]);
    }
    return *this;
  }

  bool operator==(const PendingPrefill&) const = default;

private:
  static size_t IndexOf(uint8_t aUrgency)
  {
    return std::min<size_t>(aUrgency, kUrgencies - 1);
  }

  std::array<uint64_t, kUrgencies> mTokens{};
};

} // namespace trefoilarch
