#pragma once

#include "policyfault.h"
#include "policystate.h"

#include <string>
#include <vector>

namespace trefoilarch {

/** An object that another change touched after the author's base version. */
struct PolicyConflict
{
  std::string mObject; /**< such as `class/call` */
  uint64_t mChangedIn = 0;
  std::string mChangedBy;

  bool operator==(const PolicyConflict&) const = default;
};

/** What becomes of a change on top of a state. */
struct ChangeOutcome
{
  PolicyState mState; /**< of use only where there is no fault or conflict */
  PolicyFaults mFaults;
  std::vector<PolicyConflict> mConflicts;

  bool IsValid() const { return mFaults.empty() && mConflicts.empty(); }
};

/**
 * Judges a change by the state it is to follow: its fields, its references
 * and, where it has a base version, what was changed since.
 */
ChangeOutcome
ApplyChange(const PolicyState& aState, const PolicyChange& aChange);

/**
 * Applies a change that the log has accepted. The log decides: nothing is
 * judged again, so that all processes get the same state.
 */
PolicyState
ApplyLogged(const PolicyState& aState, const LoggedChange& aLogged);

} // namespace trefoilarch
