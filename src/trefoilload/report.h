#pragma once

#include "callrecord.h"
#include "classtargets.h"
#include "executions.h"
#include "trace.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

namespace trefoilload {

/** Results of one class's requests. */
struct ClassReport
{
  std::string mName;
  size_t mSent = 0;
  size_t mCompleted = 0;
  size_t mRefused = 0;
  size_t mFailed = 0;      /**< accepted, but no complete response */
  size_t mMetTarget = 0;   /**< met the class's latency target */
  size_t mMetDeadline = 0; /**< complete by the class's deadline */
  uint64_t mTokensByDeadline = 0;
  int64_t mFirstTokenP50 = 0; /**< milliseconds */
  int64_t mFirstTokenP99 = 0;
  int64_t mMaxGapP99 = 0; /**< of each response's longest token gap */

  /** Fraction of the sent requests that met the target. */
  double Attainment() const;
};

/** Results of a run. */
struct RunReport
{
  std::vector<ClassReport> mClasses;
  std::map<std::string, size_t> mRefusals; /**< by kind and `ran` */
  std::map<std::string, size_t> mOutcomes;
  double mSeconds = 0;
  std::optional<ExecutionReport> mExecutions;

  /**
   * Returns true if every accepted request got a complete response, and none
   * ran twice against its caller's intent or after `ran: no` was reported.
   */
  bool Passed() const;
};

RunReport
MakeReport(const Trace& aTrace,
           const std::vector<CallRecord>& aRecords,
           const ClassTargets& aTargets);

/** Formats the report as a readable table. */
std::string
FormatTable(const RunReport& aReport);

nlohmann::json
ReportToJson(const RunReport& aReport);

/** Describes each class whose attainment is below the expected value. */
std::vector<std::string>
MissedExpectations(const RunReport& aReport,
                   const std::map<std::string, std::string>& aExpected);

} // namespace trefoilload
