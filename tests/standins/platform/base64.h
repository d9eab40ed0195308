#pragma once

#include <string>

namespace standin {

std::string
EncodeBase64(const std::string& aBytes);

/** Throws std::invalid_argument for anything that is not base64. */
std::string
DecodeBase64(const std::string& aText);

} // namespace standin
