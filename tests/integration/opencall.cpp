#include "opencall.h"

#include "await.h"

#include "libtrefoilio/systemclock.h"

namespace integration {

using trefoilload::CallOutcome;
using trefoilload::CallRecord;

namespace {

int64_t
Now()
{
  return trefoilio::MonotonicNow().Count();
}

} // namespace

OpenCall::OpenCall(trefoilio::CallRunner& aRunner,
                   trefoilload::TraceRequest aRequest,
                   trefoilio::HttpRequest aHttpRequest,
                   std::string aMark)
  : mRunner(aRunner)
  , mMark(std::move(aMark))
  , mState(
      std::make_shared<State>(std::move(aRequest), std::move(aHttpRequest)))
{
  mState->mChecker.Record().mSent = Now();
  mState->mChecker.Record().mMark = mMark;
  const auto state = mState;
  mCallId = mRunner.Start(
    mState->mSent,
    { .mOnHead =
        [state](int aStatus, const trefoilio::HttpHeaders& aHeaders) {
          const std::lock_guard lock(state->mMutex);
          state->mHeaders = aHeaders;
          state->mChecker.OnHead(aStatus, aHeaders);
        },
      .mOnData =
        [state](const std::string& aData) {
          const std::lock_guard lock(state->mMutex);
          state->mBody += aData;
          state->mChecker.OnData(aData, Now());
        },
      .mOnEnd =
        [state](trefoilio::CallEnd aEnd) {
          const std::lock_guard lock(state->mMutex);
          state->mChecker.OnEnd(aEnd, Now());
        } });
}

OpenCall::~OpenCall()
{
  Leave();
}

bool
OpenCall::AwaitBytes(size_t aCount) const
{
  Await([&] { return Body().size() >= aCount || HasEnded(); });
  return Body().size() >= aCount;
}

CallRecord
OpenCall::AwaitEnd() const
{
  Await([&] { return HasEnded(); }, kDefaultTimeout * 2);
  return Record();
}

bool
OpenCall::HasEnded() const
{
  return Record().mOutcome != CallOutcome::Open;
}

CallRecord
OpenCall::Record() const
{
  const std::lock_guard lock(mState->mMutex);
  return mState->mChecker.Record();
}

std::string
OpenCall::Body() const
{
  const std::lock_guard lock(mState->mMutex);
  return mState->mBody;
}

std::string
OpenCall::Header(const std::string& aName) const
{
  const std::lock_guard lock(mState->mMutex);
  return std::string(trefoilio::FindHeader(mState->mHeaders, aName));
}

void
OpenCall::Leave()
{
  mRunner.Cancel(mCallId);
}

} // namespace integration
