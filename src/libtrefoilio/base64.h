#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace trefoilio {

/** Standard base64 with padding (RFC 4648), by Boost's iterators. */
std::string
ToBase64(std::string_view aBytes);

/** Empty where the text is not base64. */
std::optional<std::string>
FromBase64(std::string_view aText);

} // namespace trefoilio
