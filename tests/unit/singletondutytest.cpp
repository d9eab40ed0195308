#include "libtrefoilarch/singletonduty.h"
#include "libtrefoilarch/storeversion.h"

#include "dutymodel.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

using namespace trefoilarch;
using dutymodel::Explore;
using dutymodel::ModelOptions;

namespace {

constexpr Millis kNow{ 1000 };

DutyOptions
OptionsOf(const std::string& aHost)
{
  return { .mHost = aHost, .mHolder = aHost + "1" };
}

StoreClockReading
ClockAt(Millis aNow)
{
  return { .mSentAt = aNow, .mReceivedAt = aNow, .mStoreTime = aNow };
}

DutyRow
RowOf(const DutyRecord& aRecord, uint64_t aVersion = 5)
{
  return { .mKey = "duty",
           .mText = DutyRecordToText(aRecord),
           .mVersion = aVersion };
}

DutyRowsRead
ReadOf(std::vector<DutyRow> aRows, Millis aNow)
{
  return { .mReached = true,
           .mClock = ClockAt(aNow),
           .mVersion = 9,
           .mRows = std::move(aRows) };
}

template<typename T>
const T*
FindAction(const DutyActions& aActions)
{
  for (const DutyAction& each : aActions) {
    if (const T* found = std::get_if<T>(&each)) {
      return found;
    }
  }
  return nullptr;
}

bool
HasEvent(const DutyActions& aActions, DutyEventKind aKind)
{
  return std::any_of(
    aActions.begin(), aActions.end(), [aKind](const DutyAction& aAction) {
      const auto* event = std::get_if<DutyEvent>(&aAction);
      return event != nullptr && event->mKind == aKind;
    });
}

/** A duty of host "a" that it has just taken over with fencing token 10. */
SingletonDuty
HeldDuty()
{
  SingletonDuty duty(OptionsOf("a"));
  duty.SetWanted(true, kNow);
  duty.OnRead(ReadOf({ RowOf({}) }, kNow), kNow);
  duty.OnWritten({ .mOutcome = DutyWriteOutcome::Done, .mVersion = 10 }, kNow);
  return duty;
}

DutyReport
ReportOf(uint64_t aPeriod, const std::string& aBody = "body")
{
  return { .mPeriod = aPeriod, .mBody = aBody, .mExpiresAt = Millis(60000) };
}

/** Steps beyond those of the regular run. */
int
ExtraDepth()
{
  const char* text = std::getenv("DUTY_MODEL_EXTRA_DEPTH");
  return text == nullptr ? 0 : std::atoi(text);
}

void
ExpectNoViolation(const char* aName, ModelOptions aOptions)
{
  aOptions.mDepth += ExtraDepth();
  const auto result = Explore(aOptions);
  std::printf("%s: %llu states, depth %d\n",
              aName,
              static_cast<unsigned long long>(result.mStates),
              aOptions.mDepth);
  cr_expect(
    result.mViolation.empty(), "%s: %s", aName, result.mViolation.c_str());
  cr_expect(result.mAccepted >= 1 && result.mTakeovers >= 2, "%s", aName);
}

constexpr uint32_t kWalkSeed = 20261204;

/** Random histories of a test; more by hand. */
int
Walks()
{
  const char* text = std::getenv("DUTY_MODEL_WALKS");
  return text == nullptr ? 20000 : std::atoi(text);
}

constexpr ModelOptions kRestoresInSeries{ .mDepth = 160,
                                          .mSeconds = 40,
                                          .mCrashes = 3,
                                          .mFreezes = 2,
                                          .mLostReplies = 2,
                                          .mLateWrites = 2,
                                          .mLostCalls = 2,
                                          .mStops = 1,
                                          .mRestores = 3,
                                          .mCompetitors = 3 };

void
ExpectNoViolationInWalks(const char* aName, const ModelOptions& aOptions)
{
  const int walks = Walks();
  const auto result = Walk(aOptions, kWalkSeed, walks);
  std::printf("%s: %d histories, %llu periods, %llu takeovers\n",
              aName,
              walks,
              static_cast<unsigned long long>(result.mAccepted),
              static_cast<unsigned long long>(result.mTakeovers));
  cr_expect(
    result.mViolation.empty(), "%s: %s", aName, result.mViolation.c_str());
  cr_expect(result.mAccepted >= static_cast<uint64_t>(walks));
  cr_expect(result.mTakeovers >= static_cast<uint64_t>(walks));
}

void
ExpectViolation(const std::string& aStart, const ModelOptions& aOptions)
{
  const std::string violation = Explore(aOptions).mViolation;
  cr_expect(violation.starts_with(aStart), "%s", violation.c_str());
}

} // namespace

