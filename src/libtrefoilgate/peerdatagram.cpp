#include "peerdatagram.h"

#include "datagramfields.h"
#include "permitdatagram.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace trefoilgate {

using namespace trefoilarch;
using Json = nlohmann::json;

namespace {

/** The first element: the kind of message and its version. */
constexpr const char* kFormat = "trefoil-notes-4";
constexpr const char* kNewsFormat = "trefoil-news-1";

/** What one datagram may hold, so that no link has to split it. */
constexpr size_t kMostPending = 48;
constexpr size_t kMostSent = 16;
constexpr size_t kMostParts = 16;
constexpr size_t kMostReports = 40;
constexpr size_t kMostDemands = 8;
constexpr size_t kMostAnswered = 32;
constexpr size_t kMostSilent = 16;
constexpr size_t kMostTables = 8;
constexpr size_t kMostLimits = UpstreamLimits::kMaxReports;

/** Requests are told in hundredths. */
constexpr double kHundred = 100;

/** An older report says nothing any more; a longer age is a mistake. */
constexpr uint64_t kMostAgeMs = 10000;

/** More requests at one upstream are a mistake. */
constexpr uint64_t kMostRequests = 1000000;

/** A later reading of the store's clock, in milliseconds, is a mistake. */
constexpr uint64_t kLatestReading = 1000000000000000;

/** How long the store has served beyond this decides nothing. */
constexpr uint64_t kMostRunMs = 60000;

/** More tokens than any engine holds are a mistake. */
constexpr uint64_t kMostTokens = 1000000000;

Json
PendingOf(const PeerUpdate& aNotes)
{
  Json pending = Json::array();
  for (const UpstreamPendingPrefill& each : aNotes.mPending) {
    if (pending.size() < kMostPending) {
      Json reads = Json::array({ each.mUpstream });
      for (uint8_t urgency = 0; urgency < PendingPrefill::kUrgencies;
           ++urgency) {
        reads.push_back(each.mPendingPrefill.Of(urgency));
      }
      pending.push_back(std::move(reads));
    }
  }
  return pending;
}

Json
SentOf(const PeerUpdate& aNotes)
{
  Json sent = Json::array();
  for (const SentPrompt& each : aNotes.mSent) {
    if (sent.size() < kMostSent) {
      sent.push_back({ each.mUpstream, each.mSegments, each.mTokens });
    }
  }
  return sent;
}

Json
ReportsOf(const PeerUpdate& aNotes)
{
  Json reports = Json::array();
  for (const ReceivedLoadReport& each : aNotes.mReports) {
    const ReportedLoad& load = each.mLoad;
    const uint32_t most =
      std::max({ load.mRunning, load.mWaiting, load.mSlots });
    if (reports.size() < kMostReports && most <= kMostRequests) {
      reports.push_back({ each.mUpstream,
                          load.mRunning,
                          load.mWaiting,
                          load.mSlots,
                          ClampedMillis(each.mAge, kMostAgeMs) });
    }
  }
  return reports;
}

uint64_t
Whole(double aValue)
{
  const double most = static_cast<double>(kMostTokens);
  return static_cast<uint64_t>(std::clamp(aValue, 0.0, most));
}

Json
DemandsOf(const PeerUpdate& aNotes)
{
  Json demands = Json::array();
  for (const RouteDemand& each : aNotes.mDemands) {
    if (demands.size() < kMostDemands) {
      demands.push_back({ each.mService,
                          each.mRoute,
                          Whole(each.mCount * kHundred),
                          Whole(each.mPromptTokens),
                          Whole(each.mOutputTokens),
                          Whole(each.mOpen * kHundred),
                          Whole(static_cast<double>(each.mMaxPause.Count())),
                          each.mUrgency });
    }
  }
  return demands;
}

Json
SilentOf(const PeerUpdate& aNotes)
{
  Json silent = Json::array();
  for (const SilentUpstream& each : aNotes.mSilent) {
    if (silent.size() < kMostSilent) {
      silent.push_back(
        { each.mUpstream, ClampedMillis(each.mSilence, kMostAgeMs) });
    }
  }
  return silent;
}

Json
AnsweredOf(const PeerUpdate& aNotes)
{
  Json answered = Json::array();
  for (const UpstreamId& each : aNotes.mAnswered) {
    if (answered.size() < kMostAnswered) {
      answered.push_back(each);
    }
  }
  return answered;
}

Json
TablesOf(const PeerUpdate& aNotes)
{
  Json tables = Json::array();
  for (const PeerTableCheckpoint& each : aNotes.mTables) {
    const int64_t reading = each.mCheckpoint.mStoreTime.Count();
    if (tables.size() < kMostTables && reading >= 0) {
      tables.push_back({ each.mTable,
                         each.mCheckpoint.mLastChange,
                         static_cast<uint64_t>(reading) });
    }
  }
  return tables;
}

/** The newest answer and the run's length; nothing where there is no run. */
Json
StoreRunOf(const PeerUpdate& aNotes)
{
  if (!aNotes.mStoreServing || aNotes.mStoreServing->mUntil < Millis(0)) {
    return Json::array();
  }
  const StoreServingInterval& run = *aNotes.mStoreServing;
  return { static_cast<uint64_t>(run.mUntil.Count()),
           ClampedMillis(run.mUntil - run.mSince, kMostRunMs) };
}

Json
LimitsOf(const PeerUpdate& aNotes)
{
  Json limits = Json::array();
  for (const LimitReport& each : aNotes.mLimits) {
    if (limits.size() < kMostLimits) {
      limits.push_back(LimitJson(each));
    }
  }
  return limits;
}

bool
IsTokens(const Json& aValue)
{
  return IsAtMost(aValue, kMostTokens);
}

bool
IsPending(const Json& aValue)
{
  return aValue.is_array() && aValue.size() == 1 + PendingPrefill::kUrgencies &&
         aValue[0].is_string() &&
         std::all_of(aValue.begin() + 1, aValue.end(), IsTokens);
}

bool
IsSent(const Json& aValue)
{
  return aValue.is_array() && aValue.size() == 3 && aValue[0].is_string() &&
         aValue[1].is_array() && aValue[1].size() <= kMostParts &&
         std::all_of(aValue[1].begin(), aValue[1].end(), IsUnsigned) &&
         IsTokens(aValue[2]);
}

bool
IsReport(const Json& aValue)
{
  return aValue.is_array() && aValue.size() == 5 && aValue[0].is_string() &&
         IsAtMost(aValue[1], kMostRequests) &&
         IsAtMost(aValue[2], kMostRequests) &&
         IsAtMost(aValue[3], kMostRequests) && IsAtMost(aValue[4], kMostAgeMs);
}

bool
IsDemand(const Json& aValue)
{
  return aValue.is_array() && aValue.size() == 8 && aValue[0].is_string() &&
         aValue[1].is_string() &&
         std::all_of(aValue.begin() + 2, aValue.end(), IsTokens) &&
         IsAtMost(aValue[7], UINT8_MAX);
}

bool
IsSilent(const Json& aValue)
{
  return aValue.is_array() && aValue.size() == 2 && aValue[0].is_string() &&
         IsAtMost(aValue[1], kMostAgeMs);
}

bool
IsTable(const Json& aValue)
{
  return aValue.is_array() && aValue.size() == 3 &&
         IsAtMost(aValue[0], UINT8_MAX) && IsUnsigned(aValue[1]) &&
         IsAtMost(aValue[2], kLatestReading);
}

bool
IsStoreRun(const Json& aValue)
{
  return aValue.is_array() &&
         (aValue.empty() ||
          (aValue.size() == 2 && IsAtMost(aValue[0], kLatestReading) &&
           IsAtMost(aValue[1], kMostRunMs)));
}

bool
IsRow(const Json& aValue)
{
  return aValue.is_array() && aValue.size() == 4 && aValue[0].is_string() &&
         aValue[1].is_binary() && aValue[2].is_boolean() &&
         IsUnsigned(aValue[3]);
}

bool
IsNews(const Json& aValue)
{
  return aValue.is_array() && aValue.size() == 7 && aValue[0] == kNewsFormat &&
         IsAtMost(aValue[1], UINT8_MAX) && IsUnsigned(aValue[2]) &&
         IsAtMost(aValue[3], kLatestReading) && IsUnsigned(aValue[4]) &&
         IsUnsigned(aValue[5]) && aValue[6].is_array() &&
         std::all_of(aValue[6].begin(), aValue[6].end(), IsRow);
}

bool
AreNotes(const Json& aValue)
{
  return aValue.is_array() && aValue.size() == 13 && aValue[0] == kFormat &&
         aValue[1].is_string() && IsUnsigned(aValue[2]) &&
         IsUnsigned(aValue[3]) && aValue[4].is_array() &&
         std::all_of(aValue[4].begin(), aValue[4].end(), IsPending) &&
         aValue[5].is_array() &&
         std::all_of(aValue[5].begin(), aValue[5].end(), IsSent) &&
         aValue[6].is_array() &&
         std::all_of(aValue[6].begin(), aValue[6].end(), IsReport) &&
         aValue[7].is_array() &&
         std::all_of(aValue[7].begin(), aValue[7].end(), IsDemand) &&
         aValue[8].is_array() &&
         std::all_of(aValue[8].begin(),
                     aValue[8].end(),
                     [](const Json& aId) { return aId.is_string(); }) &&
         aValue[9].is_array() &&
         std::all_of(aValue[9].begin(), aValue[9].end(), IsSilent) &&
         aValue[10].is_array() &&
         std::all_of(aValue[10].begin(), aValue[10].end(), IsTable) &&
         IsStoreRun(aValue[11]) && aValue[12].is_array() &&
         std::all_of(aValue[12].begin(), aValue[12].end(), IsLimitJson);
}

} // namespace

