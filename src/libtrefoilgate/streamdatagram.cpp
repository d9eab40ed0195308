#include "streamdatagram.h"

#include "datagramfields.h"

#include <nlohmann/json.hpp>

namespace trefoilgate {

using namespace trefoilarch;
using Json = nlohmann::json;

namespace {

/** The first element: the message type and its version. */
constexpr const char* kRecordFormat = "trefoil-stream-1";
constexpr const char* kQueryFormat = "trefoil-stream-ask-1";

/** A longer lifetime, in milliseconds, is invalid. */
constexpr uint64_t kMaxLifetimeMs = 172800000;

constexpr size_t kMaxTextBytes = 200;

bool
IsShortText(const Json& aValue)
{
  return aValue.is_string() &&
         aValue.get_ref<const std::string&>().size() <= kMaxTextBytes;
}

} // namespace

std::vector<uint8_t>
EncodeStreamRecord(const StreamOriginRecord& aRecord)
{
  return Json::to_msgpack(
    Json::array({ kRecordFormat,
                  aRecord.mStream,
                  aRecord.mOrigin.mService,
                  aRecord.mOrigin.mVersion,
                  ClampedMillis(aRecord.mLifetime, kMaxLifetimeMs) }));
}

std::vector<uint8_t>
EncodeStreamQuery(StreamKey aStream)
{
  return Json::to_msgpack(Json::array({ kQueryFormat, aStream }));
}

std::optional<StreamOriginRecord>
DecodeStreamRecord(const std::vector<uint8_t>& aBytes)
{
  if (!HasFormat(aBytes, kRecordFormat)) {
    return std::nullopt;
  }
  const Json json = Json::from_msgpack(aBytes, true, false);
  const bool isRecord = json.is_array() && json.size() == 5 &&
                        json[0] == kRecordFormat && IsUnsigned(json[1]) &&
                        IsShortText(json[2]) && IsShortText(json[3]) &&
                        IsAtMost(json[4], kMaxLifetimeMs);
  if (!isRecord) {
    return std::nullopt;
  }
  return StreamOriginRecord{
    .mStream = json[1].get<StreamKey>(),
    .mOrigin = { .mService = json[2].get<std::string>(),
                 .mVersion = json[3].get<std::string>() },
    .mLifetime = Millis(json[4].get<int64_t>())
  };
}

std::optional<StreamKey>
DecodeStreamQuery(const std::vector<uint8_t>& aBytes)
{
  if (!HasFormat(aBytes, kQueryFormat)) {
    return std::nullopt;
  }
  const Json json = Json::from_msgpack(aBytes, true, false);
  const bool isQuery = json.is_array() && json.size() == 2 &&
                       json[0] == kQueryFormat && IsUnsigned(json[1]);
  return isQuery ? std::optional(json[1].get<StreamKey>()) : std::nullopt;
}

} // namespace trefoilgate
