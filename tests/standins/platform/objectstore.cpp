#include "objectstore.h"

namespace standin {

ServiceReply
ObjectStore::Put(const std::string& aKey, const std::string& aBytes)
{
  const std::lock_guard lock(mMutex);
  mObjects[aKey] = aBytes;
  return { .mStatus = 200, .mBody = "" };
}

ServiceReply
ObjectStore::Get(const std::string& aKey) const
{
  const std::lock_guard lock(mMutex);
  const auto object = mObjects.find(aKey);
  if (object == mObjects.end()) {
    return { .mStatus = 404,
             .mBody = "<Error><Code>NoSuchKey</Code></Error>",
             .mType = "application/xml" };
  }
  return { .mBody = object->second, .mType = "application/octet-stream" };
}

ServiceReply
ObjectStore::Delete(const std::string& aKey)
{
  const std::lock_guard lock(mMutex);
  mObjects.erase(aKey);
  return { .mStatus = 204, .mBody = "" };
}

ServiceReply
ObjectStore::List(const std::string& aPrefix) const
{
  const std::lock_guard lock(mMutex);
  std::string xml = "<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n"
                    "<ListBucketResult><Name>objects</Name><Prefix>" +
                    aPrefix + "</Prefix><IsTruncated>false</IsTruncated>";
  for (auto object = mObjects.lower_bound(aPrefix);
       object != mObjects.end() && object->first.starts_with(aPrefix);
       ++object) {
    xml += "<Contents><Key>" + object->first + "</Key><Size>" +
           std::to_string(object->second.size()) + "</Size></Contents>";
  }
  return { .mBody = xml + "</ListBucketResult>", .mType = "application/xml" };
}

} // namespace standin
