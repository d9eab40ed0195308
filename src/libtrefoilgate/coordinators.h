#pragma once

#include <string>
#include <vector>

namespace trefoilgate {

/** The entries that compete for the fleet's singleton duties. */
struct Coordinators
{
  /** The addresses of other entries. */
  std::vector<std::string> mAddresses;
  /** Whether this entry is one of them. */
  bool mIsOwn = false;

  bool operator==(const Coordinators&) const = default;
};

} // namespace trefoilgate
