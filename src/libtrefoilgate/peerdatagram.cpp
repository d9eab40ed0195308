#include "peerdatagram.h"

#include "datagramfields.h"
#include "permitdatagram.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace trefoilgate {

using namespace trefoilarch;
using Json = nlohmann::json;

namespace {

/** The first element: the message type and its version. */
constexpr const char* kPeerUpdateFormat = "trefoil-notes-4";
constexpr const char* kTableUpdateFormat = "trefoil-news-1";

/** Maximum numbers of elements, so that a datagram is not fragmented. */
constexpr size_t kMaxPending = 48;
constexpr size_t kMaxSent = 16;
constexpr size_t kMaxSegments = 16;
constexpr size_t kMaxLoadReports = 40;
constexpr size_t kMaxDemands = 8;
constexpr size_t kMaxAnswered = 32;
constexpr size_t kMaxSilent = 16;
constexpr size_t kMaxTables = 8;
constexpr size_t kMaxLimits = UpstreamLimits::kMaxReports;

/** Numbers of requests are sent in hundredths. */
constexpr double kHundred = 100;

/** An older report is useless; a longer age is invalid. */
constexpr uint64_t kMaxAgeMs = 10000;

/** More requests at one upstream are invalid. */
constexpr uint64_t kMaxRequests = 1000000;

/** A later store time, in milliseconds, is invalid. */
constexpr uint64_t kMaxStoreTime = 1000000000000000;

/** A longer serving interval makes no difference. */
constexpr uint64_t kMaxServingMs = 60000;

/** More tokens than any engine holds are invalid. */
constexpr uint64_t kMaxTokens = 1000000000;

Json
PendingOf(const PeerUpdate& aUpdate)
{
  Json pending = Json::array();
  for (const UpstreamPendingPrefill& each : aUpdate.mPending) {
    if (pending.size() < kMaxPending) {
      Json prefill = Json::array({ each.mUpstream });
      for (uint8_t urgency = 0; urgency < PendingPrefill::kUrgencies;
           ++urgency) {
        prefill.push_back(each.mPendingPrefill.Of(urgency));
      }
      pending.push_back(std::move(prefill));
    }
  }
  return pending;
}

/** As many of the segments as an update may have; the last one identifies the
 * session. */
std::vector<uint64_t>
BoundedSegments(const std::vector<uint64_t>& aSegments)
{
  std::vector<uint64_t> segments(
    aSegments.begin(),
    aSegments.begin() +
      static_cast<std::ptrdiff_t>(std::min(aSegments.size(), kMaxSegments)));
  if (!segments.empty()) {
    segments.back() = aSegments.back();
  }
  return segments;
}

Json
SentOf(const PeerUpdate& aUpdate)
{
  Json sent = Json::array();
  for (const SentPrompt& each : aUpdate.mSent) {
    if (sent.size() < kMaxSent) {
      sent.push_back(
        { each.mUpstream, BoundedSegments(each.mSegments), each.mTokens });
    }
  }
  return sent;
}

Json
ReportsOf(const PeerUpdate& aUpdate)
{
  Json reports = Json::array();
  for (const ReceivedLoadReport& each : aUpdate.mReports) {
    const ReportedLoad& load = each.mLoad;
    const uint32_t largest =
      std::max({ load.mRunning, load.mWaiting, load.mSlots });
    if (reports.size() < kMaxLoadReports && largest <= kMaxRequests) {
      reports.push_back({ each.mUpstream,
                          load.mRunning,
                          load.mWaiting,
                          load.mSlots,
                          ClampedMillis(each.mAge, kMaxAgeMs) });
    }
  }
  return reports;
}

uint64_t
ToBoundedInteger(double aValue)
{
  const double max = static_cast<double>(kMaxTokens);
  return static_cast<uint64_t>(std::clamp(aValue, 0.0, max));
}

Json
DemandsOf(const PeerUpdate& aUpdate)
{
  Json demands = Json::array();
  for (const RouteDemand& each : aUpdate.mDemands) {
    if (demands.size() < kMaxDemands) {
      demands.push_back(
        { each.mService,
          each.mRoute,
          ToBoundedInteger(each.mCount * kHundred),
          ToBoundedInteger(each.mPromptTokens),
          ToBoundedInteger(each.mOutputTokens),
          ToBoundedInteger(each.mOpen * kHundred),
          ToBoundedInteger(static_cast<double>(each.mMaxPause.Count())),
          each.mUrgency });
    }
  }
  return demands;
}

Json
SilentOf(const PeerUpdate& aUpdate)
{
  Json silent = Json::array();
  for (const SilentUpstream& each : aUpdate.mSilent) {
    if (silent.size() < kMaxSilent) {
      silent.push_back(
        { each.mUpstream, ClampedMillis(each.mSilence, kMaxAgeMs) });
    }
  }
  return silent;
}

Json
AnsweredOf(const PeerUpdate& aUpdate)
{
  Json answered = Json::array();
  for (const UpstreamId& each : aUpdate.mAnswered) {
    if (answered.size() < kMaxAnswered) {
      answered.push_back(each);
    }
  }
  return answered;
}

Json
TablesOf(const PeerUpdate& aUpdate)
{
  Json tables = Json::array();
  for (const PeerTableCheckpoint& each : aUpdate.mTables) {
    const int64_t storeTime = each.mCheckpoint.mStoreTime.Count();
    if (tables.size() < kMaxTables && storeTime >= 0) {
      tables.push_back({ each.mTable,
                         each.mCheckpoint.mLastChange,
                         static_cast<uint64_t>(storeTime) });
    }
  }
  return tables;
}

/** The store time of the last response and the interval's length; an empty
 * array if there is no interval. */
Json
ServingIntervalOf(const PeerUpdate& aUpdate)
{
  if (!aUpdate.mStoreServing || aUpdate.mStoreServing->mUntil < Millis(0)) {
    return Json::array();
  }
  const StoreServingInterval& interval = *aUpdate.mStoreServing;
  return { static_cast<uint64_t>(interval.mUntil.Count()),
           ClampedMillis(interval.mUntil - interval.mSince, kMaxServingMs) };
}

Json
LimitsOf(const PeerUpdate& aUpdate)
{
  Json limits = Json::array();
  for (const LimitReport& each : aUpdate.mLimits) {
    if (limits.size() < kMaxLimits) {
      limits.push_back(LimitJson(each));
    }
  }
  return limits;
}

bool
IsTokens(const Json& aValue)
{
  return IsAtMost(aValue, kMaxTokens);
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
         aValue[1].is_array() && aValue[1].size() <= kMaxSegments &&
         std::all_of(aValue[1].begin(), aValue[1].end(), IsUnsigned) &&
         IsTokens(aValue[2]);
}

bool
IsReport(const Json& aValue)
{
  return aValue.is_array() && aValue.size() == 5 && aValue[0].is_string() &&
         IsAtMost(aValue[1], kMaxRequests) &&
         IsAtMost(aValue[2], kMaxRequests) &&
         IsAtMost(aValue[3], kMaxRequests) && IsAtMost(aValue[4], kMaxAgeMs);
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
         IsAtMost(aValue[1], kMaxAgeMs);
}

bool
IsTableCheckpoint(const Json& aValue)
{
  return aValue.is_array() && aValue.size() == 3 &&
         IsAtMost(aValue[0], UINT8_MAX) && IsUnsigned(aValue[1]) &&
         IsAtMost(aValue[2], kMaxStoreTime);
}

bool
IsServingInterval(const Json& aValue)
{
  return aValue.is_array() &&
         (aValue.empty() ||
          (aValue.size() == 2 && IsAtMost(aValue[0], kMaxStoreTime) &&
           IsAtMost(aValue[1], kMaxServingMs)));
}

bool
IsRow(const Json& aValue)
{
  return aValue.is_array() && aValue.size() == 4 && aValue[0].is_string() &&
         aValue[1].is_binary() && aValue[2].is_boolean() &&
         IsUnsigned(aValue[3]);
}

bool
IsTableUpdate(const Json& aValue)
{
  return aValue.is_array() && aValue.size() == 7 &&
         aValue[0] == kTableUpdateFormat && IsAtMost(aValue[1], UINT8_MAX) &&
         IsUnsigned(aValue[2]) && IsAtMost(aValue[3], kMaxStoreTime) &&
         IsUnsigned(aValue[4]) && IsUnsigned(aValue[5]) &&
         aValue[6].is_array() &&
         std::all_of(aValue[6].begin(), aValue[6].end(), IsRow);
}

bool
IsPeerUpdate(const Json& aValue)
{
  return aValue.is_array() && aValue.size() == 13 &&
         aValue[0] == kPeerUpdateFormat && aValue[1].is_string() &&
         IsUnsigned(aValue[2]) && IsUnsigned(aValue[3]) &&
         aValue[4].is_array() &&
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
         std::all_of(aValue[10].begin(), aValue[10].end(), IsTableCheckpoint) &&
         IsServingInterval(aValue[11]) && aValue[12].is_array() &&
         std::all_of(aValue[12].begin(), aValue[12].end(), IsLimitJson);
}

} // namespace

