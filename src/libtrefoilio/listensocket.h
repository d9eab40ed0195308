#pragma once

#include <cstdint>
#include <string>

namespace trefoilio {

/**
 * A listening TCP socket. ulfius rejects port 0, so the socket is created
 * here, where the assigned port can be queried.
 */
class ListenSocket
{
public:
  /** Listens on a numeric IP; throws std::runtime_error on failure. */
  ListenSocket(const std::string& aAddress, uint16_t aPort);
  ~ListenSocket();
  ListenSocket(const ListenSocket&) = delete;
  ListenSocket& operator=(const ListenSocket&) = delete;

  int Socket() const { return mSocket; }
  uint16_t Port() const;

  /** Releases ownership; the new owner closes the socket. */
  void Release() { mSocket = -1; }

private:
  int mSocket = -1;
};

} // namespace trefoilio