Test(singletonduty, no_order_of_crashes_breaks_a_promise)
{
  ExpectNoViolation("crashes", { .mDepth = 12 });
}

Test(singletonduty, no_order_of_freezes_and_lost_calls_breaks_a_promise)
{
  ExpectNoViolation(
    "freezes and lost calls",
    { .mDepth = 13, .mCrashes = 0, .mFreezes = 1, .mLostCalls = 1 });
}

Test(singletonduty, no_order_of_lost_replies_and_late_writes_breaks_a_promise)
{
  ExpectNoViolation("lost replies and late writes",
                    { .mDepth = 10,
                      .mCrashes = 0,
                      .mLostReplies = 1,
                      .mLateWrites = 1,
                      .mCompetitors = 3 });
}

Test(singletonduty, no_order_of_all_faults_with_three_hosts_breaks_a_promise)
{
  ExpectNoViolation("all faults",
                    { .mDepth = 8,
                      .mFreezes = 1,
                      .mLostReplies = 1,
                      .mLateWrites = 1,
                      .mLostCalls = 1,
                      .mCompetitors = 3 });
}

Test(singletonduty, no_order_of_planned_stops_breaks_a_promise)
{
  ExpectNoViolation("planned stops",
                    { .mDepth = 26, .mSeconds = 1, .mStops = 2 });
}

Test(singletonduty, the_model_finds_a_second_report_if_reports_are_not_fixed)
{
  ExpectViolation("two reports of one period",
                  { .mDepth = 18, .mSeconds = 6, .mKeepsReports = false });
}

Test(singletonduty, the_model_finds_a_lower_token_if_the_lease_is_not_checked)
{
  ExpectViolation("a lower fencing token after a higher one",
                  { .mDepth = 16,
                    .mSeconds = 6,
                    .mCrashes = 0,
                    .mFreezes = 1,
                    .mChecksLease = false });
}

Test(singletonduty, the_model_finds_a_return_that_does_not_wait)
{
  ExpectViolation(
    "a host acts, another one, and the first again",
    { .mDepth = 26, .mSeconds = 1, .mStops = 2, .mWaitsToReturn = false });
}

Test(singletonduty, no_long_history_with_restores_in_series_breaks_a_promise)
{
  ExpectNoViolationInWalks("restores in series", kRestoresInSeries);
}

Test(singletonduty, the_model_finds_a_restore_that_the_store_does_not_tell)
{
  ModelOptions options = kRestoresInSeries;
  options.mTellsEra = false;
  const auto result = Walk(options, kWalkSeed, Walks());
  cr_expect(!result.mViolation.empty());
}

Test(singletonduty, the_model_finds_a_second_report_if_nothing_is_skipped)
{
  ModelOptions options = kRestoresInSeries;
  options.mSkipsUnknown = false;
  const auto result = Walk(options, kWalkSeed, Walks());
  cr_expect(result.mViolation.starts_with("two reports of one period"));
}

