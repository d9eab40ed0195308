#include "socketbytes.h"

#include <arpa/inet.h>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/rtnetlink.h>
#include <linux/sock_diag.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstring>

namespace bench {

namespace {

constexpr uint32_t kEstablished = 1U << 1;
constexpr size_t kBufferBytes = size_t{ 256 } * 1024;

/** Owns a netlink socket for sock_diag queries. */
class DiagSocket
{
public:
  DiagSocket()
    : mSocket(socket(AF_NETLINK, SOCK_DGRAM | SOCK_CLOEXEC, NETLINK_SOCK_DIAG))
  {
  }
  ~DiagSocket()
  {
    if (mSocket >= 0) {
      close(mSocket);
    }
  }
  DiagSocket(const DiagSocket&) = delete;
  DiagSocket& operator=(const DiagSocket&) = delete;

  bool SendQuery(uint8_t aFamily) const
  {
    struct
    {
      nlmsghdr mHeader{};
      inet_diag_req_v2 mQuery{};
    } request;
    request.mHeader.nlmsg_len = sizeof request;
    request.mHeader.nlmsg_type = SOCK_DIAG_BY_FAMILY;
    request.mHeader.nlmsg_flags = NLM_F_REQUEST | NLM_F_DUMP;
    request.mQuery.sdiag_family = aFamily;
    request.mQuery.sdiag_protocol = IPPROTO_TCP;
    request.mQuery.idiag_ext = 1U << (INET_DIAG_INFO - 1);
    request.mQuery.idiag_states = kEstablished;
    return send(mSocket, &request, sizeof request, 0) > 0;
  }

  ssize_t Receive(char* aOut, size_t aMaxBytes) const
  {
    return recv(mSocket, aOut, aMaxBytes, 0);
  }

private:
  int mSocket = -1;
};

/** Adds a connection's bytes to the count of its local port. */
void
AddConnection(const nlmsghdr& aMessage, std::map<uint16_t, uint64_t>& aBytes)
{
  const auto* socket =
    reinterpret_cast<const inet_diag_msg*>(NLMSG_DATA(&aMessage));
  auto remaining =
    static_cast<int>(aMessage.nlmsg_len - NLMSG_LENGTH(sizeof(inet_diag_msg)));
  const auto* attribute = reinterpret_cast<const rtattr*>(socket + 1);
  for (; RTA_OK(attribute, remaining);
       attribute = RTA_NEXT(attribute, remaining)) {
    if (attribute->rta_type != INET_DIAG_INFO) {
      continue;
    }
    tcp_info info{};
    const size_t length = RTA_PAYLOAD(attribute);
    std::memcpy(
      &info, RTA_DATA(attribute), length < sizeof info ? length : sizeof info);
    aBytes[ntohs(socket->id.idiag_sport)] +=
      info.tcpi_bytes_acked + info.tcpi_bytes_received;
  }
}

void
AddFamily(uint8_t aFamily, std::map<uint16_t, uint64_t>& aBytes)
{
  static std::array<char, kBufferBytes> sBuffer;
  const DiagSocket socket;
  bool more = socket.SendQuery(aFamily);
  while (more) {
    const ssize_t received = socket.Receive(sBuffer.data(), sBuffer.size());
    auto remaining = static_cast<unsigned>(received > 0 ? received : 0);
    more = received > 0;
    auto* message = reinterpret_cast<nlmsghdr*>(sBuffer.data());
    for (; NLMSG_OK(message, remaining);
         message = NLMSG_NEXT(message, remaining)) {
      if (message->nlmsg_type == NLMSG_DONE ||
          message->nlmsg_type == NLMSG_ERROR) {
        more = false;
        break;
      }
      AddConnection(*message, aBytes);
    }
  }
}

} // namespace

std::map<uint16_t, uint64_t>
BytesByLocalPort()
{
  std::map<uint16_t, uint64_t> bytes;
  AddFamily(AF_INET, bytes);
  AddFamily(AF_INET6, bytes);
  return bytes;
}

} // namespace bench
