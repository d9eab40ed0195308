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

/** What became of one class's requests. */
struct ClassReport
{
  std::string mName;
  size_t mSent = 0;
  size_t mWhole = 0;
  size_t mRefused = 0;
  size_t mBroken = 0;   /**< accepted, but not answered whole */
  size_t mAttained = 0; /**< met the class's latency target */
  size_t mInTime = 0;   /**< whole by the class's deadline */
  uint64_t mTokensInTime = 0;
  int64_t mFirstP50 = 0; /**< milliseconds */
  int64_t mFirstP99 = 0;
  int64_t mGapP99 = 0; /**< longest time between tokens, of each answer */

  /** Share of all that was sent. */
  double Attainment() const;
};

/** The outcome of a run. */
struct RunReport
{
  std::vector<ClassReport> mClasses;
  std::map<std::string, size_t> mRefusals; /**< by kind and `ran` */
  std::map<std::string, size_t> mOutcomes;
  double mSeconds = 0;
  std::optional<ExecutionReport> mExecutions;

  /**
   * Every accepted request answered whole, none run against its caller's word
   * or ours.
   */
  bool Sound() const;
};

RunReport
MakeReport(const Trace& aTrace,
           const std::vector<CallRecord>& aRecords,
           const ClassTargets& aTargets);

/** The report as a table for people. */
std::string
TableOf(const RunReport& aReport);

nlohmann::json
JsonOf(const RunReport& aReport);

/** The classes whose attainment is below what was expected, in words. */
std::vector<std::string>
MissedExpectations(const RunReport& aReport,
                   const std::map<std::string, std::string>& aExpected);

} // namespace trefoilload
