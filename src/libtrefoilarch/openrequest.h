#pragma once

#include "entrycore.h"
#include "errors.h"
#include "ids.h"
#include "millis.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace trefoilarch {

/** One attempt of a request at an upstream. */
struct EntryAttempt
{
  AttemptKey mKey;
  UpstreamId mUpstream;
  /** The sidecar's incarnation to which the attempt was offered or sent. */
  uint64_t mIncarnation = 0;
  /** Tokens by which it counts in the upstream's load. */
  uint32_t mTokens = 0;
  /** When the last offer and the Start were sent. */
  Millis mOfferedAt{};
  Millis mStartedAt{};
};

/** A caller's request without a final response. */
struct OpenRequest
{
  EntryRequest mRequest;
  Millis mArrivedAt;
  Millis mDeadline;
  /** When it is placed again, or its lost attempt is given up. */
  Millis mRetryAt = Millis::Never();
  /** While no offer can reach a sidecar: until when it waits. */
  std::optional<Millis> mHoldUntil{};

  uint32_t mLastAttempt = 0;
  std::vector<EntryAttempt> mOffers{};
  /** The attempt for which Start was sent. At most one at a time. */
  std::optional<EntryAttempt> mStartedAttempt{};
  /** A Start was sent that was never proved void, now or earlier. */
  bool mMayHaveRun = false;

  uint64_t mNextChunk = 0;
  uint64_t mAckedChunk = 0;
  size_t mUnackedBytes = 0;
  bool mHeadSent = false;
  /** Resume was sent for a gap, and nothing was received since. */
  bool mResumeSent = false;
  /** The number after the last chunk's, once Finished was received. */
  std::optional<uint64_t> mEndChunk{};

  /** Upstreams that declined it; they don't get another offer. */
  std::vector<UpstreamId> mDeclinedBy{};
  /** Upstreams at which it failed; they get an offer if no other can. */
  std::vector<UpstreamId> mFailedUpstreams{};
  uint32_t mRounds = 0;
  uint32_t mRetries = 0;
  /** The response if no attempt succeeds. */
  std::optional<Refusal> mRefusal{};
};

} // namespace trefoilarch
