#include "connectionpool.h"

#include "bootclock.h"
#include "looptimer.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <utility>

namespace trefoilgate {

using trefoilarch::Millis;
using trefoilarch::UpstreamId;

namespace {

/** The kernel closes all sockets of an ended process within this time. */
constexpr Millis kProbeDuration{ 20 };
constexpr int kMaxProbes = 3;

/** Surplus connections are kept for this long, as bursts return. */
constexpr Millis kMinSurplusAge{ 1000 };

/** What is read of an answer that nobody needs, to keep its connection. */
constexpr size_t kMaxDiscardedBytes = 262144;
constexpr Millis kMaxDiscardTime{ 1000 };

} // namespace

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
  const auto found = mIdle.find(aUpstream);
  while (found != mIdle.end() && !found->second.empty()) {
    const IdleConnection idle = std::move(found->second.back());
    found->second.pop_back();
    if (idle.mConnection->Idle() && !IsExpired(idle, now)) {
      idle.mConnection->OnClosedWhileIdle(nullptr);
      aDone(idle.mConnection);
      return;
    }
    idle.mConnection->Close();
  }
  Connect(aUpstream,
          aAddress,
          [done = std::move(aDone)](const Connection& aConnection) {
            done(aConnection->Open() ? aConnection : nullptr);
          });
}

void
ConnectionPool::CheckListening(const UpstreamId& aUpstream,
                               const std::string& aAddress)
{
  if (!mProbes.contains(aAddress)) {
    Probe(aUpstream, aAddress, [](const ProbeResult&) {});
  }
}

void
ConnectionPool::Probe(const UpstreamId& aUpstream,
                      const std::string& aAddress,
                      ProbeCallback aDone)
{
  auto& probe = mProbes[aAddress];
  if (probe) {
    probe->mNext.push_back(std::move(aDone));
    return;
  }
  probe = std::make_shared<ProbeState>(
    ProbeState{ .mUpstream = aUpstream, .mAddress = aAddress });
  probe->mWaiting.push_back(std::move(aDone));
  StartProbe(probe, kMaxProbes);
}

void
ConnectionPool::StartProbe(const std::shared_ptr<ProbeState>& aProbe,
                           int aTriesLeft)
{
  Connect(aProbe->mUpstream,
          aProbe->mAddress,
          [this, probe = aProbe, aTriesLeft, startedAt = BootNow()](
            const Connection& aConnection) {
            OnProbeConnected(probe, aTriesLeft, startedAt, aConnection);
          });
}

void
ConnectionPool::OnProbeConnected(const std::shared_ptr<ProbeState>& aProbe,
                                 int aTriesLeft,
                                 Millis aStartedAt,
                                 const Connection& aConnection)
{
  ProbeResult result{ .mStartedAt = aStartedAt, .mAcceptedAt = BootNow() };
  if (aConnection->Refused()) {
    result.mOutcome = ProbeOutcome::Refused;
    EndProbe(aProbe, result);
    return;
  }
  if (aConnection->Open()) {
    result.mOutcome = ProbeOutcome::Accepted;
  }
  // A full upstream accepts connections and closes them as well.
  const auto probeAgain = [this, probe = aProbe, aTriesLeft, result] {
    if (aTriesLeft > 1) {
      StartProbe(probe, aTriesLeft - 1);
    } else {
      EndProbe(probe, result);
    }
  };
  if (!aConnection->Open()) {
    probeAgain();
    return;
  }
  const auto timer = std::make_shared<boost::asio::steady_timer>(mLoop);
  aConnection->OnClosedWhileIdle([probeAgain, timer] {
    timer->cancel();
    probeAgain();
  });
  RunAfter(
    *timer, kProbeDuration, [this, probe = aProbe, aConnection, timer, result] {
      Release(probe->mUpstream, aConnection);
      EndProbe(probe, result);
    });
}

void
ConnectionPool::EndProbe(const std::shared_ptr<ProbeState>& aProbe,
                         const ProbeResult& aResult)
{
  const auto waiting = std::exchange(aProbe->mWaiting, {});
  aProbe->mWaiting = std::exchange(aProbe->mNext, {});
  if (aProbe->mWaiting.empty()) {
    mProbes.erase(aProbe->mAddress);
  } else {
    StartProbe(aProbe, kMaxProbes);
  }
  for (const ProbeCallback& each : waiting) {
    each(aResult);
  }
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
    [this, connection, aUpstream, aAddress, done = std::move(aDone)](
      bool aConnected) {
      (aConnected ? mMadeCount : mFailedCount)++;
      if (aConnected) {
        mOptions.mOnListening(aUpstream, aAddress);
      } else if (connection->Refused()) {
        mOptions.mOnRefused(aUpstream, aAddress);
      }
      done(connection);
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
    [this, aUpstream, raw = aConnection.get()] { RemoveIdle(aUpstream, raw); });
  mIdle[aUpstream].push_back({ aConnection, BootNow() });
}

