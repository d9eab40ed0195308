#include "verdict.h"

#include "fleet.h"

namespace integration {

using trefoilload::CallOutcome;
using trefoilload::CallRecord;

namespace {

std::string
FindOutcomeViolation(const CallRecord& aRecord,
                     size_t aRuns,
                     const Promise& aPromise)
{
  switch (aRecord.mOutcome) {
    case CallOutcome::Open:
      return "never ended";
    case CallOutcome::Wrong:
      return "wrong response";
    case CallOutcome::Unanswered:
      return aPromise.mEntryMayDie ? ""
                                   : "connection closed without a response";
    case CallOutcome::Complete:
      return aRuns == 0 ? "complete response without an execution" : "";
    case CallOutcome::Refused:
      return aRuns != 0 ? "reported as not run, but run" : "";
    case CallOutcome::Failed:
      return aRecord.mRan == "no" && aRuns != 0 ? "reported as not run, but run"
                                                : "";
  }
  return "";
}

} // namespace

std::string
FindViolation(const Fleet& aFleet, const OpenCall& aCall, Promise aPromise)
{
  const CallRecord record = aCall.AwaitEnd();
  const size_t runs = aFleet.RunsOf(aCall.Mark());
  std::string violation = FindOutcomeViolation(record, runs, aPromise);
  if (violation.empty() && !aPromise.mIdempotent && runs > 1) {
    violation = "not idempotent, but run more than once";
  }
  if (violation.empty()) {
    return "";
  }
  return aCall.Mark() + ": " + violation + " (" + Name(record.mOutcome) +
         ", status " + std::to_string(record.mStatus) + ", kind " +
         record.mKind + ", ran " + record.mRan + ", " + std::to_string(runs) +
         " runs)";
}

} // namespace integration
