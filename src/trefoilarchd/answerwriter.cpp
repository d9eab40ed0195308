#include "answerwriter.h"

#include "answerassembler.h"
#include "answerreader.h"
#include "refusalreply.h"

#include "libtrefoilio/systemclock.h"

#include <algorithm>
#include <utility>

namespace trefoilarch {

namespace {

using trefoilio::HttpReply;
using trefoilio::SameHeaderName;
using trefoilio::StreamStep;

/** Past the deadline the router has long answered; this guards the thread. */
constexpr Millis kGrace{ 5000 };
constexpr Millis kKeepAlive{ 500 };
/** An answer that is whole this soon still gets a status of its own. */
constexpr Millis kWholeSoon{ 400 };
constexpr int kOk = 200;
constexpr int kFirstError = 400;
constexpr const char* kEventStream = "text/event-stream";
constexpr const char* kKeepAliveComment = ": keep-alive\n\n";

/** The upstream's headers that may go on to the caller. */
Headers
PassedOn(const Headers& aHeaders)
{
  Headers passed;
  for (const auto& header : aHeaders) {
    const auto& name = header.first;
    if (!SameHeaderName(name, "connection") &&
        !SameHeaderName(name, "content-length") &&
        !SameHeaderName(name, "transfer-encoding") &&
        !SameHeaderName(name, "keep-alive") && !SameHeaderName(name, "date")) {
      passed.push_back(header);
    }
  }
  return passed;
}

Refusal
NoAnswer()
{
  return Refusal{ .mKind = ErrorKind::DeadlineExceeded,
                  .mRan = Ran::Maybe,
                  .mRetryAfter = Millis(1000) };
}

} // namespace

/** Shared by the waiting part and the streaming part of one answer. */
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

  /** Waits for the head; false where the answer is a refusal (mRefusal). */
  bool AwaitHead()
  {
    while (!mHead) {
      if (!Step(RemainingSpan())) {
        mRefusal = NoAnswer();
      }
      if (mRefusal) {
        return false;
      }
    }
    return true;
  }

  /** Takes the events that come within the span into mData. */
  void Gather(Millis aSpan)
  {
    const Millis end = trefoilio::MonotonicNow() + aSpan;
    while (!mEnded && !mRefusal) {
      const Millis now = trefoilio::MonotonicNow();
      if (now >= end || !Step(end - now)) {
        return;
      }
    }
  }

  /** Waits for one event for at most the span; false where none came. */
  bool Step(Millis aSpan)
  {
    auto event = mReader->Next(aSpan);
    if (!event) {
      return false;
    }
    std::visit([this](auto& aOne) { Take(aOne); }, *event);
    return true;
  }

  Millis RemainingSpan() const
  {
    const Millis end = mTargets.mArrivedAt + mTargets.mDeadline + kGrace;
    return std::max(Millis(1), end - trefoilio::MonotonicNow());
  }

  HttpReply Refused() const { return RefusalReply(*mRefusal, mReader->Id()); }

  /** The upstream's own words, buffered whole. */
  HttpReply Buffered()
  {
    while (!mEnded && !mRefusal) {
      if (!Step(RemainingSpan())) {
        mRefusal = NoAnswer();
      }
    }
    if (mRefusal) {
      return Refused();
    }
    HttpReply reply;
    reply.mStatus = mHead->mStatus;
    reply.mHeaders = PassedOn(mHead->mHeaders);
    reply.mHeaders.emplace_back(kRequestIdHeader, mReader->Id().Text());
    reply.mBody = std::move(mData);
    return reply;
  }

  std::shared_ptr<AnswerReader> mReader;
  std::optional<AnswerHead> mHead;
  std::optional<Refusal> mRefusal;
  std::string mData;
  bool mEnded = false;
  bool mErrorWritten = false;

private:
  void Take(AnswerHead& aHead) { mHead = std::move(aHead); }

  void Take(AnswerData& aData)
  {
    MeasureToken();
    mData += aData.mData;
  }

  void Take(const AnswerEnd&)
  {
    mEnded = true;
    const Millis span = trefoilio::MonotonicNow() - mTargets.mArrivedAt;
    mMetrics.Observe("answer_ms", static_cast<double>(span.Count()), mLabel);
    mMetrics.Count(span <= mTargets.mDeadline ? "answers_in_time_total"
                                              : "answers_late_total",
                   mLabel);
  }

  void Take(AnswerError& aError) { mRefusal = std::move(aError.mRefusal); }

  void MeasureToken()
  {
    const Millis now = trefoilio::MonotonicNow();
    if (mLastToken) {
      const Millis gap = now - *mLastToken;
      mMetrics.Observe(
        "between_token_ms", static_cast<double>(gap.Count()), mLabel);
    } else {
      const Millis span = now - mTargets.mArrivedAt;
      mMetrics.Observe(
        "first_token_ms", static_cast<double>(span.Count()), mLabel);
      mMetrics.Count(span <= mTargets.mFirstToken ? "first_tokens_in_time_total"
                                                  : "first_tokens_late_total",
                     mLabel);
    }
    mLastToken = now;
  }

  AnswerTargets mTargets;
  trefoilio::Metrics& mMetrics;
  std::string mLabel;
  std::optional<Millis> mLastToken;
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
  if (mState->mHead->mStatus >= kFirstError) {
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
      return StreamStep::Cut;
    }
    if (state->mData.empty() && !state->mRefusal) {
      state->Step(kKeepAlive);
    }
    aOut = std::exchange(state->mData, {});
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
  if (mState->mHead->mStatus >= kFirstError) {
    return mState->Buffered();
  }
  const auto assemble = [](const State& aState) {
    AnswerAssembler assembler;
    assembler.Add(aState.mData);
    return assembler.Json();
  };
  mState->Gather(kWholeSoon);
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
        return state->mEnded ? StreamStep::End : StreamStep::Cut;
      }
      if (state->mReader->CallerGone()) {
        return StreamStep::Cut;
      }
      state->Gather(kKeepAlive);
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
