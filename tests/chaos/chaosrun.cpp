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
constexpr size_t kMostFaults = 2;
constexpr std::chrono::milliseconds kBetweenRequests(40);
const trefoilio::HttpHeaders kDeadline = { { "X-Trefoilarch-Deadline-Ms",
                                             "8000" } };

int64_t
Now()
{
  return trefoilio::MonotonicNow().Count();
}

FleetOptions
ChaosFleet()
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
  , mFleet(ChaosFleet())
{
}

ChaosReport
ChaosRun::Go()
{
  constexpr int64_t kMillisPerSecond = 1000;
  const int64_t end = Now() + mOptions.mSeconds * kMillisPerSecond;
  while (Now() < end) {
    SendOne();
    if (Draw(20) == 0) {
      LeaveOne();
    }
    if (mActive.size() < kMostFaults && Draw(10) == 0) {
      StrikeOne();
    }
    HealDue(Now());
    std::this_thread::sleep_for(kBetweenRequests);
  }
  HealDue(end * 2);
  Judge();
  return std::move(mReport);
}

void
ChaosRun::SendOne()
{
  constexpr size_t kLongest = 120;
  const bool idempotent = Draw(2) == 0;
  const bool stream = Draw(3) != 0;
  const bool booking = !idempotent && Draw(5) == 0;
  const size_t tokens = 5 + Draw(kLongest);
  const char* name = Draw(2) == 0 ? "mid-call" : "drafting";
  auto request = booking      ? integration::BookingRequest()
                 : idempotent ? integration::ChatRequest(name, tokens, stream)
                              : integration::OnceRequest(name, 40, false);
  std::string mark = DrawMark(idempotent);
  if (booking) {
    mark = "b" + mark;
  }
  SentCall call;
  call.mEntry = Draw(kEntries);
  call.mSent = Now();
  call.mIdempotent = idempotent;
  call.mCall = mFleet.SendMarked(request, mark, call.mEntry, kDeadline);
  mCalls.push_back(std::move(call));
  ++mReport.mRequests;
}

std::string
ChaosRun::DrawMark(bool aIdempotent)
{
  if (!aIdempotent && !mKeys.empty() && Draw(4) == 0) {
    ++mReport.mRepeats;
    return mKeys[mKeys.size() - 1 - Draw(std::min<size_t>(mKeys.size(), 20))];
  }
  std::string mark = "chaos" + std::to_string(mCalls.size());
  if (!aIdempotent) {
    mKeys.push_back(mark);
  }
  return mark;
}

void
ChaosRun::LeaveOne()
{
  SentCall& call =
    mCalls[mCalls.size() - 1 - Draw(std::min<size_t>(mCalls.size(), 10))];
  if (!call.mCall->HasEnded()) {
    call.mCall->Leave();
    call.mLeft = true;
    ++mReport.mLeft;
  }
}

bool
ChaosRun::Struck(const Fault& aFault, size_t aWhich) const
{
  return std::ranges::any_of(mActive, [&](const ActiveFault& aActive) {
    return aActive.mFault.mOfEntry == aFault.mOfEntry &&
           aActive.mWhich == aWhich;
  });
}

void
ChaosRun::StrikeOne()
{
  constexpr int64_t kShortest = 200;
  constexpr size_t kSpread = 3000;
  const Fault& fault = mFaults[Draw(mFaults.size())];
  const size_t which = Draw(fault.mOfEntry ? kEntries : kEngines);
  if (Struck(fault, which)) {
    return;
  }
  if (fault.mEntryDies) {
    mDeaths[which].push_back(Now());
  }
  fault.mStrike(mFleet, which);
  ++mReport.mFaults[fault.mName];
  mActive.push_back(
    { .mFault = fault,
      .mWhich = which,
      .mHealAt = Now() + kShortest + static_cast<int64_t>(Draw(kSpread)) });
}

void
ChaosRun::HealDue(int64_t aNow)
{
  for (auto active = mActive.begin(); active != mActive.end();) {
    if (active->mHealAt > aNow) {
      ++active;
      continue;
    }
    active->mFault.mHeal(mFleet, active->mWhich);
    active = mActive.erase(active);
  }
}

bool
ChaosRun::EntryDiedUnder(const SentCall& aCall) const
{
  const auto deaths = mDeaths.find(aCall.mEntry);
  if (deaths == mDeaths.end()) {
    return false;
  }
  // A dead entry's callers cannot connect until it is started anew.
  constexpr int64_t kDown = 6000;
  const int64_t ended = aCall.mCall->Record().mEnded;
  return std::ranges::any_of(deaths->second, [&](int64_t aDeath) {
    return aDeath <= ended && aCall.mSent <= aDeath + kDown;
  });
}

void
ChaosRun::Judge()
{
  std::map<std::string, std::vector<const SentCall*>> groups;
  for (const SentCall& call : mCalls) {
    if (!call.mLeft) {
      call.mCall->AwaitEnd();
      ++mReport.mOutcomes[Name(call.mCall->Record().mOutcome)];
    }
    groups[call.mCall->Mark()].push_back(&call);
  }
  for (const auto& [mark, calls] : groups) {
    JudgeGroup(mark, calls);
  }
}

void
ChaosRun::JudgeGroup(const std::string& aMark,
                     const std::vector<const SentCall*>& aCalls)
{
  const size_t runs = mFleet.RunsOf(aMark);
  bool allToldNo = true;
  for (const SentCall* call : aCalls) {
    if (call->mLeft) {
      allToldNo = false;
      continue;
    }
    const CallRecord record = call->mCall->Record();
    allToldNo = allToldNo && record.mRan == "no";
    const bool repeated = aCalls.size() > 1;
    if (repeated && record.mOutcome == CallOutcome::Refused) {
      continue;
    }
    const std::string broken =
      integration::BrokenPromise(mFleet,
                                 *call->mCall,
                                 { .mIdempotent = call->mIdempotent,
                                   .mEntryMayDie = EntryDiedUnder(*call) });
    if (!broken.empty()) {
      mReport.mBroken.push_back(broken);
    }
  }
  if (!aCalls.front()->mIdempotent && runs > 1) {
    mReport.mBroken.push_back(aMark + ": " + std::to_string(runs) + " runs");
  }
  if (allToldNo && runs != 0) {
    mReport.mBroken.push_back(aMark + ": all told not run, but run");
  }
}

} // namespace chaos
