#include "probecall.h"

#include <string_view>

namespace bench {

namespace {

constexpr std::chrono::seconds kMaxDuration{ 60 };
/** Occurs once in each event that carries a token. */
constexpr std::string_view kTokenMark = "\"content\":";

size_t
CountTokens(std::string_view aData)
{
  size_t count = 0;
  size_t position = aData.find(kTokenMark);
  while (position != std::string_view::npos) {
    ++count;
    position = aData.find(kTokenMark, position + kTokenMark.size());
  }
  return count;
}

double
MillisBetween(std::chrono::steady_clock::time_point aFrom,
              std::chrono::steady_clock::time_point aTo)
{
  return std::chrono::duration<double, std::milli>(aTo - aFrom).count();
}

} // namespace

ProbeCall::ProbeCall(trefoilio::CallRunner& aRunner,
                     trefoilio::HttpRequest aRequest)
  : mRunner(aRunner)
{
  trefoilio::CallHooks hooks;
  hooks.mOnHead = [state = mState](int aStatus, const trefoilio::HttpHeaders&) {
    std::lock_guard lock(state->mMutex);
    state->mResult.mStatus = aStatus;
  };
  hooks.mOnData = [state = mState](const std::string& aData) {
    TakeData(*state, aData);
  };
  hooks.mOnEnd = [state = mState](trefoilio::CallEnd aEnd) {
    std::lock_guard lock(state->mMutex);
    state->mEnded = true;
    state->mResult.mComplete =
      aEnd == trefoilio::CallEnd::Complete && state->mResult.mStatus == 200;
    state->mChanged.notify_all();
  };
  mState->mSentAt = Clock::now();
  mCallId = mRunner.Start(std::move(aRequest), std::move(hooks));
}

ProbeCall::~ProbeCall()
{
  mRunner.Cancel(mCallId);
}

void
ProbeCall::TakeData(State& aState, const std::string& aData)
{
  const Clock::time_point now = Clock::now();
  const size_t tokens = CountTokens(aData);
  std::lock_guard lock(aState.mMutex);
  for (size_t i = 0; i < tokens; ++i) {
    if (aState.mTokens++ == 0) {
      aState.mResult.mFirstToken = MillisBetween(aState.mSentAt, now);
      aState.mChanged.notify_all();
    } else {
      aState.mResult.mGaps.push_back(MillisBetween(aState.mLastTokenAt, now));
    }
    aState.mLastTokenAt = now;
  }
}

ProbeResult
ProbeCall::AwaitEnd()
{
  std::unique_lock lock(mState->mMutex);
  mState->mChanged.wait_for(lock, kMaxDuration, [&] { return mState->mEnded; });
  return mState->mResult;
}

bool
ProbeCall::IsStreaming() const
{
  std::lock_guard lock(mState->mMutex);
  return mState->mTokens > 0 && !mState->mEnded;
}

} // namespace bench
