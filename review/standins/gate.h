#pragma once

#include "net.h"

#include <map>
#include <string>
#include <sys/types.h>

namespace review {

/** One gate as the deploy file starts it: its command, and the template of its
 * settings filled in for a loopback address. */
class Gate
{
public:
  /** The fields of the template by name, as in `bounds.drainMs`. */
  using Fields = std::map<std::string, std::string>;

  Gate(const std::string& aName,
       const std::string& aIp,
       const std::string& aStore,
       const std::string& aFolder,
       const Fields& aMore = {});
  ~Gate();
  Gate(const Gate&) = delete;
  Gate& operator=(const Gate&) = delete;

  void Start();
  void Signal(int aSignal) const;
  /** Ends the process and waits for it. */
  void Stop();
  /** Memory that the process uses now; 0 if it does not run. */
  long MemoryKb() const;
  /** Whether the process has ended by itself. */
  bool HasEnded();

  const std::string& Name() const { return mName; }
  const std::string& Callers() const { return mCallers; }
  const std::string& Ready() const { return mReady; }
  /** Waits until the gate says that it is ready. */
  bool AwaitReady(Ms aTimeout) const;

private:
  std::string mName;
  std::string mCallers;
  std::string mReady;
  std::string mSettings;
  std::string mLog;
  pid_t mProcess = -1;
};

/** Small deployment: the bounds of the smallest site. */
Gate::Fields
SmallSite();

} // namespace review