std::vector<uint8_t>
EncodePeerUpdate(const PeerUpdate& aNotes)
{
  return Json::to_msgpack(Json::array({ kFormat,
                                        aNotes.mFrom,
                                        aNotes.mProcess,
                                        aNotes.mSequence,
                                        PendingOf(aNotes),
                                        SentOf(aNotes),
                                        ReportsOf(aNotes),
                                        DemandsOf(aNotes),
                                        AnsweredOf(aNotes),
                                        SilentOf(aNotes),
                                        TablesOf(aNotes),
                                        StoreRunOf(aNotes),
                                        LimitsOf(aNotes) }));
}

std::optional<PeerUpdate>
DecodePeerUpdate(const std::vector<uint8_t>& aBytes)
{
  const Json json = Json::from_msgpack(aBytes, true, false);
  if (!AreNotes(json)) {
    return std::nullopt;
  }
  PeerUpdate notes{ .mFrom = json[1].get<std::string>(),
                    .mProcess = json[2].get<uint64_t>(),
                    .mSequence = json[3].get<uint64_t>() };
  for (const Json& each : json[4]) {
    UpstreamPendingPrefill pending{ .mUpstream = each[0].get<std::string>() };
    for (uint8_t urgency = 0; urgency < PendingPrefill::kUrgencies; ++urgency) {
      pending.mPendingPrefill.Add(urgency, each[1 + urgency].get<uint64_t>());
    }
    notes.mPending.push_back(std::move(pending));
  }
  for (const Json& each : json[5]) {
    notes.mSent.push_back({ .mUpstream = each[0].get<std::string>(),
                            .mSegments = each[1].get<std::vector<uint64_t>>(),
                            .mTokens = each[2].get<uint32_t>() });
  }
  for (const Json& each : json[6]) {
    notes.mReports.push_back({ .mUpstream = each[0].get<std::string>(),
                               .mLoad = { .mRunning = each[1].get<uint32_t>(),
                                          .mWaiting = each[2].get<uint32_t>(),
                                          .mSlots = each[3].get<uint32_t>() },
                               .mAge = Millis(each[4].get<int64_t>()) });
  }
  for (const Json& each : json[7]) {
    notes.mDemands.push_back(
      { .mService = each[0].get<std::string>(),
        .mRoute = each[1].get<std::string>(),
        .mCount = static_cast<double>(each[2].get<uint64_t>()) / kHundred,
        .mPromptTokens = static_cast<double>(each[3].get<uint64_t>()),
        .mOutputTokens = static_cast<double>(each[4].get<uint64_t>()),
        .mOpen = static_cast<double>(each[5].get<uint64_t>()) / kHundred,
        .mMaxPause = Millis(each[6].get<int64_t>()),
        .mUrgency = each[7].get<uint8_t>() });
  }
  for (const Json& each : json[8]) {
    notes.mAnswered.push_back(each.get<std::string>());
  }
  for (const Json& each : json[9]) {
    notes.mSilent.push_back({ .mUpstream = each[0].get<std::string>(),
                              .mSilence = Millis(each[1].get<int64_t>()) });
  }
  for (const Json& each : json[10]) {
    notes.mTables.push_back(
      { .mTable = each[0].get<uint8_t>(),
        .mCheckpoint = { .mLastChange = each[1].get<uint64_t>(),
                         .mStoreTime = Millis(each[2].get<int64_t>()) } });
  }
  if (!json[11].empty()) {
    const Millis until(json[11][0].get<int64_t>());
    notes.mStoreServing = { .mSince =
                              until - Millis(json[11][1].get<int64_t>()),
                            .mUntil = until };
  }
  for (const Json& each : json[12]) {
    notes.mLimits.push_back(LimitFromJson(each));
  }
  return notes;
}

