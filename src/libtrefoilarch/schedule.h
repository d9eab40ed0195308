#pragma once

#include "ids.h"
#include "millis.h"
#include "servicelevel.h"

#include <cstdint>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>

namespace trefoilarch {

/** A request that waits for its turn. */
struct WaitingRequest
{
  AttemptKey mKey;
  ServiceLevel mLevel;
  uint64_t mTokens = 0;
  /** Last moment of a start that meets the first-token target. */
  Millis mStartBy;
};

/** Says whose turn it is: by tier, then by earliest feasible deadline. */
class Schedule
{
public:
  void Add(const WaitingRequest& aRequest);
  void Remove(const AttemptKey& aKey);
  /** Whose turn it is, left in its place; nothing if nobody waits. */
  std::optional<AttemptKey> Next() const;
  size_t Size() const { return mRequests.size(); }
  uint64_t Tokens() const { return mTokens; }

private:
  using Place = std::tuple<Tier, Millis, AttemptKey>;
  std::unordered_map<AttemptKey, std::pair<Place, uint64_t>> mRequests;
  uint64_t mTokens = 0;
  std::set<Place> mOrder;
};

} // namespace trefoilarch
