#pragma once

#include <functional>
#include <string>
#include <vector>

namespace integration {

class Fleet;

/** A failure that can be brought about in a running fleet, and its repair. */
struct Fault
{
  std::string mName;
  std::function<void(Fleet&)> mStrike;
  std::function<void(Fleet&)> mHeal;
  /** Callers of entry 0 lose their connection without a word. */
  bool mEntryDies = false;
};

/**
 * Kills, freezes, cuts, silences and half-opened connections of entry 0 and of
 * everything about upstream 0. The fleet needs proxies on channels and
 * upstreams.
 */
std::vector<Fault>
AllFaults();

/** The fault of that name; throws std::out_of_range. */
Fault
FaultNamed(const std::string& aName);

} // namespace integration
