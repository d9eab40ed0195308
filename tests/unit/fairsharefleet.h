#pragma once

#include "libtrefoilarch/fairshare/fairshare.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fairsharefleet {

using trefoilarch::Millis;

/** Requests per second of one workspace. */
struct WorkspaceLoad
{
  std::string mName;
  double mRate = 0;
  /** A flood from mFloodFrom on multiplies the rate. */
  double mFloodFactor = 1;
  Millis mFloodFrom;
  Millis mFloodUntil = Millis::Never();
  /** Whether the flood comes through the first entry alone. */
  bool mOneEntry = false;
  uint8_t mTier = 1;
};

struct FleetOptions
{
  std::vector<WorkspaceLoad> mLoads;
  std::map<std::string, double> mWeights;
  size_t mEntries = 31;
  /** Engine milliseconds per second. */
  double mCapacity = 40000;
  double mCostMs = 100;
  /** A request that waits longer at the server is late. */
  Millis mBound{ 1000 };
  Millis mCallerTime{ 8000 };
  bool mHasPart = true;
  /** Only outcomes of requests that arrive in this time are counted. */
  Millis mCountFrom{ 6000 };
  Millis mCountUntil{ 16000 };
  uint32_t mLossPercent = 0;
  uint32_t mDuplicatePercent = 0;
  /** Updates between the halves of the fleet are lost from then on. */
  Millis mCutFrom = Millis::Never();
  /** An entry is replaced by a new one this often. */
  Millis mKillInterval = Millis::Never();
};

/** What became of the requests of a workspace. */
struct Outcome
{
  double mAsked = 0;
  double mInTime = 0;
  /** Attempts that were refused. */
  double mRefused = 0;
  /** Engine milliseconds admitted, and asked for with repeats, in each 500 ms
   * of the run. */
  std::vector<double> mTimeline;
  std::vector<double> mAttempts;

  double Share() const { return mAsked == 0 ? 1 : mInTime / mAsked; }
};

/** By workspace and, at "", of all. */
using Outcomes = std::map<std::string, Outcome>;

/**
 * Entries with a FairShare each in front of a server of fixed capacity that
 * serves tiers in order and each in order of arrival, in virtual time. The
 * pressure that entries measure is the time of the queue relative to the bound,
 * with an error of 10% by entry and 10% by request. Entries exchange updates
 * each half second, or each 2 s in
 * a large fleet. Callers return as told while they have time left.
 */
Outcomes
Run(const FleetOptions& aOptions, uint32_t aSeed);

/** 24 workspaces whose rates are in the proportions 1, 1/2, 1/3 and so on, and
 * use that part of the capacity. */
std::vector<WorkspaceLoad>
UsualLoad(const FleetOptions& aOptions,
          double aUtilization,
          size_t aCount = 24);

} // namespace fairsharefleet
