#pragma once

#include "libtrefoilarch/usageupdate.h"

#include <cstdint>
#include <optional>
#include <vector>

/** Datagrams about usage between entries. */
namespace trefoilgate {

std::vector<uint8_t>
EncodeUsageUpdate(const trefoilarch::UsageUpdate& aUpdate);

/** Empty if the bytes are not a valid update. */
std::optional<trefoilarch::UsageUpdate>
DecodeUsageUpdate(const std::vector<uint8_t>& aBytes);

std::vector<uint8_t>
EncodeUsageReply(const trefoilarch::UsageReply& aReply);

/** Empty if the bytes are not a valid reply. */
std::optional<trefoilarch::UsageReply>
DecodeUsageReply(const std::vector<uint8_t>& aBytes);

} // namespace trefoilgate