std::vector<uint8_t>
EncodeTableUpdate(const TableUpdate& aNews)
{
  Json rows = Json::array();
  for (const TableRow& row : aNews.mRows) {
    rows.push_back({ row.mKey,
                     Json::binary({ row.mValue.begin(), row.mValue.end() }),
                     row.mRemoved,
                     row.mVersion });
  }
  const int64_t reading = aNews.mCheckpoint.mStoreTime.Count();
  Json news =
    Json::array({ kNewsFormat,
                  aNews.mTable,
                  aNews.mCheckpoint.mLastChange,
                  static_cast<uint64_t>(std::max<int64_t>(0, reading)),
                  aNews.mAfter,
                  aNews.mUpTo,
                  std::move(rows) });
  std::vector<uint8_t> bytes = Json::to_msgpack(news);
  if (bytes.size() > kMaxDatagramBytes && !aNews.mRows.empty()) {
    return EncodeTableUpdate(
      { .mTable = aNews.mTable, .mCheckpoint = aNews.mCheckpoint });
  }
  return bytes;
}

std::optional<TableUpdate>
DecodeTableUpdate(const std::vector<uint8_t>& aBytes)
{
  const Json json = Json::from_msgpack(aBytes, true, false);
  if (!IsNews(json)) {
    return std::nullopt;
  }
  TableUpdate news{ .mTable = json[1].get<uint8_t>(),
                    .mCheckpoint = { .mLastChange = json[2].get<uint64_t>(),
                                     .mStoreTime =
                                       Millis(json[3].get<int64_t>()) },
                    .mAfter = json[4].get<uint64_t>(),
                    .mUpTo = json[5].get<uint64_t>() };
  for (const Json& each : json[6]) {
    const Json::binary_t& value = each[1].get_binary();
    news.mRows.push_back({ .mKey = each[0].get<std::string>(),
                           .mValue = std::string(value.begin(), value.end()),
                           .mRemoved = each[2].get<bool>(),
                           .mVersion = each[3].get<uint64_t>() });
  }
  return news;
}

} // namespace trefoilgate
