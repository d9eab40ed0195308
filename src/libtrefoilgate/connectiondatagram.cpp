#include "connectiondatagram.h"

#include "datagramfields.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string>

namespace trefoilgate {

using namespace trefoilarch;
using Json = nlohmann::json;

namespace {

/** The first element: the message type and its version. */
constexpr const char* kFormat = "trefoil-connections-1";

/** More connections to one upstream are invalid. */
constexpr uint64_t kMaxConnections = 1000000;

bool
IsUse(const Json& aValue)
{
  return aValue.is_array() && aValue.size() == 2 && aValue[0].is_string() &&
         IsAtMost(aValue[1], kMaxConnections);
}

bool
IsUpdate(const Json& aValue)
{
  return aValue.is_array() && aValue.size() == 6 && aValue[0] == kFormat &&
         aValue[1].is_string() && IsUnsigned(aValue[2]) &&
         IsUnsigned(aValue[3]) && aValue[4].is_boolean() &&
         aValue[5].is_array() &&
         aValue[5].size() <= ConnectionUseUpdate::kMaxUses &&
         std::all_of(aValue[5].begin(), aValue[5].end(), IsUse);
}

} // namespace

std::vector<uint8_t>
EncodeConnectionUse(const ConnectionUseUpdate& aUpdate)
{
  Json uses = Json::array();
  for (const ConnectionUse& each : aUpdate.mUses) {
    uses.push_back({ each.mUpstream, each.mConnections });
  }
  return Json::to_msgpack(Json::array({ kFormat,
                                        aUpdate.mFrom,
                                        aUpdate.mProcess,
                                        aUpdate.mSequence,
                                        aUpdate.mBusy,
                                        std::move(uses) }));
}

std::optional<ConnectionUseUpdate>
DecodeConnectionUse(const std::vector<uint8_t>& aBytes)
{
  if (!HasFormat(aBytes, kFormat)) {
    return std::nullopt;
  }
  const Json json = Json::from_msgpack(aBytes, true, false);
  if (!IsUpdate(json)) {
    return std::nullopt;
  }
  ConnectionUseUpdate update{ .mFrom = json[1].get<std::string>(),
                              .mProcess = json[2].get<uint64_t>(),
                              .mSequence = json[3].get<uint64_t>(),
                              .mBusy = json[4].get<bool>(),
                              .mUses = {} };
  for (const Json& each : json[5]) {
    update.mUses.push_back({ .mUpstream = each[0].get<std::string>(),
                             .mConnections = each[1].get<uint32_t>() });
  }
  return update;
}

} // namespace trefoilgate
