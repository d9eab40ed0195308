#include "crashingupstreams.h"

#include "libtrefoilio/systemclock.h"

#include <algorithm>
#include <chrono>

namespace platformtest {

using integration::ChildProcess;

namespace {

/** Three heartbeats of the platform. */
constexpr int64_t kRowTimeoutMs = 3600;

constexpr int64_t kFirstStartTimeMs = 1000;

int64_t
NowMs()
{
  return trefoilio::MonotonicNow().Count();
}

/** Parses `crashed PATH AT_MS`. */
UpstreamCrash
ParseCrash(const std::string& aLine)
{
  const size_t path = aLine.find(' ') + 1;
  const size_t time = aLine.rfind(' ') + 1;
  return { .mPath = aLine.substr(path, time - 1 - path),
           .mAtMs = std::stoll(aLine.substr(time)) };
}

} // namespace

CrashingUpstreams::CrashingUpstreams(const PlatformFleet& aFleet,
                                     CrashOptions aOptions)
  : mFleet(aFleet)
  , mOptions(aOptions)
  , mRandom(aOptions.mSeed)
  , mSlots(aOptions.mUpstreams)
{
  for (size_t each = 0; each < mSlots.size(); ++each) {
    Start(mSlots[each], each);
  }
  mThread = std::thread([this] { Run(); });
}

CrashingUpstreams::~CrashingUpstreams()
{
  mStop = true;
  mThread.join();
}

void
CrashingUpstreams::KillAtOnce(size_t aFrom, size_t aCount)
{
  const std::lock_guard lock(mMutex);
  for (size_t each = aFrom; each < aFrom + aCount; ++each) {
    if (mSlots[each].mProcess) {
      mSlots[each].mProcess->Kill();
    }
  }
}

std::vector<UpstreamCrash>
CrashingUpstreams::Crashes() const
{
  const std::lock_guard lock(mMutex);
  std::vector<UpstreamCrash> crashes = mCrashes;
  std::sort(
    crashes.begin(), crashes.end(), [](const auto& aOne, const auto& aTwo) {
      return aOne.mAtMs < aTwo.mAtMs;
    });
  return crashes;
}

void
CrashingUpstreams::Run()
{
  while (!mStop) {
    {
      const std::lock_guard lock(mMutex);
      for (size_t each = 0; each < mSlots.size(); ++each) {
        Slot& slot = mSlots[each];
        if (slot.mProcess && slot.mProcess->HasEnded()) {
          OnEnded(slot);
        } else if (!slot.mProcess && NowMs() >= slot.mRestartAtMs) {
          Start(slot, each);
        }
      }
    }
    RemoveExpiredRows();
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
}

void
CrashingUpstreams::Start(Slot& aSlot, size_t aNumber)
{
  const int start = aSlot.mStartCount++;
  const std::string name = "i-" + std::to_string(aNumber);
  aSlot.mId = mOptions.mSameId ? name : name + "-" + std::to_string(start);
  const std::string address =
    aSlot.mAddress.empty() ? "127.0.0.1:0" : aSlot.mAddress;
  aSlot.mProcess = std::make_unique<ChildProcess>(
    "trefoilarch-worker", std::vector<std::string>{ aSlot.mId, address });
  aSlot.mAddress = aSlot.mProcess->Address("worker");
  mFleet.PutRow(
    "servers",
    aSlot.mId,
    PlatformFleet::EntryOf(aSlot.mAddress, kFirstStartTimeMs + NowMs()));
}

void
CrashingUpstreams::OnEnded(Slot& aSlot)
{
  for (const std::string& line : aSlot.mProcess->LinesWith("crashed ")) {
    mCrashes.push_back(ParseCrash(line));
  }
  aSlot.mProcess.reset();
  std::uniform_int_distribution<int> downTime(mOptions.mMinDownMs,
                                              mOptions.mMaxDownMs);
  aSlot.mRestartAtMs = NowMs() + downTime(mRandom);
  if (!mOptions.mSameId) {
    mPendingRemovals.push_back(
      { .mId = aSlot.mId, .mAtMs = NowMs() + kRowTimeoutMs });
  }
}

void
CrashingUpstreams::RemoveExpiredRows()
{
  std::erase_if(mPendingRemovals, [this](const PendingRemoval& aRemoval) {
    const bool due = NowMs() >= aRemoval.mAtMs;
    if (due) {
      mFleet.Unlist(aRemoval.mId);
    }
    return due;
  });
}

} // namespace platformtest
