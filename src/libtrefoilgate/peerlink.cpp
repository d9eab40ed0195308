#include "peerlink.h"

#include "bootclock.h"
#include "connectionpool.h"
#include "crashdatagram.h"
#include "looptimer.h"
#include "permitdatagram.h"

#include "libtrefoilarch/peerring.h"

#include <algorithm>

namespace trefoilgate {

using trefoilarch::Millis;

namespace {

/** An entry that has nothing new says so this often: others take what it said
 * last for true no longer than a few of these. */
constexpr Millis kHeartbeat{ 500 };

/** Between two messages to few entries; a request is placed in far less than
 * an engine takes to begin it. */
constexpr Millis kLeastPause{ 20 };

/** Each further entry stretches the pause by so much, so that what an entry
 * sends and hears stays below some 700 messages a second together. */
constexpr Millis kPausePerPeer{ 3 };

/** In a larger fleet each entry tells some of the others, more slowly. */
constexpr size_t kMaxReceivers = trefoilarch::PeerRing::kMaxReceivers;
constexpr Millis kLongPause{ 640 };

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
{
}

void
PeerLink::Open()
{
  if (mAddress.empty()) {
    return;
  }
  const auto endpoint = ParseEndpoint(mAddress);
  const Udp::endpoint own(endpoint.address(), endpoint.port());
  mSocket.open(own.protocol());
  mSocket.bind(own);
  mSocket.non_blocking(true);
  Listen();
  Tick();
}

void
PeerLink::Close()
{
  boost::system::error_code ignored;
  mSocket.close(ignored);
  mTimer.cancel();
}

void
PeerLink::SetPeers(const std::vector<std::string>& aAddresses)
{
  mListed.clear();
  mTold.clear();
  for (const std::string& each : aAddresses) {
    const auto endpoint = ParseEndpoint(each);
    if (endpoint.port() == 0 || each == Address()) {
      continue;
    }
    const Udp::endpoint peer(endpoint.address(), endpoint.port());
    mListed.insert(peer);
    if (mTold.size() < kMaxReceivers) {
      mTold.push_back(peer);
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
      // Any other error tells of a datagram that reached nobody.
      if (!aError) {
        OnDatagram(aBytes);
      }
      Listen();
    });
}

void
PeerLink::OnDatagram(size_t aBytes)
{
  if (!mListed.contains(mSender)) {
    return;
  }
  const std::vector<uint8_t> bytes(
    mBuffer.begin(), mBuffer.begin() + static_cast<std::ptrdiff_t>(aBytes));
  if (const auto notes = DecodePeerUpdate(bytes)) {
    mHeard++;
    mHooks.mOnPeerUpdate(*notes);
  } else if (const auto news = DecodeTableUpdate(bytes)) {
    mHooks.mOnTableUpdate(*news);
  } else if (const auto crashNews = DecodeCrashUpdate(bytes)) {
    mHooks.mOnCrashUpdate(*crashNews);
  } else if (const auto ask = DecodePermitRequest(bytes)) {
    OnPermitRequest(*ask);
  } else if (const auto reply = DecodePermitReply(bytes)) {
    mHooks.mOnPermitReply(*reply);
  }
}

void
PeerLink::OnPermitRequest(const trefoilarch::PermitRequest& aAsk)
{
  const Udp::endpoint from = mSender;
  if (const auto reply = mHooks.mOnPermitRequest(TextOf(from), aAsk)) {
    SendTo(from, EncodePermitReply(*reply));
  }
}

void
PeerLink::RequestPermit(const std::string& aAddress,
                        const trefoilarch::PermitRequest& aAsk)
{
  const auto endpoint = ParseEndpoint(aAddress);
  SendTo({ endpoint.address(), endpoint.port() }, EncodePermitRequest(aAsk));
}

void
PeerLink::Tick()
{
  const Millis now = BootNow();
  const bool due = mHooks.mHasPeerUpdate() || now - mToldAt >= kHeartbeat;
  if (due && !mTold.empty()) {
    TellNotes();
    mToldAt = now;
  }
  RunAfter(mTimer, Pause(), [this] { Tick(); });
}

void
PeerLink::TellNotes()
{
  Send(EncodePeerUpdate(mHooks.mTakePeerUpdate()));
}

void
PeerLink::SendUpdate(const trefoilarch::TableUpdate& aNews)
{
  Send(EncodeTableUpdate(aNews));
}

void
PeerLink::SendUpdate(const trefoilarch::CrashUpdate& aNews)
{
  Send(EncodeCrashUpdate(aNews));
}

void
PeerLink::Send(const std::vector<uint8_t>& aBytes)
{
  for (const Udp::endpoint& each : mTold) {
    SendTo(each, aBytes);
  }
}

void
PeerLink::SendTo(const Udp::endpoint& aPeer, const std::vector<uint8_t>& aBytes)
{
  // What finds no room in the kernel's buffer is lost: the next one tells it.
  boost::system::error_code ignored;
  mSocket.send_to(boost::asio::buffer(aBytes), aPeer, 0, ignored);
  mSent++;
}

Millis
PeerLink::Pause() const
{
  if (mListed.size() > kMaxReceivers) {
    return kLongPause;
  }
  return std::max(kLeastPause,
                  kPausePerPeer * static_cast<int64_t>(mTold.size()));
}

} // namespace trefoilgate
