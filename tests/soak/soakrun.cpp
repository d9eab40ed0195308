#include "soakrun.h"

#include "integration/await.h"
#include "integration/rawcaller.h"

#include "libtrefoilio/systemclock.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <deque>
#include <sstream>
#include <thread>
#include <tuple>

namespace soak {

using nlohmann::json;
using platformtest::FleetOptions;
using platformtest::GateCall;
using platformtest::PlatformFleet;

namespace {

constexpr int kRevokeMs = 3000;
constexpr int kDeadlineMs = 2500;
constexpr int kRecoverMs = 12000;

/** Worker behaviours for plain requests; the usual ones occur more often. A
 * reset of a response without a length is left out: the fault proxy forwards a
 * reset as a normal close, so the gate can't detect it. Tests without the proxy
 * cover it. */
constexpr std::array kPlans = {
  "ok",      "ok",        "ok,delay=20", "ok,delay=80", "ok",        "error",
  "not_run", "cut_head",  "cut_body",    "garbage",     "unsealed",  "extra",
  "stray",   "no_length", "no_length",   "ok",          "ok,delay=5"
};

constexpr std::array kStreamPlans = {
  "stream,count=8,gap=10",
  "stream,count=20,gap=5",
  "stream,count=6,gap=30",
  "stream,count=8,gap=5,cut=3",
  "stream,count=8,gap=5,cut=2,once=1",
  "stream,count=30,gap=20",
  "stream,count=8,gap=10,framing=close",
  "stream,count=8,gap=5,cut=3,framing=close,how=close",
  "stream,count=8,gap=5,cut=0,framing=close,how=close",
  "stream,count=8,gap=5,cut=2,once=1,framing=close,how=close",
};

template<typename List>
const char*
RandomItem(const List& aList, std::mt19937_64& aRandom)
{
  return aList[std::uniform_int_distribution<size_t>(0, aList.size() - 1)(
    aRandom)];
}

int
RandomBelow(int aLimit, std::mt19937_64& aRandom)
{
  return std::uniform_int_distribution<int>(0, aLimit - 1)(aRandom);
}

void
Pause(int aMillis)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMillis));
}

/** Decodes a chunked body; the flag is true if its last chunk was received. */
std::pair<std::string, bool>
DecodeChunked(const std::string& aBody)
{
  std::string data;
  size_t place = 0;
  for (;;) {
    const size_t end = aBody.find("\r\n", place);
    if (end == std::string::npos) {
      return { data, false };
    }
    const size_t size =
      std::stoul(aBody.substr(place, end - place), nullptr, 16);
    if (size == 0) {
      return { data, aBody.size() >= end + 4 };
    }
    data += aBody.substr(end + 2, size);
    place = end + 2 + size + 2;
    if (place > aBody.size()) {
      return { data, false };
    }
  }
}

std::vector<std::string>
VersionsOf(size_t aWorkers)
{
  std::vector<std::string> versions;
  for (size_t worker = 0; worker < aWorkers; ++worker) {
    versions.push_back(VersionOf(worker));
  }
  return versions;
}

} // namespace

std::string
VersionOf(size_t aWorker)
{
  return aWorker % 2 == 0 ? "v1" : "v2";
}

int64_t
SteadyNow()
{
  return trefoilio::MonotonicNow().Count();
}

SoakRun::SoakRun(SoakOptions aOptions)
  : mOptions(aOptions)
  , mFleet(FleetOptions{ .mWorkers = aOptions.mWorkers,
                         .mGates = aOptions.mGates,
                         .mRevokeMs = kRevokeMs,
                         .mStopSeconds = 4,
                         .mRetrySlack = 200,
                         .mProxied = true,
                         .mPeers = true,
                         .mUsageReceiver = mUsageReceiver.Address(),
                         .mVersions = VersionsOf(aOptions.mWorkers) })
  , mAddresses(aOptions.mGates)
{
  for (size_t index = 0; index < mOptions.mGates; ++index) {
    UpdateAddress(index);
  }
  for (size_t index = 0; index < mOptions.mWorkers; ++index) {
    mFleet.ListProcess(index, 1);
  }
}

