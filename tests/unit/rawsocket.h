#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <string>
#include <string_view>

/** A plain TCP connection to loopback, for sending invalid HTTP. */
class RawSocket
{
public:
  explicit RawSocket(uint16_t aPort)
    : mSocket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    sockaddr_in endpoint{};
    endpoint.sin_family = AF_INET;
    endpoint.sin_port = htons(aPort);
    endpoint.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    mOpen = connect(mSocket,
                    reinterpret_cast<sockaddr*>(&endpoint),
                    sizeof endpoint) == 0;
  }

  ~RawSocket() { close(mSocket); }
  RawSocket(const RawSocket&) = delete;
  RawSocket& operator=(const RawSocket&) = delete;

  bool Open() const { return mOpen; }

  bool Send(std::string_view aText) const
  {
    while (!aText.empty()) {
      const ssize_t sent =
        send(mSocket, aText.data(), aText.size(), MSG_NOSIGNAL);
      if (sent <= 0) {
        return false;
      }
      aText.remove_prefix(static_cast<size_t>(sent));
    }
    return true;
  }

  /** Reads until the text is found, the peer closes or the timeout. */
  std::string ReadUntil(std::string_view aText, int aMillis = 10000)
  {
    std::string read;
    char block[4096];
    pollfd entry{ .fd = mSocket, .events = POLLIN, .revents = 0 };
    while (read.find(aText) == std::string::npos &&
           poll(&entry, 1, aMillis) > 0) {
      const ssize_t count = recv(mSocket, block, sizeof block, 0);
      if (count <= 0) {
        mReset = count < 0 && errno == ECONNRESET;
        break;
      }
      read.append(block, static_cast<size_t>(count));
    }
    return read;
  }

  /** Returns true if the last read ended with a reset, not a close. */
  bool Reset() const { return mReset; }

  /** Reads until the peer closes; no response contains this byte. */
  std::string ReadAll() { return ReadUntil(std::string(1, '\x01')); }

private:
  int mSocket = -1;
  bool mOpen = false;
  bool mReset = false;
};
