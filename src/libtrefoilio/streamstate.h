#pragma once

#include "httpmessage.h"

#include <sys/types.h>

#include <atomic>
#include <functional>
#include <string>

namespace trefoilio {

/** A streamed answer on its way out; reports its end exactly once. */
class StreamState
{
public:
  /** aEndsByClosing: without chunks, so that only a reset shows a cut. */
  StreamState(StreamSource aSource,
              std::function<void()> aOnClosed,
              int aSocket,
              bool aEndsByClosing);
  ~StreamState();
  StreamState(const StreamState&) = delete;
  StreamState& operator=(const StreamState&) = delete;

  /** As libmicrohttpd wants it: bytes written, or how the body ended. */
  ssize_t Read(char* aOut, size_t aMost);

  void Close();

private:
  bool Refill();
  ssize_t Cut();

  StreamSource mSource;
  std::function<void()> mOnClosed;
  const int mSocket;
  const bool mEndsByClosing;
  std::string mPending;
  size_t mTaken = 0;
  StreamStep mLast = StreamStep::Data;
  std::atomic<bool> mClosed = false;
};

} // namespace trefoilio
