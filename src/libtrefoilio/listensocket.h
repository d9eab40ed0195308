#pragma once

#include <cstdint>
#include <string>

namespace trefoilio {

/**
 * A listening TCP socket: ulfius itself refuses port 0, and only a socket of
 * our own tells the port it got.
 */
class ListenSocket
{
public:
  /** A numeric IP; throws std::runtime_error where it cannot listen. */
  ListenSocket(const std::string& aAddress, uint16_t aPort);
  ~ListenSocket();
  ListenSocket(const ListenSocket&) = delete;
  ListenSocket& operator=(const ListenSocket&) = delete;

  int Socket() const { return mSocket; }
  uint16_t Port() const;

  /** Another owner closes it from now on. */
  void Release() { mSocket = -1; }

private:
  int mSocket = -1;
};

} // namespace trefoilio
