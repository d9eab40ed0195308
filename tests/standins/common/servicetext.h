#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace standin {

/** Returns the hash of a body that the stand-ins record. */
uint64_t
HashOf(const std::string& aBody);

/** Returns the plain service stand-in's response to a call. */
nlohmann::json
ServiceAnswer(const std::string& aMethod,
              const std::string& aPath,
              const std::string& aBody,
              const std::string& aRequestId);

} // namespace standin
