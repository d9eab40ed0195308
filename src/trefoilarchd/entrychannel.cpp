#include "entrychannel.h"

#include "wirecodec.h"

#include <grpcpp/create_channel.h>
#include <grpcpp/support/channel_arguments.h>

#include <utility>

namespace trefoilarch {

namespace {

constexpr int kConnectMillis = 1000;
constexpr int kMostMessageBytes = 64 * 1024 * 1024;

std::shared_ptr<grpc::Channel>
Connect(const std::string& aAddress)
{
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, kConnectMillis);
  arguments.SetMaxReceiveMessageSize(kMostMessageBytes);
  arguments.SetMaxSendMessageSize(kMostMessageBytes);
  return grpc::CreateCustomChannel(
    "ipv4:" + aAddress, grpc::InsecureChannelCredentials(), arguments);
}

} // namespace

std::shared_ptr<EntryChannel>
EntryChannel::Open(const std::string& aAddress, EntryChannelHooks aHooks)
{
  std::shared_ptr<EntryChannel> channel(
    new EntryChannel(aAddress, std::move(aHooks)));
  channel->mSelf = channel;
  channel->Begin();
  return channel;
}

EntryChannel::EntryChannel(const std::string& aAddress,
                           EntryChannelHooks aHooks)
  : mHooks(std::move(aHooks))
  , mStub(wire::Sidecar::NewStub(Connect(aAddress)))
{
}

void
EntryChannel::Begin()
{
  mStub->async()->Channel(&mContext, this);
  AddHold();
  StartRead(&mIncoming);
  StartCall();
}

void
EntryChannel::Send(const EntryMessage& aMessage)
{
  const std::lock_guard lock(mMutex);
  if (!mHeld) {
    return;
  }
  if (const auto* next = mOutbox.Add(Encode(aMessage))) {
    StartWrite(next);
  }
  if (mOutbox.Overfull()) {
    mContext.TryCancel();
  }
}

void
EntryChannel::Close()
{
  mContext.TryCancel();
  ReleaseHold();
}

void
EntryChannel::ReleaseHold()
{
  {
    const std::lock_guard lock(mMutex);
    if (!mHeld) {
      return;
    }
    mHeld = false;
  }
  RemoveHold();
}

void
EntryChannel::OnReadDone(bool aOk)
{
  if (!aOk) {
    ReleaseHold();
    return;
  }
  if (auto message = Decode(std::move(mIncoming))) {
    mHooks.mOnMessage(std::move(*message));
  }
  mIncoming.Clear();
  StartRead(&mIncoming);
}

void
EntryChannel::OnWriteDone(bool aOk)
{
  if (!aOk) {
    ReleaseHold();
    return;
  }
  const std::lock_guard lock(mMutex);
  const auto* next = mOutbox.Next();
  if (next && mHeld) {
    StartWrite(next);
  }
}

void
EntryChannel::OnDone(const grpc::Status&)
{
  ReleaseHold();
  mHooks.mOnDown();
  mHooks = {};
  mSelf.reset();
}

} // namespace trefoilarch
