#pragma once

#include "libtrefoilarch/loadtracker.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace unevenfleet {

using trefoilarch::PartMode;

/** Whose requests are counted. */
enum Group : uint8_t
{
  Quest,
  Loadout,
  Save,
  LaterQuest,   /**< those of Quest that arrive after 2 s */
  FastestQuest, /**< those of Quest at the fastest engines */
  Flooder,      /**< of the largest workspace, arriving after 4 s */
  Modest,       /**< of the others, arriving after 4 s */
};
constexpr size_t kGroups = Modest + 1;

/** What is counted. A late answer may count as late by both. */
enum Figure : uint8_t
{
  Asked,
  OnTime,
  LateFirst,
  LatePause,
  Refused, /**< to return later than the caller can */
  Failed,  /**< without a complete answer in time, or aborted */
  Preempted,
};
constexpr size_t kFigures = Preempted + 1;

struct FleetOptions
{
  uint32_t mSeed = 1;
  PartMode mParts = PartMode::On;
  /** Of an engine; K's. */
  int64_t mMemoryTokens = 178962;
  /** Of the usual rate of quest-narration. */
  double mQuestFactor = 1;
  /** Whether the largest workspace sends six times its usual load after 2 s. */
  bool mFlood = false;
};

using Figures = std::array<int, kFigures>;
using Outcomes = std::array<Figures, kGroups>;

/**
 * The first 8 s of K's heaviest day in virtual time, scaled to 12 engines of
 * three speeds and 6 entries that exchange updates, with a burst of
 * save-summary at twice the usual rate from 0.5 s on. Refused callers return as
 * told if that is within a third of the time that they have left; their first
 * token is due by their first arrival.
 */
Outcomes
Run(const FleetOptions& aOptions);

} // namespace unevenfleet
