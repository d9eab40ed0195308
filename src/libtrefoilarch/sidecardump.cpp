#include "sidecarimpl.h"

#include "loaddump.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace trefoilarch {

namespace {

/** Maximum number of attempts listed in a dump; the counts cover all. */
constexpr size_t kMaxDumpedAttempts = 200;

const char*
Name(AttemptState aState)
{
  switch (aState) {
    case AttemptState::Waiting:
      return "waiting";
    case AttemptState::Granted:
      return "granted";
    case AttemptState::Running:
      return "running";
    case AttemptState::Finished:
      return "finished";
    case AttemptState::Failed:
      return "failed";
    case AttemptState::Voided:
      return "voided";
    default:
      return "unknown";
  }
}

nlohmann::json
Dump(const SidecarAttempt& aAttempt, Millis aNow)
{
  const AttemptKey& key = aAttempt.mOffer.mKey;
  return { { "request", key.mRequest.Text() },
           { "attempt", key.mAttempt },
           { "entry", aAttempt.mEntry },
           { "state", Name(aAttempt.mState) },
           { "class", aAttempt.mOffer.mLevel.mClass },
           { "tier", aAttempt.mOffer.mLevel.mTier },
           { "age_ms", (aNow - aAttempt.mArrivedAt).Count() },
           { "deadline_in_ms", (aAttempt.mDeadlineAt - aNow).Count() },
           { "tokens", aAttempt.mShare.mTokens },
           { "floor_start", aAttempt.mShare.mOutsideLimit },
           { "chunks", aAttempt.mAnswer.Count() },
           { "unacknowledged_bytes", aAttempt.mAnswer.Bytes() } };
}

nlohmann::json
Dump(const SidecarCounters& aCounters)
{
  return { { "offered", aCounters.mOffered },
           { "granted", aCounters.mGranted },
           { "started", aCounters.mStarted },
           { "finished", aCounters.mFinished },
           { "failed", aCounters.mFailed },
           { "voided", aCounters.mVoided },
           { "declined", aCounters.mDeclined },
           { "shed", aCounters.mShed },
           { "given_up", aCounters.mGivenUp },
           { "floor_starts", aCounters.mFloorStarts },
           { "preempted", aCounters.mPreempted },
           { "late_starts", aCounters.mLateStarts },
           { "stray_events", aCounters.mStrayEvents },
           { "silent_entries", aCounters.mSilences },
           { "pauses", aCounters.mPauses },
           { "foreign_messages", aCounters.mForeignMessages } };
}

} // namespace

Load
SidecarCore::Impl::CurrentLoad() const
{
  return { .mRunning = static_cast<uint32_t>(mCapacity.Running()),
           .mWaiting = static_cast<uint32_t>(mSchedule.Size()),
           .mTokensInFlight = mCapacity.InFlight(),
           .mTokenCapacity = mCapacity.Limit(),
           .mTokensWaiting = mSchedule.Tokens(),
           .mDraining = mDraining };
}

std::string
SidecarCore::Impl::DumpState(Millis aNow) const
{
  nlohmann::json attempts = nlohmann::json::array();
  for (const auto& [key, attempt] : mAttempts) {
    if (attempts.size() == kMaxDumpedAttempts) {
      break;
    }
    attempts.push_back(Dump(attempt, aNow));
  }
  const nlohmann::json state = {
    { "upstream", mOptions.mUpstream },
    { "incarnation", mOptions.mIncarnation },
    { "policy_version", mPolicyVersion },
    { "entries", mEntries.size() },
    { "load", Dump(CurrentLoad()) },
    { "prefill",
      { { "tokens", mCapacity.InPrefill() },
        { "limit", mCapacity.PrefillLimit() } } },
    { "counters", Dump(mCounters) },
    { "ledger",
      { { "size", mLedger.Size() },
        { "forgotten_starts", mLedger.ForgottenStarts() } } },
    { "attempt_count", mAttempts.size() },
    { "attempts", std::move(attempts) },
  };
  return state.dump(2);
}

} // namespace trefoilarch