Test(singletonduty, a_report_is_sent_only_once_it_is_stored)
{
  SingletonDuty duty = HeldDuty();
  const DutyActions proposed = duty.Propose(ReportOf(3), kNow);
  cr_assert(FindAction<CallReceiver>(proposed) == nullptr);
  const auto* write = FindAction<WriteDutyRows>(proposed);
  cr_assert(write != nullptr);
  cr_expect(write->mRecordVersion == 10);
  cr_expect(write->mRows.size() == 2);
  cr_expect(write->mRows[1].mKey == "duty//3");
  const DutyActions fixed = duty.OnWritten(
    { .mOutcome = DutyWriteOutcome::Done, .mVersion = 11 }, kNow);
  const auto* call = FindAction<CallReceiver>(fixed);
  cr_assert(call != nullptr);
  cr_expect(call->mReport.mBody == "body");
  cr_expect(call->mFencingToken == 10);
}

Test(singletonduty, a_successor_sends_the_stored_bytes)
{
  const DutyRecord previous{ .mHolder = "b1",
                             .mHost = "b",
                             .mFencingToken = 4,
                             .mExpiresAt = Millis(500),
                             .mFixed = { { "", 3 } } };
  const StoredReport stored{ .mBody = "stored", .mExpiresAt = Millis(9000) };
  SingletonDuty duty(OptionsOf("a"));
  duty.SetWanted(true, kNow);
  duty.OnRead(ReadOf({ RowOf(previous),
                       { .mKey = "duty//3",
                         .mText = StoredReportToText(stored),
                         .mVersion = 4 } },
                     kNow),
              kNow);
  const DutyActions gained = duty.OnWritten(
    { .mOutcome = DutyWriteOutcome::Done, .mVersion = 10 }, kNow);
  cr_expect(HasEvent(gained, DutyEventKind::Gained));
  const auto* call = FindAction<CallReceiver>(gained);
  cr_assert(call != nullptr);
  cr_expect(call->mReport.mBody == "stored");
  cr_expect(!duty.MayPropose("", 3, kNow));
  cr_expect(duty.MayPropose("", 4, kNow));
}

Test(singletonduty, a_lease_that_has_not_expired_is_left_alone)
{
  const DutyRecord other{ .mHolder = "b1",
                          .mHost = "b",
                          .mFencingToken = 4,
                          .mExpiresAt = kNow + Millis(2000) };
  SingletonDuty duty(OptionsOf("a"));
  duty.SetWanted(true, kNow);
  cr_expect(duty.OnRead(ReadOf({ RowOf(other) }, kNow), kNow).empty());
  cr_expect(duty.OnTick(kNow + Millis(1999)).empty());
  const DutyActions later = duty.OnTick(kNow + Millis(2000));
  cr_expect(FindAction<ReadDutyRows>(later) != nullptr);
}

Test(singletonduty, a_standby_that_hears_the_holder_does_not_read_the_store)
{
  const DutyRecord other{ .mHolder = "b1",
                          .mHost = "b",
                          .mFencingToken = 4,
                          .mExpiresAt = kNow + Millis(2000) };
  SingletonDuty duty(OptionsOf("a"));
  duty.SetWanted(true, kNow);
  duty.OnRead(ReadOf({ RowOf(other) }, kNow), kNow);
  duty.OnHolderHeard(4, kNow + Millis(1900));
  cr_expect(duty.OnTick(kNow + Millis(4800)).empty());
  cr_expect(!duty.OnTick(kNow + Millis(4900)).empty());
}

Test(singletonduty, a_process_that_was_suspended_sends_nothing)
{
  SingletonDuty duty = HeldDuty();
  duty.Propose(ReportOf(1), kNow);
  const DutyActions fixed = duty.OnWritten(
    { .mOutcome = DutyWriteOutcome::Done, .mVersion = 11 }, kNow);
  const CallReceiver call = *FindAction<CallReceiver>(fixed);
  cr_expect(duty.MayCall(call, kNow));
  cr_expect(!duty.MayCall(call, kNow + Millis(2100)));
}

