#include "streamstate.h"

#include "connectionwatch.h"

#include <microhttpd.h>

#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace trefoilio {

namespace {

/**
 * Resets a TCP connection immediately. A zero linger time is not enough:
 * libmicrohttpd shuts down its end first, which the caller would see as a
 * regular close.
 */
void
Reset(int aSocket)
{
  const sockaddr unspecified{ .sa_family = AF_UNSPEC, .sa_data = {} };
  (void)connect(aSocket, &unspecified, sizeof unspecified);
}

} // namespace

StreamState::StreamState(StreamSource aSource,
                         std::function<void()> aOnClosed,
                         int aSocket,
                         bool aCloseDelimited)
  : mSource(std::move(aSource))
  , mOnClosed(std::move(aOnClosed))
  , mSocket(aSocket)
  , mCloseDelimited(aCloseDelimited)
{
}

StreamState::~StreamState()
{
  Close();
}

ssize_t
StreamState::Read(char* aOut, size_t aMaxBytes)
{
  if (mPendingOffset == mPending.size() && !Refill()) {
    return mLastStep == StreamStep::End ? MHD_CONTENT_READER_END_OF_STREAM
                                        : Abort();
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
StreamState::Abort()
{
  if (mCloseDelimited) {
    Reset(mSocket);
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
