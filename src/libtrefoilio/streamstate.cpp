#include "streamstate.h"

#include "connectionwatch.h"
#include "socketwriting.h"

#include <microhttpd.h>

#include <algorithm>
#include <utility>

namespace trefoilio {

StreamState::StreamState(StreamSource aSource,
                         std::function<void()> aOnClosed,
                         int aSocket,
                         bool aCloseDelimited)
  : mSource(std::move(aSource))
  , mOnClosed(std::move(aOnClosed))
  , mSocket(aSocket)
  , mCloseDelimited(aCloseDelimited)
{
  if (mCloseDelimited) {
    SetResetOnClose(mSocket, true);
  }
}

StreamState::~StreamState()
{
  Close();
}

ssize_t
StreamState::Read(char* aOut, size_t aMaxBytes)
{
  if (mPendingOffset == mPending.size() && !Refill()) {
    return mLastStep == StreamStep::End ? End() : Abort();
  }
  const size_t count = std::min(aMaxBytes, mPending.size() - mPendingOffset);
  std::copy_n(mPending.data() + mPendingOffset, count, aOut);
  mPendingOffset += count;
  return static_cast<ssize_t>(count);
}

bool
StreamState::Refill()
{
  mPending.clear();
  mPendingOffset = 0;
  while (mPending.empty() && mLastStep == StreamStep::Data) {
    mLastStep = mSource(mPending);
    if (mLastStep == StreamStep::Data && PeerLeft(mSocket)) {
      mLastStep = StreamStep::Abort;
      mPending.clear();
    }
  }
  return !mPending.empty();
}

ssize_t
StreamState::End()
{
  if (mCloseDelimited) {
    SetResetOnClose(mSocket, false);
  }
  return MHD_CONTENT_READER_END_OF_STREAM;
}

ssize_t
StreamState::Abort()
{
  if (mCloseDelimited) {
    ResetConnection(mSocket);
  }
  return MHD_CONTENT_READER_END_WITH_ERROR;
}

void
StreamState::Close()
{
  if (!mClosed.exchange(true) && mOnClosed) {
    mOnClosed();
  }
}

} // namespace trefoilio
