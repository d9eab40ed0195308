#include "crashdatagram.h"

#include "datagramfields.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace trefoilgate {

using namespace trefoilarch;
using Json = nlohmann::json;

namespace {

/** The first element: the message type and its version. */
constexpr const char* kFormat = "trefoil-crash-1";

/** A longer age is invalid; some days, in milliseconds. */
constexpr uint64_t kMaxAgeMs = 1000000000;

/** Maximum number of requests in one message. */
constexpr size_t kMaxRequests = 256;

void
Append(Json& aList, const RequestFingerprint& aRequest)
{
  aList.push_back(aRequest.mHigh);
  aList.push_back(aRequest.mLow);
}

bool
IsAge(const Json& aValue)
{
  return IsAtMost(aValue, kMaxAgeMs);
}

/** Whether the value is a list of aPerRequest numbers for each request. */
bool
IsNumberList(const Json& aValue, size_t aPerRequest)
{
  return aValue.is_array() && aValue.size() % aPerRequest == 0 &&
         aValue.size() <= kMaxRequests * aPerRequest &&
         std::all_of(aValue.begin(), aValue.end(), IsUnsigned);
}

bool
IsReport(const Json& aValue)
{
  return aValue.is_array() && aValue.size() == 4 && aValue[0].is_string() &&
         aValue[1].is_number_integer() && IsAge(aValue[2]) &&
         IsNumberList(aValue[3], 2);
}

bool
IsCrashUpdate(const Json& aValue)
{
  return aValue.is_array() && aValue.size() == 5 && aValue[0] == kFormat &&
         aValue[1].is_array() && aValue[1].size() <= kMaxRequests &&
         std::all_of(aValue[1].begin(), aValue[1].end(), IsReport) &&
         IsNumberList(aValue[2], 3) && IsNumberList(aValue[3], 2) &&
         IsNumberList(aValue[4], 4);
}

RequestFingerprint
RequestAt(const Json& aList, size_t aIndex)
{
  return { .mHigh = aList[aIndex].get<uint64_t>(),
           .mLow = aList[aIndex + 1].get<uint64_t>() };
}

/** Limited to kMaxAgeMs, so that an invalid age can't overflow. */
Millis
AgeAt(const Json& aList, size_t aIndex)
{
  return Millis(
    static_cast<int64_t>(std::min(aList[aIndex].get<uint64_t>(), kMaxAgeMs)));
}

} // namespace

std::vector<uint8_t>
EncodeCrashUpdate(const CrashUpdate& aUpdate)
{
  Json reports = Json::array();
  for (const CrashReport& each : aUpdate.mReports) {
    Json suspects = Json::array();
    for (const RequestFingerprint& suspect : each.mSuspects) {
      Append(suspects, suspect);
    }
    reports.push_back({ each.mIncarnation.mUpstream,
                        each.mIncarnation.mStartTime,
                        ClampedMillis(each.mAge, kMaxAgeMs),
                        std::move(suspects) });
  }
  Json cleared = Json::array();
  for (const AgedRequest& each : aUpdate.mCleared) {
    Append(cleared, each.mRequest);
    cleared.push_back(ClampedMillis(each.mAge, kMaxAgeMs));
  }
  Json probes = Json::array();
  for (const RequestFingerprint& each : aUpdate.mProbes) {
    Append(probes, each);
  }
  Json quarantined = Json::array();
  for (const QuarantineReport& each : aUpdate.mQuarantined) {
    Append(quarantined, each.mRequest);
    quarantined.push_back(ClampedMillis(each.mSuspectFor, kMaxAgeMs));
    quarantined.push_back(ClampedMillis(each.mIdleFor, kMaxAgeMs));
  }
  return Json::to_msgpack(Json::array({ kFormat,
                                        std::move(reports),
                                        std::move(cleared),
                                        std::move(probes),
                                        std::move(quarantined) }));
}

std::optional<CrashUpdate>
DecodeCrashUpdate(const std::vector<uint8_t>& aBytes)
{
  if (!HasFormat(aBytes, kFormat)) {
    return std::nullopt;
  }
  const Json json = Json::from_msgpack(aBytes, true, false);
  if (!IsCrashUpdate(json)) {
    return std::nullopt;
  }
  CrashUpdate update;
  for (const Json& each : json[1]) {
    CrashReport report{
      .mIncarnation = { .mUpstream = each[0].get<std::string>(),
                        .mStartTime = each[1].get<int64_t>() },
      .mAge = AgeAt(each, 2)
    };
    for (size_t index = 0; index < each[3].size(); index += 2) {
      report.mSuspects.push_back(RequestAt(each[3], index));
    }
    update.mReports.push_back(std::move(report));
  }
  for (size_t index = 0; index < json[2].size(); index += 3) {
    update.mCleared.push_back({ .mRequest = RequestAt(json[2], index),
                                .mAge = AgeAt(json[2], index + 2) });
  }
  for (size_t index = 0; index < json[3].size(); index += 2) {
    update.mProbes.push_back(RequestAt(json[3], index));
  }
  for (size_t index = 0; index < json[4].size(); index += 4) {
    update.mQuarantined.push_back({ .mRequest = RequestAt(json[4], index),
                                    .mSuspectFor = AgeAt(json[4], index + 2),
                                    .mIdleFor = AgeAt(json[4], index + 3) });
  }
  return update;
}

} // namespace trefoilgate
