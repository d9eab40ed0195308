#pragma once

#include "libtrefoilarch/permit.h"

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <vector>

namespace trefoilgate {

/** An upstream's limit as messages between entries hold it. */
nlohmann::json
LimitJson(const trefoilarch::LimitReport& aLimit);
bool
IsLimitJson(const nlohmann::json& aValue);
/** Of a value that IsLimitJson(). */
trefoilarch::LimitReport
LimitFromJson(const nlohmann::json& aValue);

std::vector<uint8_t>
EncodePermitRequest(const trefoilarch::PermitRequest& aAsk);
std::vector<uint8_t>
EncodePermitReply(const trefoilarch::PermitReply& aReply);

/** Empty where the bytes are no ask. */
std::optional<trefoilarch::PermitRequest>
DecodePermitRequest(const std::vector<uint8_t>& aBytes);
/** Empty where the bytes are no reply. */
std::optional<trefoilarch::PermitReply>
DecodePermitReply(const std::vector<uint8_t>& aBytes);

} // namespace trefoilgate
