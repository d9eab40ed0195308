#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace standin {

/**
 * A transactional table with a subset of the JSON interface of etcd's v3
 * key-value API: range, put, deleterange and txn. Calls are serialized and
 * atomic.
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
    int64_t mCreateRevision = 0;
    int64_t mModRevision = 0;
    int64_t mVersion = 0;
  };

  nlohmann::json Range(const nlohmann::json& aRequest) const;
  nlohmann::json Put(const nlohmann::json& aRequest, int64_t aRevision);
  nlohmann::json DeleteRange(const nlohmann::json& aRequest);
  nlohmann::json Transaction(const nlohmann::json& aRequest);
  nlohmann::json RunSubrequest(const nlohmann::json& aSubrequest,
                               int64_t aRevision);
  bool ConditionHolds(const nlohmann::json& aCompare) const;
  nlohmann::json WithHeader(nlohmann::json aReply) const;

  std::mutex mMutex;
  std::map<std::string, Row> mRows;
  int64_t mRevision = 1;
};

/** Returns whether an operation may write; used for the call counts. */
bool
IsWrite(const std::string& aOperation, const nlohmann::json& aRequest);

} // namespace standin
