#include "report.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

namespace trefoilload {

using nlohmann::json;

namespace {

int64_t
Quantile(std::vector<int64_t> aValues, double aShare)
{
  if (aValues.empty()) {
    return 0;
  }
  std::ranges::sort(aValues);
  const double last = static_cast<double>(aValues.size() - 1);
  return aValues[static_cast<size_t>(std::lround(last * aShare))];
}

bool
IsFailure(CallOutcome aOutcome)
{
  return aOutcome != CallOutcome::Complete && aOutcome != CallOutcome::Refused;
}

/** Samples of one class for the quantiles. */
struct ClassTimes
{
  std::vector<int64_t> mFirstTokenTimes;
  std::vector<int64_t> mMaxGaps;
};

void
AddRecord(ClassReport& aReport,
          ClassTimes& aTimes,
          const TraceRequest& aRequest,
          const CallRecord& aRecord,
          const ClassTarget& aTarget)
{
  ++aReport.mSent;
  aReport.mRefused += aRecord.mOutcome == CallOutcome::Refused ? 1 : 0;
  aReport.mFailed += IsFailure(aRecord.mOutcome) ? 1 : 0;
  if (aRecord.mOutcome != CallOutcome::Complete) {
    return;
  }
  ++aReport.mCompleted;
  aReport.mMetTarget += MeetsTarget(aRequest, aRecord, aTarget) ? 1 : 0;
  if (MeetsDeadline(aRecord, aTarget)) {
    ++aReport.mMetDeadline;
    aReport.mTokensByDeadline += aRecord.mTokens;
  }
  if (aRequest.mStream || !aRequest.mService.empty()) {
    aTimes.mFirstTokenTimes.push_back(aRecord.mFirst - aRecord.mSent);
  }
  if (aRequest.mStream) {
    aTimes.mMaxGaps.push_back(aRecord.mMaxGap);
  }
}

ClassReport
SumClasses(const std::vector<ClassReport>& aClasses)
{
  ClassReport total;
  total.mName = "all";
  for (const ClassReport& item : aClasses) {
    total.mSent += item.mSent;
    total.mCompleted += item.mCompleted;
    total.mRefused += item.mRefused;
    total.mFailed += item.mFailed;
    total.mMetTarget += item.mMetTarget;
    total.mMetDeadline += item.mMetDeadline;
    total.mTokensByDeadline += item.mTokensByDeadline;
  }
  return total;
}

void
WriteRow(std::ostream& aOut, const ClassReport& aRow)
{
  constexpr double kPercent = 100;
  aOut << std::left << std::setw(16) << aRow.mName << std::right << std::setw(6)
       << aRow.mSent << std::setw(7) << aRow.mCompleted << std::setw(9)
       << aRow.mRefused << std::setw(8) << aRow.mFailed << std::setw(12)
       << std::fixed << std::setprecision(1) << aRow.Attainment() * kPercent
       << '%' << std::setw(9) << aRow.mMetDeadline;
  if (aRow.mFirstTokenP99 != 0) {
    aOut << std::setw(10) << aRow.mFirstTokenP50 << std::setw(10)
         << aRow.mFirstTokenP99 << std::setw(8) << aRow.mMaxGapP99;
  }
  aOut << '\n';
}

void
WriteExecutions(std::ostream& aOut, const ExecutionReport& aReport)
{
  constexpr double kPercent = 100;
  const double share = aReport.mEngineTokens == 0
                         ? 0
                         : static_cast<double>(aReport.mWastedTokens) /
                             static_cast<double>(aReport.mEngineTokens);
  aOut << "wasted work: " << aReport.mWastedTokens << " of "
       << aReport.mEngineTokens << " tokens generated (" << std::setprecision(2)
       << share * kPercent << "%)\n"
       << "not idempotent and run twice: " << aReport.mRunTwice << '\n'
       << "told not run, but run: " << aReport.mRanDespiteReport << '\n';
}

} // namespace

double
ClassReport::Attainment() const
{
  return mSent == 0
           ? 1
           : static_cast<double>(mMetTarget) / static_cast<double>(mSent);
}

bool
RunReport::Passed() const
{
  const bool noRunViolations =
    !mExecutions ||
    (mExecutions->mRunTwice == 0 && mExecutions->mRanDespiteReport == 0);
  return noRunViolations &&
         std::ranges::all_of(mClasses, [](const ClassReport& aClass) {
           return aClass.mFailed == 0;
         });
}

RunReport
MakeReport(const Trace& aTrace,
           const std::vector<CallRecord>& aRecords,
           const ClassTargets& aTargets)
{
  constexpr double kMedian = 0.5;
  constexpr double kP99 = 0.99;
  constexpr double kMillisPerSecond = 1000;
  std::map<std::string, ClassReport> reports;
  std::map<std::string, ClassTimes> times;
  RunReport run;
  for (size_t i = 0; i < aRecords.size(); ++i) {
    const TraceRequest& request = aTrace.mRequests[i];
    const CallRecord& record = aRecords[i];
    const auto target = aTargets.find(request.mClass);
    AddRecord(reports[request.mClass],
              times[request.mClass],
              request,
              record,
              target == aTargets.end() ? ClassTarget() : target->second);
    ++run.mOutcomes[Name(record.mOutcome)];
    if (!record.mKind.empty()) {
      std::string kind = record.mKind;
      kind.append(" (ran: ").append(record.mRan).append(")");
      ++run.mRefusals[kind];
    }
    run.mSeconds = std::max(
      run.mSeconds, static_cast<double>(record.mEnded) / kMillisPerSecond);
  }
  for (auto& [name, report] : reports) {
    report.mName = name;
    report.mFirstTokenP50 = Quantile(times[name].mFirstTokenTimes, kMedian);
    report.mFirstTokenP99 = Quantile(times[name].mFirstTokenTimes, kP99);
    report.mMaxGapP99 = Quantile(times[name].mMaxGaps, kP99);
    run.mClasses.push_back(report);
  }
  return run;
}

std::string
FormatTable(const RunReport& aReport)
{
  std::ostringstream out;
  out << "class             sent  whole  refused  broken  attainment  in time"
         " first p50 first p99 gap p99\n";
  for (const ClassReport& row : aReport.mClasses) {
    WriteRow(out, row);
  }
  const ClassReport all = SumClasses(aReport.mClasses);
  WriteRow(out, all);
  const double seconds = std::max(aReport.mSeconds, 0.001);
  out << std::setprecision(1) << "goodput: " << all.mMetDeadline << " of "
      << all.mSent << " answers whole and in time, "
      << static_cast<double>(all.mMetDeadline) / seconds << " answers/s, "
      << static_cast<double>(all.mTokensByDeadline) / seconds
      << " tokens/s over " << seconds << " s\n";
  if (aReport.mExecutions) {
    WriteExecutions(out, *aReport.mExecutions);
  }
  out << "refusals and errors by kind:"
      << (aReport.mRefusals.empty() ? " none" : "") << '\n';
  for (const auto& [kind, count] : aReport.mRefusals) {
    out << "  " << kind << ": " << count << '\n';
  }
  for (const auto& [outcome, count] : aReport.mOutcomes) {
    out << "outcome " << outcome << ": " << count << '\n';
  }
  return out.str();
}

json
ReportToJson(const RunReport& aReport)
{
  json classes = json::array();
  for (const ClassReport& row : aReport.mClasses) {
    classes.push_back({ { "class", row.mName },
                        { "sent", row.mSent },
                        { "whole", row.mCompleted },
                        { "refused", row.mRefused },
                        { "broken", row.mFailed },
                        { "attainment", row.Attainment() },
                        { "in_time", row.mMetDeadline },
                        { "tokens_in_time", row.mTokensByDeadline },
                        { "first_token_p50_ms", row.mFirstTokenP50 },
                        { "first_token_p99_ms", row.mFirstTokenP99 },
                        { "longest_gap_p99_ms", row.mMaxGapP99 } });
  }
  json report = { { "classes", classes },
                  { "refusals", aReport.mRefusals },
                  { "outcomes", aReport.mOutcomes },
                  { "seconds", aReport.mSeconds },
                  { "sound", aReport.Passed() } };
  if (aReport.mExecutions) {
    report["executions"] = {
      { "engine_tokens", aReport.mExecutions->mEngineTokens },
      { "wasted_tokens", aReport.mExecutions->mWastedTokens },
      { "run_twice", aReport.mExecutions->mRunTwice },
      { "ran_though_told", aReport.mExecutions->mRanDespiteReport }
    };
  }
  return report;
}

std::vector<std::string>
MissedExpectations(const RunReport& aReport,
                   const std::map<std::string, std::string>& aExpected)
{
  std::vector<std::string> missed;
  for (const auto& [name, share] : aExpected) {
    const auto found =
      std::ranges::find(aReport.mClasses, name, &ClassReport::mName);
    const double attained =
      found == aReport.mClasses.end() ? 0 : found->Attainment();
    if (attained < std::stod(share)) {
      std::ostringstream line;
      line << name << ": attainment " << attained << ", expected " << share;
      missed.push_back(line.str());
    }
  }
  return missed;
}

} // namespace trefoilload
