#pragma once

#include "answerbuffer.h"
#include "ids.h"
#include "ledger.h"
#include "messages.h"
#include "millis.h"
#include "upstreamcapacity.h"

#include <cstdint>

namespace trefoilarch {

/** All that a sidecar keeps of an attempt that is not over. */
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
  /** Room taken; it grows when the answer outruns its estimate. */
  CapacityShare mShare{};
  /** Of a floor start: what the Schedule counted it with. */
  uint64_t mFloorTokens = 0;
  /** Prompt tokens in prefill when it started, its own with them. */
  uint64_t mPrefillAhead = 0;
  /** Whether chunks go out as they come; after a new channel, not until
   * Resume says where to go on. */
  bool mForwarding = true;
  /** The upstream's head has come and waits for the first data. */
  bool mHeadPending = false;
  int32_t mStatus = 0;
  Headers mHeaders{};
  AnswerBuffer mAnswer{};
  /** Once the attempt has ended. */
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
