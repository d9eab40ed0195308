#include "dutyrecord.h"

#include "boundedjson.h"
#include "storeversion.h"

#include <nlohmann/json.hpp>

namespace trefoilarch {

using Json = nlohmann::json;

namespace {

/** Numbers beyond these bounds are invalid, so that no calculation with them
 * overflows. */
constexpr int64_t kMaxTime = 1000000000000000;
constexpr uint64_t kMaxNumber = 1ULL << 53U;
constexpr size_t kMaxSubjects = 1000;
constexpr size_t kMaxPastHolders = 100;

/** Throws if the value is not an unsigned number within its bound. */
uint64_t
NumberIn(const Json& aValue)
{
  const auto number =
    aValue.is_number_unsigned() ? aValue.get<uint64_t>() : kMaxNumber;
  if (number >= kMaxNumber) {
    throw Json::other_error::create(0, "no valid number", &aValue);
  }
  return number;
}

Millis
TimeIn(const Json& aValue)
{
  const auto time =
    aValue.is_number_integer() ? aValue.get<int64_t>() : kMaxTime;
  if (time <= -kMaxTime || time >= kMaxTime) {
    throw Json::other_error::create(0, "no valid time", &aValue);
  }
  return Millis(time);
}

DutyRecord
RecordIn(const Json& aJson)
{
  DutyRecord record{ .mHolder = aJson.at("holder").get<std::string>(),
                     .mHost = aJson.at("host").get<std::string>(),
                     .mFencingToken = NumberIn(aJson.at("fence")),
                     .mExpiresAt = TimeIn(aJson.at("expires_ms")),
                     .mUnixOffset = TimeIn(aJson.at("unix_offset_ms")) };
  for (const auto& [subject, period] : aJson.at("fixed").items()) {
    record.mFixed[subject] = NumberIn(period);
  }
  for (const Json& past : aJson.at("past_holders")) {
    record.mPastHolders.push_back(
      { .mHost = past.at(0).get<std::string>(), .mUntil = TimeIn(past.at(1)) });
  }
  if (aJson.contains("era")) {
    record.mEra = NumberIn(aJson.at("era"));
    record.mEraSince = TimeIn(aJson.at("era_since_ms"));
    record.mHolder = aJson.at("held_by").get<std::string>();
    record.mFencingToken = NumberIn(aJson.at("token"));
    record.mExpiresAt = TimeIn(aJson.at("lease_end_ms"));
  }
  return record;
}

/** Adds the fields of an era, and hides the holder's end from releases that
 * don't know them. */
void
AddEra(Json& aJson, const DutyRecord& aRecord)
{
  aJson["era"] = aRecord.mEra;
  aJson["era_since_ms"] = aRecord.mEraSince.Count();
  aJson["held_by"] = aRecord.mHolder;
  aJson["token"] = aRecord.mFencingToken;
  aJson["lease_end_ms"] = aRecord.mExpiresAt.Count();
  aJson["holder"] = aRecord.mHolder.empty() ? "released" : aRecord.mHolder;
  aJson["fence"] = StoreVersion::FromNumber(aRecord.mFencingToken).mVersion;
  aJson["expires_ms"] = (aRecord.mExpiresAt + kOlderReleaseLockout).Count();
}

} // namespace

std::string
DutyRecordToText(const DutyRecord& aRecord)
{
  Json past = Json::array();
  for (const PastHolder& each : aRecord.mPastHolders) {
    past.push_back(Json::array({ each.mHost, each.mUntil.Count() }));
  }
  Json json{ { "holder", aRecord.mHolder },
             { "host", aRecord.mHost },
             { "fence", aRecord.mFencingToken },
             { "expires_ms", aRecord.mExpiresAt.Count() },
             { "fixed", Json(aRecord.mFixed) },
             { "unix_offset_ms", aRecord.mUnixOffset.Count() },
             { "past_holders", std::move(past) } };
  if (aRecord.mEra > 0) {
    AddEra(json, aRecord);
  }
  return json.dump();
}

std::optional<DutyRecord>
DutyRecordFromText(const std::string& aText)
{
  try {
    DutyRecord record = RecordIn(ParseBoundedJson(aText));
    const bool tooLarge = record.mFixed.size() > kMaxSubjects ||
                          record.mPastHolders.size() > kMaxPastHolders;
    return tooLarge ? std::nullopt : std::optional(std::move(record));
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

std::string
StoredReportToText(const StoredReport& aReport)
{
  return Json{
    { "body", aReport.mBody }, { "expires_ms", aReport.mExpiresAt.Count() }
  }.dump();
}

std::optional<StoredReport>
StoredReportFromText(const std::string& aText)
{
  try {
    const Json json = ParseBoundedJson(aText);
    return StoredReport{ .mBody = json.at("body").get<std::string>(),
                         .mExpiresAt = TimeIn(json.at("expires_ms")) };
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

} // namespace trefoilarch
