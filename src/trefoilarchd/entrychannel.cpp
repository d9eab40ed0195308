#include "entrychannel.h"

#include "wirecodec.h"

#include <grpcpp/create_channel.h>
#include <grpcpp/support/channel_arguments.h>

#include <utility>
#include <vector>

namespace trefoilarch {

namespace {

constexpr int kConnectTimeoutMillis = 1000;
constexpr int kMaxMessageBytes = 64 * 1024 * 1024;

/**
 * Stubs of ended channels, kept until the next channel is open. gRPC joins its
 * callback threads when the last channel is destroyed and aborts if that
 * happens on one of them, as it would in OnDone().
 */
class RetiredStubs
{
public:
  void Add(std::unique_ptr<wire::Sidecar::Stub> aStub)
  {
    const std::lock_guard lock(mMutex);
    mStubs.push_back(std::move(aStub));
  }

  void Clear()
  {
    std::vector<std::unique_ptr<wire::Sidecar::Stub>> stubs;
    const std::lock_guard lock(mMutex);
    stubs.swap(mStubs);
  }

private:
  std::mutex mMutex;
  std::vector<std::unique_ptr<wire::Sidecar::Stub>> mStubs;
};

/** Never destroyed, so that those threads are not joined at exit either. */
RetiredStubs&
Retired()
{
  static auto* const kRetired = new RetiredStubs;
  return *kRetired;
}

std::shared_ptr<grpc::Channel>
Connect(const std::string& aAddress)
{
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, kConnectTimeoutMillis);
  arguments.SetMaxReceiveMessageSize(kMaxMessageBytes);
  arguments.SetMaxSendMessageSize(kMaxMessageBytes);
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
  Retired().Clear();
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
  if (!mHoldsStream) {
    return;
  }
  if (const auto* next = mOutbox.Add(Encode(aMessage))) {
    StartWrite(next);
  }
  if (mOutbox.IsOverfull()) {
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
    if (!mHoldsStream) {
      return;
    }
    mHoldsStream = false;
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
  if (next && mHoldsStream) {
    StartWrite(next);
  }
}

void
EntryChannel::OnDone(const grpc::Status&)
{
  ReleaseHold();
  mHooks.mOnDown();
  mHooks = {};
  Retired().Add(std::move(mStub));
  mSelf.reset();
}

} // namespace trefoilarch
