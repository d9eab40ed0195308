#include "streamstate.h"

#include "connectionwatch.h"

#include <microhttpd.h>

#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace trefoilio {

namespace {

/**
 * Ends a connection by a TCP reset at once. Lingering for no time would not
 * do: libmicrohttpd shuts its end down first, and the caller would see that.
 */
void
Reset(int aSocket)
{
  const sockaddr nowhere{ .sa_family = AF_UNSPEC, .sa_data = {} };
  (void)connect(aSocket, &nowhere, sizeof nowhere);
}

} // namespace

StreamState::StreamState(StreamSource aSource,
                         std::function<void()> aOnClosed,
                         int aSocket,
                         bool aEndsByClosing)
  : mSource(std::move(aSource))
  , mOnClosed(std::move(aOnClosed))
  , mSocket(aSocket)
  , mEndsByClosing(aEndsByClosing)
{
}

StreamState::~StreamState()
{
  Close();
}

ssize_t
StreamState::Read(char* aOut, size_t aMost)
{
  if (mTaken == mPending.size() && !Refill()) {
    return mLast == StreamStep::End ? MHD_CONTENT_READER_END_OF_STREAM : Cut();
  }
  const size_t count = std::min(aMost, mPending.size() - mTaken);
  std::copy_n(mPending.data() + mTaken, count, aOut);
  mTaken += count;
  return static_cast<ssize_t>(count);
}

bool
StreamState::Refill()
{
  mPending.clear();
  mTaken = 0;
  while (mPending.empty() && mLast == StreamStep::Data) {
    mLast = mSource(mPending);
    if (mLast == StreamStep::Data && PeerLeft(mSocket)) {
      mLast = StreamStep::Cut;
      mPending.clear();
    }
  }
  return !mPending.empty();
}

ssize_t
StreamState::Cut()
{
  if (mEndsByClosing) {
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
