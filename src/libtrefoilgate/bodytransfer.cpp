#include "bodytransfer.h"

#include "bootclock.h"

#include <utility>

namespace trefoilgate {

using namespace trefoilarch;

BodyTransfer::BodyTransfer(std::shared_ptr<BufferBudget> aBudget,
                           StreamId aId,
                           const UpstreamId& aUpstream,
                           size_t aBytes)
  : mBudget(std::move(aBudget))
  , mId(aId)
{
  mBudget->OnSending(mId, aUpstream, aBytes, BootNow());
}

BodyTransfer::~BodyTransfer()
{
  mBudget->OnBodyEnded(mId);
}

void
BodyTransfer::SetWritten(size_t aBytes)
{
  if (aBytes > mWritten) {
    mBudget->OnSentBody(mId, aBytes - mWritten, BootNow());
    mWritten = aBytes;
  }
}

} // namespace trefoilgate
