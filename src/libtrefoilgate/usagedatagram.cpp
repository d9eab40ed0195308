#include "usagedatagram.h"

#include "datagramfields.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace trefoilgate {

using namespace trefoilarch;
using Json = nlohmann::json;

namespace {

/** The first element: the message type and its version. */
constexpr const char* kUpdateFormat = "trefoil-usage-1";
constexpr const char* kReplyFormat = "trefoil-usage-reply-1";

/** More workspaces, longer names and larger numbers are invalid. */
constexpr size_t kMaxCounts = 256;
constexpr size_t kMaxNameBytes = 200;
constexpr uint64_t kMaxCount = 1000000000;
constexpr uint64_t kMaxNumber = 1ULL << 53U;

bool
IsName(const Json& aValue)
{
  return aValue.is_string() &&
         aValue.get_ref<const std::string&>().size() <= kMaxNameBytes;
}

/** Whether the value is a list of names, each followed by its count. */
bool
IsCounts(const Json& aValue)
{
  if (!aValue.is_array() || aValue.size() % 2 != 0 ||
      aValue.size() > 2 * kMaxCounts) {
    return false;
  }
  for (size_t index = 0; index < aValue.size(); index += 2) {
    if (!IsName(aValue[index]) || !IsAtMost(aValue[index + 1], kMaxCount)) {
      return false;
    }
  }
  return true;
}

bool
IsUpdate(const Json& aValue)
{
  return aValue.is_array() && aValue.size() == 8 &&
         aValue[0] == kUpdateFormat && IsName(aValue[1]) &&
         IsUnsigned(aValue[2]) && IsAtMost(aValue[3], kMaxNumber) &&
         IsAtMost(aValue[4], kMaxNumber) && IsAtMost(aValue[5], kMaxCount) &&
         aValue[6].is_boolean() && IsCounts(aValue[7]);
}

uint64_t
UnsignedMillis(Millis aTime)
{
  return static_cast<uint64_t>(std::max<int64_t>(0, aTime.Count()));
}

} // namespace

std::vector<uint8_t>
EncodeUsageUpdate(const UsageUpdate& aUpdate)
{
  Json counts = Json::array();
  for (const WorkspaceCount& each : aUpdate.mCounts) {
    counts.push_back(each.mWorkspace);
    counts.push_back(each.mCount);
  }
  return Json::to_msgpack(Json::array({ kUpdateFormat,
                                        aUpdate.mEntry,
                                        aUpdate.mProcess,
                                        UnsignedMillis(aUpdate.mWallTime),
                                        aUpdate.mWindow,
                                        aUpdate.mTotal,
                                        aUpdate.mClosed,
                                        std::move(counts) }));
}

std::optional<UsageUpdate>
DecodeUsageUpdate(const std::vector<uint8_t>& aBytes)
{
  if (!HasFormat(aBytes, kUpdateFormat)) {
    return std::nullopt;
  }
  const Json json = Json::from_msgpack(aBytes, true, false);
  if (!IsUpdate(json)) {
    return std::nullopt;
  }
  UsageUpdate update{ .mEntry = json[1].get<std::string>(),
                      .mProcess = json[2].get<uint64_t>(),
                      .mWallTime = Millis(json[3].get<int64_t>()),
                      .mWindow = json[4].get<uint64_t>(),
                      .mTotal = json[5].get<uint64_t>(),
                      .mClosed = json[6].get<bool>() };
  for (size_t index = 0; index < json[7].size(); index += 2) {
    update.mCounts.push_back({ .mWorkspace = json[7][index].get<std::string>(),
                               .mCount = json[7][index + 1].get<uint64_t>() });
  }
  return update;
}

std::vector<uint8_t>
EncodeUsageReply(const UsageReply& aReply)
{
  return Json::to_msgpack(Json::array({ kReplyFormat,
                                        aReply.mFencingToken,
                                        UnsignedMillis(aReply.mUnixTime),
                                        aReply.mFixedWindow }));
}

std::optional<UsageReply>
DecodeUsageReply(const std::vector<uint8_t>& aBytes)
{
  if (!HasFormat(aBytes, kReplyFormat)) {
    return std::nullopt;
  }
  const Json json = Json::from_msgpack(aBytes, true, false);
  const bool valid = json.is_array() && json.size() == 4 &&
                     json[0] == kReplyFormat && IsAtMost(json[1], kMaxNumber) &&
                     IsAtMost(json[2], kMaxNumber) &&
                     IsAtMost(json[3], kMaxNumber);
  if (!valid) {
    return std::nullopt;
  }
  return UsageReply{ .mFencingToken = json[1].get<uint64_t>(),
                     .mUnixTime = Millis(json[2].get<int64_t>()),
                     .mFixedWindow = json[3].get<uint64_t>() };
}

} // namespace trefoilgate
