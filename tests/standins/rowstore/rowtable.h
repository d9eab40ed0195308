#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <tuple>

namespace standin {

/** The HTTP status and body that a transaction results in. */
struct TransactionResult
{
  int mStatus = 200;
  nlohmann::json mBody;
};

/**
 * The rows of a store: one version counter for all tables, conditional
 * transactions, range reads and a change feed with a bounded history.
 * Thread-safe.
 */
class RowTable
{
public:
  TransactionResult Transact(const nlohmann::json& aTransaction);
  nlohmann::json Read(const std::string& aTable,
                      const std::string& aPart,
                      const std::string& aFrom,
                      const std::string& aTo,
                      size_t aLimit) const;
  /** Waits for changes after a version; empty if the history since that
   * version has been dropped. */
  std::optional<nlohmann::json> Follow(const std::string& aTable,
                                       uint64_t aAfter,
                                       std::chrono::milliseconds aWait) const;
  void Put(const std::string& aTable,
           const std::string& aKey,
           const std::string& aValue);
  void Remove(const std::string& aTable, const std::string& aKey);
  /** Drops all changes up to now from the history. */
  void DropHistory();
  /** Keeps a copy of the rows, their history and the version. */
  void TakeCopy();
  /** Goes back to the copy; the era rises by one. */
  void Restore();
  uint64_t Era() const;

private:
  using RowKey = std::tuple<std::string, std::string, std::string>;
  struct StoredRow
  {
    std::string mValue; /**< base64, as on the wire */
    uint64_t mVersion = 0;
  };
  struct Change
  {
    RowKey mKey;
    uint64_t mVersion = 0;
    bool mRemoved = false;
    std::string mValue;
  };

  static RowKey ToRowKey(const nlohmann::json& aRow);
  static nlohmann::json ToJson(const RowKey& aKey, const StoredRow& aRow);
  nlohmann::json WithVersionAndTime(nlohmann::json aRows) const;
  void Apply(const RowKey& aKey, const std::string* aValue);

  /** What a copy holds. */
  struct Contents
  {
    std::map<RowKey, StoredRow> mRows;
    std::deque<Change> mHistory;
    uint64_t mVersion = 1;
    uint64_t mDroppedVersion = 0;
  };

  mutable std::mutex mMutex;
  mutable std::condition_variable mChanged;
  Contents mNow;
  Contents mCopy;
  uint64_t mEra = 1;
};

} // namespace standin
