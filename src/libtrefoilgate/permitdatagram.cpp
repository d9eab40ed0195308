#include "permitdatagram.h"

#include "datagramfields.h"

#include <cmath>
#include <nlohmann/json.hpp>

namespace trefoilgate {

using namespace trefoilarch;
using Json = nlohmann::json;

namespace {

/** The first element: the kind of message and its version. */
constexpr const char* kAskFormat = "trefoil-permit-ask-1";
constexpr const char* kReplyFormat = "trefoil-permit-reply-1";

/** A longer age or wait is a mistake, in milliseconds. */
constexpr uint64_t kMostMillis = 600000;

/** More permits at a time are a mistake. */
constexpr uint64_t kMostPermits = 1000;

/** Stands for an upstream without a limit. */
constexpr double kNoLimit = -1;

bool
IsPerSecond(const Json& aValue)
{
  if (!aValue.is_number()) {
    return false;
  }
  const auto number = aValue.get<double>();
  return std::isfinite(number) && (number >= 0 || number == kNoLimit);
}

} // namespace

Json
LimitJson(const LimitReport& aLimit)
{
  return { aLimit.mUpstream,
           aLimit.mPerSecond.value_or(kNoLimit),
           ClampedMillis(aLimit.mAge, kMostMillis) };
}

bool
IsLimitJson(const Json& aValue)
{
  return aValue.is_array() && aValue.size() == 3 && aValue[0].is_string() &&
         IsPerSecond(aValue[1]) && IsAtMost(aValue[2], kMostMillis);
}

LimitReport
LimitFromJson(const Json& aValue)
{
  LimitReport limit{ .mUpstream = aValue[0].get<std::string>(),
                     .mAge = Millis(aValue[2].get<int64_t>()) };
  const auto perSecond = aValue[1].get<double>();
  if (perSecond != kNoLimit) {
    limit.mPerSecond = perSecond;
  }
  return limit;
}

std::vector<uint8_t>
EncodePermitRequest(const PermitRequest& aAsk)
{
  return Json::to_msgpack(Json::array({ kAskFormat,
                                        aAsk.mNumber,
                                        LimitJson(aAsk.mLimit),
                                        aAsk.mCount,
                                        aAsk.mUrgency,
                                        aAsk.mRank }));
}

std::vector<uint8_t>
EncodePermitReply(const PermitReply& aReply)
{
  return Json::to_msgpack(
    Json::array({ kReplyFormat,
                  aReply.mNumber,
                  aReply.mGranted,
                  ClampedMillis(aReply.mWait, kMostMillis),
                  aReply.mFromUrgency }));
}

std::optional<PermitRequest>
DecodePermitRequest(const std::vector<uint8_t>& aBytes)
{
  const Json json = Json::from_msgpack(aBytes, true, false);
  const bool isAsk = json.is_array() && json.size() == 6 &&
                     json[0] == kAskFormat && IsUnsigned(json[1]) &&
                     IsLimitJson(json[2]) && IsAtMost(json[3], kMostPermits) &&
                     IsAtMost(json[4], UINT8_MAX) &&
                     IsAtMost(json[5], UINT16_MAX);
  if (!isAsk) {
    return std::nullopt;
  }
  return PermitRequest{ .mNumber = json[1].get<uint64_t>(),
                        .mLimit = LimitFromJson(json[2]),
                        .mCount = json[3].get<uint32_t>(),
                        .mUrgency = json[4].get<uint8_t>(),
                        .mRank = json[5].get<uint32_t>() };
}

std::optional<PermitReply>
DecodePermitReply(const std::vector<uint8_t>& aBytes)
{
  const Json json = Json::from_msgpack(aBytes, true, false);
  const bool isReply =
    json.is_array() && json.size() == 5 && json[0] == kReplyFormat &&
    IsUnsigned(json[1]) && IsAtMost(json[2], kMostPermits) &&
    IsAtMost(json[3], kMostMillis) && IsAtMost(json[4], UINT8_MAX);
  if (!isReply) {
    return std::nullopt;
  }
  return PermitReply{ .mNumber = json[1].get<uint64_t>(),
                      .mGranted = json[2].get<uint32_t>(),
                      .mWait = Millis(json[3].get<int64_t>()),
                      .mFromUrgency = json[4].get<uint8_t>() };
}

} // namespace trefoilgate
