#include "uploadmemory.h"

#include "bootclock.h"

#include <algorithm>
#include <utility>

namespace trefoilgate {

using namespace trefoilarch;

UploadMemory::UploadMemory(std::shared_ptr<UploadBudget> aBudget, UploadId aId)
  : mBudget(std::move(aBudget))
  , mId(aId)
{
}

UploadMemory::~UploadMemory()
{
  mBudget->Remove(mId);
}

bool
UploadMemory::Request(UploadNeed aNeed)
{
  mNeed = std::move(aNeed);
  return mBudget->Request(mId, mNeed, BootNow());
}

void
UploadMemory::Shrink(size_t aBytes)
{
  mNeed.mBytes = std::min(mNeed.mBytes, aBytes);
  mBudget->Request(mId, mNeed, BootNow());
}

bool
UploadMemory::IsOverdue() const
{
  return mBudget->IsOverdue(mId, BootNow());
}

bool
UploadMemory::IsTooSlow(size_t aReceivedBytes) const
{
  return mBudget->IsTooSlow(mId, aReceivedBytes, BootNow());
}

} // namespace trefoilgate
