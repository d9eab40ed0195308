#pragma once

#include "answerbuffer.h"
#include "ids.h"
#include "ledger.h"
#include "messages.h"
#include "millis.h"
#include "upstreamcapacity.h"

#include <cstdint>

namespace trefoilarch {

/** State of an attempt that is still known to its sidecar. */
struct SidecarAttempt
{
  EntryId mEntry;
  Offer mOffer;
  AttemptState mState = AttemptState::Waiting;
  Millis mArrivedAt;
  Millis mDeadlineAt;
  Millis mGrantedAt{};
  Millis mStartedAt{};
  Millis mLastTokenAt{};
  /** Output tokens so far. */
  uint64_t mGeneratedTokens = 0;
  /** Capacity taken; grows when the response exceeds its estimate. */
  CapacityShare mShare{};
  /** For a floor start: the tokens the Schedule counted it with. */
  uint64_t mFloorTokens = 0;
  /** Prompt tokens in prefill when it was granted, including its own. */
  uint64_t mPrefillAhead = 0;
  /**
   * Whether chunks are sent as they arrive. On a new channel they are held
   * until Resume says where to continue.
   */
  bool mForwarding = true;
  /** The upstream's head has arrived and is held until the first data. */
  bool mHeadPending = false;
  int32_t mStatus = 0;
  Headers mHeaders{};
  AnswerBuffer mAnswer{};
  /** Set once the attempt has ended. */
  FinalMessage mFinalMessage{};

  bool HasEnded() const
  {
    return mState == AttemptState::Finished || mState == AttemptState::Failed;
  }
  bool HoldsCapacity() const
  {
    return mState == AttemptState::Granted || mState == AttemptState::Running;
  }
};

} // namespace trefoilarch
