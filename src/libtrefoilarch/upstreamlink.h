#pragma once

#include "channelhealth.h"
#include "classifier.h"
#include "ids.h"
#include "messages.h"
#include "millis.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <utility>

namespace trefoilarch {

/**
 * No attempt has this key, as attempts count from 1. A channel is probed by
 * asking for the state of this key: every sidecar has to reply.
 */
constexpr AttemptKey kProbe{};

/** What an entry knows about one upstream, and its open work there. */
struct UpstreamLink
{
  explicit UpstreamLink(ChannelTimeouts aTimeouts)
    : mHealth(aTimeouts)
  {
  }

  UpstreamView mView;
  ChannelHealth mHealth;
  bool mListed = true;   /**< in the last SetUpstreams() */
  bool mLeaving = false; /**< according to the host list */
  Millis mListedSince;
  bool mWelcomed = false;
  uint64_t mIncarnation = 0;
  /** As last reported, and the changes by this entry since then. */
  Load mLoad;
  int64_t mTokensSinceReport = 0;
  int32_t mCallsSinceReport = 0;
  /** Smoothed round-trip time of probes. */
  Millis mRoundTrip;

  /** Offers waiting there and attempts started there. */
  std::set<AttemptKey> mOpen;
  /** Withdrawn, but not yet confirmed by the sidecar. */
  std::set<AttemptKey> mWithdrawn;
  /** Completed attempts, with the chunk count of the last Ack. */
  std::map<AttemptKey, uint64_t> mCompleted;
  /** When to erase entries of mWithdrawn and mCompleted, in order of time. */
  std::deque<std::pair<Millis, AttemptKey>> mEraseQueue;

  /** When the link's timer fires next. */
  Millis mWakeAt = Millis::Never();

  bool Ready() const { return mHealth.State() == ChannelState::Ready; }
  /** Whether new work may be offered to the upstream. */
  bool AcceptsWork() const { return mListed && !mLeaving && !mLoad.mDraining; }
  void SetLoad(const Load& aLoad)
  {
    mLoad = aLoad;
    mTokensSinceReport = 0;
    mCallsSinceReport = 0;
  }
  /** Adds attempts to the counts, or removes them with -1. */
  void Count(int32_t aCalls, uint32_t aTokens)
  {
    mCallsSinceReport += aCalls;
    mTokensSinceReport += int64_t{ aCalls } * aTokens;
  }
  /** Whether a reply from the sidecar is awaited. */
  bool AwaitsReply() const { return !mOpen.empty() || !mWithdrawn.empty(); }
};

} // namespace trefoilarch
