#pragma once

#include "httpmessage.h"

#include <sys/types.h>

#include <atomic>
#include <functional>
#include <string>

namespace trefoilio {

/** A streamed response in progress; reports its end exactly once. */
class StreamState
{
public:
  /** aCloseDelimited: not chunked; only a reset reveals truncation. */
  StreamState(StreamSource aSource,
              std::function<void()> aOnClosed,
              int aSocket,
              bool aCloseDelimited);
  ~StreamState();
  StreamState(const StreamState&) = delete;
  StreamState& operator=(const StreamState&) = delete;

  /** libmicrohttpd reader: returns the bytes written or an end code. */
  ssize_t Read(char* aOut, size_t aMaxBytes);

  void Close();

private:
  bool Refill();
  ssize_t End();
  ssize_t Abort();

  StreamSource mSource;
  std::function<void()> mOnClosed;
  const int mSocket;
  const bool mCloseDelimited;
  std::string mPending;
  size_t mPendingOffset = 0;
  StreamStep mLastStep = StreamStep::Data;
  std::atomic<bool> mClosed = false;
};

} // namespace trefoilio
