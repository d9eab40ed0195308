#include "singletonduty.h"

#include <algorithm>
#include <charconv>

/** The stored reports of a SingletonDuty. */
namespace trefoilarch {

namespace {

constexpr char kKeySeparator = '/';

uint64_t
PeriodOf(const std::map<std::string, uint64_t>& aPeriods,
         const std::string& aSubject)
{
  const auto found = aPeriods.find(aSubject);
  return found == aPeriods.end() ? 0 : found->second;
}

} // namespace

uint64_t
SingletonDuty::LastFixed(const std::string& aSubject) const
{
  return PeriodOf(mState.mHighestFixed, aSubject);
}

uint64_t
SingletonDuty::LastAccepted(const std::string& aSubject) const
{
  return PeriodOf(mState.mAccepted, aSubject);
}

void
SingletonDuty::CollectReports(DutyActions& aOut,
                              const std::vector<DutyRow>& aRows)
{
  for (const DutyRow& row : aRows) {
    CollectReport(aOut, row);
  }
  std::sort(mState.mUnaccepted.begin(),
            mState.mUnaccepted.end(),
            [](const DutyReport& aLeft, const DutyReport& aRight) {
              return aLeft.mPeriod < aRight.mPeriod;
            });
}

void
SingletonDuty::CollectReport(DutyActions& aOut, const DutyRow& aRow)
{
  auto report = ReportOfKey(aRow.mKey);
  if (!report) {
    return;
  }
  const auto stored = StoredReportFromText(aRow.mText);
  if (!stored ||
      report->mPeriod > PeriodOf(mState.mRecord.mFixed, report->mSubject)) {
    aOut.emplace_back(
      DutyEvent::Of(DutyEventKind::Unreadable, *report, "a stored report"));
    return;
  }
  if (report->mPeriod <= LastAccepted(report->mSubject)) {
    return;
  }
  const bool known = std::any_of(
    mState.mUnaccepted.begin(),
    mState.mUnaccepted.end(),
    [&](const DutyReport& aOther) { return aOther.IsSameAs(*report); });
  if (!known) {
    report->mBody = stored->mBody;
    report->mExpiresAt = mState.mClock->BeforeUntil(stored->mExpiresAt);
    mState.mUnaccepted.push_back(std::move(*report));
  }
}

void
SingletonDuty::Finish(const DutyReport& aReport)
{
  std::erase_if(mState.mUnaccepted, [&](const DutyReport& aOther) {
    return aOther.IsSameAs(aReport);
  });
  uint64_t& accepted = mState.mAccepted[aReport.mSubject];
  accepted = std::max(accepted, aReport.mPeriod);
  mState.mRemovals.push_back(KeyOf(aReport));
}

void
SingletonDuty::RemoveStoredReports()
{
  // More are another writer's, and would exceed the size of a transaction.
  constexpr size_t kMaxRemovals = 50;
  const auto isOwn = [this](const std::string& aKey) {
    return std::any_of(
      mState.mUnaccepted.begin(),
      mState.mUnaccepted.end(),
      [&](const DutyReport& aReport) { return KeyOf(aReport) == aKey; });
  };
  for (const std::string& key : mState.mReportKeys) {
    if (mState.mRemovals.size() < kMaxRemovals && !isOwn(key)) {
      mState.mRemovals.push_back(key);
    }
  }
}

void
SingletonDuty::DropExpired(DutyActions& aOut, Millis aNow)
{
  const std::vector<DutyReport> reports = mState.mUnaccepted;
  for (const DutyReport& each : reports) {
    const bool isCalled = mState.mCalled && mState.mCalled->IsSameAs(each);
    if (aNow >= each.mExpiresAt && !isCalled) {
      Finish(each);
      aOut.emplace_back(DutyEvent::Of(DutyEventKind::ReportGivenUp, each));
    }
  }
}

DutyRow
SingletonDuty::RowOf(const DutyReport& aReport) const
{
  return { .mKey = KeyOf(aReport),
           .mText = StoredReportToText(
             { .mBody = aReport.mBody,
               .mExpiresAt = mState.mClock->Latest(aReport.mExpiresAt) }) };
}

std::string
SingletonDuty::KeyOf(const DutyReport& aReport) const
{
  return mOptions.mName + kKeySeparator + aReport.mSubject + kKeySeparator +
         std::to_string(aReport.mPeriod);
}

std::optional<DutyReport>
SingletonDuty::ReportOfKey(const std::string& aKey) const
{
  const std::string prefix = mOptions.mName + kKeySeparator;
  const size_t separator = aKey.rfind(kKeySeparator);
  if (!aKey.starts_with(prefix) || separator < prefix.size()) {
    return std::nullopt;
  }
  DutyReport report{ .mSubject =
                       aKey.substr(prefix.size(), separator - prefix.size()) };
  const char* end = aKey.data() + aKey.size();
  const auto [parsed, error] =
    std::from_chars(aKey.data() + separator + 1, end, report.mPeriod);
  if (error != std::errc() || parsed != end) {
    return std::nullopt;
  }
  return report;
}

} // namespace trefoilarch
