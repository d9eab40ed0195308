#pragma once

#include "opencall.h"

#include <string>
#include <vector>

namespace integration {

class Fleet;

/** The guarantees that apply to one request under any fault. */
struct Promise
{
  bool mIdempotent = true;
  /** The entry may have died: no response at all is allowed then. */
  bool mEntryMayDie = false;
};

/**
 * Waits for the end of a request and describes the guarantee it violates;
 * empty if none. It must get its complete response or a truthful error, run
 * at most once unless idempotent, and not run if the error says so.
 */
std::string
FindViolation(const Fleet& aFleet, const OpenCall& aCall, Promise aPromise);

} // namespace integration
