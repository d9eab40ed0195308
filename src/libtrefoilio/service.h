#pragma once

#include <string>

namespace trefoilio {

class Kernel;

/** One duty of a process. The kernel owns, starts and stops it. */
class Service
{
public:
  virtual ~Service() = default;

  /** Finds the services it needs by name and starts its threads. */
  virtual void Start(Kernel& aKernel) = 0;

  /** Finishes what is under way; returns when the threads are joined. */
  virtual void Stop() = 0;

  /** Its state as JSON text, for the dump; no request text or secrets. */
  virtual std::string DumpState() const = 0;
};

} // namespace trefoilio
