#pragma once

#include "../millis.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

namespace trefoilarch {

/** A request that waits at this entry for engine memory. */
struct MemoryWaiter
{
  std::string mService;
  /** 0 is the most urgent. */
  uint8_t mTier = 0;
  int64_t mTokens = 0;
  /** After this time it no longer counts. */
  Millis mUntil;
};

/** The requests that wait at this entry for engine memory, and the tokens that
 * they need. */
class MemoryWaiters
{
public:
  /** aMost requests may wait at a time. */
  explicit MemoryWaiters(size_t aMost);

  /** Returns false if too many wait. */
  bool Add(uint64_t aAttempt, const MemoryWaiter& aWaiter);
  void Remove(uint64_t aAttempt);
  void Expire(Millis aNow);

  /** What waiting requests of the service need that are more urgent than
   * aTier. */
  int64_t TokensAhead(const std::string& aService, uint8_t aTier) const;
  size_t Count() const { return mWaiters.size(); }

private:
  /** Distinct tiers; higher ones count as the last. */
  static constexpr size_t kTiers = 8;
  static size_t IndexOf(uint8_t aTier);

  size_t mMost;
  std::unordered_map<uint64_t, MemoryWaiter> mWaiters;
  std::set<std::pair<Millis, uint64_t>> mByTime;
  std::unordered_map<std::string, std::array<int64_t, kTiers>> mTokens;
};

} // namespace trefoilarch
