#include "libtrefoilgate/peerlink.h"

#include "libtrefoilgate/bootclock.h"
#include "libtrefoilgate/loaddatagram.h"

#include <boost/asio/io_context.hpp>
#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <functional>
#include <string>
#include <vector>

using namespace trefoilarch;
using namespace trefoilgate;
using boost::asio::ip::udp;

/** Links of entries on loopback in one event loop. */
namespace {

constexpr const char* kAnyPort = "127.0.0.1:0";

/** A link that records what it receives. */
class Entry
{
public:
  Entry(boost::asio::io_context& aLoop, std::string aName)
    : mName(std::move(aName))
    , mLink(aLoop, kAnyPort, Hooks())
  {
    mLink.Open();
  }
  ~Entry() { mLink.Close(); }

  PeerLink& Link() { return mLink; }

  bool mHasLoadUpdate = false;
  std::vector<Millis> mLoadTakenAt;
  std::vector<LoadUpdate> mLoadReceived;
  size_t mPeerUpdatesReceived = 0;

private:
  PeerHooks Hooks()
  {
    return {
      .mHasPeerUpdate = [] { return true; },
      .mTakePeerUpdate = [this] { return PeerUpdate{ .mFrom = mName }; },
      .mOnPeerUpdate = [this](const PeerUpdate&) { mPeerUpdatesReceived++; },
      .mOnTableUpdate = [](const TableUpdate&) { cr_expect(false); },
      .mOnCrashUpdate = [](const CrashUpdate&) { cr_expect(false); },
      .mOnPermitRequest =
        [](const std::string&, const PermitRequest&) {
          cr_expect(false);
          return std::nullopt;
        },
      .mOnPermitReply = [](const PermitReply&) { cr_expect(false); },
      .mOnUsageUpdate =
        [](const UsageUpdate&) {
          cr_expect(false);
          return std::nullopt;
        },
      .mOnUsageReply = [](const UsageReply&) { cr_expect(false); },
      .mHasLoadUpdate = [this] { return mHasLoadUpdate; },
      .mTakeLoadUpdate =
        [this] {
          mLoadTakenAt.push_back(BootNow());
          return LoadUpdate{ .mFrom = mName, .mSequence = mLoadTakenAt.size() };
        },
      .mOnLoadUpdate =
        [this](const LoadUpdate& aUpdate) { mLoadReceived.push_back(aUpdate); }
    };
  }

  std::string mName;
  PeerLink mLink;
};

/** Runs the loop until the condition holds or 20 s have elapsed. */
bool
RunUntil(boost::asio::io_context& aLoop, const std::function<bool()>& aHolds)
{
  const Millis start = BootNow();
  while (!aHolds() && BootNow() - start < Millis(20000)) {
    aLoop.run_for(std::chrono::milliseconds(20));
  }
  return aHolds();
}

void
RunFor(boost::asio::io_context& aLoop, Millis aTime)
{
  aLoop.run_for(std::chrono::milliseconds(aTime.Count()));
}

/** An entry of another version, which sends any bytes. */
class ForeignEntry
{
public:
  explicit ForeignEntry(boost::asio::io_context& aLoop)
    : mSocket(aLoop, { boost::asio::ip::make_address("127.0.0.1"), 0 })
  {
  }

  std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(mSocket.local_endpoint().port());
  }
  void Send(const std::string& aAddress, const std::vector<uint8_t>& aBytes)
  {
    const std::string port = aAddress.substr(aAddress.rfind(':') + 1);
    mSocket.send_to(
      boost::asio::buffer(aBytes),
      { boost::asio::ip::make_address("127.0.0.1"),
        static_cast<boost::asio::ip::port_type>(std::stoul(port)) });
  }

private:
  udp::socket mSocket;
};

} // namespace

/** During an upgrade, an entry receives types that it does not know yet. They
 * must change nothing, and the known updates must go on. */
Test(peerlink, unknown_types_are_counted_and_change_nothing, .timeout = 60)
{
  boost::asio::io_context loop(1);
  Entry receiver(loop, "receiver");
  Entry sender(loop, "sender");
  ForeignEntry newer(loop);
  ForeignEntry unlisted(loop);
  receiver.Link().SetPeers({ sender.Link().Address(), newer.Address() });
  sender.Link().SetPeers({ receiver.Link().Address() });
  sender.mHasLoadUpdate = true;

  std::vector<uint8_t> invalid = EncodeLoadUpdate({ .mFrom = "newer" });
  invalid.pop_back();
  const std::vector<std::vector<uint8_t>> unreadable{
    nlohmann::json::to_msgpack({ "trefoil-load-2", "newer", 1, 2, { 3 } }),
    nlohmann::json::to_msgpack({ "trefoil-future-1", { 1, 2 } }),
    invalid,
    { 0xc1 },
    std::vector<uint8_t>(4200, 0x90)
  };
  for (const auto& each : unreadable) {
    newer.Send(receiver.Link().Address(), each);
    unlisted.Send(receiver.Link().Address(), each);
  }
  const auto allCounted = [&] {
    return receiver.Link().UnreadableCount() == unreadable.size();
  };
  cr_assert(RunUntil(loop, allCounted));
  const size_t peerUpdates = receiver.mPeerUpdatesReceived;
  const size_t loadUpdates = receiver.mLoadReceived.size();
  cr_expect(RunUntil(loop, [&] {
    return receiver.mPeerUpdatesReceived > peerUpdates + 5 &&
           receiver.mLoadReceived.size() > loadUpdates + 1;
  }));
  cr_expect(allCounted(), "%lu", receiver.Link().UnreadableCount());
  for (const LoadUpdate& each : receiver.mLoadReceived) {
    cr_expect(each.mFrom == "sender");
  }
}

/** Load updates must neither fill the network nor be sent without content. */
Test(peerlink, load_updates_keep_their_interval, .timeout = 60)
{
  boost::asio::io_context loop(1);
  Entry receiver(loop, "receiver");
  Entry sender(loop, "sender");
  receiver.Link().SetPeers({ sender.Link().Address() });
  std::vector<std::string> addresses{ receiver.Link().Address() };
  sender.Link().SetPeers(addresses);
  RunFor(loop, Millis(700));
  cr_expect(sender.mLoadTakenAt.empty(), "nothing to report");

  sender.mHasLoadUpdate = true;
  cr_assert(RunUntil(loop, [&] { return receiver.mLoadReceived.size() >= 3; }));
  const auto& sentAt = sender.mLoadTakenAt;
  for (size_t each = 1; each < sentAt.size(); ++each) {
    cr_expect(sentAt[each] - sentAt[each - 1] >= Millis(500));
  }

  // 41 others, of which the first 40 receive updates.
  for (int port = 1; addresses.size() < 41; ++port) {
    addresses.push_back("127.0.0.2:" + std::to_string(port));
  }
  sender.Link().SetPeers(addresses);
  const size_t before = sentAt.size();
  cr_assert(RunUntil(loop, [&] { return sentAt.size() >= before + 2; }));
  for (size_t each = before; each < sentAt.size(); ++each) {
    cr_expect(sentAt[each] - sentAt[each - 1] >= Millis(2000));
  }
}
