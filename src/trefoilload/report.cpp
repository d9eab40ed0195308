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
IsBroken(CallOutcome aOutcome)
{
  return aOutcome != CallOutcome::Whole && aOutcome != CallOutcome::Refused;
}

/** Times of one class, to take the quantiles from. */
struct ClassTimes
{
  std::vector<int64_t> mFirsts;
  std::vector<int64_t> mGaps;
};

void
Add(ClassReport& aReport,
    ClassTimes& aTimes,
    const TraceRequest& aRequest,
    const CallRecord& aRecord,
    const ClassTarget& aTarget)
{
  ++aReport.mSent;
  aReport.mRefused += aRecord.mOutcome == CallOutcome::Refused ? 1 : 0;
  aReport.mBroken += IsBroken(aRecord.mOutcome) ? 1 : 0;
  if (aRecord.mOutcome != CallOutcome::Whole) {
    return;
  }
  ++aReport.mWhole;
  aReport.mAttained += MeetsTarget(aRequest, aRecord, aTarget) ? 1 : 0;
  if (MeetsDeadline(aRecord, aTarget)) {
    ++aReport.mInTime;
    aReport.mTokensInTime += aRecord.mTokens;
  }
  if (aRequest.mStream || !aRequest.mService.empty()) {
    aTimes.mFirsts.push_back(aRecord.mFirst - aRecord.mSent);
  }
  if (aRequest.mStream) {
    aTimes.mGaps.push_back(aRecord.mLongestGap);
  }
}

ClassReport
Totals(const std::vector<ClassReport>& aClasses)
{
  ClassReport total;
  total.mName = "all";
  for (const ClassReport& item : aClasses) {
    total.mSent += item.mSent;
    total.mWhole += item.mWhole;
    total.mRefused += item.mRefused;
    total.mBroken += item.mBroken;
    total.mAttained += item.mAttained;
    total.mInTime += item.mInTime;
    total.mTokensInTime += item.mTokensInTime;
  }
  return total;
}

void
WriteRow(std::ostream& aOut, const ClassReport& aRow)
{
  constexpr double kPercent = 100;
  aOut << std::left << std::setw(16) << aRow.mName << std::right << std::setw(6)
       << aRow.mSent << std::setw(7) << aRow.mWhole << std::setw(9)
       << aRow.mRefused << std::setw(8) << aRow.mBroken << std::setw(12)
       << std::fixed << std::setprecision(1) << aRow.Attainment() * kPercent
       << '%' << std::setw(9) << aRow.mInTime;
  if (aRow.mFirstP99 != 0) {
    aOut << std::setw(10) << aRow.mFirstP50 << std::setw(10) << aRow.mFirstP99
         << std::setw(8) << aRow.mGapP99;
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
       << "told not run, but run: " << aReport.mRanThoughTold << '\n';
}

} // namespace

double
ClassReport::Attainment() const
{
  return mSent == 0
           ? 1
           : static_cast<double>(mAttained) / static_cast<double>(mSent);
}

bool
RunReport::Sound() const
{
  const bool honest = !mExecutions || (mExecutions->mRunTwice == 0 &&
                                       mExecutions->mRanThoughTold == 0);
  return honest && std::ranges::all_of(mClasses, [](const ClassReport& aClass) {
           return aClass.mBroken == 0;
         });
}

RunReport
MakeReport(const Trace& aTrace,
           const std::vector<CallRecord>& aRecords,
           const ClassTargets& aTargets)
{
  constexpr double kMedian = 0.5;
  constexpr double kHigh = 0.99;
  constexpr double kMillisPerSecond = 1000;
  std::map<std::string, ClassReport> reports;
  std::map<std::string, ClassTimes> times;
  RunReport run;
  for (size_t i = 0; i < aRecords.size(); ++i) {
    const TraceRequest& request = aTrace.mRequests[i];
    const CallRecord& record = aRecords[i];
    const auto target = aTargets.find(request.mClass);
    Add(reports[request.mClass],
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
    report.mFirstP50 = Quantile(times[name].mFirsts, kMedian);
    report.mFirstP99 = Quantile(times[name].mFirsts, kHigh);
    report.mGapP99 = Quantile(times[name].mGaps, kHigh);
    run.mClasses.push_back(report);
  }
  return run;
}

std::string
TableOf(const RunReport& aReport)
{
  std::ostringstream out;
  out << "class             sent  whole  refused  broken  attainment  in time"
         " first p50 first p99 gap p99\n";
  for (const ClassReport& row : aReport.mClasses) {
    WriteRow(out, row);
  }
  const ClassReport all = Totals(aReport.mClasses);
  WriteRow(out, all);
  const double seconds = std::max(aReport.mSeconds, 0.001);
  out << std::setprecision(1) << "goodput: " << all.mInTime << " of "
      << all.mSent << " answers whole and in time, "
      << static_cast<double>(all.mInTime) / seconds << " answers/s, "
      << static_cast<double>(all.mTokensInTime) / seconds << " tokens/s over "
      << seconds << " s\n";
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
JsonOf(const RunReport& aReport)
{
  json classes = json::array();
  for (const ClassReport& row : aReport.mClasses) {
    classes.push_back({ { "class", row.mName },
                        { "sent", row.mSent },
                        { "whole", row.mWhole },
                        { "refused", row.mRefused },
                        { "broken", row.mBroken },
                        { "attainment", row.Attainment() },
                        { "in_time", row.mInTime },
                        { "tokens_in_time", row.mTokensInTime },
                        { "first_token_p50_ms", row.mFirstP50 },
                        { "first_token_p99_ms", row.mFirstP99 },
                        { "longest_gap_p99_ms", row.mGapP99 } });
  }
  json report = { { "classes", classes },
                  { "refusals", aReport.mRefusals },
                  { "outcomes", aReport.mOutcomes },
                  { "seconds", aReport.mSeconds },
                  { "sound", aReport.Sound() } };
  if (aReport.mExecutions) {
    report["executions"] = {
      { "engine_tokens", aReport.mExecutions->mEngineTokens },
      { "wasted_tokens", aReport.mExecutions->mWastedTokens },
      { "run_twice", aReport.mExecutions->mRunTwice },
      { "ran_though_told", aReport.mExecutions->mRanThoughTold }
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
