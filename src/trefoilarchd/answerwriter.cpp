#include "answerwriter.h"

#include "answerassembler.h"
#include "answerreader.h"
#include "refusalreply.h"

#include "libtrefoilio/systemclock.h"

#include <algorithm>
#include <utility>

namespace trefoilarch {

namespace {

using trefoilio::FindHeader;
using trefoilio::HttpReply;
using trefoilio::SameHeaderName;
using trefoilio::StreamStep;

/** The router responds by the deadline; this limits the wait if it fails to. */
constexpr Millis kDeadlineGrace{ 5000 };
constexpr Millis kKeepAliveInterval{ 500 };
/** A response that ends within this time still determines the status. */
constexpr Millis kStatusDelay{ 400 };
constexpr int kOk = 200;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
constexpr int kMinErrorStatus = 400;
constexpr const char* kEventStream = "text/event-stream";
constexpr const char* kKeepAliveComment = ": keep-alive\n\n";

/** Returns the upstream's headers that are forwarded to the caller. */
Headers
ForwardedHeaders(const Headers& aHeaders)
{
  Headers forwarded;
  for (const auto& header : aHeaders) {
    const auto& name = header.first;
    if (!SameHeaderName(name, "connection") &&
        !SameHeaderName(name, "content-length") &&
        !SameHeaderName(name, "transfer-encoding") &&
        !SameHeaderName(name, "keep-alive") && !SameHeaderName(name, "date")) {
      forwarded.push_back(header);
    }
  }
  return forwarded;
}

/** Whether only the end of the upstream's connection marked the end of the
 * body, which does not prove that it is complete. */
bool
EndsWithConnection(const AnswerHead& aHead)
{
  const bool hasBody =
    aHead.mStatus != kNoContent && aHead.mStatus != kNotModified;
  return hasBody && FindHeader(aHead.mHeaders, "Content-Length").empty() &&
         !SameHeaderName(FindHeader(aHead.mHeaders, "Transfer-Encoding"),
                         "chunked");
}

Refusal
NoResponseRefusal()
{
  return Refusal{ .mKind = ErrorKind::DeadlineExceeded,
                  .mRan = Ran::Maybe,
                  .mRetryAfter = Millis(1000) };
}

} // namespace

/** State shared by the waiting and the streaming phase of a response. */
class AnswerWriter::State
{
public:
  State(std::shared_ptr<AnswerReader> aReader,
        AnswerTargets aTargets,
        trefoilio::Metrics& aMetrics)
    : mReader(std::move(aReader))
    , mTargets(std::move(aTargets))
    , mMetrics(aMetrics)
    , mLabel("class=\"" + mTargets.mClass + "\"")
  {
  }

  /** Waits for the head; returns false if refused (see mRefusal). */
  bool AwaitHead()
  {
    while (!mHead) {
      if (!WaitForEvent(RemainingTime())) {
        mRefusal = NoResponseRefusal();
      }
      if (mRefusal) {
        return false;
      }
    }
    return true;
  }

  /** Collects the events that arrive within the timeout into mData. */
  void CollectFor(Millis aTimeout)
  {
    const Millis end = trefoilio::MonotonicNow() + aTimeout;
    while (!mEnded && !mRefusal) {
      const Millis now = trefoilio::MonotonicNow();
      if (now >= end || !WaitForEvent(end - now)) {
        return;
      }
    }
  }

  /** Waits for one event; returns false on timeout. */
  bool WaitForEvent(Millis aTimeout)
  {
    auto event = mReader->Next(aTimeout);
    if (!event) {
      return false;
    }
    std::visit([this](auto& aOne) { Handle(aOne); }, *event);
    return true;
  }

  Millis RemainingTime() const
  {
    const Millis end =
      mTargets.mArrivedAt + mTargets.mDeadline + kDeadlineGrace;
    return std::max(Millis(1), end - trefoilio::MonotonicNow());
  }

  HttpReply Refused() const { return RefusalReply(*mRefusal, mReader->Id()); }

  /** Buffers the complete upstream response. */
  HttpReply Buffered()
  {
    while (!mEnded && !mRefusal) {
      if (!WaitForEvent(RemainingTime())) {
        mRefusal = NoResponseRefusal();
      }
    }
    if (mRefusal) {
      return Refused();
    }
    HttpReply reply;
    reply.mStatus = mHead->mStatus;
    reply.mHeaders = ForwardedHeaders(mHead->mHeaders);
    reply.mHeaders.emplace_back(kRequestIdHeader, mReader->Id().Text());
    reply.mBody = std::move(mData);
    reply.mEndsWithConnection = EndsWithConnection(*mHead);
    return reply;
  }

  std::shared_ptr<AnswerReader> mReader;
  std::optional<AnswerHead> mHead;
  std::optional<Refusal> mRefusal;
  std::string mData;
  bool mEnded = false;
  bool mErrorWritten = false;

private:
  void Handle(AnswerHead& aHead) { mHead = std::move(aHead); }