std::vector<uint8_t>
EncodePeerUpdate(const PeerUpdate& aUpdate)
{
  return Json::to_msgpack(Json::array({ kPeerUpdateFormat,
                                        aUpdate.mFrom,
                                        aUpdate.mProcess,
                                        aUpdate.mSequence,
                                        PendingOf(aUpdate),
                                        SentOf(aUpdate),
                                        ReportsOf(aUpdate),
                                        DemandsOf(aUpdate),
                                        AnsweredOf(aUpdate),
                                        SilentOf(aUpdate),
                                        TablesOf(aUpdate),
                                        ServingIntervalOf(aUpdate),
                                        LimitsOf(aUpdate) }));
}

std::optional<PeerUpdate>
DecodePeerUpdate(const std::vector<uint8_t>& aBytes)
{
  if (!HasFormat(aBytes, kPeerUpdateFormat)) {
    return std::nullopt;
  }
  const Json json = Json::from_msgpack(aBytes, true, false);
  if (!IsPeerUpdate(json)) {
    return std::nullopt;
  }
  PeerUpdate update{ .mFrom = json[1].get<std::string>(),
                     .mProcess = json[2].get<uint64_t>(),
                     .mSequence = json[3].get<uint64_t>() };
  for (const Json& each : json[4]) {
    UpstreamPendingPrefill pending{ .mUpstream = each[0].get<std::string>() };
    for (uint8_t urgency = 0; urgency < PendingPrefill::kUrgencies; ++urgency) {
      pending.mPendingPrefill.Add(urgency, each[1 + urgency].get<uint64_t>());
    }
    update.mPending.push_back(std::move(pending));
  }
  for (const Json& each : json[5]) {
    update.mSent.push_back({ .mUpstream = each[0].get<std::string>(),
                             .mSegments = each[1].get<std::vector<uint64_t>>(),
                             .mTokens = each[2].get<uint32_t>() });
  }
  for (const Json& each : json[6]) {
    update.mReports.push_back({ .mUpstream = each[0].get<std::string>(),
                                .mLoad = { .mRunning = each[1].get<uint32_t>(),
                                           .mWaiting = each[2].get<uint32_t>(),
                                           .mSlots = each[3].get<uint32_t>() },
                                .mAge = Millis(each[4].get<int64_t>()) });
  }
  for (const Json& each : json[7]) {
    update.mDemands.push_back(
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
    update.mAnswered.push_back(each.get<std::string>());
  }
  for (const Json& each : json[9]) {
    update.mSilent.push_back({ .mUpstream = each[0].get<std::string>(),
                               .mSilence = Millis(each[1].get<int64_t>()) });
  }
  for (const Json& each : json[10]) {
    update.mTables.push_back(
      { .mTable = each[0].get<uint8_t>(),
        .mCheckpoint = { .mLastChange = each[1].get<uint64_t>(),
                         .mStoreTime = Millis(each[2].get<int64_t>()) } });
  }
  if (!json[11].empty()) {
    const Millis until(json[11][0].get<int64_t>());
    update.mStoreServing = { .mSince =
                               until - Millis(json[11][1].get<int64_t>()),
                             .mUntil = until };
  }
  for (const Json& each : json[12]) {
    update.mLimits.push_back(LimitFromJson(each));
  }
  return update;
}

std::vector<uint8_t>
EncodeTableUpdate(const TableUpdate& aUpdate)
{
  Json rows = Json::array();
  for (const TableRow& row : aUpdate.mRows) {
    rows.push_back({ row.mKey,
                     Json::binary({ row.mValue.begin(), row.mValue.end() }),
                     row.mRemoved,
                     row.mVersion });
  }
  const int64_t storeTime = aUpdate.mCheckpoint.mStoreTime.Count();
  Json update =
    Json::array({ kTableUpdateFormat,
                  aUpdate.mTable,
                  aUpdate.mCheckpoint.mLastChange,
                  static_cast<uint64_t>(std::max<int64_t>(0, storeTime)),
                  aUpdate.mAfter,
                  aUpdate.mUpTo,
                  std::move(rows) });
  std::vector<uint8_t> bytes = Json::to_msgpack(update);
  if (bytes.size() > kMaxDatagramBytes && !aUpdate.mRows.empty()) {
    return EncodeTableUpdate(
      { .mTable = aUpdate.mTable, .mCheckpoint = aUpdate.mCheckpoint });
  }
  return bytes;
}

std::optional<TableUpdate>
DecodeTableUpdate(const std::vector<uint8_t>& aBytes)
{
  if (!HasFormat(aBytes, kTableUpdateFormat)) {
    return std::nullopt;
  }
  const Json json = Json::from_msgpack(aBytes, true, false);
  if (!IsTableUpdate(json)) {
    return std::nullopt;
  }
  TableUpdate update{ .mTable = json[1].get<uint8_t>(),
                      .mCheckpoint = { .mLastChange = json[2].get<uint64_t>(),
                                       .mStoreTime =
                                         Millis(json[3].get<int64_t>()) },
                      .mAfter = json[4].get<uint64_t>(),
                      .mUpTo = json[5].get<uint64_t>() };
  for (const Json& each : json[6]) {
    const Json::binary_t& value = each[1].get_binary();
    update.mRows.push_back({ .mKey = each[0].get<std::string>(),
                             .mValue = std::string(value.begin(), value.end()),
                             .mRemoved = each[2].get<bool>(),
                             .mVersion = each[3].get<uint64_t>() });
  }
  return update;
}

} // namespace trefoilgate
