#include "claimtracker.h"

#include "claimservice.h"

#include "libtrefoilio/httpmessage.h"

namespace trefoilarch {

ClaimTracker::ClaimTracker(ClaimService& aService, const RequestId& aId)
  : mService(aService)
  , mId(aId)
{
}

ClaimTracker::~ClaimTracker()
{
  if (!mEnded) {
    mService.MaybeRan(mId);
  }
}

void
ClaimTracker::OnHead(int32_t aStatus, const Headers& aHeaders)
{
  mAnswer.mStatus = aStatus;
  mAnswer.mContentType = trefoilio::FindHeader(aHeaders, "Content-Type");
}

void
ClaimTracker::OnData(std::string_view aData)
{
  mTooLong = mTooLong || mAnswer.mBody.size() + aData.size() >
                           mService.MaxCachedAnswerSize();
  if (mTooLong) {
    mAnswer.mBody.clear();
  } else {
    mAnswer.mBody.append(aData);
  }
}

void
ClaimTracker::OnEnd()
{
  mEnded = true;
  if (mTooLong) {
    mService.AnsweredUncached(mId);
  } else {
    mService.Answered(mId, std::move(mAnswer));
  }
}

void
ClaimTracker::OnError(const Refusal& aRefusal)
{
  mEnded = true;
  if (aRefusal.mRan == Ran::No) {
    mService.NotRun(mId);
  } else {
    mService.MaybeRan(mId);
  }
}

} // namespace trefoilarch
