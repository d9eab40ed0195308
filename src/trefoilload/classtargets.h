#pragma once

#include "callrecord.h"
#include "trace.h"

#include <cstdint>
#include <map>
#include <string>

namespace trefoilload {

/** What a class is owed, from the policy; milliseconds. */
struct ClassTarget
{
  int64_t mFirstToken = 1000;
  int64_t mBetweenTokens = 100;
  int64_t mDeadline = 60000;

  bool operator==(const ClassTarget&) const = default;
};

using ClassTargets = std::map<std::string, ClassTarget>;

/**
 * Reads the classes of a policy file as `trefoilarchctl policy set` takes it.
 * Throws std::runtime_error where it cannot.
 */
ClassTargets
ReadClassTargets(const std::string& aPolicyFile);

/**
 * Whether an answer met its class's latency target. A stream: its first token
 * in time and the mean time between tokens within the target. A whole answer:
 * by the time a stream would have ended. A service call: by the first-token
 * target.
 */
bool
MeetsTarget(const TraceRequest& aRequest,
            const CallRecord& aRecord,
            const ClassTarget& aTarget);

/** Whether the whole answer came by the class's deadline. */
bool
MeetsDeadline(const CallRecord& aRecord, const ClassTarget& aTarget);

} // namespace trefoilload
