#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace standin {

/**
 * The transactional table, in the published JSON form of etcd's v3 key-value
 * interface (a subset): range, put, deleterange and txn. Serial and atomic.
 */
class Table
{
public:
  /** aOperation is range, put, deleterange or txn; throws on a bad request. */
  nlohmann::json Run(const std::string& aOperation,
                     const nlohmann::json& aRequest);

private:
  struct Row
  {
    std::string mValue;
    int64_t mCreated = 0;  /**< revision */
    int64_t mModified = 0; /**< revision */
    int64_t mVersion = 0;
  };

  nlohmann::json Range(const nlohmann::json& aRequest) const;
  nlohmann::json Put(const nlohmann::json& aRequest, int64_t aRevision);
  nlohmann::json DeleteRange(const nlohmann::json& aRequest);
  nlohmann::json Transaction(const nlohmann::json& aRequest);
  nlohmann::json RunPart(const nlohmann::json& aPart, int64_t aRevision);
  bool Holds(const nlohmann::json& aCompare) const;
  nlohmann::json WithHeader(nlohmann::json aReply) const;

  std::mutex mMutex;
  std::map<std::string, Row> mRows;
  int64_t mRevision = 1;
};

/** Whether an operation may write, for the counts. */
bool
IsWrite(const std::string& aOperation, const nlohmann::json& aRequest);

} // namespace standin