Test(singletonduty, failed_calls_are_repeated_at_growing_intervals_until_late)
{
  SingletonDuty duty = HeldDuty();
  duty.Propose(ReportOf(1), kNow);
  duty.OnWritten({ .mOutcome = DutyWriteOutcome::Done, .mVersion = 11 }, kNow);
  DutyActions out = duty.OnCallEnded(DutyCallOutcome::Failed, "", kNow);
  cr_expect(HasEvent(out, DutyEventKind::CallFailed));
  out = duty.OnTick(kNow + Millis(300));
  cr_assert(FindAction<CallReceiver>(out) != nullptr);
  duty.OnCallEnded(DutyCallOutcome::Failed, "", kNow + Millis(300));
  cr_expect(duty.OnTick(kNow + Millis(800)).empty());
  cr_assert(FindAction<CallReceiver>(duty.OnTick(kNow + Millis(900))) !=
            nullptr);
  duty.OnCallEnded(DutyCallOutcome::Failed, "", kNow + Millis(900));
  cr_expect(HasEvent(duty.OnTick(Millis(60000)), DutyEventKind::ReportGivenUp));
  cr_expect(duty.Unaccepted().empty());
}

/** A record that can't be read may hide a holder, who stops in time. */
Test(singletonduty, an_invalid_record_is_replaced_after_the_holder_has_stopped)
{
  const DutyRow invalid{ .mKey = "duty", .mText = "{\"x\":", .mVersion = 7 };
  SingletonDuty duty(OptionsOf("a"));
  duty.SetWanted(true, kNow);
  const DutyActions read = duty.OnRead(ReadOf({ invalid }, kNow), kNow);
  cr_expect(HasEvent(read, DutyEventKind::Unreadable));
  cr_expect(FindAction<WriteDutyRows>(read) == nullptr);
  const Millis later = kNow + Millis(3300);
  cr_assert(FindAction<ReadDutyRows>(duty.OnTick(later)) != nullptr);
  const DutyActions taken = duty.OnRead(ReadOf({ invalid }, later), later);
  const auto* write = FindAction<WriteDutyRows>(taken);
  cr_assert(write != nullptr);
  cr_expect(write->mRecordVersion == 7);
}

Test(singletonduty, records_with_absurd_values_are_not_believed)
{
  const std::vector<DutyRecord> absurd = {
    { .mHolder = "b", .mExpiresAt = kNow + Millis(3600000) },
    { .mHolder = "b", .mFencingToken = 1ULL << 50U },
  };
  for (const DutyRecord& record : absurd) {
    SingletonDuty duty(OptionsOf("a"));
    duty.SetWanted(true, kNow);
    const DutyActions read = duty.OnRead(ReadOf({ RowOf(record) }, kNow), kNow);
    cr_expect(HasEvent(read, DutyEventKind::Unreadable));
  }
  for (const char* text :
       { "",
         "null",
         "[]",
         "{}",
         "{\"holder\":1}",
         "{\"holder\":\"b\",\"host\":\"b\",\"fence\":-1,\"expires_ms\":0,"
         "\"unix_offset_ms\":0,\"fixed\":{},\"past_holders\":[]}",
         "{\"holder\":\"b\",\"host\":\"b\",\"fence\":1,\"expires_ms\":0,"
         "\"unix_offset_ms\":0,\"fixed\":{\"\":\"x\"},\"past_holders\":[]}",
         "{\"holder\":\"b\",\"host\":\"b\",\"fence\":1,\"expires_ms\":0,"
         "\"unix_offset_ms\":0,\"fixed\":{},\"past_holders\":[[1,2]]}" }) {
    cr_expect(!DutyRecordFromText(text), "%s", text);
  }
}

Test(singletonduty, stored_reports_of_other_writers_are_not_sent)
{
  DutyRecord previous;
  previous.mFixed[""] = 3;
  SingletonDuty duty(OptionsOf("a"));
  duty.SetWanted(true, kNow);
  const std::string body = StoredReportToText({ .mBody = "x" });
  const DutyActions read =
    duty.OnRead(ReadOf({ RowOf(previous),
                         { .mKey = "duty//8", .mText = body, .mVersion = 2 },
                         { .mKey = "duty//3", .mText = "?", .mVersion = 2 },
                         { .mKey = "duty//", .mText = body, .mVersion = 2 },
                         { .mKey = "duty//-1", .mText = body, .mVersion = 2 },
                         { .mKey = "other//1", .mText = body, .mVersion = 2 } },
                       kNow),
                kNow);
  cr_expect(HasEvent(read, DutyEventKind::Unreadable));
  cr_expect(duty.Unaccepted().empty());
}

