#include "store.h"

#include <cstdlib>
#include <thread>

namespace review {

namespace {

constexpr int kOk = 200;
constexpr int kForbidden = 403;
constexpr int kNotFound = 404;
constexpr int kGone = 410;
constexpr int kConflict = 412;

/** As the platform's sheets state it. */
constexpr Ms kAnswerTime{ 4 };
constexpr Ms kPoll{ 5 };
constexpr Clock::duration kIdle = std::chrono::seconds(120);

/** The history goes back further than a case lasts. */
int64_t
NowMs()
{
  return std::chrono::duration_cast<Ms>(Clock::now().time_since_epoch())
    .count();
}

uint64_t
Number(const std::string& aText)
{
  return std::strtoull(aText.c_str(), nullptr, 10);
}

} // namespace

Store::Store(const std::string& aIp)
  : mServer(aIp, [this](int aDescriptor) { Serve(aDescriptor); })
{
}

Store::Json
Store::ToJson(const RowKey& aKey, const Row& aRow)
{
  const auto& [table, part, key] = aKey;
  return { { "table", table },
           { "part", part },
           { "key", key },
           { "value", aRow.mValue },
           { "ver", aRow.mVersion } };
}

std::string
Store::Text(int aStatus, Json aBody) const
{
  aBody["ver"] = mState.mVersion;
  aBody["nowMs"] = NowMs();
  const std::string body = aBody.dump();
  return "HTTP/1.1 " + std::to_string(aStatus) +
         " -\r\nContent-Type: application/json\r\nStore-Era: " +
         std::to_string(mEra) +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

void
Store::Apply(const RowKey& aKey, const std::string* aValue)
{
  if (aValue != nullptr) {
    mState.mRows[aKey] = { .mValue = *aValue, .mVersion = mState.mVersion };
  } else if (mState.mRows.erase(aKey) == 0) {
    return;
  }
  mState.mHistory.push_back(
    { .mKey = aKey,
      .mRow = { .mValue = aValue != nullptr ? *aValue : "",
                .mVersion = mState.mVersion },
      .mRemoved = aValue == nullptr });
  mChanged.notify_all();
}

uint64_t
Store::Put(const std::string& aTable,
           const std::string& aKey,
           const std::string& aValue)
{
  const std::lock_guard lock(mMutex);
  if (mAway) {
    return 0;
  }
  mState.mVersion++;
  const std::string encoded = ToBase64(aValue);
  Apply({ aTable, "", aKey }, &encoded);
  return mState.mVersion;
}

bool
Store::Keep(const std::string& aTable,
            const std::string& aKey,
            const std::string& aValue)
{
  {
    const std::lock_guard lock(mMutex);
    if (mAway) {
      return false;
    }
    const auto row = mState.mRows.find({ aTable, "", aKey });
    if (row != mState.mRows.end() && row->second.mValue == ToBase64(aValue)) {
      return true;
    }
  }
  return Put(aTable, aKey, aValue) != 0;
}

void
Store::Remove(const std::string& aTable, const std::string& aKey)
{
  const std::lock_guard lock(mMutex);
  mState.mVersion++;
  Apply({ aTable, "", aKey }, nullptr);
}

uint64_t
Store::Version()
{
  const std::lock_guard lock(mMutex);
  return mState.mVersion;
}

std::string
Store::Value(const std::string& aTable, const std::string& aKey)
{
  const std::lock_guard lock(mMutex);
  const auto row = mState.mRows.find({ aTable, "", aKey });
  return row == mState.mRows.end() ? "" : row->second.mValue;
}

void
Store::TakeCopy()
{
  const std::lock_guard lock(mMutex);
  mCopy = mState;
}

void
Store::GoAway()
{
  {
    const std::lock_guard lock(mMutex);
    mAway = true;
    mServing++;
    mChanged.notify_all();
  }
  mServer.GoAway();
}

void
Store::ComeBack()
{
  {
    const std::lock_guard lock(mMutex);
    mAway = false;
  }
  mServer.ComeBack();
}

void
Store::ComeBackFromCopy()
{
  {
    const std::lock_guard lock(mMutex);
    mState = mCopy;
    mEra++;
    mAway = false;
  }
  mServer.ComeBack();
}

void
Store::Serve(int aDescriptor)
{
  uint64_t serving = 0;
  {
    const std::lock_guard lock(mMutex);
    serving = mServing;
  }
  Reader reader(aDescriptor);
  while (const auto request = reader.Next(Clock::now() + kIdle)) {
    std::this_thread::sleep_for(kAnswerTime);
    const std::string answer = Answer(*request, aDescriptor);
    {
      const std::lock_guard lock(mMutex);
      if (mAway || mServing != serving) {
        return;
      }
    }
    if (answer.empty() || !SendAll(aDescriptor, answer)) {
      return;
    }
  }
}

std::string
Store::Answer(const Message& aRequest, int aDescriptor)
{
  const std::string path = aRequest.Path();
  if (path == "/v1/rows-tx") {
    return Transact(aRequest);
  }
  if (path == "/v1/rows-get") {
    return Read(aRequest);
  }
  if (path == "/v1/rows-feed") {
    return Follow(aRequest, aDescriptor);
  }
  const std::lock_guard lock(mMutex);
  return Text(kNotFound, Json::object());
}

std::string
Store::Transact(const Message& aRequest)
{
  const Json body = Json::parse(aRequest.mBody, nullptr, false);
  const auto keyOf = [](const Json& aRow) {
    return RowKey{ aRow.value("table", ""),
                   aRow.value("part", ""),
                   aRow.value("key", "") };
  };
  const std::lock_guard lock(mMutex);
  if (mAway) {
    return "";
  }
  Json current = Json::array();
  bool holds = true;
  for (const Json& each : body.value("expectedRev", Json::array())) {
    const auto row = mState.mRows.find(keyOf(each));
    const bool found = row != mState.mRows.end();
    const uint64_t version = found ? row->second.mVersion : 0;
    holds = holds && version == each.value("ver", uint64_t{ 0 });
    if (found) {
      current.push_back(ToJson(row->first, row->second));
    }
  }
  if (!holds) {
    return Text(kConflict, { { "rows", current } });
  }
  const Json puts = body.value("setKeys", Json::array());
  const Json removals = body.value("remove", Json::array());
  for (const Json* rows : { &puts, &removals }) {
    for (const Json& each : *rows) {
      const std::string table = each.value("table", "");
      if (table == "op" || table == "servers") {
        return Text(kForbidden, Json::object());
      }
    }
  }
  mState.mVersion++;
  for (const Json& each : puts) {
    const std::string value = each.value("value", "");
    Apply(keyOf(each), &value);
  }
  for (const Json& each : removals) {
    Apply(keyOf(each), nullptr);
  }
  return Text(kOk, Json::object());
}

std::string
Store::Read(const Message& aRequest)
{
  const std::string table = aRequest.Parameter("table");
  const std::string part = aRequest.Parameter("part");
  const std::string to = aRequest.Parameter("to");
  const std::lock_guard lock(mMutex);
  Json rows = Json::array();
  auto row =
    mState.mRows.lower_bound({ table, part, aRequest.Parameter("from") });
  for (; row != mState.mRows.end(); ++row) {
    const auto& [rowTable, rowPart, key] = row->first;
    if (rowTable != table || rowPart != part || (!to.empty() && key >= to)) {
      break;
    }
    rows.push_back(ToJson(row->first, row->second));
  }
  return Text(kOk, { { "rows", rows }, { "hasMore", false } });
}

std::string
Store::Follow(const Message& aRequest, int aDescriptor)
{
  const std::string table = aRequest.Parameter("table");
  const uint64_t after = Number(aRequest.Parameter("after"));
  const auto until = Clock::now() + Ms(Number(aRequest.Parameter("waitMs")));
  std::unique_lock lock(mMutex);
  const uint64_t serving = mServing;
  for (;;) {
    if (mAway || mServing != serving || IsClosed(aDescriptor)) {
      return "";
    }
    if (after > mState.mVersion) {
      return Text(kGone, Json::object());
    }
    Json rows = Json::array();
    for (const Change& each : mState.mHistory) {
      if (each.mRow.mVersion > after && std::get<0>(each.mKey) == table) {
        rows.push_back(ToJson(each.mKey, each.mRow));
        if (each.mRemoved) {
          rows.back()["tombstone"] = true;
        }
      }
    }
    if (!rows.empty() || Clock::now() >= until) {
      return Text(kOk, { { "rows", rows } });
    }
    mChanged.wait_for(lock, kPoll);
  }
}

} // namespace review
