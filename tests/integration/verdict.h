#pragma once

#include "opencall.h"

#include <string>
#include <vector>

namespace integration {

class Fleet;

/** What must hold for one request, whatever fails. */
struct Promise
{
  bool mIdempotent = true;
  /** The entry may have died under it: no word at all is no fault then. */
  bool mEntryMayDie = false;
};

/**
 * What is broken about an ended request, in words; empty where all holds: the
 * whole answer and no other, or an honest end; at most one run unless
 * idempotent; no run at all where the caller was told so.
 */
std::string
FindViolation(const Fleet& aFleet, const OpenCall& aCall, Promise aPromise);

} // namespace integration
