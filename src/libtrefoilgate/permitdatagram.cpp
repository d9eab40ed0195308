#include "permitdatagram.h"

#include "datagramfields.h"

#include <cmath>
#include <nlohmann/json.hpp>

namespace trefoilgate {

using namespace trefoilarch;
using Json = nlohmann::json;

namespace {

/** The first element: the message type and its version. */
constexpr const char* kRequestFormat = "trefoil-permit-ask-1";
constexpr const char* kReplyFormat = "trefoil-permit-reply-1";

/** A longer age or wait, in milliseconds, is invalid. */
constexpr uint64_t kMaxMillis = 600000;

/** A larger number of permits is invalid. */
constexpr uint64_t kMaxPermits = 1000;

/** Represents an upstream without a limit. */
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
           ClampedMillis(aLimit.mAge, kMaxMillis) };
}

bool
IsLimitJson(const Json& aValue)
{
  return aValue.is_array() && aValue.size() == 3 && aValue[0].is_string() &&
         IsPerSecond(aValue[1]) && IsAtMost(aValue[2], kMaxMillis);
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
EncodePermitRequest(const PermitRequest& aRequest)
{
  return Json::to_msgpack(Json::array({ kRequestFormat,
                                        aRequest.mNumber,
                                        LimitJson(aRequest.mLimit),
                                        aRequest.mCount,
                                        aRequest.mUrgency,
                                        aRequest.mRank }));
}

std::vector<uint8_t>
EncodePermitReply(const PermitReply& aReply)
{
  return Json::to_msgpack(Json::array({ kReplyFormat,
                                        aReply.mNumber,
                                        aReply.mGranted,
                                        ClampedMillis(aReply.mWait, kMaxMillis),
                                        aReply.mFromUrgency }));
}

std::optional<PermitRequest>
DecodePermitRequest(const std::vector<uint8_t>& aBytes)
{
  if (!HasFormat(aBytes, kRequestFormat)) {
    return std::nullopt;
  }
  const Json json = Json::from_msgpack(aBytes, true, false);
  const bool isRequest =
    json.is_array() && json.size() == 6 && json[0] == kRequestFormat &&
    IsUnsigned(json[1]) && IsLimitJson(json[2]) &&
    IsAtMost(json[3], kMaxPermits) && IsAtMost(json[4], UINT8_MAX) &&
    IsAtMost(json[5], UINT16_MAX);
  if (!isRequest) {
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
  if (!HasFormat(aBytes, kReplyFormat)) {
    return std::nullopt;
  }
  const Json json = Json::from_msgpack(aBytes, true, false);
  const bool isReply =
    json.is_array() && json.size() == 5 && json[0] == kReplyFormat &&
    IsUnsigned(json[1]) && IsAtMost(json[2], kMaxPermits) &&
    IsAtMost(json[3], kMaxMillis) && IsAtMost(json[4], UINT8_MAX);
  if (!isReply) {
    return std::nullopt;
  }
  return PermitReply{ .mNumber = json[1].get<uint64_t>(),
                      .mGranted = json[2].get<uint32_t>(),
                      .mWait = Millis(json[3].get<int64_t>()),
                      .mFromUrgency = json[4].get<uint8_t>() };
}

} // namespace trefoilgate