Test(singletonduty, a_record_survives_its_text)
{
  const DutyRecord record{ .mHolder = "b1",
                           .mHost = "b",
                           .mFencingToken = 4,
                           .mExpiresAt = Millis(500),
                           .mFixed = { { "", 3 }, { "x/y", 7 } },
                           .mUnixOffset = Millis(-5),
                           .mPastHolders = { { "c", Millis(2) } } };
  cr_expect(DutyRecordFromText(DutyRecordToText(record)) == record);
  const StoredReport report{ .mBody = "{\"a\":1}", .mExpiresAt = Millis(8) };
  cr_expect(StoredReportFromText(StoredReportToText(report)) == report);
}

Test(singletonduty, a_fencing_token_rises_over_eras_and_above_those_without)
{
  const StoreVersion lost{ .mEra = 1, .mVersion = 90000 };
  const StoreVersion restored{ .mEra = 2, .mVersion = 3 };
  cr_expect(lost.Number() < restored.Number());
  cr_expect(StoreVersion::FromNumber(restored.Number()) == restored);
  cr_expect(StoreVersion{ .mVersion = 7 }.Number() == 7);
  const StoreVersion last{ .mEra = UINT64_MAX, .mVersion = UINT64_MAX };
  cr_expect(last.Number() < 1ULL << 53U);

  DutyRowsRead read = ReadOf({}, kNow);
  read.mEra = 3;
  SingletonDuty duty(OptionsOf("a"));
  duty.SetWanted(true, kNow);
  duty.OnRead(read, kNow);
  const Millis later = kNow + Millis(3300);
  duty.OnTick(later);
  duty.OnRead(read, later);
  duty.OnWritten(
    { .mOutcome = DutyWriteOutcome::Done, .mVersion = 10, .mEra = 3 }, later);
  const StoreVersion read3{ .mEra = 3, .mVersion = read.mVersion };
  cr_expect(duty.Record().mFencingToken == read3.Number() + 1);
}

Test(singletonduty, a_record_of_an_era_survives_its_text)
{
  const DutyRecord released{
    .mHost = "b",
    .mFencingToken = StoreVersion{ .mEra = 2, .mVersion = 9 }.Number(),
    .mExpiresAt = Millis(500),
    .mEra = 2,
    .mEraSince = Millis(70)
  };
  cr_expect(DutyRecordFromText(DutyRecordToText(released)) == released);
}

/** A released record of era 1 with a report of period 3, read in era 2. */
DutyRowsRead
RestoredRead(Millis aNow)
{
  const DutyRecord released{
    .mHost = "b", .mFencingToken = 4, .mFixed = { { "", 3 } }, .mEra = 1
  };
  const std::string body = StoredReportToText(
    { .mBody = "stored", .mExpiresAt = aNow + Millis(9000) });
  DutyRowsRead read =
    ReadOf({ RowOf(released),
             { .mKey = "duty#4", .mText = "b1", .mVersion = 2 },
             { .mKey = "duty//3", .mText = body, .mVersion = 4 } },
           aNow);
  read.mEra = 2;
  return read;
}

/** The write by which a new process takes a restored duty over, and the time
 * from which it may. */
WriteDutyRows
TakeOverRestored(SingletonDuty& aDuty, Millis aLater)
{
  aDuty.SetWanted(true, kNow);
  const DutyActions early = aDuty.OnRead(RestoredRead(kNow), kNow);
  cr_expect(FindAction<WriteDutyRows>(early) == nullptr);
  cr_expect(aDuty.OnTick(aLater - Millis(1)).empty());
  aDuty.OnTick(aLater);
  const DutyActions taken = aDuty.OnRead(RestoredRead(aLater), aLater);
  const auto* write = FindAction<WriteDutyRows>(taken);
  cr_assert(write != nullptr);
  return *write;
}

