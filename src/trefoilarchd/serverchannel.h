#pragma once

#include "outbox.h"

#include "libtrefoilarch/messages.h"

#include "trefoilarch.grpc.pb.h"

#include <functional>
#include <memory>
#include <mutex>

namespace trefoilarch {

class ServerChannel;

/** Callbacks of a ServerChannel, called on gRPC's threads. */
struct ServerChannelHooks
{
  std::function<void(const std::shared_ptr<ServerChannel>&, EntryMessage)>
    mOnMessage;
  /** Called once, as the last callback. */
  std::function<void(const std::shared_ptr<ServerChannel>&)> mOnDown;
};

/**
 * The sidecar's side of one channel. Keeps itself alive until gRPC calls
 * OnDone().
 */
class ServerChannel final
  : public grpc::ServerBidiReactor<wire::EntryEnvelope, wire::SidecarEnvelope>
  , public std::enable_shared_from_this<ServerChannel>
{
public:
  static std::shared_ptr<ServerChannel> Open(ServerChannelHooks aHooks);

  /** Queues a message; silently dropped if the channel has ended. */
  void Send(const SidecarMessage& aMessage);

  /** Ends the channel; mOnDown follows. */
  void Close();

private:
  explicit ServerChannel(ServerChannelHooks aHooks);

  void FinishLocked();

  void OnReadDone(bool aOk) override;
  void OnWriteDone(bool aOk) override;
  void OnCancel() override;
  void OnDone() override;

  ServerChannelHooks mHooks;
  wire::EntryEnvelope mIncoming;
  std::shared_ptr<ServerChannel> mSelf;

  std::mutex mMutex;
  Outbox<wire::SidecarEnvelope> mOutbox;
  bool mFinished = false;
};

} // namespace trefoilarch
