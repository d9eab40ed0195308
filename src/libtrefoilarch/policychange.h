#pragma once

#include "policyfault.h"
#include "policystate.h"

#include <string>
#include <vector>

namespace trefoilarch {

/** An object that another change modified after the base version. */
struct PolicyConflict
{
  std::string mObject; /**< such as `class/call` */
  uint64_t mChangedIn = 0;
  std::string mChangedBy;

  bool operator==(const PolicyConflict&) const = default;
};

/** The result of applying a change to a state. */
struct ChangeOutcome
{
  PolicyState mState; /**< usable only if IsValid() */
  PolicyFaults mFaults;
  std::vector<PolicyConflict> mConflicts;

  bool IsValid() const { return mFaults.empty() && mConflicts.empty(); }
};

/**
 * Applies a change and validates its fields and references. If it has a base
 * version, objects that were changed since then are conflicts.
 */
ChangeOutcome
ApplyChange(const PolicyState& aState, const PolicyChange& aChange);

/**
 * Applies a change that the log has accepted, without validating it again, so
 * that all processes reach the same state.
 */
PolicyState
ApplyLogged(const PolicyState& aState, const LoggedChange& aLogged);

} // namespace trefoilarch
