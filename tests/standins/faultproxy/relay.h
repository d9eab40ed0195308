#pragma once

#include "link.h"
#include "linkfaults.h"
#include "uniquefd.h"

#include <cstdint>
#include <functional>
#include <list>
#include <mutex>
#include <string>

namespace standin {

/** A TCP relay to one target that injects configurable faults. */
class Relay
{
public:
  /** Starts to listen; throws std::system_error on failure. */
  Relay(const std::string& aListen, const std::string& aTarget);

  std::string Endpoint() const;
  /** Relays until the process ends. */
  void Run();

  /** Changes the faults that apply to all connections. */
  void SetFaults(const std::function<void(LinkFaults&)>& aChange);
  /** Calls aAction for each open connection. */
  void ForEachLink(const std::function<void(Link&)>& aAction);
  LinkCounts Counts() const;

private:
  void Accept();
  void Wake() const;
  int WaitMillis(int64_t aNow) const;
  void TransferAll();

  std::string mTarget;
  UniqueFd mListener;
  UniqueFd mWakeRead;
  UniqueFd mWakeWrite;
  mutable std::mutex mMutex;
  LinkFaults mFaults;
  LinkCounts mCounts;
  std::list<Link> mLinks;
};

} // namespace standin
