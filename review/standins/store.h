#pragma once

#include "net.h"
#include "server.h"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <tuple>

namespace review {

/**
 * The platform's store: tables of rows with one counter of versions,
 * transactions under conditions, reads, and the feed of changes. It can be away
 * for a while and come back from an older copy of itself.
 */
class Store
{
public:
  explicit Store(const std::string& aIp);

  std::string Address() const { return mServer.Address(); }

  /** What the operator and the workers write. Returns the row's version, or 0
   * while the store is away. */
  uint64_t Put(const std::string& aTable,
               const std::string& aKey,
               const std::string& aValue);
  /** The same, unless the row has that value; returns whether the store was
   * there. */
  bool Keep(const std::string& aTable,
            const std::string& aKey,
            const std::string& aValue);
  void Remove(const std::string& aTable, const std::string& aKey);

  uint64_t Version();
  /** Empty if there is none. */
  std::string Value(const std::string& aTable, const std::string& aKey);

  /** Keeps a copy of all that the store holds now. */
  void TakeCopy();
  void GoAway();
  /** Returns with all that it held. */
  void ComeBack();
  /** Returns with what it held when the copy was taken. */
  void ComeBackFromCopy();

private:
  using Json = nlohmann::json;
  using RowKey = std::tuple<std::string, std::string, std::string>;
  struct Row
  {
    std::string mValue; /**< base64, as on the wire */
    uint64_t mVersion = 0;
  };
  struct Change
  {
    RowKey mKey;
    Row mRow;
    bool mRemoved = false;
  };
  struct State
  {
    std::map<RowKey, Row> mRows;
    std::deque<Change> mHistory;
    uint64_t mVersion = 1;
  };

  void Serve(int aDescriptor);
  std::string Answer(const Message& aRequest, int aDescriptor);
  std::string Transact(const Message& aRequest);
  std::string Read(const Message& aRequest);
  std::string Follow(const Message& aRequest, int aDescriptor);
  void Apply(const RowKey& aKey, const std::string* aValue);
  std::string Text(int aStatus, Json aBody) const;
  static Json ToJson(const RowKey& aKey, const Row& aRow);

  std::mutex mMutex;
  std::condition_variable mChanged;
  State mState;
  State mCopy;
  uint64_t mEra = 1;
  uint64_t mServing = 1; /**< rises each time that the store goes away */
  bool mAway = false;
  Server mServer;
};

} // namespace review
