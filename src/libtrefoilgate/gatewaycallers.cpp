#include "gateway.h"

#include "bootclock.h"
#include "refusalanswer.h"

#include <algorithm>

/** The gateway's callers: their requests, and what is held for them. */
namespace trefoilgate {

using namespace trefoilarch;

namespace {

/** Retry-After for requests that arrive during a stop: another entry serves
 * them. */
constexpr Millis kShutdownRetryAfter{ 100 };

/** Retry-After if there was no memory for a request, which has waited. */
constexpr Millis kMemoryRetryAfter{ 1000 };

/** Operators' requests have small bodies or none. */
constexpr uint64_t kMaxOperatorBodyBytes = 65536;

/** Bytes of bodies on their way to one upstream, of all entries together; each
 * entry uses its share. */
constexpr size_t kUpstreamBodyBytes = 67108864;

RequestFingerprint
FingerprintOf(const CallerRequest& aRequest, const std::string& aWorkspace)
{
  return RequestFingerprint::Of({ .mMethod = aRequest.mMethod,
                                  .mHost = aRequest.mHost,
                                  .mTarget = aRequest.mTarget,
                                  .mWorkspace = aWorkspace,
                                  .mBody = *aRequest.mBody });
}

} // namespace

CallerHooks
Gateway::MakeCallerHooks()
{
  return CallerHooks{
    .mOnRequest =
      [this](const std::shared_ptr<CallerConnection>& aCaller,
             CallerRequest aRequest) {
        OnRequest(aCaller, std::move(aRequest));
      },
    .mLimits = [this] { return LimitsInForce(); },
    .mStopping = [this] { return mDraining; },
    .mOnRejected =
      [this](const RejectedRequest& aRejected) { OnRejected(aRejected); },
    .mOnNoMemory =
      [this](const std::shared_ptr<CallerConnection>& aCaller,
             const CallerRequest& aRequest) { OnNoMemory(aCaller, aRequest); },
    .mWorkspaceOf =
      [this](const CallerRequest& aRequest) { return WorkspaceOf(aRequest); },
    .mBuffers = &mBuffers,
    .mUploads = &mUploads,
    .mMemory = &mMemory,
    .mParseQueue = &mParseQueue
  };
}

CallerLimits
Gateway::LimitsInForce() const
{
  CallerLimits limits =
    mRouter.Index() ? mRouter.Index()->Policy().mLimits : CallerLimits{};
  limits.mMaxBodyBytes =
    std::min<uint64_t>(limits.mMaxBodyBytes, mUploads.Budget().MaxBytes() / 2);
  return limits;
}

std::string
Gateway::WorkspaceOf(const CallerRequest& aRequest) const
{
  const auto& index = mRouter.Index();
  const KeyedWorkspace* workspace =
    index ? index->WorkspaceForKey(mOptions.mDialect.mKey(aRequest)) : nullptr;
  return workspace == nullptr ? std::string() : workspace->mName;
}

CallerHooks
Gateway::MakeOperatorHooks()
{
  return CallerHooks{ .mOnRequest =
                        [this](const std::shared_ptr<CallerConnection>& aCaller,
                               const CallerRequest& aRequest) {
                          OnOperatorRequest(aCaller, aRequest);
                        },
                      .mLimits =
                        [] {
                          CallerLimits limits;
                          limits.mMaxBodyBytes = kMaxOperatorBodyBytes;
                          return limits;
                        },
                      .mStopping = [] { return false; },
                      .mOnRejected =
                        [this](const RejectedRequest& aRejected) {
                          OnRejected(aRejected);
                        },
                      .mMemory = &mMemory,
                      .mParseQueue = &mParseQueue };
}

void
Gateway::OnRequest(const std::shared_ptr<CallerConnection>& aCaller,
                   CallerRequest aRequest)
{
  const std::string id = mOptions.mDialect.mRequestId(aRequest);
  if (mDraining && BootNow() - mDrainingSince >= kDrainRotationDelay) {
    RefuseRequest(aCaller,
                  aRequest,
                  id,
                  Refusal{ .mKind = ErrorKind::ShuttingDown,
                           .mRetryAfter = kShutdownRetryAfter,
                           .mMessage = "could not be finished in time" });
    return;
  }
  const RequestAttributes attributes =
    mOptions.mDialect.mRequestAttributes(aRequest);
  boost::leaf::try_handle_all(
    [&]() -> Result<void> {
      BOOST_LEAF_AUTO(bound, mRouter.Bind(attributes, BootNow()));
      bound.mFeatures = RequestFeatures::Of(
        FingerprintOf(aRequest, bound.mWorkspace), bound.mPrompt);
      const auto exchange = std::make_shared<Exchange>(
        mContext, aCaller, std::move(aRequest), id, std::move(bound));
      mExchanges[exchange.get()] = exchange;
      exchange->Start();
      return {};
    },
    [&](const Refusal& aRefusal) {
      RefuseRequest(aCaller, aRequest, id, aRefusal);
    },
    [&] {
      RefuseRequest(
        aCaller, aRequest, id, Refusal{ .mKind = ErrorKind::Internal });
    });
}

void
Gateway::OnExchangeEnded(Exchange* aEnded)
{
  mExchanges.erase(aEnded);
}

void
Gateway::OnNoMemory(const std::shared_ptr<CallerConnection>& aCaller,
                    const CallerRequest& aRequest)
{
  RefuseRequest(aCaller,
                aRequest,
                mOptions.mDialect.mRequestId(aRequest),
                Refusal{ .mKind = ErrorKind::TooManyOpen,
                         .mRetryAfter = kMemoryRetryAfter,
                         .mMessage = "bodies fill the memory" });
}

void
Gateway::RefuseRequest(const std::shared_ptr<CallerConnection>& aCaller,
                       const CallerRequest& aRequest,
                       const std::string& aId,
                       const Refusal& aRefusal)
{
  mMetrics.OnRefusal(Name(aRefusal.mKind));
  mLog.Write(
    LineKind::Failure,
    "request_refused",
    { { "id", aId },
      { "kind", Name(aRefusal.mKind) },
      { "why", aRefusal.mMessage },
      { "host", aRequest.mHost },
      { "path", aRequest.mTarget },
      { "policy_version", mRouter.Index() ? mRouter.Index()->Version() : 0 },
      { "policy_age_ms", mRouter.PolicyFreshness().AgeMs(BootNow()) } });
  aCaller->Answer(RefusalHead(aRefusal), RefusalBody(aRefusal));
}

void
Gateway::OnRejected(const RejectedRequest& aRejected)
{
  mMetrics.OnRefusal("unreadable");
  if (*aRejected.mLimit != '\0') {
    mMetrics.OnCallerLimit(aRejected.mLimit);
  }
  if (!mRejectedLines.Admit(BootNow())) {
    return;
  }
  mLog.Write(LineKind::Failure,
             "request_unreadable",
             { { "status", aRejected.mStatus },
               { "why", aRejected.mReason },
               { "limit", aRejected.mLimit },
               { "caller", aRejected.mCaller },
               { "left_out", mRejectedLines.TakeLeftOut() } });
}

void
Gateway::OnClosedCaller(const CutCaller& aClosed)
{
  mMetrics.OnCallerLimit(Name(aClosed.mReason));
  if (!mClosedLines.Admit(BootNow())) {
    return;
  }
  mLog.Write(LineKind::Failure,
             "connection_closed",
             { { "limit", Name(aClosed.mReason) },
               { "caller", aClosed.mCaller.Peer() },
               { "id", aClosed.mCaller.RequestId() },
               { "bytes", aClosed.mHeldBytes },
               { "all_bytes", mMemory.Budget().TotalBytes() },
               { "left_out", mClosedLines.TakeLeftOut() } });
}

void
Gateway::OnCutCaller(const CutCaller& aCut)
{
  mMetrics.OnCutCaller(Name(aCut.mReason));
  const bool stalled = aCut.mReason == CutReason::Stalled;
  mLog.Write(LineKind::Failure,
             stalled ? "caller_stalled" : "answer_cut",
             { { "id", aCut.mCaller.RequestId() },
               { "why", Name(aCut.mReason) },
               { "priority", aCut.mCaller.Priority() },
               { "held_bytes", aCut.mHeldBytes },
               { "stalled_ms", aCut.mStallTime.Count() },
               { "all_held_bytes", mBuffers.Budget()->TotalBytes() } });
}

void
Gateway::CheckBuffers(Millis aNow)
{
  mBuffers.CutStalled(aNow);
  const auto stalled = mBuffers.Budget()->StalledBodies(aNow);
  if (stalled.empty()) {
    return;
  }
  std::vector<std::shared_ptr<Exchange>> affected;
  for (const auto& [key, exchange] : mExchanges) {
    if (std::find(stalled.begin(), stalled.end(), exchange->TransferId()) !=
        stalled.end()) {
      affected.push_back(exchange);
    }
  }
  for (const auto& exchange : affected) {
    exchange->OnBodyStalled();
  }
}

void
Gateway::UpdateBufferBounds()
{
  BufferBudgetOptions options = mBuffers.Budget()->Options();
  options.mTotalBytes = mOptions.mSettings.mAnswerBufferBytes;
  const size_t largestBody =
    mRouter.Index() ? mRouter.Index()->Policy().mLimits.mMaxBodyBytes : 0;
  options.mUpstreamBytes = std::max<size_t>(
    largestBody, kUpstreamBodyBytes / std::max<size_t>(1, mEntryCount));
  mBuffers.Budget()->SetOptions(options);
  UploadBudgetOptions uploads = mUploads.Budget().Options();
  uploads.mTotalBytes = mOptions.mSettings.mMaxBodyBytes;
  mUploads.Budget().SetOptions(uploads);
}

} // namespace trefoilgate
