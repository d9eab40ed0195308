#pragma once

#include "ids.h"
#include "millis.h"
#include "servicelevel.h"

#include <cstdint>
#include <set>
#include <unordered_map>
#include <vector>

namespace trefoilarch {

/** A running attempt that loses only time if it is stopped and rerun. */
struct Preemptible
{
  AttemptKey mKey;
  Tier mTier = 0;
  Millis mStartedAt;
  uint64_t mTokens = 0;

  /** The first one is the first to go: lowest tier, then latest start. */
  bool operator<(const Preemptible& aOther) const;
};

/**
 * The running attempts that may be preempted. An attempt is here only while it
 * can be rerun without a trace: it is idempotent, and no chunk of its answer
 * has been produced. All others run to their end.
 */
class PreemptionOrder
{
public:
  void Add(const Preemptible& aAttempt);
  void Remove(const AttemptKey& aKey);

  /**
   * Whom to preempt so that a request of aTier gets aTokens: attempts of lower
   * tiers only; empty if those do not suffice.
   */
  std::vector<AttemptKey> Choose(Tier aTier, uint64_t aTokens) const;

private:
  std::set<Preemptible> mOrder;
  std::unordered_map<AttemptKey, Preemptible> mAttempts;
};

} // namespace trefoilarch
