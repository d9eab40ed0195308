#include "callerconnection.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <utility>

/** What a connection holds for its caller. */
namespace trefoilgate {

namespace asio = boost::asio;

namespace {

/** The connection's own objects, and the kernel's handle of it. */
constexpr size_t kConnectionBytes = 2048;

} // namespace

bool
CallerConnection::HasRoom() const
{
  return mHooks.mBuffers == nullptr ||
         mHooks.mBuffers->Budget()->MayRead(mStream);
}

void
CallerConnection::AwaitRoom()
{
  if (mHooks.mBuffers != nullptr && mState != State::Closed) {
    mHooks.mBuffers->Budget()->OnPaused(mStream);
  }
}

void
CallerConnection::SetUnoffered(size_t aBytes)
{
  const size_t before = std::exchange(mUnoffered, aBytes);
  if (mHooks.mBuffers != nullptr && mState != State::Closed &&
      before != aBytes) {
    mHooks.mBuffers->SetUnoffered(mStream, aBytes);
  }
}

void
CallerConnection::ResumeReading()
{
  if (mOnRoom) {
    // Copied, as the handler may be replaced while it runs.
    const auto onRoom = mOnRoom;
    onRoom();
  }
}

bool
CallerConnection::TakeProgress()
{
  SetOwnTimeout(true);
  int unread = 0;
  if (ioctl(mSocket.native_handle(), SIOCOUTQ, &unread) != 0) {
    return false;
  }
  const uint64_t read =
    mWrittenBytes - std::min<uint64_t>(mWrittenBytes, std::max(unread, 0));
  return std::exchange(mReadBytes, std::max(mReadBytes, read)) < read;
}

void
CallerConnection::Cut(CutReason aReason)
{
  const auto self = shared_from_this();
  const auto onCut = std::exchange(mOnCut, nullptr);
  mOnDisconnected = nullptr;
  SetResetOnClose(true);
  Close();
  if (onCut) {
    onCut(aReason);
  }
}

size_t
CallerConnection::RequestBytes() const
{
  const size_t head = mRequest ? mHeadBytes : 0;
  return head + (mParser ? mParser->Capacity() : 0);
}

size_t
CallerConnection::MemoryBytes() const
{
  return kConnectionBytes + mInput.capacity() + RequestBytes() + mServedBytes +
         mUnsent.Bytes();
}

void
CallerConnection::CountMemory()
{
  if (mHooks.mMemory == nullptr || mState == State::Closed) {
    return;
  }
  // What waits for memory has not been admitted.
  const size_t admitted = mUpload && !mWaitsSince ? RequestBytes() : 0;
  const size_t uploads = admitted + (mHooks.mUploads ? mServedBytes : 0);
  mHooks.mMemory->Budget().Set(
    mMemoryId,
    { .mBytes = MemoryBytes(),
      .mAdmittedBytes = uploads + (mHooks.mBuffers ? mUnsent.Bytes() : 0),
      .mServing = mState == State::Serving });
}

void
CallerConnection::BoundMemory()
{
  if (mHooks.mMemory != nullptr && mHooks.mMemory->Budget().IsExceeded()) {
    const auto self = shared_from_this();
    mHooks.mMemory->EnforceBound();
  }
}

std::string
CallerConnection::Peer() const
{
  boost::system::error_code error;
  const auto peer = mSocket.remote_endpoint(error);
  return error ? std::string()
               : peer.address().to_string() + ":" + std::to_string(peer.port());
}

std::optional<ClosingRank>
CallerConnection::Rank() const
{
  if (mState == State::Serving) {
    return std::nullopt;
  }
  return ClosingRank{ .mUsed = mUsed, .mSince = mPhaseStartedAt };
}

void
CallerConnection::CountHeldBytes()
{
  CountMemory();
  const size_t before = std::exchange(mHeldBytes, mUnsent.Bytes());
  if (mHooks.mBuffers == nullptr || mState == State::Closed) {
    return;
  }
  if (mHeldBytes > before) {
    mHooks.mBuffers->OnHeld(mStream, mPriority, mHeldBytes - before);
  } else if (mHeldBytes < before) {
    mHooks.mBuffers->OnDrained(mStream, before - mHeldBytes);
  }
  if (mHeldBytes == 0) {
    SetOwnTimeout(false);
  }
}

void
CallerConnection::SetOwnTimeout(bool aOwn)
{
  if (std::exchange(mOwnTimeout, aOwn) == aOwn) {
    return;
  }
  // The kernel's time-out would also end the connection of a caller that reads
  // slowly: it counts from when the window closed, until the window takes the
  // kernel's next buffer as a whole.
  SetUserTimeout(mSocket,
                 aOwn ? trefoilarch::Millis(0) : kCallerKeepalive.mUserTimeout);
}

} // namespace trefoilgate
