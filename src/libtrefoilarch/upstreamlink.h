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

/** What an entry knows of one upstream, and what it has there. */
struct UpstreamLink
{
  explicit UpstreamLink(ChannelSpans aSpans)
    : mHealth(aSpans)
  {
  }

  UpstreamView mView;
  ChannelHealth mHealth;
  bool mListed = true;   /**< in the last SetUpstreams() */
  bool mLeaving = false; /**< by the host list's word */
  Millis mListedSince;
  bool mWelcomed = false;
  uint64_t mIncarnation = 0;
  Load mLoad;

  /** Offers that wait there and attempts that were started there. */
  std::set<AttemptKey> mOpen;
  /** Withdrawn, and not confirmed by the sidecar. */
  std::set<AttemptKey> mWithdrawn;
  /** Answered as a whole, with the chunk count of the last Ack. */
  std::map<AttemptKey, uint64_t> mWhole;
  /** When to forget members of mWithdrawn and mWhole, in order of time. */
  std::deque<std::pair<Millis, AttemptKey>> mForget;

  /** When this link is next looked at. */
  Millis mWakeAt = Millis::Never();

  bool Ready() const { return mHealth.State() == ChannelState::Ready; }
  /** Whether new work may go there at all. */
  bool TakesWork() const { return mListed && !mLeaving && !mLoad.mDraining; }
  /** Whether the sidecar owes this entry a word. */
  bool AtStake() const { return !mOpen.empty() || !mWithdrawn.empty(); }
};

} // namespace trefoilarch
