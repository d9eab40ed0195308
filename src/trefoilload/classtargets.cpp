#include "classtargets.h"

#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace trefoilload {

using nlohmann::json;

ClassTargets
ReadClassTargets(const std::string& aPolicyFile)
{
  std::ifstream file(aPolicyFile);
  const json policy = json::parse(file, nullptr, false);
  if (!policy.is_object()) {
    throw std::runtime_error(aPolicyFile + " is not a policy");
  }
  ClassTargets targets;
  for (const json& item : policy.value("classes", json::array())) {
    ClassTarget target;
    target.mFirstToken = item.value("first_token_ms", target.mFirstToken);
    target.mBetweenTokens =
      item.value("between_token_ms", target.mBetweenTokens);
    target.mDeadline = item.value("deadline_ms", target.mDeadline);
    targets[item.value("name", "")] = target;
  }
  return targets;
}

bool
MeetsTarget(const TraceRequest& aRequest,
            const CallRecord& aRecord,
            const ClassTarget& aTarget)
{
  if (aRecord.mOutcome != CallOutcome::Complete) {
    return false;
  }
  const int64_t first = aRecord.mFirst - aRecord.mSent;
  if (!aRequest.mService.empty()) {
    return first <= aTarget.mFirstToken;
  }
  const auto gaps = static_cast<int64_t>(aRecord.mTokens) - 1;
  const int64_t allGaps = aTarget.mBetweenTokens * gaps;
  if (!aRequest.mStream) {
    return aRecord.mEnded - aRecord.mSent <= aTarget.mFirstToken + allGaps;
  }
  return first <= aTarget.mFirstToken &&
         aRecord.mEnded - aRecord.mFirst <= allGaps + aTarget.mBetweenTokens;
}

bool
MeetsDeadline(const CallRecord& aRecord, const ClassTarget& aTarget)
{
  return aRecord.mOutcome == CallOutcome::Complete &&
         aRecord.mEnded - aRecord.mSent <= aTarget.mDeadline;
}

} // namespace trefoilload
