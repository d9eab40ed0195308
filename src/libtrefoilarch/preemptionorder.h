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
  bool Empty() const { return mOrder.empty(); }

  /**
   * Whom to preempt for a request of aTier: the fewest attempts of lower tiers
   * after which aFits holds, told of each in turn; empty if it never does.
   */
  std::vector<AttemptKey> Choose(
    Tier aTier,
    const std::function<bool(const AttemptKey&)>& aFits) const;

private:
  std::set<Preemptible> mOrder;
  std::unordered_map<AttemptKey, Preemptible> mAttempts;
};

} // namespace trefoilarch
