#pragma once

#include "directrouter.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <variant>

namespace trefoilarch {

struct SendRequest
{
  PlacedAttempt mAttempt;
};

/** Waits for mDelay, then calls OnHoldElapsed(): the outcome of an identical
 * request or the reply to a permit request is pending. */
struct HoldRequest
{
  Millis mDelay;
};

/** Responds to the caller with a rejection or failure of the gate. */
struct AnswerRefusal
{
  Refusal mRefusal;
};

/** Forwards the upstream's response unchanged. */
struct ForwardAnswer
{};

/** The response has started and can't be completed: closes the connection. */
struct AbortAnswer
{
  ErrorKind mKind = ErrorKind::AnswerCut;
};

using PlanStep = std::
  variant<SendRequest, HoldRequest, AnswerRefusal, ForwardAnswer, AbortAnswer>;

/**
 * State machine of one caller's request from its binding to its end. Each event
 * returns the next step, so that a request that may run only once is never sent
 * twice, and "not run" is reported only if it is true.
 */
class RequestPlan
{
public:
  RequestPlan(DirectRouter& aRouter, BoundRequest aRequest);

  const BoundRequest& Request() const { return mRequest; }
  /** Attempts that were sent, or may have been. */
  uint32_t Attempts() const { return mAttempts; }
  /** Whether any attempt may have run, including the current one. */
  bool MayHaveRun() const { return mMayHaveRun; }

  PlanStep Begin(Millis aNow);
  /** Whether the request may still be sent: while the connection is established
   * the upstream may start to leave, the key may be revoked, or the request may
   * be quarantined. */
  bool MaySend(Millis aNow) const;
  PlanStep OnHoldElapsed(Millis aNow) { return Send(aNow); }
  /** No connection could be established; nothing was sent. */
  PlanStep OnUnreachable(Millis aNow);
  /** The request is sent on a connection: from now on it may run. */
  void OnSending() { mMayHaveRun = true; }
  /** The upstream reported that it did not run the request. */
  PlanStep OnNotRun(Millis aNow);
  /** The head of a response was received from an upstream that ran the
   * request. */
  PlanStep OnHead(int aStatus, Millis aNow);
  /** To be called before the first part of a response is forwarded. */
  void OnAnswerBegun(Millis aNow);
  /** The connection ended without a complete response, or it was invalid. */
  PlanStep OnBroken(bool aCanContinue, Millis aNow);
  PlanStep OnTimeUp(Millis aNow);

private:
  PlanStep Send(Millis aNow);
  /** Finds out where the stream began that the request continues. Empty if
   * that is known, or if the request begins a stream. */
  std::optional<PlanStep> FindOrigin(Millis aNow);
  /** Empty if upstreams of the stream's version are known, or none is. */
  std::optional<PlanStep> AwaitVersions(Millis aNow);
  /** Empty if the request may be sent. */
  std::optional<PlanStep> HoldIfSuspected(Millis aNow);
  /** No upstream was found, or none yet. */
  PlanStep OnNotPlaced(Millis aNow);
  /** Empty if memory is not the reason. */
  std::optional<PlanStep> OnMemoryVerdict(const MemoryVerdict& aVerdict,
                                          Millis aNow);
  PlanStep Retry(Millis aNow, ErrorKind aFallbackKind);
  /** Continues at the upstream that keeps a copy, if there is one. */
  std::optional<PlanStep> ContinueAtBackup(Millis aNow);
  /** Whether an attempt that begins now is expected to end before the process
   * does. */
  bool EndsBeforeStop(Millis aNow) const;
  bool MayRepeat() const;
  bool AttemptsLeft() const;
  PlanStep Refuse(ErrorKind aKind, Millis aRetryAfter, Millis aNow) const;

  DirectRouter& mRouter;
  BoundRequest mRequest;
  std::set<UpstreamId> mTried;
  uint32_t mAttempts = 0;
  /** Upstreams that can't have run it: unreachable ones. */
  uint32_t mUnreachable = 0;
  PlacedAttempt mCurrent;
  bool mMayHaveRun = false;
  /** Whether an attempt before the current one may have run. */
  bool mMayHaveRunBefore = false;
  bool mAnswerBegun = false;
  /** Whether it is sent though it is quarantined, to find out if it still
   * crashes upstreams. */
  bool mIsProbe = false;
  /** What it waits for at an upstream with a rate limit. */
  PlacementWait mPermit;
  /** The last upstream whose permit it requested. */
  UpstreamId mPermitUpstream;
  uint32_t mPermitRequests = 0;
  /** Since when it waits for the outcome of a similar request. */
  std::optional<Millis> mHeldSince;
  /** When other entries were first and last asked where its stream began. */
  std::optional<Millis> mOriginSoughtSince;
  Millis mOriginSoughtAt;
  /** Since when it waits for the list of upstreams to be confirmed. */
  std::optional<Millis> mVersionsSoughtSince;
};

} // namespace trefoilarch
