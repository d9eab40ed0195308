#include "processwatch.h"

#include "bootclock.h"
#include "looptimer.h"

namespace trefoilgate {

using namespace trefoilarch;

namespace {

/** Leaves time for a handshake until ProcessContinuity::kMinRestartTime. */
constexpr Millis kProbeInterval{ 200 };

constexpr Millis kUnmarkedMemory{ 60000 };

} // namespace

ProcessWatch::ProcessWatch(boost::asio::io_context& aLoop,
                           ConnectionPool& aPool)
  : mLoop(aLoop)
  , mPool(aPool)
{
}

ProcessWatch::Continuity
ProcessWatch::Follow(const PlacedAttempt& aAttempt, Millis aSentAt)
{
  auto continuity = std::make_shared<ProcessContinuity>(aSentAt);
  auto& process = mProcesses[aAttempt.mAddress];
  if (!process) {
    process =
      std::make_shared<Process>(mLoop, aAttempt.mUpstream, aAttempt.mAddress);
    ScheduleProbe(process);
  }
  process->mFollowers.push_back(continuity);
  return continuity;
}

void
ProcessWatch::Check(const PlacedAttempt& aAttempt)
{
  const auto process = mProcesses.find(aAttempt.mAddress);
  if (process != mProcesses.end()) {
    Probe(process->second);
  }
}

bool
ProcessWatch::ExpectsUnmarked(const std::string& aService, Millis aNow) const
{
  const auto at = mUnmarked.find(aService);
  return at != mUnmarked.end() && aNow - at->second < kUnmarkedMemory;
}

void
ProcessWatch::ScheduleProbe(const std::shared_ptr<Process>& aProcess)
{
  RunAfter(aProcess->mTimer, kProbeInterval, [this, process = aProcess] {
    std::erase_if(process->mFollowers,
                  [](const auto& aEach) { return aEach.expired(); });
    if (process->mFollowers.empty()) {
      mProcesses.erase(process->mAddress);
      return;
    }
    Probe(process);
    ScheduleProbe(process);
  });
}

void
ProcessWatch::Probe(const std::shared_ptr<Process>& aProcess)
{
  mPool.Probe(aProcess->mUpstream,
              aProcess->mAddress,
              [this, process = aProcess](const ProbeResult& aResult) {
                OnProbed(*process, aResult);
              });
}

void
ProcessWatch::OnProbed(Process& aProcess, const ProbeResult& aResult)
{
  for (const auto& each : aProcess.mFollowers) {
    const Continuity follower = each.lock();
    if (!follower) {
      continue;
    }
    if (aResult.mOutcome == ProbeOutcome::Accepted) {
      follower->OnAccepted(aResult.mStartedAt, aResult.mAcceptedAt);
    } else if (aResult.mOutcome == ProbeOutcome::Refused) {
      follower->OnRefused();
    }
  }
}

} // namespace trefoilgate
