#include "tierdatagram.h"

#include "datagramfields.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <string>

namespace trefoilgate {

using namespace trefoilarch;
using Json = nlohmann::json;

namespace {

/** The first element: the message type and its version. */
constexpr const char* kFormat = "trefoil-tiers-1";

/** Maximum length in bytes of a name; longer ones aren't sent. */
constexpr size_t kMaxNameBytes = 200;

/** More work per second than any service does is invalid. */
constexpr uint64_t kMaxWork = 1000000000000;

constexpr uint64_t kMaxAgeMs = TierReport::kMaxAge.Count();

bool
IsName(const Json& aValue)
{
  return aValue.is_string() && !aValue.get_ref<const std::string&>().empty() &&
         aValue.get_ref<const std::string&>().size() <= kMaxNameBytes;
}

bool
IsReport(const Json& aValue)
{
  return aValue.is_array() && aValue.size() == 6 && IsName(aValue[0]) &&
         IsAtMost(aValue[1], UINT8_MAX) && IsAtMost(aValue[2], kMaxWork) &&
         IsAtMost(aValue[3], kMaxWork) && IsAtMost(aValue[4], kMaxWork) &&
         IsAtMost(aValue[5], kMaxAgeMs);
}

bool
IsUpdate(const Json& aValue)
{
  return aValue.is_array() && aValue.size() == 5 && aValue[0] == kFormat &&
         IsName(aValue[1]) && IsUnsigned(aValue[2]) && IsUnsigned(aValue[3]) &&
         aValue[4].is_array() && aValue[4].size() <= kMaxTierReports &&
         std::all_of(aValue[4].begin(), aValue[4].end(), IsReport);
}

uint64_t
RoundedWork(double aWork)
{
  const double bounded = std::clamp(aWork, 0.0, static_cast<double>(kMaxWork));
  return static_cast<uint64_t>(std::llround(bounded));
}

} // namespace

std::vector<uint8_t>
EncodeTierUpdate(const TierUpdate& aUpdate)
{
  Json reports = Json::array();
  for (const TierReport& each : aUpdate.mReports) {
    Json report = { each.mService,
                    each.mPriority,
                    RoundedWork(each.mDemand),
                    RoundedWork(each.mLate),
                    RoundedWork(each.mRejected),
                    ClampedMillis(each.mAcceptedAge, kMaxAgeMs) };
    if (reports.size() < kMaxTierReports && IsReport(report)) {
      reports.push_back(std::move(report));
    }
  }
  const Json update = Json::array({ kFormat,
                                    aUpdate.mFrom,
                                    aUpdate.mProcess,
                                    aUpdate.mSequence,
                                    std::move(reports) });
  return IsUpdate(update) ? Json::to_msgpack(update) : std::vector<uint8_t>();
}

std::optional<TierUpdate>
DecodeTierUpdate(const std::vector<uint8_t>& aBytes)
{
  if (!HasFormat(aBytes, kFormat)) {
    return std::nullopt;
  }
  const Json json = Json::from_msgpack(aBytes, true, false);
  if (!IsUpdate(json)) {
    return std::nullopt;
  }
  TierUpdate update{ .mFrom = json[1].get<std::string>(),
                     .mProcess = json[2].get<uint64_t>(),
                     .mSequence = json[3].get<uint64_t>() };
  for (const Json& each : json[4]) {
    update.mReports.push_back(
      { .mService = each[0].get<std::string>(),
        .mPriority = each[1].get<uint8_t>(),
        .mDemand = each[2].get<double>(),
        .mLate = each[3].get<double>(),
        .mRejected = each[4].get<double>(),
        .mAcceptedAge = Millis(each[5].get<int64_t>()) });
  }
  return update;
}

} // namespace trefoilgate
