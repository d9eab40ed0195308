#pragma once

#include "enginemodel.h"
#include "ids.h"
#include "millis.h"
#include "requestfeatures.h"
#include "upstreamprocess.h"
#include "upstreamwork.h"

#include <cstdint>
#include <string>

namespace trefoilarch {

/** An attempt at an upstream, to be passed to OnEnded() when it ends. */
struct PlacedAttempt
{
  /** Unique within this process. */
  uint64_t mNumber = 0;
  UpstreamId mUpstream;
  /** The upstream's incarnation to which the attempt is sent. */
  uint64_t mIncarnationNumber = 0;
  RequestFeatures mFeatures;
  std::string mService;
  std::string mRoute;
  std::string mAddress;
  /** The software version that the upstream was listed with; may be empty. */
  std::string mVersion;
  /** The upstream's process, as listed when the attempt was placed. */
  UpstreamProcess mProcess;
  AttemptWork mWork;
  /** Output tokens that an event of its stream holds; 0 if it has no events. */
  uint32_t mTokensPerEvent = 0;
  /** The engine's prefill backlog, as known when the attempt was sent. */
  PrefillBacklog mPrefillBacklog;
  /** Of an upstream that has more of the prompt cached, or empty. */
  std::string mHolderAddress;
  /** The upstream that keeps a copy of the running request, or empty. */
  UpstreamId mBackup;
  uint64_t mBackupIncarnationNumber = 0;
  std::string mBackupAddress;
  /** Of the upstream that ran the request before and left a copy of it at this
   * one, or empty. */
  std::string mCopySourceAddress;
  /** 0 is the most urgent. */
  uint8_t mPriority = 0;
  Millis mSentAt;
  Millis mStartedAt;
  bool mStarted = false;
  /** Whether a complete response proves that the request doesn't crash
   * upstreams. */
  bool mProvesHarmless = true;
};

} // namespace trefoilarch
