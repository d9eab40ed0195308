#pragma once

#include "libtrefoilarch/millis.h"
#include "libtrefoilio/settings.h"

#include <memory>
#include <string>
#include <vector>

namespace trefoilarch {

/** One running daemon of either role. */
class Process
{
public:
  virtual ~Process() = default;

  /** Starts every service; throws std::runtime_error where it cannot. */
  virtual void Start() = 0;
  /** The `listening ...` lines, one for each port. */
  virtual std::vector<std::string> Listening() const = 0;
  /** Empty where the process is ready, else the reason why not. */
  virtual std::string NotReady() const = 0;
  /** Begins a planned stop: no new work from here on. */
  virtual void Drain() = 0;
  /** After Drain(): nothing is in flight any more. */
  virtual bool Drained() const = 0;
  virtual void Stop() = 0;
};

/** Makes the process of the role that the settings name. */
std::unique_ptr<Process>
MakeEntryProcess(const trefoilio::Settings& aSettings);
std::unique_ptr<Process>
MakeSidecarProcess(const trefoilio::Settings& aSettings);

} // namespace trefoilarch
