#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace trefoilio {

/** Encodes bytes as standard padded base64 (RFC 4648). */
std::string
ToBase64(std::string_view aBytes);

/** Decodes padded base64; returns nothing if the text is invalid. */
std::optional<std::string>
FromBase64(std::string_view aText);

} // namespace trefoilio
