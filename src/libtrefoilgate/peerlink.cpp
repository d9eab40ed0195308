#include "peerlink.h"

#include "bootclock.h"
#include "connectiondatagram.h"
#include "connectionpool.h"
#include "crashdatagram.h"
#include "loaddatagram.h"
#include "looptimer.h"
#include "permitdatagram.h"
#include "streamdatagram.h"
#include "tierdatagram.h"
#include "usagedatagram.h"

#include "libtrefoilarch/peerring.h"

#include <algorithm>

namespace trefoilgate {

using trefoilarch::Millis;

namespace {

/** Interval between updates of an entry without changes. Others consider its
 * last update valid for only a few of these intervals. */
constexpr Millis kHeartbeatInterval{ 500 };

/** Interval between two messages in a small fleet; an engine takes far longer
 * to start a request than this. */
constexpr Millis kMinInterval{ 20 };

/** Added for each further entry, so that an entry sends and receives less than
 * some 700 messages per second in total. */
constexpr Millis kIntervalPerPeer{ 3 };

/** In a larger fleet each entry sends to some of the others only, and less
 * often. */
constexpr size_t kMaxReceivers = trefoilarch::PeerRing::kMaxReceivers;
constexpr Millis kLargeFleetInterval{ 640 };

/** Minimum interval between two reports of tiers, and its increase for each
 * receiver: at most 13 KB/s, and only while entries are overloaded. */
constexpr Millis kMinTierInterval{ 40 };
constexpr Millis kTierIntervalPerPeer{ 8 };

/** Interval between two reports of connections, while an entry needs many. */
constexpr Millis kConnectionInterval{ 200 };

/** Interval at which the load timer checks for an update to send. */
constexpr Millis kLoadTickInterval{ 100 };

std::string
TextOf(const boost::asio::ip::udp::endpoint& aEndpoint)
{
  return aEndpoint.address().to_string() + ":" +
         std::to_string(aEndpoint.port());
}

} // namespace

PeerLink::PeerLink(boost::asio::io_context& aLoop,
                   std::string aAddress,
                   PeerHooks aHooks)
  : mAddress(std::move(aAddress))
  , mHooks(std::move(aHooks))
  , mSocket(aLoop)
  , mTimer(aLoop)
  , mLoadTimer(aLoop)
{
}

void
PeerLink::Open()
{
  if (mAddress.empty()) {
    return;
  }
  const auto endpoint = ParseEndpoint(mAddress);
  const Udp::endpoint ownEndpoint(endpoint.address(), endpoint.port());
  Udp::socket socket(mSocket.get_executor(), ownEndpoint);
  socket.non_blocking(true);
  mSocket = std::move(socket);
  Listen();
  Tick();
  TickLoad();
}

void
PeerLink::Close()
{
  boost::system::error_code ignored;
  mSocket.close(ignored);
  mTimer.cancel();
  mLoadTimer.cancel();
}

void
PeerLink::SetPeers(const std::vector<std::string>& aAddresses)
{
  mPeers.clear();
  mReceivers.clear();
  for (const std::string& each : aAddresses) {
    const auto endpoint = ParseEndpoint(each);
    if (endpoint.port() == 0 || each == Address()) {
      continue;
    }
    const Udp::endpoint peer(endpoint.address(), endpoint.port());
    mPeers.insert(peer);
    if (mReceivers.size() < kMaxReceivers) {
      mReceivers.push_back(peer);
    }
  }
}

std::string
PeerLink::Address() const
{
  if (!mSocket.is_open()) {
    return "";
  }
  return TextOf(mSocket.local_endpoint());
}

void
PeerLink::Listen()
{
  mSocket.async_receive_from(
    boost::asio::buffer(mBuffer),
    mSender,
    [this](const boost::system::error_code& aError, size_t aBytes) {
      if (aError == boost::asio::error::operation_aborted ||
          !mSocket.is_open()) {
        return;
      }
      // Other errors report that an earlier datagram was not delivered.
      if (!aError) {
        OnDatagram(aBytes);
      }
      Listen();
    });
}

void
PeerLink::OnDatagram(size_t aBytes)
{
  if (!mPeers.contains(mSender)) {
    return;
  }
  const std::vector<uint8_t> bytes(
    mBuffer.begin(), mBuffer.begin() + static_cast<std::ptrdiff_t>(aBytes));
  mReceivedCount++;
  if (const auto peerUpdate = DecodePeerUpdate(bytes)) {
    mHooks.mOnPeerUpdate(*peerUpdate);
  } else if (const auto tierUpdate = DecodeTierUpdate(bytes)) {
    mHooks.mOnTierUpdate(*tierUpdate);
  } else if (const auto tableUpdate = DecodeTableUpdate(bytes)) {
    mHooks.mOnTableUpdate(*tableUpdate);
  } else if (const auto crashUpdate = DecodeCrashUpdate(bytes)) {
    mHooks.mOnCrashUpdate(*crashUpdate);
  } else if (const auto record = DecodeStreamRecord(bytes)) {
    mHooks.mOnStreamRecord(*record);
  } else if (const auto stream = DecodeStreamQuery(bytes)) {
    OnStreamQuery(*stream);
  } else if (const auto ask = DecodePermitRequest(bytes)) {
    OnPermitRequest(*ask);
  } else if (const auto reply = DecodePermitReply(bytes)) {
    mHooks.mOnPermitReply(*reply);
  } else if (const auto usage = DecodeUsageUpdate(bytes)) {
    OnUsageUpdate(*usage);
  } else if (const auto usageReply = DecodeUsageReply(bytes)) {
    mHooks.mOnUsageReply(*usageReply);
  } else if (const auto loadUpdate = DecodeLoadUpdate(bytes)) {
    mHooks.mOnLoadUpdate(*loadUpdate);
  } else if (const auto connections = DecodeConnectionUse(bytes)) {
    mHooks.mOnConnectionUse(*connections);
  } else {
    mUnreadableCount++;
  }
}

void
PeerLink::OnPermitRequest(const trefoilarch::PermitRequest& aRequest)
{
  const Udp::endpoint from = mSender;
  if (const auto reply = mHooks.mOnPermitRequest(TextOf(from), aRequest)) {
    SendTo(from, EncodePermitReply(*reply));
  }
}

void
PeerLink::OnUsageUpdate(const trefoilarch::UsageUpdate& aUpdate)
{
  const Udp::endpoint from = mSender;
  if (const auto reply = mHooks.mOnUsageUpdate(aUpdate)) {
    SendTo(from, EncodeUsageReply(*reply));
  }
}

void
PeerLink::OnStreamQuery(trefoilarch::StreamKey aStream)
{
  const Udp::endpoint from = mSender;
  if (const auto record = mHooks.mOnStreamQuery(aStream)) {
    SendTo(from, EncodeStreamRecord(*record));
  }
}

void
PeerLink::RequestPermit(const std::string& aAddress,
                        const trefoilarch::PermitRequest& aRequest)
{
  SendTo(aAddress, EncodePermitRequest(aRequest));
}

void
PeerLink::SendStreamRecord(const trefoilarch::AddressedStreamRecord& aRecord)
{
  SendTo(aRecord.mTo, EncodeStreamRecord(aRecord.mRecord));
}

void
PeerLink::SendStreamQuery(const trefoilarch::AddressedStreamQuery& aQuery)
{
  SendTo(aQuery.mTo, EncodeStreamQuery(aQuery.mStream));
}

void
PeerLink::SendUsage(const std::string& aAddress,
                    const trefoilarch::UsageUpdate& aUpdate)
{
  SendTo(aAddress, EncodeUsageUpdate(aUpdate));
}

void
PeerLink::Tick()
{
  const Millis now = BootNow();
  const bool due =
    mHooks.mHasPeerUpdate() || now - mLastSentAt >= kHeartbeatInterval;
  if (due && !mReceivers.empty()) {
    SendPeerUpdate();
    mLastSentAt = now;
  }
  RunAfter(mTimer, SendInterval(), [this] { Tick(); });
}

void
PeerLink::TickLoad()
{
  const Millis now = BootNow();
  const Millis interval = trefoilarch::LoadUpdate::Interval(mPeers.size() + 1);
  const bool due = !mLastLoadSentAt || now - *mLastLoadSentAt >= interval;
  if (due && !mReceivers.empty() && mHooks.mHasLoadUpdate()) {
    const auto bytes = EncodeLoadUpdate(mHooks.mTakeLoadUpdate());
    if (!bytes.empty()) {
      Send(bytes);
    }
    mLastLoadSentAt = now;
  }
  const bool connectionsDue =
    now - mLastConnectionsSentAt >= kConnectionInterval;
  if (connectionsDue && !mReceivers.empty() && mHooks.mHasConnectionUse()) {
    Send(EncodeConnectionUse(mHooks.mTakeConnectionUse()));
    mLastConnectionsSentAt = now;
  }
  RunAfter(mLoadTimer, kLoadTickInterval, [this] { TickLoad(); });
}

void
PeerLink::SendPeerUpdate()
{
  const trefoilarch::PeerUpdate update = mHooks.mTakePeerUpdate();
  Send(EncodePeerUpdate(update));
  SendTiers(update);
}

void
PeerLink::SendTiers(const trefoilarch::PeerUpdate& aUpdate)
{
  const Millis now = BootNow();
  const Millis interval =
    std::max(kMinTierInterval,
             kTierIntervalPerPeer * static_cast<int64_t>(mReceivers.size()));
  if (aUpdate.mTiers.empty() || now - mLastTiersSentAt < interval) {
    return;
  }
  mLastTiersSentAt = now;
  const auto bytes = EncodeTierUpdate({ .mFrom = aUpdate.mFrom,
                                        .mProcess = aUpdate.mProcess,
                                        .mSequence = aUpdate.mSequence,
                                        .mReports = aUpdate.mTiers });
  if (!bytes.empty()) {
    Send(bytes);
  }
}

void
PeerLink::SendUpdate(const trefoilarch::TableUpdate& aUpdate)
{
  Send(EncodeTableUpdate(aUpdate));
}

void
PeerLink::SendUpdate(const trefoilarch::CrashUpdate& aUpdate)
{
  Send(EncodeCrashUpdate(aUpdate));
}

void
PeerLink::Send(const std::vector<uint8_t>& aBytes)
{
  for (const Udp::endpoint& each : mReceivers) {
    SendTo(each, aBytes);
  }
}

void
PeerLink::SendTo(const Udp::endpoint& aPeer, const std::vector<uint8_t>& aBytes)
{
  // A datagram that does not fit the kernel's buffer is lost; the next one
  // makes up for it.
  boost::system::error_code ignored;
  mSocket.send_to(boost::asio::buffer(aBytes), aPeer, 0, ignored);
  mSentCount++;
}

void
PeerLink::SendTo(const std::string& aAddress,
                 const std::vector<uint8_t>& aBytes)
{
  const auto endpoint = ParseEndpoint(aAddress);
  SendTo({ endpoint.address(), endpoint.port() }, aBytes);
}

Millis
PeerLink::SendInterval() const
{
  if (IsLargeFleet()) {
    return kLargeFleetInterval;
  }
  return std::max(kMinInterval,
                  kIntervalPerPeer * static_cast<int64_t>(mReceivers.size()));
}

bool
PeerLink::IsLargeFleet() const
{
  return mPeers.size() > kMaxReceivers;
}

} // namespace trefoilgate
