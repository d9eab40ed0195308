#pragma once

#include "servicefaultinjector.h"

#include <map>
#include <mutex>
#include <string>

namespace standin {

/** Objects by flat ASCII keys, with path-style S3 responses, unsigned. */
class ObjectStore
{
public:
  ServiceReply Put(const std::string& aKey, const std::string& aBytes);
  ServiceReply Get(const std::string& aKey) const;
  ServiceReply Delete(const std::string& aKey);
  ServiceReply List(const std::string& aPrefix) const;

private:
  mutable std::mutex mMutex;
  std::map<std::string, std::string> mObjects;
};

} // namespace standin
