#include "gateway.h"

#include "bootclock.h"

#include <boost/asio/post.hpp>

#include <utility>

/** The gateway's view of the upstreams, and its log lines. */
namespace trefoilgate {

using namespace trefoilarch;

namespace {

/** Minimum interval between log lines about unreadable load reports. */
constexpr Millis kUnreadableLoadInterval{ 1000 };

/** Bytes of a text from another writer in a log line. */
constexpr size_t kMaxLoggedBytes = 200;

} // namespace

void
Gateway::ChangeDirectory(const std::function<void(UpstreamDirectory&)>& aChange)
{
  aChange(mRouter.Directory());
  OnDirectoryChanged();
}

void
Gateway::OnDirectoryChanged()
{
  for (const UpstreamId& id : mRouter.OnDirectoryChanged(BootNow())) {
    mPool.CloseIdle(id);
    mLog.Write(
      LineKind::StateChange, "upstream_started_again", { { "upstream", id } });
  }
  LogVersions();
  LogUnlisted();
  ExpireUpstreams();
}

void
Gateway::LogVersions()
{
  std::map<std::string, std::vector<std::string>> all;
  for (const auto& [service, versions] : mRouter.Versions()) {
    for (const auto& [version, upstreams] : versions) {
      all[service].push_back(version);
    }
  }
  for (const auto& [service, versions] : all) {
    const auto before = mLoggedVersions.find(service);
    if (before == mLoggedVersions.end() || before->second != versions) {
      mLog.Write(LineKind::StateChange,
                 "service_versions",
                 { { "service", service }, { "versions", versions } });
    }
  }
  mLoggedVersions = std::move(all);
}

void
Gateway::RequestListConfirmation(Millis aAt)
{
  if (mListConfirmedAt < aAt) {
    mTableHooks.mOnListConfirmationWanted(mListStoreTime + aAt -
                                          mListConfirmedAt);
  }
}

void
Gateway::ExpireUpstreams()
{
  if (mExpiryDue || mRouter.Directory().Unlisted().empty()) {
    return;
  }
  mExpiryDue = true;
  boost::asio::post(mLoop, [this] {
    mExpiryDue = false;
    if (mRouter.Directory().Expire()) {
      OnDirectoryChanged();
    }
    if (const auto wanted = mRouter.Directory().RequiredStoreTime()) {
      mTableHooks.mOnListConfirmationWanted(*wanted);
    }
  });
}

void
Gateway::OnStoreResponse(Millis aStoreTime)
{
  mRouter.Directory().OnStoreResponse(aStoreTime);
  ExpireUpstreams();
}

void
Gateway::ConfirmList(Millis aAt, Millis aStoreTime)
{
  mRouter.ConfirmList(aAt);
  mListConfirmedAt = aAt;
  mListStoreTime = aStoreTime;
  mRouter.Directory().OnListConfirmed(aStoreTime);
  ExpireUpstreams();
}

void
Gateway::OnStoreReport(const StoreServingInterval& aInterval)
{
  mRouter.Directory().OnStoreReport(aInterval);
  ExpireUpstreams();
}

void
Gateway::LogUnlisted()
{
  const UpstreamDirectory& directory = mRouter.Directory();
  const Millis now = BootNow();
  for (const auto& [id, unlisted] : mUnlisted) {
    if (!directory.Unlisted().contains(id)) {
      const bool isKnown = directory.Find(id) != nullptr;
      mLog.Write(LineKind::StateChange,
                 isKnown ? "upstream_relisted" : "upstream_dropped",
                 { { "upstream", id },
                   { "unlisted_ms", (now - unlisted.mSince).Count() } });
    }
  }
  for (const auto& [id, unlisted] : directory.Unlisted()) {
    if (!mUnlisted.contains(id)) {
      mLog.Write(LineKind::StateChange,
                 "upstream_kept_unlisted",
                 { { "upstream", id } });
    }
  }
  mUnlisted = directory.Unlisted();
}

void
Gateway::LogLimit(const LimitChange& aChange)
{
  nlohmann::json fields = { { "upstream", aChange.mUpstream } };
  const char* event = "upstream_limited";
  if (aChange.mUnreadable) {
    event = "upstream_limit_unreadable";
  } else if (aChange.mNow) {
    fields["per_second"] = *aChange.mNow;
    fields["before"] = aChange.mBefore.value_or(-1);
    fields["told"] = aChange.mFromPeer;
  } else {
    event = "upstream_limit_ended";
    fields["lasted_ms"] = aChange.mLasted.Count();
    fields["told"] = aChange.mFromPeer;
  }
  mLog.Write(LineKind::StateChange, event, fields);
}

void
Gateway::OnUnreadableLoad(const UpstreamId& aUpstream)
{
  const Millis now = BootNow();
  mMetrics.OnUnreadableLoadReport();
  mUnreadableLoads++;
  if (mUnreadableLoadLoggedAt &&
      now - *mUnreadableLoadLoggedAt < kUnreadableLoadInterval) {
    return;
  }
  mUnreadableLoadLoggedAt = now;
  mLog.Write(LineKind::StateChange,
             "load_report_unreadable",
             { { "upstream", aUpstream },
               { "reports", std::exchange(mUnreadableLoads, 0) } });
}

void
Gateway::OnUnreadableRow(const UnreadableRow& aRow)
{
  mMetrics.OnUnreadableRow(aRow.mTable);
  LineLimiter& lines =
    mUnreadableRowLines.try_emplace(std::string(aRow.mTable), kLinesPerSecond)
      .first->second;
  if (!lines.Admit(BootNow())) {
    return;
  }
  mLog.Write(LineKind::StateChange,
             aRow.mEvent,
             { { "table", aRow.mTable },
               { aRow.mKeyName, aRow.mKey.substr(0, kMaxLoggedBytes) },
               { "why", aRow.mReason.substr(0, kMaxLoggedBytes) },
               { "left_out", lines.TakeLeftOut() } });
}

void
Gateway::LogAvailability(const AvailabilityChange& aChange)
{
  nlohmann::json fields = { { "upstream", aChange.mUpstream } };
  const ListedUpstream* listed = mRouter.Directory().Find(aChange.mUpstream);
  fields["start_time"] = listed != nullptr ? listed->mStartTime.value_or(0) : 0;
  const char* event = "";
  switch (aChange.mEvent) {
    case AvailabilityEvent::Leaving:
      event = "upstream_states_leaving";
      break;
    case AvailabilityEvent::Paused:
      event = "upstream_paused";
      fields["pause_ms"] = aChange.mPause.Count();
      break;
    case AvailabilityEvent::Resumed:
      event = "upstream_resumed";
      break;
    case AvailabilityEvent::Replaced:
      event = "upstream_statements_ended";
      break;
    case AvailabilityEvent::Invalid:
      event = "upstream_statement_invalid";
      break;
  }
  mLog.Write(LineKind::StateChange, event, fields);
}

} // namespace trefoilgate
