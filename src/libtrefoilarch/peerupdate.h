#pragma once

#include "ids.h"
#include "millis.h"
#include "pendingprefill.h"
#include "routedemand.h"
#include "storeservinginterval.h"
#include "tablecheckpoint.h"
#include "upstreamlimits.h"
#include "upstreamwork.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace trefoilarch {

/** Prompt tokens of one entry that an upstream has yet to read. */
struct UpstreamPendingPrefill
{
  UpstreamId mUpstream;
  PendingPrefill mPendingPrefill;

  bool operator==(const UpstreamPendingPrefill&) const = default;
};

/** A prompt that an entry has sent to an upstream. */
struct SentPrompt
{
  UpstreamId mUpstream;
  /** Ids of the parts that others may share, in the prompt's order. */
  std::vector<uint64_t> mSegments;
  /** What the request adds to the upstream's memory, prompt and answer. */
  uint32_t mTokens = 0;

  bool operator==(const SentPrompt&) const = default;
};

/** An upstream's report of its own load, as an entry got it. */
struct ReceivedLoadReport
{
  UpstreamId mUpstream;
  ReportedLoad mLoad;
  /** Since it came. */
  Millis mAge;

  bool operator==(const ReceivedLoadReport&) const = default;
};

/** An upstream from which an entry waits for an answer in vain. */
struct SilentUpstream
{
  UpstreamId mUpstream;
  /** Since its last byte, or since the entry began to wait. */
  Millis mSilence;

  bool operator==(const SilentUpstream&) const = default;
};

/** Which of the store's tables a word is of; the numbers are its sender's and
 * its receiver's to agree on. */
struct PeerTableCheckpoint
{
  uint8_t mTable = 0;
  TableCheckpoint mCheckpoint;

  bool operator==(const PeerTableCheckpoint&) const = default;
};

/**
 * What an entry tells the others. What is pending is told as a whole, so that
 * a lost message is made good by the next one; prompts are told once.
 */
struct PeerUpdate
{
  std::string mFrom;
  /** Tells one process of that name from the next. */
  uint64_t mProcess = 0;
  /** Rises with each message of a process. */
  uint64_t mSequence = 0;
  std::vector<UpstreamPendingPrefill> mPending;
  std::vector<SentPrompt> mSent;
  std::vector<ReceivedLoadReport> mReports;
  std::vector<RouteDemand> mDemands;
  std::vector<SilentUpstream> mSilent;
  /** Upstreams that have answered since the last message. */
  std::vector<UpstreamId> mAnswered;
  std::vector<PeerTableCheckpoint> mTables;
  std::vector<LimitReport> mLimits;
  /** How long the store has served; see StoreUptime. */
  std::optional<StoreServingInterval> mStoreServing;

  bool operator==(const PeerUpdate&) const = default;
};

} // namespace trefoilarch
