#pragma once

#include "net.h"

namespace review {

/** The link to a worker. While it is cut, nothing passes in either direction,
 * and what was sent waits for the heal, as in the kernels of both ends. */
class Proxy
{
public:
  explicit Proxy(int aTarget);
  Proxy(const Proxy&) = delete;
  Proxy& operator=(const Proxy&) = delete;
  ~Proxy() = default;

  int Port() const { return mPort; }
  void SetCut(bool aCut) { mCut = aCut; }

private:
  void Run();
  void AwaitHeal() const;
  void Relay(Socket& aFrom, Socket& aTo) const;

  int mTarget;
  Socket mListener;
  int mPort;
  std::atomic<bool> mCut = false;
};

} // namespace review