  void Handle(AnswerData& aData)
  {
    MeasureToken();
    mData += aData.mData;
  }

  void Handle(const AnswerEnd&)
  {
    mEnded = true;
    const Millis elapsed = trefoilio::MonotonicNow() - mTargets.mArrivedAt;
    mMetrics.Observe("answer_ms", static_cast<double>(elapsed.Count()), mLabel);
    mMetrics.Count(elapsed <= mTargets.mDeadline ? "answers_in_time_total"
                                                 : "answers_late_total",
                   mLabel);
  }

  void Handle(AnswerError& aError) { mRefusal = std::move(aError.mRefusal); }

  void MeasureToken()
  {
    const Millis now = trefoilio::MonotonicNow();
    if (mLastTokenAt) {
      const Millis gap = now - *mLastTokenAt;
      mMetrics.Observe(
        "between_token_ms", static_cast<double>(gap.Count()), mLabel);
    } else {
      const Millis elapsed = now - mTargets.mArrivedAt;
      mMetrics.Observe(
        "first_token_ms", static_cast<double>(elapsed.Count()), mLabel);
      mMetrics.Count(elapsed <= mTargets.mFirstToken
                       ? "first_tokens_in_time_total"
                       : "first_tokens_late_total",
                     mLabel);
    }
    mLastTokenAt = now;
  }

  AnswerTargets mTargets;
  trefoilio::Metrics& mMetrics;
  std::string mLabel;
  std::optional<Millis> mLastTokenAt;
};

AnswerWriter::AnswerWriter(std::shared_ptr<AnswerReader> aReader,
                           AnswerTargets aTargets,
                           trefoilio::Metrics& aMetrics)
  : mState(std::make_shared<State>(std::move(aReader),
                                   std::move(aTargets),
                                   aMetrics))
{
}

AnswerWriter::~AnswerWriter() = default;

HttpReply
AnswerWriter::Streamed()
{
  if (!mState->AwaitHead()) {
    return mState->Refused();
  }
  if (mState->mHead->mStatus >= kMinErrorStatus) {
    return mState->Buffered();
  }
  HttpReply reply;
  reply.mStatus = mState->mHead->mStatus;
  reply.mHeaders = { { "Content-Type", kEventStream },
                     { "Cache-Control", "no-cache" },
                     { kRequestIdHeader, mState->mReader->Id().Text() } };
  reply.mStream = [state = mState](std::string& aOut) {
    if (state->mEnded) {
      return StreamStep::End;
    }
    if (state->mErrorWritten || state->mReader->CallerGone()) {
      return StreamStep::Abort;
    }
    if (state->mData.empty() && !state->mRefusal) {
      state->WaitForEvent(kKeepAliveInterval);
    }
    aOut = std::exchange(state->mData, {});
    state->mReader->Release(aOut.size());
    if (state->mRefusal) {
      aOut += "event: error\ndata: " +
              RefusalJson(*state->mRefusal, state->mReader->Id()) + "\n\n";
      state->mErrorWritten = true;
    }
    if (state->mEnded && aOut.empty()) {
      return StreamStep::End;
    }
    if (aOut.empty()) {
      aOut = kKeepAliveComment;
    }
    return StreamStep::Data;
  };
  return reply;
}

HttpReply
AnswerWriter::Assembled()
{
  if (!mState->AwaitHead()) {
    return mState->Refused();
  }
  if (mState->mHead->mStatus >= kMinErrorStatus) {
    return mState->Buffered();
  }
  const auto assemble = [](const State& aState) {
    AnswerAssembler assembler;
    assembler.Add(aState.mData);
    return assembler.Json();
  };
  mState->CollectFor(kStatusDelay);
  HttpReply reply;
  reply.mStatus = kOk;
  reply.mHeaders = { { "Content-Type", "application/json" },
                     { kRequestIdHeader, mState->mReader->Id().Text() } };
  if (mState->mRefusal) {
    return mState->Refused();
  }
  if (mState->mEnded) {
    reply.mBody = assemble(*mState);
    return reply;
  }
  reply.mStream =
    [state = mState, assemble, written = false](std::string& aOut) mutable {
      if (written) {
        return state->mEnded ? StreamStep::End : StreamStep::Abort;
      }
      if (state->mReader->CallerGone()) {
        return StreamStep::Abort;
      }
      state->CollectFor(kKeepAliveInterval);
      written = state->mEnded || state->mRefusal;
      if (state->mEnded) {
        aOut = assemble(*state);
      } else if (state->mRefusal) {
        aOut = RefusalJson(*state->mRefusal, state->mReader->Id());
      } else {
        aOut = " ";
      }
      return StreamStep::Data;
    };
  return reply;
}

HttpReply
AnswerWriter::Plain()
{
  if (!mState->AwaitHead()) {
    return mState->Refused();
  }
  return mState->Buffered();
}

} // namespace trefoilarch
