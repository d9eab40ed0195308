#include "sidecarserver.h"

#include "serverchannel.h"

#include "trefoilarch.grpc.pb.h"

#include <map>
#include <mutex>
#include <utility>

namespace trefoilarch {

class SidecarServer::Impl final : public wire::Sidecar::CallbackService
{
public:
  explicit Impl(SidecarServerHooks aHooks)
    : mHooks(std::move(aHooks))
  {
  }

  grpc::ServerBidiReactor<wire::EntryEnvelope, wire::SidecarEnvelope>* Channel(
    grpc::CallbackServerContext*) override
  {
    const auto channel = ServerChannel::Open({
      .mOnMessage =
        [this](const auto& aChannel, EntryMessage&& aMessage) {
          OnMessage(aChannel, std::move(aMessage));
        },
      .mOnDown = [this](const auto& aChannel) { OnDown(aChannel); },
    });
    return channel.get();
  }

  void Send(const EntryId& aEntry, const SidecarMessage& aMessage)
  {
    if (const auto channel = NewestOf(aEntry)) {
      channel->Send(aMessage);
    }
  }

  void CloseAll()
  {
    std::map<EntryId, std::shared_ptr<ServerChannel>> channels;
    {
      const std::lock_guard lock(mMutex);
      channels = mNewest;
    }
    for (const auto& [entry, channel] : channels) {
      channel->Close();
    }
  }

private:
  void OnMessage(const std::shared_ptr<ServerChannel>& aChannel,
                 EntryMessage aMessage)
  {
    if (const auto* hello = std::get_if<Hello>(&aMessage)) {
      Bind(aChannel, hello->mEntry);
    }
    EntryId entry;
    {
      const std::lock_guard lock(mMutex);
      const auto found = mEntryOf.find(aChannel.get());
      if (found == mEntryOf.end() || mNewest[found->second] != aChannel) {
        return;
      }
      entry = found->second;
    }
    mHooks.mOnMessage(std::move(entry), std::move(aMessage));
  }

  /** Makes the channel the entry's newest and closes the previous one. */
  void Bind(const std::shared_ptr<ServerChannel>& aChannel,
            const EntryId& aEntry)
  {
    std::shared_ptr<ServerChannel> superseded;
    {
      const std::lock_guard lock(mMutex);
      mEntryOf[aChannel.get()] = aEntry;
      superseded = std::exchange(mNewest[aEntry], aChannel);
    }
    if (superseded && superseded != aChannel) {
      superseded->Close();
    }
  }

  void OnDown(const std::shared_ptr<ServerChannel>& aChannel)
  {
    EntryId entry;
    {
      const std::lock_guard lock(mMutex);
      const auto found = mEntryOf.find(aChannel.get());
      if (found == mEntryOf.end()) {
        return;
      }
      entry = std::move(found->second);
      mEntryOf.erase(found);
      const auto newest = mNewest.find(entry);
      if (newest == mNewest.end() || newest->second != aChannel) {
        return;
      }
      mNewest.erase(newest);
    }
    mHooks.mOnDown(std::move(entry));
  }

  std::shared_ptr<ServerChannel> NewestOf(const EntryId& aEntry)
  {
    const std::lock_guard lock(mMutex);
    const auto found = mNewest.find(aEntry);
    return found == mNewest.end() ? nullptr : found->second;
  }

  SidecarServerHooks mHooks;
  std::mutex mMutex;
  std::map<const ServerChannel*, EntryId> mEntryOf;
  std::map<EntryId, std::shared_ptr<ServerChannel>> mNewest;
};

SidecarServer::SidecarServer(SidecarServerHooks aHooks)
  : mImpl(std::make_unique<Impl>(std::move(aHooks)))
{
}

SidecarServer::~SidecarServer() = default;

grpc::Service&
SidecarServer::WireService()
{
  return *mImpl;
}

void
SidecarServer::Send(const EntryId& aEntry, const SidecarMessage& aMessage)
{
  mImpl->Send(aEntry, aMessage);
}

void
SidecarServer::CloseAll()
{
  mImpl->CloseAll();
}

} // namespace trefoilarch