CallHandlers
ConnectionPool::DiscardHandlers(ConnectionPool& aPool,
                                const UpstreamId& aUpstream,
                                const Connection& aConnection)
{
  const auto timer = std::make_shared<boost::asio::steady_timer>(aPool.mLoop);
  RunAfter(*timer, kMaxDiscardTime, [aConnection] { aConnection->Close(); });
  const auto discarded = std::make_shared<size_t>(0);
  return CallHandlers{
    .mOnData =
      [aConnection, timer, discarded](const std::string& aData) {
        *discarded += aData.size();
        if (*discarded > kMaxDiscardedBytes) {
          timer->cancel();
          aConnection->Close();
        }
      },
    .mOnEnd =
      [&aPool, aUpstream, aConnection, timer] {
        timer->cancel();
        aPool.Release(aUpstream, aConnection);
      },
    .mOnBroken = [timer](const std::string&) { timer->cancel(); }
  };
}

void
ConnectionPool::Sweep(const std::function<bool(const UpstreamId&)>& aListed,
                      const std::function<size_t(const UpstreamId&)>& aMaxIdle,
                      Millis aNow)
{
  for (auto& [upstream, idle] : mIdle) {
    const bool listed = aListed(upstream);
    const size_t maxIdle = aMaxIdle(upstream);
    // The first ones have been idle for the longest time.
    while (idle.size() > maxIdle &&
           aNow - idle.front().mIdleSince >= kMinSurplusAge) {
      idle.front().mConnection->Close();
      idle.erase(idle.begin());
    }
    std::erase_if(idle, [&](const IdleConnection& aIdle) {
      if (listed && !IsExpired(aIdle, aNow)) {
        return false;
      }
      aIdle.mConnection->Close();
      return true;
    });
  }
  std::erase_if(mIdle,
                [](const auto& aEntry) { return aEntry.second.empty(); });
}

void
ConnectionPool::CloseIdle(const UpstreamId& aUpstream)
{
  const auto found = mIdle.find(aUpstream);
  if (found == mIdle.end()) {
    return;
  }
  for (const IdleConnection& each : found->second) {
    each.mConnection->Close();
  }
  mIdle.erase(found);
}

void
ConnectionPool::CloseAll()
{
  for (auto& [upstream, idle] : mIdle) {
    for (const IdleConnection& each : idle) {
      each.mConnection->Close();
    }
  }
  mIdle.clear();
}

size_t
ConnectionPool::IdleCount() const
{
  size_t count = 0;
  for (const auto& [upstream, idle] : mIdle) {
    count += idle.size();
  }
  return count;
}

size_t
ConnectionPool::IdleCount(const UpstreamId& aUpstream) const
{
  const auto found = mIdle.find(aUpstream);
  return found == mIdle.end() ? 0 : found->second.size();
}

std::optional<Millis>
ConnectionPool::ConnectedSince(const UpstreamId& aUpstream) const
{
  const auto found = mIdle.find(aUpstream);
  std::optional<Millis> oldest;
  if (found == mIdle.end()) {
    return oldest;
  }
  for (const IdleConnection& each : found->second) {
    if (each.mConnection->Idle()) {
      const Millis connected = each.mConnection->ConnectedAt();
      oldest = oldest ? std::min(*oldest, connected) : connected;
    }
  }
  return oldest;
}

bool
ConnectionPool::IsExpired(const IdleConnection& aIdle, Millis aNow) const
{
  const Millis idleTimeout =
    aIdle.mConnection->IdleTimeout().value_or(mOptions.mIdleTimeout);
  const Millis maxIdleTime =
    std::min(std::max(idleTimeout - mOptions.mIdleMargin, idleTimeout / 2),
             mOptions.mMaxIdleTime);
  return aNow - aIdle.mIdleSince >= maxIdleTime;
}

void
ConnectionPool::RemoveIdle(const UpstreamId& aUpstream,
                           const ClientConnection* aConnection)
{
  const auto found = mIdle.find(aUpstream);
  if (found == mIdle.end()) {
    return;
  }
  std::erase_if(found->second, [aConnection](const IdleConnection& aIdle) {
    return aIdle.mConnection.get() == aConnection;
  });
}

} // namespace trefoilgate
