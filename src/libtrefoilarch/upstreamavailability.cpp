#include "upstreamavailability.h"

#include <algorithm>
#include <utility>

namespace trefoilarch {

namespace {

/** Processes that are remembered; more than a fleet replaces within hours. */
constexpr size_t kMaxProcesses = 4096;

} // namespace

UpstreamAvailability::ProcessState&
UpstreamAvailability::StateFor(const UpstreamId& aUpstream,
                               const UpstreamProcess& aProcess)
{
  // Requests in flight know an older number of the process's messages.
  UpstreamProcess process = aProcess;
  process.mSequence.reset();
  OnListed(aUpstream, process);
  const auto [it, inserted] = mStates.try_emplace(aUpstream);
  it->second.mStatedAt = ++mStatements;
  if (inserted) {
    it->second.mProcess = aProcess;
    DiscardOldest();
  }
  return it->second;
}

void
UpstreamAvailability::OnStatement(const UpstreamId& aUpstream,
                                  const UpstreamProcess& aProcess,
                                  const AvailabilityStatement& aStatement,
                                  Millis aNow)
{
  ProcessState& state = StateFor(aUpstream, aProcess);
  if (aStatement.mInvalid && !std::exchange(state.mReportedInvalid, true)) {
    mChanges.push_back(
      { .mUpstream = aUpstream, .mEvent = AvailabilityEvent::Invalid });
  }
  if (aStatement.mLeaving && !std::exchange(state.mLeaving, true)) {
    mChanges.push_back(
      { .mUpstream = aUpstream, .mEvent = AvailabilityEvent::Leaving });
  }
  if (aStatement.mPause && *aStatement.mPause > Millis(0)) {
    Pause(aUpstream, state, *aStatement.mPause, aNow);
  }
}

void
UpstreamAvailability::Pause(const UpstreamId& aUpstream,
                            ProcessState& aState,
                            Millis aDuration,
                            Millis aNow)
{
  if (!aState.mPause.IsPaused(aNow)) {
    mChanges.push_back({ .mUpstream = aUpstream,
                         .mEvent = AvailabilityEvent::Paused,
                         .mPause = aDuration });
  }
  aState.mPause.Extend(aNow + aDuration);
}

void
UpstreamAvailability::OnListed(const UpstreamId& aUpstream,
                               const UpstreamProcess& aProcess)
{
  const auto it = mStates.find(aUpstream);
  if (it == mStates.end()) {
    return;
  }
  if (IsReplaced(it->second.mProcess, aProcess)) {
    mStates.erase(it);
    mChanges.push_back(
      { .mUpstream = aUpstream, .mEvent = AvailabilityEvent::Replaced });
    return;
  }
  UpstreamProcess& known = it->second.mProcess;
  known.mStartTime =
    aProcess.mStartTime ? aProcess.mStartTime : known.mStartTime;
  known.mSequence = std::max(known.mSequence, aProcess.mSequence);
}

void
UpstreamAvailability::OnSent(const UpstreamId& aUpstream, Millis aNow)
{
  const auto it = mStates.find(aUpstream);
  if (it != mStates.end() && it->second.mPause.OnSent(aNow)) {
    mChanges.push_back(
      { .mUpstream = aUpstream, .mEvent = AvailabilityEvent::Resumed });
  }
}

void
UpstreamAvailability::OnStarted(const UpstreamId& aUpstream, Millis aSentAt)
{
  const auto it = mStates.find(aUpstream);
  if (it != mStates.end()) {
    it->second.mPause.OnStarted(aSentAt);
  }
}

void
UpstreamAvailability::OnNotStarted(const UpstreamId& aUpstream, Millis aSentAt)
{
  const auto it = mStates.find(aUpstream);
  if (it != mStates.end()) {
    it->second.mPause.OnNotStarted(aSentAt);
  }
}

bool
UpstreamAvailability::IsLeaving(const UpstreamId& aUpstream) const
{
  const auto it = mStates.find(aUpstream);
  return it != mStates.end() && it->second.mLeaving;
}

bool
UpstreamAvailability::IsPaused(const UpstreamId& aUpstream, Millis aNow) const
{
  const auto it = mStates.find(aUpstream);
  return it != mStates.end() && it->second.mPause.IsPaused(aNow);
}

Millis
UpstreamAvailability::WaitFor(const UpstreamId& aUpstream, Millis aNow) const
{
  const auto it = mStates.find(aUpstream);
  return it == mStates.end() ? Millis(0) : it->second.mPause.WaitFor(aNow);
}

void
UpstreamAvailability::DiscardOldest()
{
  if (mStates.size() <= kMaxProcesses) {
    return;
  }
  mStates.erase(std::min_element(
    mStates.begin(), mStates.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second.mStatedAt < aRight.second.mStatedAt;
    }));
}

std::vector<AvailabilityChange>
UpstreamAvailability::TakeChanges()
{
  return std::exchange(mChanges, {});
}

} // namespace trefoilarch
