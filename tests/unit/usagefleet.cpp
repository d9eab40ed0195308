#include "usagefleet.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <nlohmann/json.hpp>

namespace usagefleet {

using namespace trefoilarch;

namespace {

constexpr size_t kCoordinators = 3;
constexpr int64_t kStep = 20;
constexpr int64_t kTickInterval = 100;
constexpr int64_t kSendInterval = 200;
/** The start in Unix time. */
constexpr Millis kStart{ 1767225600000 };
/** Traffic starts this long after the processes. */
constexpr Millis kLead{ 14000 };
constexpr Millis kMaxLateness{ 10000 };
constexpr UsageWindows kWindows{ Millis(5000) };
constexpr double kTolerance = 0.05;

/** Workspaces of unequal size; requests per second of one entry. */
const std::map<std::string, uint32_t>&
Rates()
{
  static const std::map<std::string, uint32_t> kRates = { { "large", 60 },
                                                          { "medium", 25 },
                                                          { "small", 12 } };
  return kRates;
}

std::string
Format(uint64_t aWindow, const UsageCollector::Counts& aCounts)
{
  return nlohmann::json{ { "window", aWindow }, { "counts", aCounts } }.dump();
}

} // namespace

UsageFleet::UsageFleet(FleetOptions aOptions)
  : ModelRandom(aOptions.mSeed)
  , mOptions(aOptions)
{
  mNow = kStart + Millis(Draw(5000));
  for (size_t each = 0; each < mOptions.mHosts; ++each) {
    Host& host = mHosts.emplace_back();
    host.mName = "entry-" + std::to_string(each);
    host.mCoordinator = each < kCoordinators;
    host.mBootOffset = Millis(Draw(1000000)) - kStart;
    host.mClockError = Millis(static_cast<int64_t>(Draw(41)) - 20);
  }
  for (size_t each = 0; each < mOptions.mHosts; ++each) {
    StartHost(each);
  }
}

FleetResult
UsageFleet::Run()
{
  const Millis end = mNow + kLead + Millis(mOptions.mSeconds * 1000);
  PlanFaults();
  Step();
  RunUntil(end);
  Compare(mResult);
  for (const Host& host : mHosts) {
    mResult.mSkipped +=
      host.mReporter ? host.mReporter->Duty().SkippedCount() : 0;
  }
  return mResult;
}

Millis
UsageFleet::Wall(const Host& aHost) const
{
  return mNow + aHost.mClockError;
}

Millis
UsageFleet::UnixTime(const Host& aHost) const
{
  return mOptions.mUsesAgreedTime
           ? aHost.mTime.UnixTime(Wall(aHost), Local(aHost))
           : Wall(aHost);
}

void
UsageFleet::StartHost(size_t aHost)
{
  Host& host = mHosts[aHost];
  host.mProcess = (static_cast<uint64_t>(mRandom()) << 32U) | mRandom();
  host.mRunning = true;
  host.mTime = {};
  host.mBegun.clear();
  host.mCounter = std::make_unique<UsageCounter>(
    UsageCounterOptions{ .mEntry = host.mName,
                         .mProcess = host.mProcess,
                         .mWindows = kWindows,
                         .mRetention = kMaxLateness });
  if (!host.mCoordinator) {
    return;
  }
  host.mReporter = std::make_unique<UsageReporter>(UsageReporterOptions{
    .mDuty = { .mName = "usage",
               .mHost = host.mName,
               .mHolder = host.mName + "/" + std::to_string(host.mProcess) },
    .mWindows = kWindows,
    .mMaxLateness = kMaxLateness,
    .mFormat = Format });
  Perform(aHost, host.mReporter->Duty().SetWanted(true, Local(host)));
}

void
UsageFleet::KillHost(size_t aHost)
{
  Host& host = mHosts[aHost];
  const uint64_t window = kWindows.At(mNow);
  for (const auto& [workspace, count] : host.mBegun[window]) {
    mLostByKills[window][workspace] += host.mRunning ? count : 0;
  }
  host.mRunning = false;
}

void
UsageFleet::PlanFaults()
{
  const auto drawStart = [this] {
    return mNow + kLead +
           Millis(Draw(static_cast<uint32_t>(mOptions.mSeconds) * 800));
  };
  for (int each = 0; each < mOptions.mKills; ++each) {
    const size_t host = Draw(static_cast<uint32_t>(mOptions.mHosts));
    const Millis start = drawStart();
    At(start, [this, host] { KillHost(host); });
    At(start + Millis(500 + Draw(1500)), [this, host] { StartHost(host); });
  }
  for (int each = 0; each < mOptions.mCuts; ++each) {
    const size_t host = Draw(static_cast<uint32_t>(mOptions.mHosts));
    const Millis start = drawStart();
    At(start, [this, host] { mHosts[host].mCut = true; });
    At(start + Millis(1000 + Draw(4000)),
       [this, host] { mHosts[host].mCut = false; });
  }
  for (int each = 0; each < mOptions.mFreezes; ++each) {
    const size_t host = Draw(static_cast<uint32_t>(mOptions.mHosts));
    const Millis start = drawStart();
    At(start, [this, host] { mHosts[host].mFrozen = true; });
    At(start + Millis(1000 + Draw(4000)),
       [this, host] { mHosts[host].mFrozen = false; });
  }
  for (int each = 0; each < mOptions.mOutages; ++each) {
    const Millis start = drawStart();
    const auto longest = static_cast<uint32_t>(mOptions.mMaxOutage);
    At(start, [this] { mStoreDown = true; });
    At(start + Millis(Draw(longest)), [this] { mStoreDown = false; });
  }
  for (int each = 0; each < mOptions.mRestores; ++each) {
    const Millis start = drawStart();
    const Millis age(Draw(static_cast<uint32_t>(mOptions.mMaxCopyAge)));
    const auto longest = static_cast<uint32_t>(mOptions.mMaxOutage);
    At(start, [this] { mStoreDown = true; });
    At(start + Millis(Draw(longest)), [this, age] {
      mStoreDown = false;
      RestoreStore(age);
    });
  }
  for (size_t host = 0; mOptions.mClocksJump && host < mOptions.mHosts;
       host += 2) {
    const Millis start = drawStart();
    const Millis error(static_cast<int64_t>(Draw(6000)) - 3000);
    At(start, [this, host, error] { mHosts[host].mClockError += error; });
    At(start + Millis(5000 + Draw(5000)),
       [this, host, error] { mHosts[host].mClockError -= error; });
  }
}

void
UsageFleet::Step()
{
  for (size_t each = 0; each < mOptions.mHosts; ++each) {
    if (!mHosts[each].mRunning || mHosts[each].mFrozen) {
      continue;
    }
    BeginRequests(each);
    if (mNow.Count() / kStep % (kTickInterval / kStep) == 0) {
      TickHost(each);
    }
  }
  After(kStep, [this] { Step(); });
}

void
UsageFleet::BeginRequests(size_t aHost)
{
  if (mNow < kStart + kLead + Millis(5000)) {
    return;
  }
  Host& host = mHosts[aHost];
  for (const auto& [workspace, perSecond] : Rates()) {
    const uint32_t perStep = perSecond * kStep;
    const uint32_t requests =
      perStep / 1000 + (Draw(1000) < perStep % 1000 ? 1 : 0);
    for (uint32_t each = 0; each < requests; ++each) {
      mTruth[kWindows.At(mNow)][workspace]++;
      host.mBegun[kWindows.At(mNow)][workspace]++;
      host.mCounter->Count(workspace, UnixTime(host));
    }
  }
}

void
UsageFleet::TickHost(size_t aHost)
{
  Host& host = mHosts[aHost];
  if (host.mReporter) {
    const UsageActions actions =
      host.mReporter->OnTick(Wall(host), Local(host));
    Perform(aHost, actions.mDuty);
  }
  if (Local(host) - host.mSentAt >= Millis(kSendInterval) ||
      host.mCounter->HasEndedWindow(UnixTime(host))) {
    host.mSentAt = Local(host);
    SendCounts(aHost);
  }
}

void
UsageFleet::SendCounts(size_t aHost)
{
  Host& host = mHosts[aHost];
  for (const UsageUpdate& update :
       host.mCounter->TakeDue(UnixTime(host), Wall(host), Local(host))) {
    for (size_t to = 0; to < kCoordinators; ++to) {
      mResult.mUpdates++;
      const bool lost =
        host.mCut || mHosts[to].mCut || Draw(100) < mOptions.mLossPercent;
      if (to == aHost || !lost) {
        After(1 + Draw(5),
              [this, aHost, to, update] { Deliver(aHost, to, update); });
      }
    }
  }
}

void
UsageFleet::Deliver(size_t aFrom, size_t aTo, const UsageUpdate& aUpdate)
{
  Host& to = mHosts[aTo];
  if (!to.mRunning || to.mFrozen) {
    return;
  }
  const auto reply = to.mReporter->OnUpdate(aUpdate, Local(to));
  if (reply) {
    After(1 + Draw(3), [this, aFrom, reply = *reply] {
      Host& from = mHosts[aFrom];
      if (!from.mRunning || from.mFrozen || from.mCut) {
        return;
      }
      from.mTime.OnReply(reply, Local(from));
      from.mCounter->OnFixed(reply.mFixedWindow);
      if (from.mReporter) {
        from.mReporter->OnReply(reply, Local(from));
      }
    });
  }
}

void
UsageFleet::Perform(size_t aHost, const DutyActions& aActions)
{
  for (const DutyAction& action : aActions) {
    if (std::holds_alternative<ReadDutyRows>(action)) {
      ReadStore(aHost);
    } else if (const auto* write = std::get_if<WriteDutyRows>(&action)) {
      WriteStore(aHost, *write);
    } else if (const auto* call =
                 std::get_if<trefoilarch::CallReceiver>(&action)) {
      CallReceiver(aHost, *call);
    }
  }
}

void
UsageFleet::Later(size_t aHost, int64_t aDelay, std::function<void()> aAction)
{
  const uint64_t process = mHosts[aHost].mProcess;
  After(aDelay, [this, aHost, process, action = std::move(aAction)] {
    const Host& host = mHosts[aHost];
    if (!host.mRunning || host.mProcess != process) {
      return;
    }
    if (host.mFrozen) {
      Later(aHost, kStep, action);
    } else {
      action();
    }
  });
}

void
UsageFleet::ReadStore(size_t aHost)
{
  mResult.mStoreCalls++;
  const Millis sentAt = Local(mHosts[aHost]);
  if (mStoreDown || mHosts[aHost].mCut) {
    Later(aHost, 500, [this, aHost] {
      Host& host = mHosts[aHost];
      Perform(aHost, host.mReporter->Duty().OnRead({}, Local(host)));
    });
    return;
  }
  DutyRowsRead read{ .mReached = true,
                     .mVersion = mStore.mVersion,
                     .mEra = mEra };
  for (const auto& [key, row] : mStore.mRows) {
    read.mRows.push_back(row);
  }
  const Millis storeTime = mNow - kStart;
  Later(aHost, 2 + Draw(8), [this, aHost, sentAt, storeTime, read] {
    Host& host = mHosts[aHost];
    DutyRowsRead received = read;
    received.mClock = { .mSentAt = sentAt,
                        .mReceivedAt = Local(host),
                        .mStoreTime = storeTime };
    Perform(aHost, host.mReporter->Duty().OnRead(received, Local(host)));
  });
}

void
UsageFleet::WriteStore(size_t aHost, const WriteDutyRows& aWrite)
{
  mResult.mStoreCalls++;
  const bool matches =
    VersionOf("usage") == aWrite.mRecordVersion &&
    std::all_of(aWrite.mExpected.begin(),
                aWrite.mExpected.end(),
                [this](const ExpectedRow& aRow) {
                  return VersionOf(aRow.mKey) == aRow.mVersion;
                });
  DutyRowsWritten written{ .mEra = mEra };
  if (!mStoreDown && !mHosts[aHost].mCut) {
    written.mOutcome =
      matches ? DutyWriteOutcome::Done : DutyWriteOutcome::Refused;
  }
  if (written.mOutcome == DutyWriteOutcome::Done) {
    written.mVersion = ++mStore.mVersion;
    for (DutyRow row : aWrite.mRows) {
      row.mVersion = mStore.mVersion;
      mStore.mRows[row.mKey] = row;
    }
    for (const std::string& key : aWrite.mRemoved) {
      mStore.mRows.erase(key);
    }
    mCopies[mNow] = mStore;
  }
  const bool unanswered =
    written.mOutcome == DutyWriteOutcome::Unknown || Draw(100) < 2;
  if (unanswered) {
    written = {};
  }
  const int64_t delay = unanswered ? 800 : 2 + Draw(8);
  Later(aHost, delay, [this, aHost, written] {
    Host& host = mHosts[aHost];
    Perform(aHost, host.mReporter->Duty().OnWritten(written, Local(host)));
  });
}

void
UsageFleet::CallReceiver(size_t aHost, const trefoilarch::CallReceiver& aCall)
{
  mResult.mReceiverCalls++;
  Host& host = mHosts[aHost];
  const bool sent =
    host.mReporter->Duty().MayCall(aCall, Local(host)) && !host.mCut;
  if (sent) {
    Accept(aHost, aCall);
  }
  const bool answered = sent && Draw(100) >= 5;
  const int64_t delay = answered ? 10 : aCall.mTimeout.Count();
  Later(aHost, delay, [this, aHost, answered] {
    Host& caller = mHosts[aHost];
    Perform(aHost,
            caller.mReporter->Duty().OnCallEnded(
              answered ? DutyCallOutcome::Accepted : DutyCallOutcome::Failed,
              "",
              Local(caller)));
  });
}

void
UsageFleet::RestoreStore(Millis aCopyAge)
{
  mEra++;
  const auto later = mCopies.upper_bound(mNow - aCopyAge);
  mStore = later == mCopies.begin() ? Store{} : std::prev(later)->second;
  mCopies[mNow] = mStore;
}

uint64_t
UsageFleet::VersionOf(const std::string& aKey) const
{
  const auto row = mStore.mRows.find(aKey);
  return row == mStore.mRows.end() ? 0 : row->second.mVersion;
}

void
UsageFleet::Accept(size_t aHost, const trefoilarch::CallReceiver& aCall)
{
  const auto owner =
    mTokenOwners.emplace(aCall.mFencingToken, mHosts[aHost].mName).first;
  if (owner->second != mHosts[aHost].mName) {
    mResult.mViolation = "one fencing token of two hosts";
  }
  if (aCall.mFencingToken < mHighestToken) {
    mResult.mViolation = "a lower fencing token";
  }
  mHighestToken = std::max(mHighestToken, aCall.mFencingToken);
  const uint64_t window = aCall.mReport.mPeriod;
  if (mNow > kWindows.EndOf(window) + kMaxLateness) {
    return;
  }
  const auto body = mAccepted.emplace(window, aCall.mReport.mBody).first;
  if (body->second != aCall.mReport.mBody) {
    mResult.mViolation = "two reports of one window";
  }
}

void
UsageFleet::Compare(FleetResult& aResult) const
{
  const uint64_t first = mTruth.empty() ? 0 : mTruth.begin()->first;
  for (const auto& [window, truth] : mTruth) {
    // The traffic began in the first window, which has few requests.
    if (window == first || kWindows.EndOf(window) + kMaxLateness > mNow) {
      continue;
    }
    aResult.mWindows++;
    aResult.mLargestErrorOfRows =
      std::max(aResult.mLargestErrorOfRows, ErrorOfRows(window, truth));
    const auto accepted = mAccepted.find(window);
    if (accepted == mAccepted.end()) {
      aResult.mMissed++;
      continue;
    }
    const auto counts = nlohmann::json::parse(accepted->second)
                          .at("counts")
                          .get<UsageCollector::Counts>();
    const double error = LargestError(truth, counts);
    aResult.mLargestError = std::max(aResult.mLargestError, error);
    aResult.mWrong += error > kTolerance ? 1 : 0;
  }
}

double
UsageFleet::ErrorOfRows(uint64_t aWindow,
                        const UsageCollector::Counts& aTruth) const
{
  const auto lost = mLostByKills.find(aWindow);
  if (lost == mLostByKills.end()) {
    return 0;
  }
  UsageCollector::Counts rows = aTruth;
  for (const auto& [workspace, count] : lost->second) {
    rows[workspace] -= count;
  }
  return LargestError(aTruth, rows);
}

double
UsageFleet::LargestError(const UsageCollector::Counts& aTruth,
                         const UsageCollector::Counts& aReported)
{
  double largest = 0;
  for (const auto& [workspace, requests] : aTruth) {
    const auto found = aReported.find(workspace);
    const double reported =
      found == aReported.end() ? 0 : static_cast<double>(found->second);
    const auto expected = static_cast<double>(requests);
    largest = std::max(largest, std::abs(reported - expected) / expected);
  }
  return largest;
}

} // namespace usagefleet
