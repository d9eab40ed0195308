#pragma once

#include "libtrefoilarch/millis.h"
#include "libtrefoilio/settings.h"

#include <memory>
#include <string>
#include <vector>

namespace trefoilarch {

/** A running daemon, an entry or a sidecar. */
class Process
{
public:
  virtual ~Process() = default;

  /** Starts every service; throws std::runtime_error on failure. */
  virtual void Start() = 0;
  /** Returns the text of the `listening ...` lines, one for each port. */
  virtual std::vector<std::string> Listening() const = 0;
  /** Returns the reason why the process is not ready, or "". */
  virtual std::string NotReady() const = 0;
  /** Begins a planned stop: accepts no new work. */
  virtual void Drain() = 0;
  /** After Drain(): whether all work in flight has ended. */
  virtual bool Drained() const = 0;
  virtual void Stop() = 0;
};

/** Creates a process of one role. */
std::unique_ptr<Process>
MakeEntryProcess(const trefoilio::Settings& aSettings);
std::unique_ptr<Process>
MakeSidecarProcess(const trefoilio::Settings& aSettings);

} // namespace trefoilarch
