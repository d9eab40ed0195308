#pragma once

#include "outbox.h"

#include "libtrefoilarch/messages.h"

#include "trefoilarch.grpc.pb.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace trefoilarch {

/** Callbacks of an EntryChannel, called on gRPC's threads. */
struct EntryChannelHooks
{
  std::function<void(SidecarMessage)> mOnMessage;
  /** Called once, as the last callback. */
  std::function<void()> mOnDown;
};

/**
 * An entry's channel to one sidecar: one stream on its own TCP connection, so
 * that a new channel does not share the connection of a silent one.
 */
class EntryChannel final
  : public grpc::ClientBidiReactor<wire::EntryEnvelope, wire::SidecarEnvelope>
  , public std::enable_shared_from_this<EntryChannel>
{
public:
  /** aAddress is `ADDRESS:PORT`. */
  static std::shared_ptr<EntryChannel> Open(const std::string& aAddress,
                                            EntryChannelHooks aHooks);

  /** Queues a message; silently dropped if the channel is down. */
  void Send(const EntryMessage& aMessage);

  /** Closes the connection; mOnDown follows. */
  void Close();

private:
  EntryChannel(const std::string& aAddress, EntryChannelHooks aHooks);

  void Begin();
  void ReleaseHold();

  void OnReadDone(bool aOk) override;
  void OnWriteDone(bool aOk) override;
  void OnDone(const grpc::Status& aStatus) override;

  EntryChannelHooks mHooks;
  std::unique_ptr<wire::Sidecar::Stub> mStub;
  grpc::ClientContext mContext;
  wire::SidecarEnvelope mIncoming;
  /** Keeps the object alive until gRPC calls OnDone(). */
  std::shared_ptr<EntryChannel> mSelf;

  std::mutex mMutex;
  Outbox<wire::EntryEnvelope> mOutbox;
  bool mHoldsStream = true;
};

} // namespace trefoilarch
