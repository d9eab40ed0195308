#include "connectionpool.h"

#include "bootclock.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <utility>

namespace trefoilgate {

using trefoilarch::Millis;
using trefoilarch::UpstreamId;

boost::asio::ip::tcp::endpoint
ParseEndpoint(const std::string& aAddress)
{
  const size_t colon = aAddress.rfind(':');
  if (colon == std::string::npos) {
    return {};
  }
  boost::system::error_code error;
  const auto ip =
    boost::asio::ip::make_address(aAddress.substr(0, colon), error);
  uint16_t port = 0;
  const char* end = aAddress.data() + aAddress.size();
  const auto parsed = std::from_chars(aAddress.data() + colon + 1, end, port);
  if (error || parsed.ec != std::errc() || parsed.ptr != end) {
    return {};
  }
  return { ip, port };
}

ConnectionPool::ConnectionPool(boost::asio::io_context& aLoop,
                               PoolOptions aOptions)
  : mLoop(aLoop)
  , mOptions(std::move(aOptions))
{
}

void
ConnectionPool::Acquire(const UpstreamId& aUpstream,
                        const std::string& aAddress,
                        std::function<void(Connection)> aDone)
{
  const Millis now = BootNow();
  const auto place = mIdle.find(aUpstream);
  while (place != mIdle.end() && !place->second.empty()) {
    const Kept kept = std::move(place->second.back());
    place->second.pop_back();
    if (kept.mConnection->Idle() && !Expired(kept, now)) {
      kept.mConnection->OnClosedWhileIdle(nullptr);
      aDone(kept.mConnection);
      return;
    }
    kept.mConnection->Close();
  }
  Connect(aUpstream, aAddress, std::move(aDone));
}

void
ConnectionPool::CheckListening(const UpstreamId& aUpstream,
                               const std::string& aAddress)
{
  if (!mChecked.insert(aUpstream).second) {
    return;
  }
  Connect(aUpstream, aAddress, [this, aUpstream](const Connection& aMade) {
    mChecked.erase(aUpstream);
    if (aMade) {
      Release(aUpstream, aMade);
    }
  });
}

void
ConnectionPool::Connect(const UpstreamId& aUpstream,
                        const std::string& aAddress,
                        std::function<void(Connection)> aDone)
{
  const auto connection = std::make_shared<ClientConnection>(mLoop);
  connection->Connect(
    ParseEndpoint(aAddress),
    mOptions.mConnectTimeout,
    mOptions.mKeepalive,
    [this, connection, aUpstream, done = std::move(aDone)](bool aMade) {
      (aMade ? mMade : mFailed)++;
      if (aMade) {
        mOptions.mOnListening(aUpstream);
      } else if (connection->Refused()) {
        mOptions.mOnRefused(aUpstream);
      }
      done(aMade ? connection : nullptr);
    });
}

void
ConnectionPool::Release(const UpstreamId& aUpstream,
                        const Connection& aConnection)
{
  if (!aConnection->Idle()) {
    return;
  }
  aConnection->OnClosedWhileIdle(
    [this, aUpstream, raw = aConnection.get()] { Forget(aUpstream, raw); });
  mIdle[aUpstream].push_back({ aConnection, BootNow() });
}

CallHandlers
ConnectionPool::DiscardHandlers(ConnectionPool& aPool,
                                const UpstreamId& aUpstream,
                                const Connection& aConnection)
{
  return CallHandlers{ .mOnEnd = [&aPool, aUpstream, aConnection] {
    aPool.Release(aUpstream, aConnection);
  } };
}

void
ConnectionPool::Sweep(const std::function<bool(const UpstreamId&)>& aListed,
                      Millis aNow)
{
  for (auto& [upstream, kept] : mIdle) {
    const bool listed = aListed(upstream);
    std::erase_if(kept, [&](const Kept& aKept) {
      if (listed && !Expired(aKept, aNow)) {
        return false;
      }
      aKept.mConnection->Close();
      return true;
    });
  }
  std::erase_if(mIdle,
                [](const auto& aEntry) { return aEntry.second.empty(); });
}

void
ConnectionPool::CloseIdle(const UpstreamId& aUpstream)
{
  const auto place = mIdle.find(aUpstream);
  if (place == mIdle.end()) {
    return;
  }
  for (const Kept& each : place->second) {
    each.mConnection->Close();
  }
  mIdle.erase(place);
}

void
ConnectionPool::CloseAll()
{
  for (auto& [upstream, kept] : mIdle) {
    for (const Kept& each : kept) {
      each.mConnection->Close();
    }
  }
  mIdle.clear();
}

size_t
ConnectionPool::IdleCount() const
{
  size_t count = 0;
  for (const auto& [upstream, kept] : mIdle) {
    count += kept.size();
  }
  return count;
}

bool
ConnectionPool::Expired(const Kept& aKept, Millis aNow) const
{
  const Millis told =
    aKept.mConnection->IdleTimeout().value_or(mOptions.mIdleTimeout);
  const Millis span = std::max(told - mOptions.mIdleMargin, told / 2);
  return aNow - aKept.mSince >= span;
}

void
ConnectionPool::Forget(const UpstreamId& aUpstream,
                       const ClientConnection* aConnection)
{
  const auto place = mIdle.find(aUpstream);
  if (place == mIdle.end()) {
    return;
  }
  std::erase_if(place->second, [aConnection](const Kept& aKept) {
    return aKept.mConnection.get() == aConnection;
  });
}

} // namespace trefoilgate
