#pragma once

#include "libtrefoilarch/permit.h"

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <vector>

namespace trefoilgate {

/** An upstream's limit in messages between entries. */
nlohmann::json
LimitJson(const trefoilarch::LimitReport& aLimit);
bool
IsLimitJson(const nlohmann::json& aValue);
/** Requires IsLimitJson(). */
trefoilarch::LimitReport
LimitFromJson(const nlohmann::json& aValue);

std::vector<uint8_t>
EncodePermitRequest(const trefoilarch::PermitRequest& aRequest);
std::vector<uint8_t>
EncodePermitReply(const trefoilarch::PermitReply& aReply);

/** Empty if the bytes are not a permit request. */
std::optional<trefoilarch::PermitRequest>
DecodePermitRequest(const std::vector<uint8_t>& aBytes);
/** Empty if the bytes are not a permit reply. */
std::optional<trefoilarch::PermitReply>
DecodePermitReply(const std::vector<uint8_t>& aBytes);

} // namespace trefoilgate
