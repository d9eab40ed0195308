#include "rowtable.h"

#include "libtrefoilio/base64.h"

#include <optional>

namespace standin {

using nlohmann::json;

namespace {

constexpr size_t kMaxHistory = 10000;
constexpr int kConflict = 412;

int64_t
NowMillis()
{
  using namespace std::chrono;
  return duration_cast<milliseconds>(steady_clock::now().time_since_epoch())
    .count();
}

} // namespace

TransactionResult
RowTable::Transact(const json& aTransaction)
{
  const std::lock_guard lock(mMutex);
  json current = json::array();
  bool versionsMatch = true;
  for (const json& each : aTransaction.value("expectedRev", json::array())) {
    const auto row = mNow.mRows.find(ToRowKey(each));
    const uint64_t version = row == mNow.mRows.end() ? 0 : row->second.mVersion;
    versionsMatch =
      versionsMatch && version == each.value("ver", uint64_t{ 0 });
    if (row != mNow.mRows.end()) {
      current.push_back(ToJson(row->first, row->second));
    }
  }
  if (!versionsMatch) {
    return { .mStatus = kConflict,
             .mBody = WithVersionAndTime(std::move(current)) };
  }
  mNow.mVersion++;
  for (const json& each : aTransaction.value("setKeys", json::array())) {
    const std::string value = each.value("value", "");
    Apply(ToRowKey(each), &value);
  }
  for (const json& each : aTransaction.value("remove", json::array())) {
    Apply(ToRowKey(each), nullptr);
  }
  mChanged.notify_all();
  return { .mBody = { { "ver", mNow.mVersion }, { "nowMs", NowMillis() } } };
}

json
RowTable::Read(const std::string& aTable,
               const std::string& aPart,
               const std::string& aFrom,
               const std::string& aTo,
               size_t aLimit) const
{
  const std::lock_guard lock(mMutex);
  json rows = json::array();
  bool more = false;
  for (auto row = mNow.mRows.lower_bound({ aTable, aPart, aFrom });
       row != mNow.mRows.end();
       ++row) {
    const auto& [table, part, key] = row->first;
    if (table != aTable || part != aPart || (!aTo.empty() && key >= aTo)) {
      break;
    }
    if (rows.size() >= aLimit) {
      more = true;
      break;
    }
    rows.push_back(ToJson(row->first, row->second));
  }
  json body = WithVersionAndTime(std::move(rows));
  body["hasMore"] = more;
  return body;
}

std::optional<json>
RowTable::Follow(const std::string& aTable,
                 uint64_t aAfter,
                 std::chrono::milliseconds aWait) const
{
  const auto end = std::chrono::steady_clock::now() + aWait;
  std::unique_lock lock(mMutex);
  for (;;) {
    if (aAfter < mNow.mDroppedVersion || aAfter > mNow.mVersion) {
      return std::nullopt;
    }
    json rows = json::array();
    for (const Change& change : mNow.mHistory) {
      if (change.mVersion <= aAfter || std::get<0>(change.mKey) != aTable) {
        continue;
      }
      json row = ToJson(
        change.mKey, { .mValue = change.mValue, .mVersion = change.mVersion });
      if (change.mRemoved) {
        row["tombstone"] = true;
      }
      rows.push_back(std::move(row));
    }
    if (!rows.empty() || std::chrono::steady_clock::now() >= end) {
      return WithVersionAndTime(std::move(rows));
    }
    mChanged.wait_until(lock, end);
  }
}

void
RowTable::Put(const std::string& aTable,
              const std::string& aKey,
              const std::string& aValue)
{
  const std::lock_guard lock(mMutex);
  mNow.mVersion++;
  const std::string encoded = trefoilio::ToBase64(aValue);
  Apply({ aTable, "", aKey }, &encoded);
  mChanged.notify_all();
}

void
RowTable::Remove(const std::string& aTable, const std::string& aKey)
{
  const std::lock_guard lock(mMutex);
  mNow.mVersion++;
  Apply({ aTable, "", aKey }, nullptr);
  mChanged.notify_all();
}

void
RowTable::DropHistory()
{
  const std::lock_guard lock(mMutex);
  mNow.mDroppedVersion = mNow.mVersion;
  mNow.mHistory.clear();
  mChanged.notify_all();
}

void
RowTable::TakeCopy()
{
  const std::lock_guard lock(mMutex);
  mCopy = mNow;
}

void
RowTable::Restore()
{
  const std::lock_guard lock(mMutex);
  mNow = mCopy;
  mEra++;
  mChanged.notify_all();
}

uint64_t
RowTable::Era() const
{
  const std::lock_guard lock(mMutex);
  return mEra;
}

RowTable::RowKey
RowTable::ToRowKey(const json& aRow)
{
  return { aRow.value("table", ""),
           aRow.value("part", ""),
           aRow.value("key", "") };
}

json
RowTable::ToJson(const RowKey& aKey, const StoredRow& aRow)
{
  const auto& [table, part, key] = aKey;
  return { { "table", table },
           { "part", part },
           { "key", key },
           { "value", aRow.mValue },
           { "ver", aRow.mVersion } };
}

json
RowTable::WithVersionAndTime(json aRows) const
{
  return { { "rows", std::move(aRows) },
           { "ver", mNow.mVersion },
           { "nowMs", NowMillis() } };
}

void
RowTable::Apply(const RowKey& aKey, const std::string* aValue)
{
  if (aValue != nullptr) {
    mNow.mRows[aKey] = { .mValue = *aValue, .mVersion = mNow.mVersion };
  } else if (mNow.mRows.erase(aKey) == 0) {
    return;
  }
  mNow.mHistory.push_back({ .mKey = aKey,
                            .mVersion = mNow.mVersion,
                            .mRemoved = aValue == nullptr,
                            .mValue = aValue != nullptr ? *aValue : "" });
  if (mNow.mHistory.size() > kMaxHistory) {
    mNow.mDroppedVersion = mNow.mHistory.front().mVersion;
    mNow.mHistory.pop_front();
  }
}

} // namespace standin
