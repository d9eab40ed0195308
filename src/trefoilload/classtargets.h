#pragma once

#include "callrecord.h"
#include "trace.h"

#include <cstdint>
#include <map>
#include <string>

namespace trefoilload {

/** Latency targets of a class from the policy; milliseconds. */
struct ClassTarget
{
  int64_t mFirstToken = 1000;
  int64_t mBetweenTokens = 100;
  int64_t mDeadline = 60000;

  bool operator==(const ClassTarget&) const = default;
};

using ClassTargets = std::map<std::string, ClassTarget>;

/**
 * Reads the classes of a policy file in the format of `trefoilarchctl policy
 * set`. Throws std::runtime_error on failure.
 */
ClassTargets
ReadClassTargets(const std::string& aPolicyFile);

/**
 * Returns true if a response met its class's latency target. A stream must
 * meet the first-token target and the mean time between tokens; a response
 * without streaming must arrive by the time a stream would have ended, and a
 * service call within the first-token target.
 */
bool
MeetsTarget(const TraceRequest& aRequest,
            const CallRecord& aRecord,
            const ClassTarget& aTarget);

/** Returns true if the response was complete by the class's deadline. */
bool
MeetsDeadline(const CallRecord& aRecord, const ClassTarget& aTarget);

} // namespace trefoilload