constexpr Millis kEarlierLeasesEnd = kNow + Millis(3300);

Test(singletonduty, a_lease_granted_before_a_restore_may_run_out)
{
  SingletonDuty duty(OptionsOf("a"));
  const WriteDutyRows write = TakeOverRestored(duty, kEarlierLeasesEnd);
  // The report may differ from one that the store has lost.
  const std::vector<std::string> removed{ "duty//3", "duty#4" };
  cr_expect(write.mRemoved == removed);
  cr_expect(duty.Unaccepted().empty());
  cr_assert(write.mExpected.size() == 1);
  cr_expect(write.mExpected.front().mKey == "duty#4");
}

Test(singletonduty, a_version_given_out_again_does_not_satisfy_a_holder)
{
  SingletonDuty duty(OptionsOf("a"));
  TakeOverRestored(duty, kEarlierLeasesEnd);
  duty.OnWritten(
    { .mOutcome = DutyWriteOutcome::Done, .mVersion = 10, .mEra = 2 },
    kEarlierLeasesEnd);
  const DutyActions renewal = duty.OnTick(kEarlierLeasesEnd + Millis(1000));
  const auto* write = FindAction<WriteDutyRows>(renewal);
  cr_assert(write != nullptr);
  cr_assert(write->mExpected.size() == 1);
  const std::string key = "duty#" + std::to_string(duty.Record().mFencingToken);
  cr_expect(write->mExpected.front() ==
            ExpectedRow({ .mKey = key, .mVersion = 10 }));
}

Test(singletonduty, a_holder_that_the_store_has_forgotten_does_not_return_early)
{
  SingletonDuty duty(OptionsOf("a"));
  TakeOverRestored(duty, kEarlierLeasesEnd);
  duty.OnWritten(
    { .mOutcome = DutyWriteOutcome::Done, .mVersion = 10, .mEra = 2 },
    kEarlierLeasesEnd);
  duty.Propose(ReportOf(4), kEarlierLeasesEnd);
  const DutyActions fixed = duty.OnWritten(
    { .mOutcome = DutyWriteOutcome::Done, .mVersion = 11, .mEra = 2 },
    kEarlierLeasesEnd);
  cr_expect(HasEvent(fixed, DutyEventKind::ReportFixed));
  cr_expect(FindAction<CallReceiver>(fixed) == nullptr);
  Millis now = kEarlierLeasesEnd;
  for (int second = 1; second <= 3; ++second) {
    now = now + Millis(1000);
    const DutyActions actions = duty.OnTick(now);
    cr_expect((FindAction<CallReceiver>(actions) != nullptr) == (second == 3));
    duty.OnWritten({ .mOutcome = DutyWriteOutcome::Done,
                     .mVersion = 11 + static_cast<uint64_t>(second),
                     .mEra = 2,
                     .mClock = ClockAt(now) },
                   now);
  }
}

/** It takes a duty over whose holder is empty or whose lease has ended. */
Test(singletonduty, a_release_without_eras_finds_a_released_duty_held)
{
  const DutyRecord released{
    .mHost = "b",
    .mFencingToken = StoreVersion{ .mEra = 2, .mVersion = 9 }.Number(),
    .mExpiresAt = Millis(500),
    .mEra = 2
  };
  const auto text = nlohmann::json::parse(DutyRecordToText(released));
  cr_expect(!text.at("holder").get<std::string>().empty());
  cr_expect(text.at("fence") == 9);
  cr_expect(text.at("expires_ms") == 40500);
}

Test(singletonduty, subjects_have_periods_of_their_own)
{
  SingletonDuty duty = HeldDuty();
  DutyReport report = ReportOf(5);
  report.mSubject = "svc/zone";
  duty.Propose(report, kNow);
  duty.OnWritten({ .mOutcome = DutyWriteOutcome::Done, .mVersion = 11 }, kNow);
  cr_expect(!duty.MayPropose("svc/zone", 5, kNow));
  cr_expect(duty.MayPropose("", 1, kNow));
}
