#include "callermemory.h"

#include "callerconnection.h"

#include <utility>

namespace trefoilgate {

using namespace trefoilarch;

CallerMemory::CallerMemory(ConnectionBudgetOptions aOptions,
                           std::function<void(const CutCaller&)> aOnCut)
  : mBudget(aOptions)
  , mOnCut(std::move(aOnCut))
{
}

ConnectionId
CallerMemory::Add(CallerConnection& aCaller)
{
  mCallers[++mLastId] = &aCaller;
  return mLastId;
}

void
CallerMemory::Remove(ConnectionId aConnection)
{
  mCallers.erase(aConnection);
  mBudget.Remove(aConnection);
}

void
CallerMemory::EnforceBound()
{
  for (const ConnectionId each : mBudget.Victims()) {
    const auto found = mCallers.find(each);
    // Closing one connection may close another.
    if (found == mCallers.end()) {
      continue;
    }
    CallerConnection& caller = *found->second;
    mOnCut({ .mCaller = caller,
             .mReason = CutReason::ConnectionMemory,
             .mHeldBytes = caller.MemoryBytes() });
    caller.Cut(CutReason::ConnectionMemory);
  }
}

} // namespace trefoilgate
