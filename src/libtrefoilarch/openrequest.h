#pragma once

#include "entrycore.h"
#include "errors.h"
#include "ids.h"
#include "millis.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace trefoilarch {

/** One try of a request, as the entry sees it. */
struct EntryAttempt
{
  AttemptKey mKey;
  UpstreamId mUpstream;
  /** The sidecar's incarnation that was offered or sent the attempt. */
  uint64_t mIncarnation = 0;
  /** What it was counted as in the upstream's load. */
  uint32_t mTokens = 0;
  /** When the offer was last sent, and the Start. */
  Millis mOfferedAt{};
  Millis mStarted{};
};

/** A caller's request that has no final answer yet. */
struct OpenRequest
{
  EntryRequest mRequest;
  Millis mArrivedAt;
  Millis mDeadline;
  /** When placing it is tried again, or its lost attempt is given up. */
  Millis mRetryAt = Millis::Never();
  /** While no offer can reach a sidecar: when waiting for one ends. */
  std::optional<Millis> mHoldUntil{};

  uint32_t mLastAttempt = 0;
  std::vector<EntryAttempt> mOffers{};
  /** The attempt that was sent its Start. At most one at a time. */
  std::optional<EntryAttempt> mStarted{};
  /** A Start was sent that was never proved void, now or earlier. */
  bool mMayHaveRun = false;

  uint64_t mNextChunk = 0;
  uint64_t mAckedChunk = 0;
  size_t mUnackedBytes = 0;
  bool mHeadSent = false;
  /** Resume was sent for a gap, and nothing has come since. */
  bool mResumeSent = false;
  /** The last chunk's successor, once Finished has come. */
  std::optional<uint64_t> mEndChunk{};

  /** Upstreams that declined it; they are not asked again. */
  std::vector<UpstreamId> mDeclinedBy{};
  /** Upstreams that failed it; they are asked when no other can be. */
  std::vector<UpstreamId> mFailedUpstreams{};
  uint32_t mRounds = 0;
  uint32_t mRetries = 0;
  /** What will be said if nothing better comes. */
  std::optional<Refusal> mRefusal{};
};

} // namespace trefoilarch
