#pragma once

#include "net.h"

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

/** A server with one thread for each connection. */
class Server
{
public:
  /** Serves one connection until it ends. */
  using Serve = std::function<void(int aDescriptor)>;

  Server(std::string aIp, Serve aServe);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  std::string Address() const;
  /** Accepts nothing more and resets all connections, like the kernel of a
   * process that has been killed. */
  void GoAway();
  /** Accepts connections again, at the same address. */
  void ComeBack();

private:
  void Accept();
  void Handle(Socket aConnection);

  std::string mIp;
  Serve mServe;
  uint16_t mPort = 0;
  std::mutex mMutex;
  Socket mListener;
  std::map<int, bool> mOpen;
  std::vector<std::thread> mThreads;
  std::thread mAcceptor;
  std::atomic<bool> mStopping{ false };
};

/** Whether the peer has closed the connection. */
bool
IsClosed(int aDescriptor);

} // namespace review
