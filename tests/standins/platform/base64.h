#pragma once

#include <string>

namespace standin {

std::string
EncodeBase64(const std::string& aBytes);

/** Throws std::invalid_argument if aText is not base64. */
std::string
DecodeBase64(const std::string& aText);

} // namespace standin
