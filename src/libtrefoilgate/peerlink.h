#pragma once

#include "peerdatagram.h"

#include "libtrefoilarch/connectionuseupdate.h"
#include "libtrefoilarch/crashupdate.h"
#include "libtrefoilarch/loadupdate.h"
#include "libtrefoilarch/millis.h"
#include "libtrefoilarch/peerupdate.h"
#include "libtrefoilarch/permit.h"
#include "libtrefoilarch/streams/streamorigin.h"
#include "libtrefoilarch/tierupdate.h"
#include "libtrefoilarch/usageupdate.h"

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

/** Callbacks of a PeerLink. */
struct PeerHooks
{
  /** Whether there are changes to send. */
  std::function<bool()> mHasPeerUpdate;
  std::function<trefoilarch::PeerUpdate()> mTakePeerUpdate;
  std::function<void(const trefoilarch::PeerUpdate&)> mOnPeerUpdate;
  std::function<void(const trefoilarch::TierUpdate&)> mOnTierUpdate;
  std::function<void(const trefoilarch::TableUpdate&)> mOnTableUpdate;
  std::function<void(const trefoilarch::CrashUpdate&)> mOnCrashUpdate;
  /** The entry at this address requests a permit; no reply is sent if the
   * result is empty. */
  std::function<std::optional<trefoilarch::PermitReply>(
    const std::string&,
    const trefoilarch::PermitRequest&)>
    mOnPermitRequest;
  std::function<void(const trefoilarch::PermitReply&)> mOnPermitReply;
  std::function<void(const trefoilarch::StreamOriginRecord&)> mOnStreamRecord;
  /** No reply is sent if the result is empty. */
  std::function<std::optional<trefoilarch::StreamOriginRecord>(
    trefoilarch::StreamKey)>
    mOnStreamQuery;
  /** No reply is sent if the result is empty. */
  std::function<std::optional<trefoilarch::UsageReply>(
    const trefoilarch::UsageUpdate&)>
    mOnUsageUpdate;
  std::function<void(const trefoilarch::UsageReply&)> mOnUsageReply;
  /** Whether there is a load update to send. */
  std::function<bool()> mHasLoadUpdate;
  std::function<trefoilarch::LoadUpdate()> mTakeLoadUpdate;
  std::function<void(const trefoilarch::LoadUpdate&)> mOnLoadUpdate;
  std::function<bool()> mHasConnectionUse = [] { return false; };
  std::function<trefoilarch::ConnectionUseUpdate()> mTakeConnectionUse;
  std::function<void(const trefoilarch::ConnectionUseUpdate&)> mOnConnectionUse;
};

/**
 * Sends updates about this entry's requests to the other entries, and receives
 * theirs. Datagrams are small and neither acknowledged nor sent again, as each
 * one contains the complete pending state. Datagrams from unlisted addresses
 * are dropped.
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
  /** Sets every other entry's address; updates are sent to the first ones and
   * received from all. */
  void SetPeers(const std::vector<std::string>& aAddresses);

  /** Sends an update that can't wait for the next PeerUpdate. */
  void SendUpdate(const trefoilarch::TableUpdate& aUpdate);
  void SendUpdate(const trefoilarch::CrashUpdate& aUpdate);
  /** Sends a permit request to the entry at this address. */
  void RequestPermit(const std::string& aAddress,
                     const trefoilarch::PermitRequest& aRequest);

  /** Sends a stream's origin to the entry that is to keep it. */
  void SendStreamRecord(const trefoilarch::AddressedStreamRecord& aRecord);
  void SendStreamQuery(const trefoilarch::AddressedStreamQuery& aQuery);

  /** Sends an update of usage to the entry at this address. */
  void SendUsage(const std::string& aAddress,
                 const trefoilarch::UsageUpdate& aUpdate);

  /** The address it listens on; empty if it doesn't. */
  std::string Address() const;
  /** Number of other entries that are listed. */
  size_t ListedCount() const { return mPeers.size(); }
  /** Whether updates are sent to only some of the other entries. */
  bool SendsToSubset() const { return mReceivers.size() < mPeers.size(); }
  /** Number of datagrams sent to other entries. */
  uint64_t SentCount() const { return mSentCount; }
  /** Number of datagrams received from listed entries. */
  uint64_t ReceivedCount() const { return mReceivedCount; }
  /** Datagrams of listed entries that could not be read: invalid ones, and
   * those of a newer version's type. */
  uint64_t UnreadableCount() const { return mUnreadableCount; }

private:
  using Udp = boost::asio::ip::udp;
  using Millis = trefoilarch::Millis;

  void Listen();
  void OnDatagram(size_t aBytes);
  void Tick();
  void SendPeerUpdate();
  /** Sends a peer update's reports of tiers, which entries of older versions
   * ignore, if there are any and the last ones are old enough. */
  void SendTiers(const trefoilarch::PeerUpdate& aUpdate);
  /** Sends a load update if there is one and the last one is old enough. */
  void TickLoad();
  void Send(const std::vector<uint8_t>& aBytes);
  void SendTo(const Udp::endpoint& aPeer, const std::vector<uint8_t>& aBytes);
  void SendTo(const std::string& aAddress, const std::vector<uint8_t>& aBytes);
  void OnStreamQuery(trefoilarch::StreamKey aStream);
  void OnPermitRequest(const trefoilarch::PermitRequest& aRequest);
  void OnUsageUpdate(const trefoilarch::UsageUpdate& aUpdate);
  /** Interval between two messages; longer the more receivers there are. */
  Millis SendInterval() const;
  bool IsLargeFleet() const;

  std::string mAddress;
  PeerHooks mHooks;
  Udp::socket mSocket;
  boost::asio::steady_timer mTimer;
  boost::asio::steady_timer mLoadTimer;
  std::set<Udp::endpoint> mPeers;
  std::vector<Udp::endpoint> mReceivers;
  std::array<uint8_t, kMaxDatagramBytes> mBuffer{};
  Udp::endpoint mSender;
  Millis mLastSentAt;
  Millis mLastTiersSentAt;
  std::optional<Millis> mLastLoadSentAt;
  Millis mLastConnectionsSentAt;
  uint64_t mSentCount = 0;
  uint64_t mReceivedCount = 0;
  uint64_t mUnreadableCount = 0;
};

} // namespace trefoilgate
