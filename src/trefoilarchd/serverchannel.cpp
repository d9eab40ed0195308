#include "serverchannel.h"

#include "wirecodec.h"

#include <utility>

namespace trefoilarch {

std::shared_ptr<ServerChannel>
ServerChannel::Open(ServerChannelHooks aHooks)
{
  std::shared_ptr<ServerChannel> channel(new ServerChannel(std::move(aHooks)));
  channel->mSelf = channel;
  channel->StartRead(&channel->mIncoming);
  return channel;
}

ServerChannel::ServerChannel(ServerChannelHooks aHooks)
  : mHooks(std::move(aHooks))
{
}

void
ServerChannel::Send(const SidecarMessage& aMessage)
{
  const std::lock_guard lock(mMutex);
  if (mFinished) {
    return;
  }
  if (const auto* next = mOutbox.Add(Encode(aMessage))) {
    StartWrite(next);
  }
  if (mOutbox.IsOverfull()) {
    FinishLocked();
  }
}

void
ServerChannel::Close()
{
  const std::lock_guard lock(mMutex);
  FinishLocked();
}

void
ServerChannel::FinishLocked()
{
  if (!mFinished) {
    mFinished = true;
    Finish(grpc::Status::OK);
  }
}

void
ServerChannel::OnReadDone(bool aOk)
{
  if (!aOk) {
    Close();
    return;
  }
  if (auto message = Decode(std::move(mIncoming))) {
    mHooks.mOnMessage(mSelf, std::move(*message));
  }
  mIncoming.Clear();
  const std::lock_guard lock(mMutex);
  if (!mFinished) {
    StartRead(&mIncoming);
  }
}

void
ServerChannel::OnWriteDone(bool aOk)
{
  const std::lock_guard lock(mMutex);
  const auto* next = mOutbox.Next();
  if (!aOk) {
    FinishLocked();
  } else if (next && !mFinished) {
    StartWrite(next);
  }
}

void
ServerChannel::OnCancel()
{
  Close();
}

void
ServerChannel::OnDone()
{
  const auto self = std::move(mSelf);
  mHooks.mOnDown(self);
  mHooks = {};
}

} // namespace trefoilarch