SoakResult
SoakRun::Run()
{
  std::vector<std::thread> callers;
  for (size_t index = 0; index < mOptions.mCallers; ++index) {
    callers.emplace_back([this, index] { CallerLoop(index); });
  }
  FaultLoop();
  SoakResult result;
  for (size_t index = 0; index < mOptions.mGates; ++index) {
    const bool back =
      integration::Await([&] { return mFleet.ReadyStatus(index) == 200; },
                         trefoilarch::Millis(kRecoverMs));
    if (!back) {
      result.mViolations.push_back("gate " + std::to_string(index) +
                                   " did not recover");
    }
  }
  mStop = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  Pause(1000);
  std::vector<json> runs;
  std::vector<json> refusals;
  for (size_t index = 0; index < mOptions.mWorkers; ++index) {
    for (json run : mFleet.Runs(index)) {
      run["worker"] = index;
      runs.push_back(std::move(run));
    }
    for (json refusal : mFleet.Refusals(index)) {
      refusal["worker"] = index;
      refusals.push_back(std::move(refusal));
    }
  }
  const auto violations =
    CheckSoak(mRecords, runs, refusals, mIntervals, mRevoked, kRevokeMs);
  result.mViolations.insert(
    result.mViolations.end(), violations.begin(), violations.end());
  for (const std::string& each : mUsageReceiver.Violations()) {
    result.mViolations.push_back("usage: " + each);
  }
  result.mRequests = mRecords.size();
  result.mServed = static_cast<size_t>(
    std::count_if(mRecords.begin(), mRecords.end(), [](const auto& aRecord) {
      return aRecord.mStatus == 200 && aRecord.mComplete;
    }));
  result.mFaults = mIntervals.size();
  return result;
}

void
SoakRun::CallerLoop(size_t aCaller)
{
  std::mt19937_64 random(mOptions.mSeed * 1000 + aCaller);
  for (int number = 0; !mStop; ++number) {
    SoakRecord record = MakeCall(random, aCaller, number);
    const bool broken = record.mKind == "resume" && record.mStatus == 200 &&
                        !record.mEvents.empty() &&
                        record.mEvents.back() < record.mEventsDue;
    if (broken) {
      Record(TakeUp(random, record));
    }
    Record(std::move(record));
  }
}

void
SoakRun::Record(SoakRecord aRecord)
{
  const std::lock_guard lock(mMutex);
  mRecords.push_back(std::move(aRecord));
}

SoakRecord
SoakRun::TakeUp(std::mt19937_64& aRandom, const SoakRecord& aBroken)
{
  SoakRecord record{ .mId = aBroken.mId + "-next",
                     .mKind = aBroken.mKind,
                     .mKey = aBroken.mKey,
                     .mPlan = aBroken.mPlan,
                     .mGate = static_cast<size_t>(
                       RandomBelow(static_cast<int>(mOptions.mGates), aRandom)),
                     .mBegunBy = aBroken.mId,
                     .mLastEvent = aBroken.mEvents.back(),
                     .mEventsDue = aBroken.mEventsDue };
  record.mSentAt = SteadyNow();
  CallStream(
    record,
    { .mId = record.mId,
      .mMethod = "POST",
      .mPath = "/resume/x",
      .mPlan = record.mPlan,
      .mKey = record.mKey,
      .mDeadlineMs = kDeadlineMs,
      .mHeaders = { { "Resumes", record.mBegunBy },
                    { "Last-Event-Id", std::to_string(record.mLastEvent) } } });
  record.mEndedAt = SteadyNow();
  return record;
}

SoakRecord
SoakRun::MakeCall(std::mt19937_64& aRandom, size_t aCaller, int aNumber)
{
  static constexpr std::array kKinds = { "safe", "once", "stream", "resume" };
  SoakRecord record{ .mId = "c" + std::to_string(aCaller) + "-" +
                            std::to_string(aNumber),
                     .mKind = RandomItem(kKinds, aRandom),
                     .mGate = static_cast<size_t>(RandomBelow(
                       static_cast<int>(mOptions.mGates), aRandom)) };
  {
    const std::lock_guard lock(mMutex);
    record.mKey = RandomBelow(3, aRandom) == 0 ? mSecondKey : mGoodKey;
  }
  const bool stream = record.mKind == "stream" || record.mKind == "resume";
  GateCall call{ .mId = record.mId,
                 .mMethod = record.mKind == "safe" ? "GET" : "POST",
                 .mPath = "/" + record.mKind + "/x",
                 .mPlan = stream ? RandomItem(kStreamPlans, aRandom)
                                 : RandomItem(kPlans, aRandom),
                 .mKey = record.mKey,
                 .mDeadlineMs = kDeadlineMs };
  record.mPlan = call.mPlan;
  if (stream) {
    call.mHeaders.emplace_back("X-Token-Usage", "400,300");
    const size_t count = call.mPlan.find("count=");
    record.mEventsDue = std::stoi(call.mPlan.substr(count + 6));
  }
  record.mSentAt = SteadyNow();
  if (stream) {
    CallStream(record, call);
  } else {
    Exchange(record, call);
  }
  record.mEndedAt = SteadyNow();
  if (record.mStatus != 200) {
    Pause(50);
  }
  return record;
}

