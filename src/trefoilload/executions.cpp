#include "executions.h"

#include "../libtrefoilio/httpclient.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace trefoilload {

using nlohmann::json;

namespace {

constexpr trefoilarch::Millis kFetchTimeout(10000);

/** Mark of an execution; for a service call, the last path segment. */
std::string
ExecutionMark(const json& aExecution)
{
  const std::string mark = aExecution.value("mark", "");
  return mark.substr(mark.rfind('/') + 1);
}

} // namespace

Executions
FetchExecutions(const std::vector<ExecutionSource>& aSources, int64_t aSince)
{
  Executions executions;
  for (const ExecutionSource& source : aSources) {
    const auto reply = trefoilio::SendHttp(
      { .mMethod = "GET", .mTarget = source.mUrl, .mHeaders = {}, .mBody = "" },
      kFetchTimeout);
    const json list =
      reply ? json::parse(reply->mBody, nullptr, false) : json();
    if (!list.is_array()) {
      throw std::runtime_error("no executions from " + source.mUrl);
    }
    for (const json& item : list) {
      if (item.value("started_ms", int64_t(0)) < aSince) {
        continue;
      }
      RequestExecutions& runs = executions[ExecutionMark(item)];
      ++runs.mRuns;
      runs.mTokens += item.value("tokens", uint64_t(0));
    }
  }
  return executions;
}

ExecutionReport
EvaluateExecutions(const Trace& aTrace,
                   const std::vector<CallRecord>& aRecords,
                   const Executions& aExecutions)
{
  ExecutionReport report;
  uint64_t received = 0;
  for (const auto& [id, runs] : aExecutions) {
    report.mEngineTokens += runs.mTokens;
  }
  for (size_t i = 0; i < aRecords.size(); ++i) {
    const CallRecord& record = aRecords[i];
    const auto found = aExecutions.find(record.mMark);
    if (found == aExecutions.end()) {
      continue;
    }
    if (record.mOutcome == CallOutcome::Complete) {
      received += std::min<uint64_t>(record.mTokens, found->second.mTokens);
    }
    const bool mayRepeat = aTrace.mRequests[i].mIdempotent;
    report.mRunTwice += !mayRepeat && found->second.mRuns > 1 ? 1 : 0;
    report.mRanDespiteReport += record.mRan == "no" ? 1 : 0;
  }
  report.mWastedTokens = report.mEngineTokens - received;
  return report;
}

} // namespace trefoilload
