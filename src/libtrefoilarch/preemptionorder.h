#pragma once

#include "ids.h"
#include "millis.h"
#include "servicelevel.h"

#include <functional>
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

  /** Orders by preemption: lowest tier first, then latest start. */
  bool operator<(const Preemptible& aOther) const;
};

/**
 * The running attempts that may be preempted: those that can be rerun without a
 * visible effect, because they are idempotent and no chunk of their response
 * has been produced. All others run to their end.
 */
class PreemptionOrder
{
public:
  void Add(const Preemptible& aAttempt);
  void Remove(const AttemptKey& aKey);
  bool Empty() const { return mOrder.empty(); }

  /**
   * Chooses the attempts to preempt for a request of aTier: the fewest attempts
   * of lower tiers after which aFits holds. aFits is called with each in turn.
   * Empty if it never holds.
   */
  std::vector<AttemptKey> Choose(
    Tier aTier,
    const std::function<bool(const AttemptKey&)>& aFits) const;

private:
  std::set<Preemptible> mOrder;
  std::unordered_map<AttemptKey, Preemptible> mAttempts;
};

} // namespace trefoilarch
