#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace soak {

/** A request as observed by its caller; times on the host's steady clock in
 * ms. */
struct SoakRecord
{
  std::string mId;
  std::string mKind; /**< the route: safe, once, stream or resume */
  std::string mKey;
  /** The behaviour that the request asks of the worker. */
  std::string mPlan;
  size_t mGate = 0;
  int64_t mSentAt = 0;
  int64_t mEndedAt = 0;
  int mStatus = 0; /**< 0 without a response */
  bool mSealed = false;
  bool mComplete = false; /**< by its framing */
  /** Neither a length nor chunks mark the end of the body. */
  bool mUnframed = false;
  /** An unframed stream ended regularly, but inside an event. */
  bool mEndsInsideEvent = false;
  bool mHasRetryAfter = false;
  int mSize = 0; /**< of a body that is not a stream */
  /** The request that began the stream, if this one takes it up. */
  std::string mBegunBy;
  /** The last event that the caller had before. */
  int mLastEvent = 0;
  std::vector<int> mEvents;
  int mEventsDue = 0;
};

/** An interval in which a fault of a gate, a worker or the store was active. */
struct FaultInterval
{
  std::string mFaultName;
  /** Index of the gate, for a fault of one gate. */
  size_t mGate = SIZE_MAX;
  /** Index of the worker, for a fault of one worker. */
  size_t mWorker = SIZE_MAX;
  int64_t mStartedAt = 0;
  int64_t mEndsAt = 0;
};

/** Names of the faults that have checks of their own. */
constexpr const char* kWorkerLeaves = "worker leaves";
constexpr const char* kWorkerUnlisted = "worker unlisted";
constexpr const char* kWorkerLimits = "worker names a limit";
constexpr const char* kWorkerStatesLeaving = "worker states that it leaves";
constexpr const char* kWorkerPauses = "worker asks for a pause";
/** How the names of the faults of a gate's process begin. */
constexpr const char* kGateFaultPrefix = "gate ";

/** Time after which an upstream that leaves gets no more requests. */
constexpr int64_t kDrainMs = 2000;

/** The pause that the fault kWorkerPauses asks for, in seconds. */
constexpr int kPauseSeconds = 2;

/** Requests per second that the fault kWorkerLimits reports. */
constexpr int kReportedLimit = 2;

/** A revoked key, and when the store acknowledged its revocation. */
struct Revocation
{
  std::string mKey;
  int64_t mAt = 0;
};

} // namespace soak
