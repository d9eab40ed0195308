#pragma once

#include <string>
#include <vector>

namespace trefoilarch {

/** What is wrong with one field of a policy or a change, for its author. */
struct PolicyFault
{
  std::string mField; /**< such as `classes[call].tier` */
  std::string mReason;

  bool operator==(const PolicyFault&) const = default;
};

using PolicyFaults = std::vector<PolicyFault>;

/** A value that was read from text, usable only where there is no fault. */
template<typename T>
struct ParseResult
{
  T mValue;
  PolicyFaults mFaults;

  bool IsValid() const { return mFaults.empty(); }
};

} // namespace trefoilarch
