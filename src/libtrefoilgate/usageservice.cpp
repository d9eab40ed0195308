#include "usageservice.h"

#include "bootclock.h"
#include "decisionlog.h"
#include "gatemetrics.h"
#include "gateway.h"
#include "looptimer.h"
#include "wallclock.h"

#include "libtrefoilio/kernel.h"

#include <algorithm>
#include <array>
#include <utility>

namespace trefoilgate {

using namespace trefoilarch;

namespace {

constexpr Millis kTickInterval{ 100 };

/** Interval between an entry's updates in a small fleet. Requests that it has
 * not sent yet are lost with it. */
constexpr Millis kMinSendInterval{ 200 };

/** In a larger fleet the interval grows by this for each entry, so that a
 * coordinator receives some 70 updates per second. What a killed entry has not
 * sent is then the same share of the fleet's requests. */
constexpr Millis kSendIntervalPerEntry{ 14 };

/** Share of the lease duration after which it is renewed. */
constexpr int64_t kRenewDivisor = 3;
/** Share of the lease duration by which the holder stops early. */
constexpr int64_t kMarginDivisor = 10;

/** In the order of DutyEventKind. */
constexpr std::array kEventNames{
  "duty_gained",     "duty_lost",       "duty_released",    "duty_unreadable",
  "report_fixed",    "report_sent",     "report_failed",    "report_accepted",
  "report_rejected", "report_given_up", "duty_era_changed", "report_skipped"
};

const char*
NameOf(DutyEventKind aKind)
{
  return kEventNames.at(static_cast<size_t>(aKind));
}

} // namespace

UsageService::UsageService(boost::asio::io_context& aLoop,
                           UsageServiceOptions aOptions,
                           DutyTransport aTransport)
  : mLoop(aLoop)
  , mOptions(std::move(aOptions))
  , mTransport(std::move(aTransport))
  , mTimer(aLoop)
  , mCounter({ .mEntry = mOptions.mName,
               .mProcess = mOptions.mProcess,
               .mWindows = UsageWindows(mOptions.mWindow),
               .mRetention = mOptions.mMaxLateness })
  , mReporter(ReporterOptions())
{
}

UsageReporterOptions
UsageService::ReporterOptions() const
{
  const Millis lease = mOptions.mLeaseDuration;
  return { .mDuty = { .mName = mOptions.mDuty,
                      .mHost = mOptions.mName,
                      .mHolder = mOptions.mName + "/" +
                                 std::to_string(mOptions.mProcess),
                      .mLeaseDuration = lease,
                      .mMargin = lease / kMarginDivisor,
                      .mRenewInterval = lease / kRenewDivisor,
                      .mReturnDelay = lease },
           .mWindows = UsageWindows(mOptions.mWindow),
           .mMaxLateness = mOptions.mMaxLateness,
           .mFormat = mOptions.mFormat };
}

void
UsageService::Start(trefoilio::Kernel& aKernel)
{
  mGateway = &aKernel.Find<Gateway>("gateway");
  SetGatewayHooks();
  Tick();
}

void
UsageService::Stop()
{
  mTimer.cancel();
}

void
UsageService::SetGatewayHooks()
{
  mGateway->SetUsageHooks(
    { .mOnBegan = [this](const std::string& aWorkspace) { Count(aWorkspace); },
      .mOnUpdate =
        [this](const UsageUpdate& aUpdate) { return OnUpdate(aUpdate); },
      .mOnReply =
        [this](const UsageReply& aReply) {
          OnReply(aReply);
          mReporter.OnReply(aReply, BootNow());
        },
      .mSetGauges = [this](GateMetrics& aMetrics) { SetGauges(aMetrics); },
      .mState = [this] { return State(); } });
}

void
UsageService::Count(const std::string& aWorkspace)
{
  if (!aWorkspace.empty()) {
    mCounter.Count(aWorkspace, mTime.UnixTime(WallNow(), BootNow()));
  }
}

std::optional<UsageReply>
UsageService::OnUpdate(const UsageUpdate& aUpdate)
{
  return mReporter.OnUpdate(aUpdate, BootNow());
}

void
UsageService::OnReply(const UsageReply& aReply)
{
  mTime.OnReply(aReply, BootNow());
  mCounter.OnFixed(aReply.mFixedWindow);
}

void
UsageService::Tick()
{
  const Millis now = BootNow();
  const bool wanted =
    mGateway->UsageCoordinators().mIsOwn && !mGateway->IsDraining();
  Perform(mReporter.Duty().SetWanted(wanted, now));
  const UsageActions actions = mReporter.OnTick(WallNow(), now);
  Perform(actions.mDuty);
  if (actions.mMissed) {
    LogMissed(*actions.mMissed);
  }
  const Millis unixTime = mTime.UnixTime(WallNow(), now);
  if (now - mSentAt >= SendInterval() || mCounter.HasEndedWindow(unixTime)) {
    SendCounts(now);
    mSentAt = now;
  }
  RunAfter(mTimer, kTickInterval, [this] { Tick(); });
}

void
UsageService::SendCounts(Millis aNow)
{
  const Coordinators& coordinators = mGateway->UsageCoordinators();
  const Millis wall = WallNow();
  for (const UsageUpdate& each :
       mCounter.TakeDue(mTime.UnixTime(wall, aNow), wall, aNow)) {
    for (const std::string& address : coordinators.mAddresses) {
      mGateway->SendUsage(address, each);
    }
    if (!coordinators.mIsOwn) {
      continue;
    }
    if (const auto reply = OnUpdate(each)) {
      OnReply(*reply);
    }
  }
}

Millis
UsageService::SendInterval() const
{
  const auto entries = static_cast<int64_t>(mGateway->EntryCount());
  return std::max(kMinSendInterval, kSendIntervalPerEntry * entries);
}

void
UsageService::Perform(const DutyActions& aActions)
{
  for (const DutyAction& each : aActions) {
    Perform(each);
  }
}

void
UsageService::Perform(const DutyAction& aAction)
{
  if (std::holds_alternative<ReadDutyRows>(aAction)) {
    mTransport.mRead([this](const DutyRowsRead& aRead) {
      Perform(mReporter.Duty().OnRead(aRead, BootNow()));
    });
  } else if (const auto* write = std::get_if<WriteDutyRows>(&aAction)) {
    mTransport.mWrite(*write, [this](const DutyRowsWritten& aWritten) {
      Perform(mReporter.Duty().OnWritten(aWritten, BootNow()));
    });
  } else if (const auto* call = std::get_if<CallReceiver>(&aAction)) {
    Call(*call);
  } else if (const auto* event = std::get_if<DutyEvent>(&aAction)) {
    LogEvent(*event);
  }
}

void
UsageService::Call(const CallReceiver& aCall)
{
  mTransport.mCall(
    aCall,
    [this, aCall] { return mReporter.Duty().MayCall(aCall, BootNow()); },
    [this](DutyCallOutcome aOutcome, const std::string& aDetail) {
      Perform(mReporter.Duty().OnCallEnded(aOutcome, aDetail, BootNow()));
    });
}

void
UsageService::LogEvent(const DutyEvent& aEvent)
{
  const Millis now = BootNow();
  const DutyRecord& record = mReporter.Duty().Record();
  nlohmann::ordered_json fields{ { "duty", mOptions.mDuty },
                                 { "holder", record.mHolder },
                                 { "fence", record.mFencingToken },
                                 { "store_era", mReporter.Duty().Era() },
                                 { "why", aEvent.mDetail } };
  if (aEvent.mPeriod != 0) {
    const Millis end = UsageWindows(mOptions.mWindow).EndOf(aEvent.mPeriod);
    fields["window"] = aEvent.mPeriod;
    fields["ended_ms_ago"] = (mReporter.UnixTime(now) - end).Count();
    fields["entries_missing"] =
      mReporter.Collector().Missing(aEvent.mPeriod, now);
  }
  mGateway->Log().Write(LineKind::StateChange, NameOf(aEvent.mKind), fields);
}

void
UsageService::LogMissed(const MissedWindows& aMissed)
{
  mGateway->Log().Write(LineKind::StateChange,
                        "usage_windows_missed",
                        { { "duty", mOptions.mDuty },
                          { "first", aMissed.mFirst },
                          { "windows", aMissed.mCount } });
}

void
UsageService::SetGauges(GateMetrics& aMetrics) const
{
  const Millis now = BootNow();
  const SingletonDuty& duty = mReporter.Duty();
  const auto number = [](auto aValue) { return static_cast<double>(aValue); };
  aMetrics.Set(Gauge::DutyHeld, mOptions.mDuty, duty.IsHeld(now) ? 1 : 0);
  aMetrics.Set(Gauge::DutyFencingToken,
               mOptions.mDuty,
               number(duty.Record().mFencingToken));
  aMetrics.Set(Gauge::UsageWindowAccepted, number(duty.LastAccepted("")));
  aMetrics.Set(Gauge::UsageWindowsMissed, number(mReporter.Missed()));
  aMetrics.Set(Gauge::UsageWindowsSkipped, number(duty.SkippedCount()));
  aMetrics.Set(Gauge::StoreEra, number(duty.Era()));
  aMetrics.Set(Gauge::ClockCorrectionMs,
               number((WallNow() - mTime.UnixTime(WallNow(), now)).Count()));
}

nlohmann::json
UsageService::State() const
{
  const Millis now = BootNow();
  const SingletonDuty& duty = mReporter.Duty();
  const DutyRecord& record = duty.Record();
  const Millis wall = WallNow();
  return { { "duty", mOptions.mDuty },
           { "coordinator", duty.Wanted() },
           { "held", duty.IsHeld(now) },
           { "holder", record.mHolder },
           { "fence", record.mFencingToken },
           { "window_fixed", duty.LastFixed("") },
           { "window_accepted", duty.LastAccepted("") },
           { "store_era", duty.Era() },
           { "record_era", record.mEra },
           { "windows_skipped", duty.SkippedCount() },
           { "unaccepted", duty.Unaccepted().size() },
           { "windows_missed", mReporter.Missed() },
           { "time_agreed", mTime.IsKnown() },
           { "clock_correction_ms",
             (wall - mTime.UnixTime(wall, now)).Count() } };
}

} // namespace trefoilgate
