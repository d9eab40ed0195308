#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace standin {

/** Hash of a body, as the stand-ins record it. */
uint64_t
HashOf(const std::string& aBody);

/** What the plain service stand-in answers to a call. */
nlohmann::json
ServiceAnswer(const std::string& aMethod,
              const std::string& aPath,
              const std::string& aBody,
              const std::string& aRequestId);

} // namespace standin
