#include "exchange.h"

#include "bootclock.h"
#include "decisionlog.h"
#include "gatemetrics.h"

/** Log lines and metrics of a request and its attempts. */
namespace trefoilgate {

using namespace trefoilarch;

namespace {

/** Maximum number of prompt segments named in a log line. */
constexpr size_t kMaxNamedSegments = 8;

/** Ids of the prompt's segments except the last, which belongs to the request
 * alone. */
std::vector<std::string>
SegmentNames(const PromptShape& aPrompt)
{
  std::vector<std::string> names;
  const size_t segments = aPrompt.mSegments.size();
  for (size_t each = 0; each + 1 < segments && each < kMaxNamedSegments;
       ++each) {
    names.push_back(SegmentName(aPrompt.mSegments[each].mId));
  }
  return names;
}

} // namespace

void
Exchange::Close(const char* aOutcome, int aStatus)
{
  if (mDone) {
    return;
  }
  mDone = true;
  mTimer.cancel();
  mHoldTimer.cancel();
  const Millis now = BootNow();
  const BoundRequest& bound = mPlan.Request();
  const bool served = std::string_view(aOutcome) == "served";
  const Millis firstByte =
    mFirstByteAt == Millis(0) ? Millis(0) : mFirstByteAt - mRequest.mArrivedAt;
  mContext.mMetrics.OnRequest({ .mRoute = bound.mRoute->mName,
                                .mPriority = bound.mPriority,
                                .mOutcome = aOutcome,
                                .mTimeToFirstByte = firstByte,
                                .mDuration = now - mRequest.mArrivedAt });
  nlohmann::ordered_json fields = {
    { "id", mId },
    { "fingerprint", bound.mFeatures.mContent.Text() },
    { "outcome", aOutcome },
    { "status", aStatus },
    { "route", bound.mRoute->mName },
    { "service", bound.mService },
    { "workspace", bound.mWorkspace },
    { "priority", bound.mPriority },
    { "policy_version", bound.mIndex->Version() },
    { "attempts", mPlan.Attempts() },
    { "upstream", mLastAttempt.mUpstream },
    { "list_age_ms", mListAgeMs },
    { "unlisted_ms", mUnlistedMs },
    { "prompt_tokens", bound.mPrompt.mPromptTokens },
    { "segments", SegmentNames(bound.mPrompt) },
    { "prefill_tokens", mLastAttempt.mWork.mPrefill },
    { "most_output_tokens", bound.mPrompt.mMaxOutput },
    { "may_have_run", mPlan.MayHaveRun() },
    { "events", mEvents.Events() },
    { "first_byte_ms", firstByte.Count() },
    { "longest_pause_ms", mLongestPause.Count() },
    { "took_ms", (now - mRequest.mArrivedAt).Count() },
    { "allowed_ms", (bound.mDeadline - bound.mArrivedAt).Count() }
  };
  if (mPlan.Attempts() > 1) {
    fields["version"] = mLastAttempt.mVersion;
  }
  if (!mCutReason.empty()) {
    fields["why"] = mCutReason;
  }
  const RequestFingerprint* quarantined =
    mContext.mRouter.CrashQuarantine().QuarantinedFeature(bound.mFeatures);
  if (std::string_view(aOutcome) == Name(ErrorKind::Quarantined) &&
      quarantined != nullptr) {
    fields["quarantined"] = quarantined->Text();
    if (quarantined->IsSegment()) {
      fields["quarantined_segment"] = SegmentName(quarantined->mLow);
    }
  }
  if (mAnswer && mAnswer->mEndsWithConnection) {
    fields["framing"] = "close";
    fields["partial_event_bytes"] = mEvents.Remainder().size();
  }
  mContext.mLog.Write(
    served ? LineKind::Success : LineKind::Failure, "request_ended", fields);
  mCaller->SetUnoffered(0);
  // The caller has dropped this exchange's hooks with its answer; those that
  // are set now may be of its next request.
  mContext.mOnEnded(this);
}

void
Exchange::LogAttempt(const char* aOutcome, const std::string& aReason)
{
  const Millis now = BootNow();
  mContext.mLog.Write(
    LineKind::Failure,
    "attempt_ended",
    { { "id", mId },
      { "fingerprint", mPlan.Request().mFeatures.mContent.Text() },
      { "segments", SegmentNames(mPlan.Request().mPrompt) },
      { "outcome", aOutcome },
      { "why", aReason },
      { "upstream", mAttempt ? mAttempt->mUpstream : "" },
      { "address", mAttempt ? mAttempt->mAddress : "" },
      { "version", mAttempt ? mAttempt->mVersion : "" },
      { "list_age_ms", mListAgeMs },
      { "unlisted_ms", mUnlistedMs },
      { "attempt", mPlan.Attempts() },
      { "after_ms", mAttempt ? (now - mAttempt->mSentAt).Count() : 0 },
      { "started", mAttempt && mAttempt->mStarted },
      { "retries_left",
        mContext.mRouter.RetriesLeft(mPlan.Request().mService) } });
}

} // namespace trefoilgate
