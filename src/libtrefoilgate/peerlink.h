#pragma once

#include "peerdatagram.h"

#include "libtrefoilarch/crashupdate.h"
#include "libtrefoilarch/millis.h"
#include "libtrefoilarch/peerupdate.h"
#include "libtrefoilarch/permit.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace trefoilgate {

/** What a PeerLink asks and tells. */
struct PeerHooks
{
  /** Whether there is something new to be told. */
  std::function<bool()> mHasPeerUpdate;
  std::function<trefoilarch::PeerUpdate()> mTakePeerUpdate;
  std::function<void(const trefoilarch::PeerUpdate&)> mOnPeerUpdate;
  std::function<void(const trefoilarch::TableUpdate&)> mOnTableUpdate;
  std::function<void(const trefoilarch::CrashUpdate&)> mOnCrashUpdate;
  /** Another entry, at that address, asks for a permit; empty: no answer. */
  std::function<std::optional<trefoilarch::PermitReply>(
    const std::string&,
    const trefoilarch::PermitRequest&)>
    mOnPermitRequest;
  std::function<void(const trefoilarch::PermitReply&)> mOnPermitReply;
};

/**
 * Tells the other entries what this one sends where, and hears them: small
 * datagrams, none of which is waited for or sent again, as each one tells the
 * whole of what is pending. Addresses that aren't listed are not listened to.
 */
class PeerLink
{
public:
  PeerLink(boost::asio::io_context& aLoop,
           std::string aAddress,
           PeerHooks aHooks);

  /** Opens the port; without an address it does nothing. */
  void Open();
  void Close();
  /** Every other entry's address; the first ones are told, all are heard. */
  void SetPeers(const std::vector<std::string>& aAddresses);

  /** Tells what can't wait for the next notes. */
  void SendUpdate(const trefoilarch::TableUpdate& aNews);
  void SendUpdate(const trefoilarch::CrashUpdate& aNews);
  /** Asks the entry at that address. */
  void RequestPermit(const std::string& aAddress,
                     const trefoilarch::PermitRequest& aAsk);

  /** Where it listens; empty where it does not. */
  std::string Address() const;
  /** Other entries that are known. */
  size_t ListedCount() const { return mListed.size(); }
  /** Some of them are not told by this one. */
  bool SendsToSubset() const { return mTold.size() < mListed.size(); }
  uint64_t SentCount() const { return mSent; }
  uint64_t ReceivedCount() const { return mHeard; }

private:
  using Udp = boost::asio::ip::udp;
  using Millis = trefoilarch::Millis;

  void Listen();
  void OnDatagram(size_t aBytes);
  void Tick();
  void TellNotes();
  void Send(const std::vector<uint8_t>& aBytes);
  void SendTo(const Udp::endpoint& aPeer, const std::vector<uint8_t>& aBytes);
  void OnPermitRequest(const trefoilarch::PermitRequest& aAsk);
  /** Between two messages: the fewer the more there are to tell it to. */
  Millis Pause() const;

  std::string mAddress;
  PeerHooks mHooks;
  Udp::socket mSocket;
  boost::asio::steady_timer mTimer;
  std::set<Udp::endpoint> mListed;
  std::vector<Udp::endpoint> mTold;
  std::array<uint8_t, kMaxDatagramBytes> mBuffer{};
  Udp::endpoint mSender;
  Millis mToldAt;
  uint64_t mSent = 0;
  uint64_t mHeard = 0;
};

} // namespace trefoilgate
