#pragma once

#include "libtrefoilarch/messages.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace grpc {
class Service;
class Server;
} // namespace grpc

namespace trefoilarch {

/** Callbacks of a SidecarServer, called on gRPC's threads. */
struct SidecarServerHooks
{
  /** A Hello is the first message of each channel. */
  std::function<void(EntryId, EntryMessage)> mOnMessage;
  /** The entry's newest channel is gone. */
  std::function<void(EntryId)> mOnDown;
};

/** Serves entries' channels and keeps the newest one of each entry. */
class SidecarServer
{
public:
  explicit SidecarServer(SidecarServerHooks aHooks);
  ~SidecarServer();
  SidecarServer(const SidecarServer&) = delete;
  SidecarServer& operator=(const SidecarServer&) = delete;

  /** The service to register with a gRPC server. */
  grpc::Service& WireService();

  /** Sends over the entry's newest channel; dropped if there is none. */
  void Send(const EntryId& aEntry, const SidecarMessage& aMessage);

  /** Ends every channel. */
  void CloseAll();

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace trefoilarch