integration::RawAnswer
SoakRun::Exchange(SoakRecord& aRecord, GateCall aCall) const
{
  const integration::RawCaller caller(AddressOf(aRecord.mGate));
  aCall.mHeaders.emplace_back("Connection", "close");
  caller.Send(PlatformFleet::Text(aCall));
  integration::RawAnswer answer = caller.ReadAnswer("", kDeadlineMs + 2000);
  const std::string& text = answer.mText;
  const size_t end = text.find("\r\n\r\n");
  if (!text.starts_with("HTTP/1.1 ") || end == std::string::npos) {
    return {};
  }
  const std::string head = text.substr(0, end + 2);
  aRecord.mStatus = std::stoi(head.substr(9, 3));
  aRecord.mSealed = head.find("X-Response-Seal:") != std::string::npos;
  aRecord.mHasRetryAfter = head.find("Retry-After:") != std::string::npos;
  const size_t length = head.find("Content-Length: ");
  const bool chunked = head.find("Transfer-Encoding:") != std::string::npos;
  aRecord.mUnframed = length == std::string::npos && !chunked;
  const size_t bodyBytes = text.size() - end - 4;
  if (length != std::string::npos) {
    aRecord.mSize = static_cast<int>(bodyBytes);
    aRecord.mComplete = std::stoi(head.substr(length + 16)) == aRecord.mSize;
  }
  answer.mText.erase(0, end + 4);
  return answer;
}

void
SoakRun::CallStream(SoakRecord& aRecord, const GateCall& aCall) const
{
  const integration::RawAnswer answer = Exchange(aRecord, aCall);
  if (aRecord.mStatus != 200) {
    return;
  }
  std::string data = answer.mText;
  if (aRecord.mUnframed) {
    aRecord.mEndsInsideEvent =
      answer.mEnd == integration::ConnectionEnd::Closed &&
      !data.ends_with("\n\n");
  } else {
    std::tie(data, aRecord.mComplete) = DecodeChunked(answer.mText);
  }
  std::istringstream lines(data);
  std::string line;
  while (std::getline(lines, line)) {
    if (line.starts_with("id: ")) {
      aRecord.mEvents.push_back(std::stoi(line.substr(4)));
    }
  }
}

std::string
SoakRun::AddressOf(size_t aGate) const
{
  const std::lock_guard lock(mMutex);
  return mAddresses[aGate];
}

void
SoakRun::UpdateAddress(size_t aGate)
{
  integration::Await([&] { return !mFleet.LogOf(aGate, "started").empty(); });
  const std::string address = mFleet.GateAddress(aGate);
  const std::lock_guard lock(mMutex);
  mAddresses[aGate] = address;
}

void
SoakRun::FaultLoop()
{
  struct Active
  {
    const SoakFault* mFault = nullptr;
    size_t mTarget = 0;
    FaultInterval mInterval;
  };
  std::mt19937_64 random(mOptions.mSeed);
  const auto& faults = SoakFaultList();
  std::vector<Active> active;
  const int64_t end = SteadyNow() + mOptions.mSeconds * 1000;
  uint64_t version = 10;
  const auto undo = [&](const Active& aActive) {
    aActive.mFault->mUndo(mFleet, aActive.mTarget);
    if (aActive.mFault->mRestarts) {
      UpdateAddress(aActive.mTarget);
    }
    FaultInterval interval = aActive.mInterval;
    interval.mEndsAt = SteadyNow();
    const std::lock_guard lock(mMutex);
    mIntervals.push_back(std::move(interval));
  };
  while (SteadyNow() < end) {
    std::erase_if(active, [&](const Active& aActive) {
      const bool due = SteadyNow() >= aActive.mInterval.mEndsAt;
      if (due) {
        undo(aActive);
      }
      return due;
    });
    const SoakFault& fault = faults[static_cast<size_t>(
      RandomBelow(static_cast<int>(faults.size()), random))];
    const size_t targets =
      fault.mTargetsGate ? mOptions.mGates : mOptions.mWorkers;
    const auto target =
      static_cast<size_t>(RandomBelow(static_cast<int>(targets), random));
    const bool busy =
      std::any_of(active.begin(), active.end(), [&](const Active& aActive) {
        return aActive.mFault->mTargetsGate == fault.mTargetsGate &&
               aActive.mTarget == target;
      });
    if (!busy && active.size() < 4) {
      const int64_t now = SteadyNow();
      active.push_back(
        { .mFault = &fault,
          .mTarget = target,
          .mInterval = { .mFaultName = fault.mName,
                         .mGate = fault.mTargetsGate ? target : SIZE_MAX,
                         .mWorker = fault.mTargetsWorker ? target : SIZE_MAX,
                         .mStartedAt = now,
                         .mEndsAt = now + 300 + RandomBelow(4500, random) } });
      fault.mInject(mFleet, target);
    }
    if (RandomBelow(4, random) == 0) {
      const std::string newKey = "key-" + std::to_string(version);
      mFleet.PutPolicy(
        PlatformFleet::MakePolicy(version, { mGoodKey, newKey }));
      const std::lock_guard lock(mMutex);
      mRevoked.push_back({ .mKey = mSecondKey, .mAt = SteadyNow() });
      mSecondKey = newKey;
      version++;
    }
    Pause(100 + RandomBelow(900, random));
  }
  for (const Active& remaining : active) {
    undo(remaining);
  }
}

} // namespace soak
