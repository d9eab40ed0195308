#pragma once

#include "libtrefoilarch/singletonduty.h"

#include <functional>
#include <string>

namespace trefoilgate {

/**
 * How a duty's actions are carried out: by the platform's store and by the
 * receiver of the reports. Each function runs its callback once.
 */
struct DutyTransport
{
  using OnRead = std::function<void(const trefoilarch::DutyRowsRead&)>;
  using OnWritten = std::function<void(const trefoilarch::DutyRowsWritten&)>;
  /** The outcome, and a description for the log. */
  using OnCalled =
    std::function<void(trefoilarch::DutyCallOutcome, const std::string&)>;

  std::function<void(OnRead)> mRead;
  std::function<void(const trefoilarch::WriteDutyRows&, OnWritten)> mWrite;
  /** Asks aMayCall right before the call is sent. */
  std::function<void(const trefoilarch::CallReceiver&,
                     std::function<bool()> aMayCall,
                     OnCalled)>
    mCall;
};

} // namespace trefoilgate
