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
 * No attempt has this key, as attempts count from 1. Asking what became of
 * it is how a channel is probed: every sidecar has to answer.
 */
constexpr AttemptKey kProbe{};

/** What an entry knows of one upstream, and what it has there. */
struct UpstreamLink
{
  explicit UpstreamLink(ChannelTimeouts aTimeouts)
    : mHealth(aTimeouts)
  {
  }

  UpstreamView mView;
  ChannelHealth mHealth;
  bool mListed = true;   /**< in the last SetUpstreams() */
  bool mLeaving = false; /**< by the host list's word */
  Millis mListedSince;
  bool mWelcomed = false;
  uint64_t mIncarnation = 0;
  /** As last reported, and what this entry has added or ended since. */
  Load mLoad;
  int64_t mTokensSinceReport = 0;
  int32_t mCallsSinceReport = 0;
  /** Smoothed time of a probe and its answer. */
  Millis mRoundTrip;

  /** Offers that wait there and attempts that were started there. */
  std::set<AttemptKey> mOpen;
  /** Withdrawn, and not confirmed by the sidecar. */
  std::set<AttemptKey> mWithdrawn;
  /** Answered as a whole, with the chunk count of the last Ack. */
  std::map<AttemptKey, uint64_t> mCompleted;
  /** When to forget members of mWithdrawn and mWhole, in order of time. */
  std::deque<std::pair<Millis, AttemptKey>> mForgetQueue;

  /** When this link is next looked at. */
  Millis mWakeAt = Millis::Never();

  bool Ready() const { return mHealth.State() == ChannelState::Ready; }
  /** Whether new work may go there at all. */
  bool AcceptsWork() const { return mListed && !mLeaving && !mLoad.mDraining; }
  void SetLoad(const Load& aLoad)
  {
    mLoad = aLoad;
    mTokensSinceReport = 0;
    mCallsSinceReport = 0;
  }
  /** Counts an attempt in, or out with -1. */
  void Count(int32_t aCalls, uint32_t aTokens)
  {
    mCallsSinceReport += aCalls;
    mTokensSinceReport += int64_t{ aCalls } * aTokens;
  }
  /** Whether the sidecar owes this entry a word. */
  bool AwaitsReply() const { return !mOpen.empty() || !mWithdrawn.empty(); }
};

} // namespace trefoilarch
