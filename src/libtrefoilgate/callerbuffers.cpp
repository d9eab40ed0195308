#include "callerbuffers.h"

#include "bootclock.h"
#include "callerconnection.h"
#include "looptimer.h"

#include <utility>

namespace trefoilgate {

using namespace trefoilarch;

namespace {

/** How often victims are looked for while the bound is reached: well-reading
 * callers wait for it. */
constexpr Millis kVictimInterval{ 50 };

} // namespace

const char*
Name(CutReason aReason)
{
  switch (aReason) {
    case CutReason::Stalled:
      return "caller_stalled";
    case CutReason::BufferFull:
      return "answer_buffer_full";
    case CutReason::ConnectionMemory:
      return "connection_memory";
    case CutReason::ConnectionCount:
      break;
  }
  return "connection_count";
}

CallerBuffers::CallerBuffers(boost::asio::io_context& aLoop,
                             BufferBudgetOptions aOptions,
                             std::function<void(const CutCaller&)> aOnCut)
  : mBudget(std::make_shared<BufferBudget>(aOptions))
  , mOnCut(std::move(aOnCut))
  , mTimer(aLoop)
{
}

StreamId
CallerBuffers::Add(CallerConnection& aCaller)
{
  const StreamId id = NextId();
  mCallers[id] = &aCaller;
  return id;
}

void
CallerBuffers::Remove(StreamId aCaller)
{
  mCallers.erase(aCaller);
  mBudget->OnClosed(aCaller);
  ResumeReading();
}

void
CallerBuffers::OnHeld(StreamId aCaller, uint8_t aTier, size_t aBytes)
{
  mBudget->OnHeld(aCaller, aTier, aBytes, BootNow());
  if (mBudget->IsExhausted()) {
    ScheduleVictims();
  }
}

void
CallerBuffers::OnDrained(StreamId aCaller, size_t aBytes)
{
  mBudget->OnDrained(aCaller, aBytes, BootNow());
  ResumeReading();
}

void
CallerBuffers::SetUnoffered(StreamId aCaller, size_t aBytes)
{
  mBudget->SetUnoffered(aCaller, aBytes);
  if (mBudget->IsExhausted()) {
    ScheduleVictims();
  } else {
    ResumeReading();
  }
}

void
CallerBuffers::CutStalled(Millis aNow)
{
  UpdateProgress(aNow);
  for (const StreamId each : mBudget->Stalled(aNow)) {
    Cut(each, CutReason::Stalled, aNow);
  }
  // The bound may have been lowered.
  if (mBudget->IsExhausted()) {
    ScheduleVictims();
  }
}

void
CallerBuffers::UpdateProgress(Millis aNow)
{
  for (const StreamId each : mBudget->Holding()) {
    const auto caller = mCallers.find(each);
    if (caller != mCallers.end() && caller->second->TakeProgress()) {
      mBudget->OnProgress(each, aNow);
    }
  }
}

void
CallerBuffers::ScheduleVictims()
{
  if (std::exchange(mVictimsDue, true)) {
    return;
  }
  RunAfter(mTimer, kVictimInterval, [this] {
    mVictimsDue = false;
    CutVictims();
  });
}

void
CallerBuffers::CutVictims()
{
  const Millis now = BootNow();
  UpdateProgress(now);
  for (const StreamId each : mBudget->Victims(now)) {
    Cut(each, CutReason::BufferFull, now);
  }
  if (mBudget->IsExhausted()) {
    ScheduleVictims();
  }
}

void
CallerBuffers::Cut(StreamId aCaller, CutReason aReason, Millis aNow)
{
  const auto found = mCallers.find(aCaller);
  if (found == mCallers.end()) {
    return;
  }
  CallerConnection& caller = *found->second;
  mOnCut({ .mCaller = caller,
           .mReason = aReason,
           .mHeldBytes = mBudget->HeldBytes(aCaller),
           .mStallTime = mBudget->StallTime(aCaller, aNow) });
  caller.Cut(aReason);
}

void
CallerBuffers::ResumeReading()
{
  for (const StreamId each : mBudget->TakeReadable()) {
    const auto caller = mCallers.find(each);
    if (caller != mCallers.end()) {
      caller->second->ResumeReading();
    }
  }
}

} // namespace trefoilgate
