#include "verdict.h"

#include "fleet.h"

namespace integration {

using trefoilload::CallOutcome;
using trefoilload::CallRecord;

namespace {

std::string
BrokenEnd(const CallRecord& aRecord, size_t aRuns, const Promise& aPromise)
{
  switch (aRecord.mOutcome) {
    case CallOutcome::Open:
      return "never ended";
    case CallOutcome::Wrong:
      return "a wrong answer";
    case CallOutcome::Unanswered:
      return aPromise.mEntryMayDie ? "" : "cut without a word";
    case CallOutcome::Complete:
      return aRuns == 0 ? "answered without a run" : "";
    case CallOutcome::Refused:
      return aRuns != 0 ? "told not run, but run" : "";
    case CallOutcome::Failed:
      return aRecord.mRan == "no" && aRuns != 0 ? "told not run, but run" : "";
  }
  return "";
}

} // namespace

std::string
FindViolation(const Fleet& aFleet, const OpenCall& aCall, Promise aPromise)
{
  const CallRecord record = aCall.AwaitEnd();
  const size_t runs = aFleet.RunsOf(aCall.Mark());
  std::string broken = BrokenEnd(record, runs, aPromise);
  if (broken.empty() && !aPromise.mIdempotent && runs > 1) {
    broken = "not idempotent, but run more than once";
  }
  if (broken.empty()) {
    return "";
  }
  return aCall.Mark() + ": " + broken + " (" + Name(record.mOutcome) +
         ", status " + std::to_string(record.mStatus) + ", kind " +
         record.mKind + ", ran " + record.mRan + ", " + std::to_string(runs) +
         " runs)";
}

} // namespace integration
