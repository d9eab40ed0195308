#include "soakrun.h"

#include <algorithm>
#include <map>

namespace soak {

using nlohmann::json;

namespace {

/** Size of the body of a successful plain response of the worker. */
constexpr int kBodyBytes = 100;

/** How long after the time limit a response may come, the time limit, and how
 * long a gate may take to recover after a fault of its own. */
constexpr int64_t kLatenessToleranceMs = 1200;
constexpr int64_t kTimeLimitMs = 2500;
constexpr int64_t kRecoveryMs = 3000;

bool
Overlaps(const std::vector<FaultInterval>& aIntervals,
         size_t aGate,
         int64_t aFrom,
         int64_t aTo)
{
  return std::any_of(
    aIntervals.begin(), aIntervals.end(), [&](const FaultInterval& aInterval) {
      return aInterval.mGate == aGate && aInterval.mStartedAt <= aTo &&
             aInterval.mEndsAt + kRecoveryMs >= aFrom;
    });
}

/** Time after which all gates obey a reported rate limit. */
constexpr int64_t kLimitPropagationMs = 3000;

/** Whether the gate and the store had no fault in that interval. */
bool
HasNoFault(const std::vector<FaultInterval>& aIntervals,
           size_t aGate,
           int64_t aFrom,
           int64_t aTo)
{
  return std::none_of(
    aIntervals.begin(), aIntervals.end(), [&](const FaultInterval& aInterval) {
      const bool concerns =
        aInterval.mGate == aGate ||
        (aInterval.mGate == SIZE_MAX && aInterval.mWorker == SIZE_MAX);
      return concerns && aInterval.mStartedAt <= aTo &&
             aInterval.mEndsAt + kRecoveryMs >= aFrom;
    });
}

/** Ids of the runs at the interval's worker that came more than aAfter after
 * its start and before its end, through gates without a fault of their own or
 * of the store. */
std::vector<std::string>
RunsWithin(const FaultInterval& aInterval,
           int64_t aAfter,
           const std::vector<json>& aRuns,
           const std::map<std::string, size_t>& aGates,
           const std::vector<FaultInterval>& aIntervals)
{
  std::vector<std::string> ids;
  for (const json& run : aRuns) {
    const auto at = run.at("at_ms").get<int64_t>();
    const std::string id = run.at("id");
    const auto gate = aGates.find(id);
    const bool within = run.at("worker") == aInterval.mWorker &&
                        at > aInterval.mStartedAt + aAfter &&
                        at < aInterval.mEndsAt;
    if (within && gate != aGates.end() &&
        HasNoFault(aIntervals, gate->second, aInterval.mStartedAt, at)) {
      ids.push_back(id);
    }
  }
  return ids;
}

/** Checks the runs at workers that leave, are unlisted or report a limit. */
void
CheckWorkers(const std::vector<SoakRecord>& aRecords,
             const std::vector<json>& aRuns,
             const std::vector<FaultInterval>& aIntervals,
             std::vector<std::string>& aViolations)
{
  std::map<std::string, size_t> gates;
  for (const SoakRecord& record : aRecords) {
    gates[record.mId] = record.mGate;
  }
  for (const FaultInterval& interval : aIntervals) {
    if (interval.mFaultName == kWorkerLeaves ||
        interval.mFaultName == kWorkerUnlisted) {
      for (const std::string& id :
           RunsWithin(interval, kDrainMs, aRuns, gates, aIntervals)) {
        aViolations.push_back(
          "a leaving or unlisted upstream received a request: " + id);
      }
    }
    if (interval.mFaultName == kWorkerLimits) {
      const size_t runs =
        RunsWithin(interval, kLimitPropagationMs, aRuns, gates, aIntervals)
          .size();
      const int64_t millis =
        interval.mEndsAt - interval.mStartedAt - kLimitPropagationMs;
      const int64_t allowed =
        std::max<int64_t>(0, millis) * kReportedLimit * 3 / 2000 + 5;
      if (static_cast<int64_t>(runs) > allowed) {
        aViolations.push_back(
          "a reported rate limit was exceeded: " + std::to_string(runs) +
          " runs in " + std::to_string(millis) + " ms");
      }
    }
  }
}

/** Collects violations, each with the request that shows it. */
class Checker
{
public:
  Checker(std::vector<std::string>& aViolations, const SoakRecord& aRecord)
    : mViolations(aViolations)
    , mRecord(aRecord)
  {
  }

