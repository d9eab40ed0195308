#pragma once

#include <cstdint>
#include <string>

namespace fairsharemodel {

/** What a model may do, and how far it is explored. */
struct ModelOptions
{
  /** Steps from the start: a delivery, a fault, or half a second that passes
   * with or without the delivery of all that is under way. */
  int mDepth = 9;
  /** How many faults of each kind may occur. */
  int mLosses = 1;
  int mDuplicates = 1;
  int mKills = 1;
  int mCuts = 1;
  /** Whether a receiver drops updates that are older than the last one. */
  bool mDropsOlder = true;
  /** Whether heard demand lapses. */
  bool mLapses = true;
};

/** Result of an exploration. */
struct Exploration
{
  uint64_t mStates = 0;
  uint64_t mRefusals = 0;
  /** The broken promise and the steps that lead there; empty if none. */
  std::string mViolation;
};

/**
 * Explores all orders of deliveries, losses, duplicates, entries killed, new
 * and cut off, for three entries with a FairShare each under contention, within
 * the bounds of the options. Equal states are explored once.
 *
 * Promised in every state: an entry counts each other entry's demand once, by
 * the newest report that it received within 3 s; shares add up to at most the
 * capacity; a modest workspace is never refused. From every state, when faults
 * end, all entries soon agree on the demand, and a workspace that has stopped
 * its flood is admitted.
 */
Exploration
Explore(const ModelOptions& aOptions);

} // namespace fairsharemodel
