#pragma once

#include "ids.h"
#include "millis.h"
#include "pendingprefill.h"
#include "routedemand.h"
#include "storeservinginterval.h"
#include "tablecheckpoint.h"
#include "tierreport.h"
#include "upstreamlimits.h"
#include "upstreamwork.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace trefoilarch {

/** Prompt tokens of an entry that an upstream has not prefilled yet. */
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
  /** Ids of the segments that other prompts may share, in prompt order. */
  std::vector<uint64_t> mSegments;
  /** Tokens that prompt and output add to the upstream's cache. */
  uint32_t mTokens = 0;

  bool operator==(const SentPrompt&) const = default;
};

/** An upstream's report of its load, as received by an entry. */
struct ReceivedLoadReport
{
  UpstreamId mUpstream;
  ReportedLoad mLoad;
  /** Time since the report was received. */
  Millis mAge;

  bool operator==(const ReceivedLoadReport&) const = default;
};

/** An upstream that does not respond to an entry's requests. */
struct SilentUpstream
{
  UpstreamId mUpstream;
  /** Time since its last byte, or since the entry began to wait. */
  Millis mSilence;

  bool operator==(const SilentUpstream&) const = default;
};

/** A checkpoint of one of the store's tables. The sender and the receiver agree
 * on the table numbers. */
struct PeerTableCheckpoint
{
  uint8_t mTable = 0;
  TableCheckpoint mCheckpoint;

  bool operator==(const PeerTableCheckpoint&) const = default;
};

/**
 * The state that an entry sends its peers. Pending work is sent in full each
 * time, so that the next message makes up for a lost one. Prompts are sent
 * once.
 */
struct PeerUpdate
{
  std::string mFrom;
  /** Identifies the process among those of the same name. */
  uint64_t mProcess = 0;
  /** Increases with each message of a process. */
  uint64_t mSequence = 0;
  std::vector<UpstreamPendingPrefill> mPending;
  std::vector<SentPrompt> mSent;
  std::vector<ReceivedLoadReport> mReports;
  std::vector<RouteDemand> mDemands;
  std::vector<SilentUpstream> mSilent;
  /** Upstreams that have responded since the last message. */
  std::vector<UpstreamId> mAnswered;
  std::vector<PeerTableCheckpoint> mTables;
  std::vector<LimitReport> mLimits;
  /** Empty if no entry is overloaded. Sent as a TierUpdate. */
  std::vector<TierReport> mTiers;
  /** The store's serving interval; see StoreUptime. */
  std::optional<StoreServingInterval> mStoreServing;

  bool operator==(const PeerUpdate&) const = default;
};

} // namespace trefoilarch