  void Expect(bool aHolds, const char* aProperty) const
  {
    if (!aHolds) {
      mViolations.push_back(std::string(aProperty) + ": " + mRecord.mId + " (" +
                            mRecord.mPlan + ", " + mRecord.mKind + ", status " +
                            std::to_string(mRecord.mStatus) + ", gate " +
                            std::to_string(mRecord.mGate) + ", sent at " +
                            std::to_string(mRecord.mSentAt) + ")");
    }
  }

private:
  std::vector<std::string>& mViolations;
  const SoakRecord& mRecord;
};

void
CheckStream(const Checker& aChecker, const SoakRecord& aRecord)
{
  int next = aRecord.mLastEvent + 1;
  for (const int event : aRecord.mEvents) {
    aChecker.Expect(event == next,
                    "a stream must have no missing or repeated event");
    next = event + 1;
  }
  const bool all =
    static_cast<int>(aRecord.mEvents.size()) + aRecord.mLastEvent ==
    aRecord.mEventsDue;
  aChecker.Expect(!aRecord.mComplete || all,
                  "a truncated stream must not look complete");
  aChecker.Expect(!aRecord.mEndsInsideEvent,
                  "a stream cut inside an event must not end regularly");
}

} // namespace

std::vector<std::string>
CheckSoak(const std::vector<SoakRecord>& aRecords,
          const std::vector<json>& aRuns,
          const std::vector<json>& aRefusals,
          const std::vector<FaultInterval>& aIntervals,
          const std::vector<Revocation>& aRevoked,
          int aRevokeMs)
{
  std::vector<std::string> violations;
  CheckWorkers(aRecords, aRuns, aIntervals, violations);
  CheckStatements(aRecords, aRuns, aRefusals, aIntervals, violations);
  CheckVersions(aRecords, aRuns, violations);
  std::map<std::string, std::vector<const json*>> runs;
  for (const json& run : aRuns) {
    runs[run.at("id")].push_back(&run);
  }
  std::map<std::string, int64_t> revoked;
  for (const Revocation& each : aRevoked) {
    revoked[each.mKey] = each.mAt;
  }
  for (const SoakRecord& record : aRecords) {
    const Checker checker(violations, record);
    const auto place = runs.find(record.mId);
    const std::vector<const json*> requestRuns =
      place == runs.end() ? std::vector<const json*>{} : place->second;
    runs.erase(record.mId);
    const bool refused = record.mStatus == 429 || record.mStatus == 503;
    const bool streams = record.mKind == "stream" || record.mKind == "resume";
    const auto copies = std::count_if(
      requestRuns.begin(), requestRuns.end(), [](const json* aRun) {
        return aRun->at("headers").contains("Kv-From");
      });
    if (record.mKind == "once" || record.mKind == "stream") {
      checker.Expect(requestRuns.size() <= 1U + static_cast<size_t>(copies),
                     "a request that may run once must run at most once");
      checker.Expect(copies <= 1, "a copy must be used at most once");
    } else {
      checker.Expect(requestRuns.size() <= 3U + static_cast<size_t>(copies),
                     "attempts must not exceed the maximum");
    }
    checker.Expect(!refused || requestRuns.empty(),
                   "a request reported as not run must not have run");
    checker.Expect(!refused || record.mHasRetryAfter,
                   "a refusal must state a retry time");
    const bool unframedByUpstream =
      record.mPlan.starts_with("no_length") ||
      record.mPlan.find("framing=close") != std::string::npos;
    checker.Expect(record.mStatus != 200 || !unframedByUpstream ||
                     record.mUnframed,
                   "an unframed answer must not be framed anew");
    checker.Expect(record.mStatus != 200 || record.mSealed,
                   "a successful response must have the upstream's seal");
    if (record.mStatus == 200 && streams) {
      CheckStream(checker, record);
    } else if (record.mStatus == 200 && record.mComplete) {
      checker.Expect(record.mSize == kBodyBytes, "a response must be complete");
    }
    const auto revocation = revoked.find(record.mKey);
    if (revocation != revoked.end() &&
        record.mSentAt > revocation->second + aRevokeMs) {
      checker.Expect(requestRuns.empty(),
                     "a revoked key must not run requests");
    }
    const bool calm = !Overlaps(
      aIntervals, record.mGate, record.mSentAt - kRecoveryMs, record.mEndedAt);
    checker.Expect(!calm || record.mEndedAt - record.mSentAt <
                              kTimeLimitMs + kLatenessToleranceMs,
                   "a response must arrive by the time limit");
    checker.Expect(!calm || record.mStatus != 0,
                   "every request must get a response");
    checker.Expect(record.mStatus != 400 && record.mStatus != 404,
                   "a valid request must not be rejected as invalid");
    for (const json* run : requestRuns) {
      checker.Expect(run->at("headers").value("X-Tenant", "") == "desk",
                     "the workspace must be that of the key");
      checker.Expect(!run->at("headers").contains("X-Credential"),
                     "the key must not be sent to the worker");
    }
  }
  for (const auto& [id, others] : runs) {
    violations.push_back("a run without a request: " + id);
  }
  return violations;
}

} // namespace soak
