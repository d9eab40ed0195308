#pragma once

namespace trefoilarch {

/** What runs at an engine, over all entries. */
struct EngineSituation
{
  double mRunning = 0;
  /** Prompt tokens that are not read yet. */
  double mPendingPromptTokens = 0;
  /** Tokens of running requests in the engine's memory. */
  double mContextTokens = 0;
  /** See UpstreamPerformance::WorkFactor(). */
  double mWorkFactor = 1;

  bool operator==(const EngineSituation&) const = default;
};

/** A request that an engine may be sent. */
struct PaceRequest
{
  /** Tokens of its prompt that the engine must read. */
  double mPromptTokens = 0;
  /** Prompt tokens that an engine reads in a millisecond at factor 1. */
  double mPromptTokensPerMs = 60;
  /** Events of its stream. */
  double mEvents = 1;

  bool operator==(const PaceRequest&) const = default;
};

/** When a stream is expected to progress, in milliseconds from its start. */
struct PaceForecast
{
  double mFirstTokenMs = 0;
  /** The longest pause between two events, with the probability that the
   * options name. */
  double mLongestPauseMs = 0;
  double mEndMs = 0;

  bool operator==(const PaceForecast&) const = default;
};

} // namespace trefoilarch
