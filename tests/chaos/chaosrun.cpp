#include "chaosrun.h"

#include "integration/verdict.h"

#include "libtrefoilio/systemclock.h"

#include <algorithm>
#include <chrono>
#include <thread>

namespace chaos {

using integration::Fault;
using integration::FleetOptions;
using integration::OpenCall;
using trefoilload::CallOutcome;
using trefoilload::CallRecord;

namespace {

constexpr size_t kEngines = 3;
constexpr size_t kEntries = 2;
constexpr size_t kMaxActiveFaults = 2;
constexpr std::chrono::milliseconds kRequestInterval(40);
const trefoilio::HttpHeaders kDeadline = { { "X-Trefoilarch-Deadline-Ms",
                                             "8000" } };

int64_t
Now()
{
  return trefoilio::MonotonicNow().Count();
}

FleetOptions
FleetOptionsForChaos()
{
  return { .mEngines = kEngines,
           .mServices = 1,
           .mEntries = kEntries,
           .mProxyChannels = true,
           .mProxyUpstreams = true,
           .mSidecarFlags = { "--most-running", "4" } };
}

std::vector<Fault>
Faults()
{
  std::vector<Fault> faults = integration::AllFaults();
  for (Fault& fault : integration::OrderedFaults()) {
    faults.push_back(std::move(fault));
  }
  return faults;
}

} // namespace

ChaosRun::ChaosRun(ChaosOptions aOptions)
  : mOptions(aOptions)
  , mRandom(aOptions.mSeed)
  , mFaults(Faults())
  , mFleet(FleetOptionsForChaos())
{
}

ChaosReport
ChaosRun::Run()
{
  constexpr int64_t kMillisPerSecond = 1000;
  const int64_t end = Now() + mOptions.mSeconds * kMillisPerSecond;
  while (Now() < end) {
    SendRequest();
    if (RandomBelow(20) == 0) {
      AbandonCall();
    }
    if (mActive.size() < kMaxActiveFaults && RandomBelow(10) == 0) {
      InjectFault();
    }
    UndoDueFaults(Now());
    std::this_thread::sleep_for(kRequestInterval);
  }
  UndoDueFaults(end * 2);
  CheckCalls();
  return std::move(mReport);
}

void
ChaosRun::SendRequest()
{
  constexpr size_t kTokenRange = 120;
  const bool idempotent = RandomBelow(2) == 0;
  const bool stream = RandomBelow(3) != 0;
  const bool booking = !idempotent && RandomBelow(5) == 0;
  const size_t tokens = 5 + RandomBelow(kTokenRange);
  const char* name = RandomBelow(2) == 0 ? "mid-call" : "drafting";
  auto request = booking      ? integration::BookingRequest()
                 : idempotent ? integration::ChatRequest(name, tokens, stream)
                              : integration::OnceRequest(name, 40, false);
  std::string mark = ChooseMark(idempotent);
  if (booking) {
    mark = "b" + mark;
  }
  SentCall call;
  call.mEntry = RandomBelow(kEntries);
  call.mSentAt = Now();
  call.mIdempotent = idempotent;
  call.mCall = mFleet.SendMarked(request, mark, call.mEntry, kDeadline);
  mCalls.push_back(std::move(call));
  ++mReport.mRequests;
}

std::string
ChaosRun::ChooseMark(bool aIdempotent)
{
  if (!aIdempotent && !mKeys.empty() && RandomBelow(4) == 0) {
    ++mReport.mRepeatedKeys;
    return mKeys[mKeys.size() - 1 -
                 RandomBelow(std::min<size_t>(mKeys.size(), 20))];
  }
  std::string mark = "chaos" + std::to_string(mCalls.size());
  if (!aIdempotent) {
    mKeys.push_back(mark);
  }
  return mark;
}

void
ChaosRun::AbandonCall()
{
  SentCall& call = mCalls[mCalls.size() - 1 -
                          RandomBelow(std::min<size_t>(mCalls.size(), 10))];
  if (!call.mCall->HasEnded()) {
    call.mCall->Leave();
    call.mCallerLeft = true;
    ++mReport.mCallersLeft;
  }
}

bool
ChaosRun::IsTargeted(const Fault& aFault, size_t aTarget) const
{
  return std::ranges::any_of(mActive, [&](const ActiveFault& aActive) {
    return aActive.mFault.mTargetsEntry == aFault.mTargetsEntry &&
           aActive.mTarget == aTarget;
  });
}

void
ChaosRun::InjectFault()
{
  constexpr int64_t kMinDurationMs = 200;
  constexpr size_t kDurationRangeMs = 3000;
  const Fault& fault = mFaults[RandomBelow(mFaults.size())];
  const size_t target = RandomBelow(fault.mTargetsEntry ? kEntries : kEngines);
  if (IsTargeted(fault, target)) {
    return;
  }
  if (fault.mEntryDies) {
    mKillTimes[target].push_back(Now());
  }
  fault.mInject(mFleet, target);
  ++mReport.mFaults[fault.mName];
  mActive.push_back(
    { .mFault = fault,
      .mTarget = target,
      .mUndoAt = Now() + kMinDurationMs +
                 static_cast<int64_t>(RandomBelow(kDurationRangeMs)) });
}

void
ChaosRun::UndoDueFaults(int64_t aNow)
{
  for (auto active = mActive.begin(); active != mActive.end();) {
    if (active->mUndoAt > aNow) {
      ++active;
      continue;
    }
    active->mFault.mUndo(mFleet, active->mTarget);
    active = mActive.erase(active);
  }
}

bool
ChaosRun::EntryDiedDuring(const SentCall& aCall) const
{
  const auto killTimes = mKillTimes.find(aCall.mEntry);
  if (killTimes == mKillTimes.end()) {
    return false;
  }
  // Callers can't connect to a killed entry until it is restarted.
  constexpr int64_t kMaxRestartMs = 6000;
  const int64_t ended = aCall.mCall->Record().mEnded;
  return std::ranges::any_of(killTimes->second, [&](int64_t aKillTime) {
    return aKillTime <= ended && aCall.mSentAt <= aKillTime + kMaxRestartMs;
  });
}

void
ChaosRun::CheckCalls()
{
  std::map<std::string, std::vector<const SentCall*>> groups;
  for (const SentCall& call : mCalls) {
    if (!call.mCallerLeft) {
      call.mCall->AwaitEnd();
      ++mReport.mOutcomes[Name(call.mCall->Record().mOutcome)];
    }
    groups[call.mCall->Mark()].push_back(&call);
  }
  for (const auto& [mark, calls] : groups) {
    CheckGroup(mark, calls);
  }
}

void
ChaosRun::CheckGroup(const std::string& aMark,
                     const std::vector<const SentCall*>& aCalls)
{
  const size_t runs = mFleet.RunsOf(aMark);
  bool allReportedNotRun = true;
  for (const SentCall* call : aCalls) {
    if (call->mCallerLeft) {
      allReportedNotRun = false;
      continue;
    }
    const CallRecord record = call->mCall->Record();
    allReportedNotRun = allReportedNotRun && record.mRan == "no";
    const bool repeated = aCalls.size() > 1;
    if (repeated && record.mOutcome == CallOutcome::Refused) {
      continue;
    }
    const std::string violation =
      integration::FindViolation(mFleet,
                                 *call->mCall,
                                 { .mIdempotent = call->mIdempotent,
                                   .mEntryMayDie = EntryDiedDuring(*call) });
    if (!violation.empty()) {
      mReport.mViolations.push_back(violation);
    }
  }
  if (!aCalls.front()->mIdempotent && runs > 1) {
    mReport.mViolations.push_back(aMark + ": " + std::to_string(runs) +
                                  " runs");
  }
  if (allReportedNotRun && runs != 0) {
    mReport.mViolations.push_back(
      aMark + ": all calls were reported not run, but the request ran");
  }
}

} // namespace chaos
