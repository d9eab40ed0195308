#pragma once

#include <string>

namespace trefoilio {

class Kernel;

/** A component of a process, owned, started and stopped by the Kernel. */
class Service
{
public:
  virtual ~Service() = default;

  /** Looks up the services that it needs and starts its threads. */
  virtual void Start(Kernel& aKernel) = 0;

  /** Finishes work in progress and joins the threads. */
  virtual void Stop() = 0;

  /** Returns its state as JSON, without request text or secrets. */
  virtual std::string DumpState() const = 0;
};

} // namespace trefoilio
