#pragma once

#include "libtrefoilarch/singletonduty.h"

#include <cstdint>
#include <string>

namespace dutymodel {

using trefoilarch::Millis;

/** What a model may do, and how far it is explored. */
struct ModelOptions
{
  /** Steps from the start. */
  int mDepth = 14;
  /** Time in seconds, and how many faults of each kind may occur. */
  int mSeconds = 9;
  int mCrashes = 1;
  int mFreezes = 0;
  int mLostReplies = 0;
  int mLateWrites = 0;
  int mLostCalls = 0;
  /** Planned stops, which release the duty. */
  int mStops = 0;
  /** Returns of the store from an older copy. Periods then last two seconds,
   * and the first has ended at the start. */
  int mRestores = 0;
  /** Whether the store's responses contain its era. */
  bool mTellsEra = true;
  /** Whether periods are skipped whose reports the store may have lost. */
  bool mSkipsUnknown = true;
  /** Hosts that compete from the start. */
  size_t mCompetitors = 2;
  /** Whether the store keeps what a write fixes. */
  bool mKeepsReports = true;
  /** Whether a host waits before it acts again after another host. */
  bool mWaitsToReturn = true;
  /** Whether the lease is checked right before a call is sent. */
  bool mChecksLease = true;
};

/** Result of an exploration. */
struct Exploration
{
  uint64_t mStates = 0;
  uint64_t mAccepted = 0;
  uint64_t mTakeovers = 0;
  /** The broken promise and the steps that lead there; empty if none. */
  std::string mViolation;
};

/**
 * Explores all orders of deliveries, losses, late writes, crashes, freezes and
 * passing seconds for three hosts that share a duty, within the bounds of the
 * options. Equal states are explored once.
 */
Exploration
Explore(const ModelOptions& aOptions);

/** Follows random orders of the same steps, each mDepth long. */
Exploration
Walk(const ModelOptions& aOptions, uint32_t aSeed, int aHistories);

} // namespace dutymodel
