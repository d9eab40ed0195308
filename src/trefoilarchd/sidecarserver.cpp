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
      channels = mNewestChannels;
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
      const auto found = mEntryByChannel.find(aChannel.get());
      if (found == mEntryByChannel.end() ||
          mNewestChannels[found->second] != aChannel) {
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
      mEntryByChannel[aChannel.get()] = aEntry;
      superseded = std::exchange(mNewestChannels[aEntry], aChannel);
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
      const auto found = mEntryByChannel.find(aChannel.get());
      if (found == mEntryByChannel.end()) {
        return;
      }
      entry = std::move(found->second);
      mEntryByChannel.erase(found);
      const auto newest = mNewestChannels.find(entry);
      if (newest == mNewestChannels.end() || newest->second != aChannel) {
        return;
      }
      mNewestChannels.erase(newest);
    }
    mHooks.mOnDown(std::move(entry));
  }

  std::shared_ptr<ServerChannel> NewestOf(const EntryId& aEntry)
  {
    const std::lock_guard lock(mMutex);
    const auto found = mNewestChannels.find(aEntry);
    return found == mNewestChannels.end() ? nullptr : found->second;
  }

  SidecarServerHooks mHooks;
  std::mutex mMutex;
  std::map<const ServerChannel*, EntryId> mEntryByChannel;
  std::map<EntryId, std::shared_ptr<ServerChannel>> mNewestChannels;
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
