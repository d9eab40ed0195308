#pragma once

#include <string>
#include <vector>

namespace trefoilarch {

/** An error in one field of a policy or a change. */
struct PolicyFault
{
  std::string mField; /**< such as `classes[call].tier` */
  std::string mReason;

  bool operator==(const PolicyFault&) const = default;
};

using PolicyFaults = std::vector<PolicyFault>;

/** A parsed value, usable only if there are no faults. */
template<typename T>
struct ParseResult
{
  T mValue;
  PolicyFaults mFaults;

  bool IsValid() const { return mFaults.empty(); }
};

} // namespace trefoilarch
