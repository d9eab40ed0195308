#include "servicetext.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace standin {

uint64_t
HashOf(const std::string& aBody)
{
  return XXH64(aBody.data(), aBody.size(), 0);
}

nlohmann::json
ServiceAnswer(const std::string& aMethod,
              const std::string& aPath,
              const std::string& aBody,
              const std::string& aRequestId)
{
  return { { "method", aMethod },
           { "path", aPath },
           { "body_hash", std::to_string(HashOf(aBody)) },
           { "request_id", aRequestId } };
}

} // namespace standin
