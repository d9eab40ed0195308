#pragma once

#include "faultgate.h"

#include <map>
#include <mutex>
#include <string>

namespace standin {

/** Objects by flat ASCII keys, in path-style S3 form without signing. */
class ObjectStore
{
public:
  GateReply Put(const std::string& aKey, const std::string& aBytes);
  GateReply Get(const std::string& aKey) const;
  GateReply Delete(const std::string& aKey);
  GateReply List(const std::string& aPrefix) const;

private:
  mutable std::mutex mMutex;
  std::map<std::string, std::string> mObjects;
};

} // namespace standin
