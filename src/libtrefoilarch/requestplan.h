#pragma once

#include "directrouter.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <variant>

namespace trefoilarch {

/** Sends the request to the attempt's upstream. */
struct SendRequest
{
  PlacedAttempt mAttempt;
};

/** Waits for so long, then asks the plan again: the fate of a like request
 * decides whether this one is run, or a permit to send it is under way. */
struct HoldRequest
{
  Millis mDelay;
};

/** Answers the caller with a refusal or failure of our own. */
struct AnswerRefusal
{
  Refusal mRefusal;
};

/** Passes the upstream's answer on as it is. */
struct ForwardAnswer
{};

/** The answer has begun and can't be completed: the connection is cut. */
struct AbortAnswer
{
  ErrorKind mKind = ErrorKind::AnswerCut;
};

using PlanStep = std::
  variant<SendRequest, HoldRequest, AnswerRefusal, ForwardAnswer, AbortAnswer>;

/**
 * One caller's request from its binding to its end: says after each event
 * what to do next, so that what may run once only is never sent twice, and
 * that "not run" is said only where it is true.
 */
class RequestPlan
{
public:
  RequestPlan(DirectRouter& aRouter, BoundRequest aRequest);

  const BoundRequest& Request() const { return mRequest; }
  /** Attempts that were sent, or may have been. */
  uint32_t Attempts() const { return mAttempts; }
  /** Whether some attempt may have run, this instant's included. */
  bool MayHaveRun() const { return mMayHaveRun; }

  PlanStep Begin(Millis aNow);
  /** Whether the request may still go where it was to go: a connection takes
   * time, in which an upstream may begin to leave and a key may be revoked. */
  bool MaySend(Millis aNow) const;
  /** The span of a HoldRequest is over. */
  PlanStep OnHoldElapsed(Millis aNow) { return Send(aNow); }
  /** No connection could be had; nothing was sent. */
  PlanStep OnUnreachable(Millis aNow);
  /** The request goes out on a connection: from now on it may run. */
  void OnSending() { mMayHaveRun = true; }
  /** The upstream says that it did not run the request. */
  PlanStep OnNotRun(Millis aNow);
  /** The head of an answer came from an upstream that ran the request. */
  PlanStep OnHead(int aStatus, Millis aNow);
  /** The caller's answer has begun. */
  void OnAnswerBegun() { mAnswerBegun = true; }
  /** The connection ended without a whole answer, or what came was none. */
  PlanStep OnBroken(bool aCanGoOn, Millis aNow);
  /** The time is up. */
  PlanStep OnTimeUp(Millis aNow);

private:
  PlanStep Send(Millis aNow);
  /** Empty where it may be sent. */
  std::optional<PlanStep> HoldBack(Millis aNow);
  /** No upstream was found, or none yet. */
  PlanStep OnNotPlaced(Millis aNow);
  PlanStep Again(Millis aNow, ErrorKind aOtherwise);
  /** Goes on at the upstream that keeps a copy, where there is one. */
  std::optional<PlanStep> GoOnAtBackup(Millis aNow);
  bool MayRepeat() const;
  bool AttemptsLeft() const;
  PlanStep Refuse(ErrorKind aKind, Millis aRetryAfter, Millis aNow) const;

  DirectRouter& mRouter;
  BoundRequest mRequest;
  std::set<UpstreamId> mTried;
  uint32_t mAttempts = 0;
  /** Upstreams that can't have run it: unreachable ones. */
  uint32_t mUnreachable = 0;
  /** The newest attempt. */
  PlacedAttempt mCurrent;
  bool mMayHaveRun = false;
  /** An attempt before the current one may have run. */
  bool mMayHaveRunBefore = false;
  bool mAnswerBegun = false;
  /** What it waits for at an upstream that names a rate limit. */
  PermitWait mPermit;
  /** The last upstream for which it asked for a permit. */
  UpstreamId mAskedAt;
  uint32_t mPermitAsks = 0;
  /** Since when it waits for the fate of a like request. */
  std::optional<Millis> mHeldSince;
};

} // namespace trefoilarch
