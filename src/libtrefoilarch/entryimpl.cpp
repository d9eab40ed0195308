#include "entryimpl.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace trefoilarch {

EntryCore::Impl::Impl(EntryOptions aOptions)
  : mOptions(std::move(aOptions))
  , mRandom(mOptions.mSeed)
  , mPlacement({ .mDataCentre = mOptions.mDataCentre, .mSeed = mOptions.mSeed })
  , mOutlierDetector({})
  , mRetryBudget({ .mPercent = mOptions.mRetryPercent })
{
}

void
EntryCore::Impl::OnRequest(EntryRequest aRequest, Millis aNow)
{
  const RequestId id = aRequest.mId;
  if (mRequests.contains(id)) {
    mCounters.mMessagesDropped++;
    return;
  }
  mCounters.mRequests++;
  if (!mClassifier) {
    Refuse(
      id,
      { ErrorKind::NotReady, Ran::No, JitteredRetryAfter(), "no policy yet" });
    return;
  }
  const Tier tier = aRequest.mClassified.mLevel.mTier;
  if (mRequests.size() >= mOptions.mMaxOpen && !EvictLowerTier(tier, aNow)) {
    Refuse(id,
           { ErrorKind::TooManyOpen,
             Ran::No,
             JitteredRetryAfter(),
             "too many open requests at this entry" });
    return;
  }
  const Millis deadline = aNow + aRequest.mClassified.mDeadline;
  OpenRequest& request =
    mRequests
      .emplace(id,
               OpenRequest{ .mRequest = std::move(aRequest),
                            .mArrivedAt = aNow,
                            .mDeadline = deadline })
      .first->second;
  mRetryBudget.OnFirstAttempt(request.mRequest.mClassified.mLevel.mClass);
  PlaceOrConclude(request, aNow);
}

bool
EntryCore::Impl::EvictLowerTier(Tier aTier, Millis aNow)
{
  const auto id = mShedOrder.FirstBelow(aTier);
  if (!id) {
    return false;
  }
  ConcludeWithError(mRequests.at(*id),
                    { ErrorKind::Shed,
                      Ran::No,
                      JitteredRetryAfter(),
                      "gave way to a higher tier at a full entry" },
                    aNow);
  return true;
}

void
EntryCore::Impl::OnCallerLeft(RequestId aId, Millis aNow)
{
  const auto found = mRequests.find(aId);
  if (found == mRequests.end()) {
    return;
  }
  mCounters.mCallersLeft++;
  Conclude(found->second, aNow);
}

void
EntryCore::Impl::OnTick(Millis aNow)
{
  while (const auto id = mRequestTimers.TakeDue(aNow)) {
    const auto found = mRequests.find(*id);
    if (found != mRequests.end()) {
      OnRequestTimer(found->second, aNow);
    }
  }
  while (const auto upstream = mLinkTimers.TakeDue(aNow)) {
    if (UpstreamLink* link = LinkOf(*upstream)) {
      OnLinkTimer(*link, aNow);
    }
  }
}

void
EntryCore::Impl::SetClassifier(std::shared_ptr<const Classifier> aClassifier)
{
  mClassifier = std::move(aClassifier);
  mEligibleLinks.SetClassifier(mClassifier);
}

EntryActions
EntryCore::Impl::TakeActions()
{
  return std::exchange(mActions, {});
}

Millis
EntryCore::Impl::NextWake() const
{
  return std::min(mRequestTimers.Next(), mLinkTimers.Next());
}

uint64_t
EntryCore::Impl::PolicyVersion() const
{
  return mClassifier ? mClassifier->CurrentPolicy().mVersion : 0;
}

void
EntryCore::Impl::Refuse(RequestId aId, Refusal aRefusal)
{
  mCounters.mRefusals[aRefusal.mKind]++;
  mActions.emplace_back(AnswerError{ aId, std::move(aRefusal) });
}

} // namespace trefoilarch
