#include "scene.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <iostream>
#include <sstream>
#include <unistd.h>

namespace review {

using nlohmann::json;

namespace {

constexpr const char* kHost = "svc.example";
constexpr const char* kKey = "key-of-desk";

std::string
ToBase64(const std::string& aText)
{
  static constexpr char kDigits[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t at = 0; at < aText.size(); at += 3) {
    uint32_t bits = 0;
    for (size_t each = 0; each < 3; ++each) {
      const bool has = at + each < aText.size();
      bits =
        bits << 8U | (has ? static_cast<unsigned char>(aText[at + each]) : 0U);
    }
    const size_t bytes = std::min<size_t>(3, aText.size() - at);
    for (size_t each = 0; each < 4; ++each) {
      out += each <= bytes ? kDigits[bits >> (18 - 6 * each) & 63U] : '=';
    }
  }
  return out;
}

int
HexDigit(char aDigit)
{
  return std::isdigit(static_cast<unsigned char>(aDigit)) != 0
           ? aDigit - '0'
           : std::tolower(static_cast<unsigned char>(aDigit)) - 'a' + 10;
}

std::map<std::string, std::string>
QueryOf(const std::string& aTarget)
{
  std::map<std::string, std::string> query;
  const size_t mark = aTarget.find('?');
  std::istringstream parts(
    mark == std::string::npos ? "" : aTarget.substr(mark + 1));
  std::string part;
  while (std::getline(parts, part, '&')) {
    const size_t equals = part.find('=');
    std::string value;
    for (size_t at = equals + 1; at < part.size(); ++at) {
      if (part[at] == '%' && at + 2 < part.size()) {
        value += static_cast<char>(HexDigit(part[at + 1]) * 16 +
                                   HexDigit(part[at + 2]));
        at += 2;
      } else {
        value += part[at];
      }
    }
    query[part.substr(0, equals)] = value;
  }
  return query;
}

uint64_t
NumberOf(const std::string& aText)
{
  return aText.empty() ? 0 : std::stoull(aText);
}

int64_t
UnixMs()
{
  using namespace std::chrono;
  return duration_cast<milliseconds>(system_clock::now().time_since_epoch())
    .count();
}

/** The template with its fields filled in; sections are left out, as a small
 * deployment has no duties. */
std::string
Fill(const std::string& aTemplate,
     const std::map<std::string, std::string>& aFields)
{
  std::istringstream lines(aTemplate);
  std::string filled;
  std::string line;
  while (std::getline(lines, line)) {
    if (line.starts_with("{{#")) {
      continue;
    }
    size_t open = line.find("{{");
    while (open != std::string::npos) {
      const size_t close = line.find("}}", open);
      const auto field = aFields.find(line.substr(open + 2, close - open - 2));
      line.replace(
        open, close + 2 - open, field == aFields.end() ? "" : field->second);
      open = line.find("{{");
    }
    filled += line + "\n";
  }
  return filled;
}

std::string
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  return { std::istreambuf_iterator<char>(file), {} };
}

std::string
EnvironmentValue(const char* aName)
{
  const char* value = std::getenv(aName);
  return value == nullptr ? "" : value;
}

} // namespace

Record::Record(const std::string& aPath)
  : mFd(open(aPath.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644))
  , mStart(Now())
{
}

void
Record::Line(const std::string& aText)
{
  const std::lock_guard lock(mMutex);
  const std::string line =
    std::to_string(Now() - mStart) + " ms  " + aText + "\n";
  if (write(mFd, line.data(), line.size()) < 0) {
    std::cerr << "no record\n";
  }
}

Store::Store()
  : mServer([this](const Socket& aCaller, const Message& aRequest) {
    return Serve(aCaller, aRequest);
  })
{
}

void
Store::Put(const std::string& aTable,
           const std::string& aKey,
           const json& aValue)
{
  const std::lock_guard lock(mMutex);
  mRows[{ aTable, aKey }] = { .mValue = ToBase64(aValue.dump()),
                              .mVersion = ++mVersion };
  mChanged.notify_all();
}

void
Store::Remove(const std::string& aTable, const std::string& aKey)
{
  const std::lock_guard lock(mMutex);
  mRows[{ aTable, aKey }] = { .mValue = "",
                              .mVersion = ++mVersion,
                              .mRemoved = true };
  mChanged.notify_all();
}

bool
Store::Serve(const Socket& aCaller, const Message& aRequest)
{
  const std::string target = aRequest.Second();
  const std::string path = target.substr(0, target.find('?'));
  int status = 200;
  json body;
  if (path == "/v1/rows-get") {
    body = Read(QueryOf(target));
  } else if (path == "/v1/rows-feed") {
    body = Follow(QueryOf(target));
  } else if (path == "/v1/rows-tx") {
    std::tie(status, body) = Write(json::parse(aRequest.mBody));
  } else {
    status = 404;
  }
  const std::string text = body.dump();
  return aCaller.Send("HTTP/1.1 " + std::to_string(status) +
                      " x\r\nContent-Type: application/json\r\n"
                      "Content-Length: " +
                      std::to_string(text.size()) + "\r\n\r\n" + text);
}

json
Store::RowJson(const RowKey& aKey, const Row& aRow) const
{
  json row{ { "table", aKey.first },
            { "part", "" },
            { "key", aKey.second },
            { "ver", aRow.mVersion } };
  if (aRow.mRemoved) {
    row["tombstone"] = true;
  } else {
    row["value"] = aRow.mValue;
  }
  return row;
}

json
Store::Read(const std::map<std::string, std::string>& aQuery)
{
  const auto text = [&](const char* aName) {
    const auto found = aQuery.find(aName);
    return found == aQuery.end() ? std::string() : found->second;
  };
  const std::lock_guard lock(mMutex);
  json rows = json::array();
  for (const auto& [key, row] : mRows) {
    const bool after = text("from").empty() || key.second >= text("from");
    const bool before = text("to").empty() || key.second < text("to");
    if (key.first == text("table") && !row.mRemoved && after && before) {
      rows.push_back(RowJson(key, row));
    }
  }
  return { { "rows", rows },
           { "hasMore", false },
           { "ver", mVersion },
           { "nowMs", Now() } };
}

json
Store::Follow(const std::map<std::string, std::string>& aQuery)
{
  const std::string table = aQuery.at("table");
  const uint64_t after = NumberOf(aQuery.at("after"));
  const uint64_t wait =
    aQuery.contains("waitMs") ? NumberOf(aQuery.at("waitMs")) : 0;
  std::unique_lock lock(mMutex);
  json rows = json::array();
  const auto collect = [&] {
    std::vector<std::pair<uint64_t, json>> changed;
    for (const auto& [key, row] : mRows) {
      if (key.first == table && row.mVersion > after) {
        changed.emplace_back(row.mVersion, RowJson(key, row));
      }
    }
    std::sort(changed.begin(),
              changed.end(),
              [](const auto& aLeft, const auto& aRight) {
                return aLeft.first < aRight.first;
              });
    for (auto& [version, row] : changed) {
      rows.push_back(std::move(row));
    }
    return !rows.empty();
  };
  mChanged.wait_for(lock, std::chrono::milliseconds(wait), collect);
  return { { "rows", rows },
           { "hasMore", false },
           { "ver", mVersion },
           { "nowMs", Now() } };
}

std::pair<int, json>
Store::Write(const json& aTransaction)
{
  const std::lock_guard lock(mMutex);
  const auto keyOf = [](const json& aRow) {
    return RowKey{ aRow.at("table"), aRow.at("key") };
  };
  json current = json::array();
  bool fits = true;
  for (const json& each : aTransaction.at("expectedRev")) {
    const auto row = mRows.find(keyOf(each));
    const bool exists = row != mRows.end() && !row->second.mRemoved;
    fits = fits && (exists ? row->second.mVersion : 0) ==
                     each.at("ver").get<uint64_t>();
    if (exists) {
      current.push_back(RowJson(row->first, row->second));
    }
  }
  if (!fits) {
    return { 412,
             { { "rows", current }, { "ver", mVersion }, { "nowMs", Now() } } };
  }
  mVersion++;
  for (const json& each : aTransaction.at("setKeys")) {
    mRows[keyOf(each)] = { .mValue = each.at("value"), .mVersion = mVersion };
  }
  for (const json& each : aTransaction.at("remove")) {
    mRows[keyOf(each)] = { .mValue = "",
                           .mVersion = mVersion,
                           .mRemoved = true };
  }
  mChanged.notify_all();
  return { 200, { { "ver", mVersion }, { "nowMs", Now() } } };
}

Setting
ReadSetting(int aCount, char** aArguments)
{
  if (aCount < 5) {
    std::cerr << "root, temporary folder, worker program, record\n";
    std::exit(kCouldNotRun);
  }
  return { .mRoot = aArguments[1],
           .mWork = aArguments[2],
           .mWorker = aArguments[3],
           .mRecord = aArguments[4],
           .mTrouble = EnvironmentValue("TROUBLE") != "0" };
}

Gate::Gate(const Setting& aSetting, const Store& aStore, GateOptions aOptions)
  : mFront(FreePort())
  , mReady(FreePort())
  , mPeer(FreePort())
{
  const auto local = [](int aPort) {
    return "127.0.0.1:" + std::to_string(aPort);
  };
  const std::map<std::string, std::string> fields = {
    { "nodeName", aOptions.mName },
    { "zone", "zone-1" },
    { "listen.front", local(mFront) },
    { "listen.ready", local(mReady) },
    { "platform.address", local(aStore.Port()) },
    { "ip", "127.0.0.1" },
    { "portRange.0", std::to_string(mPeer) },
    { "bounds.revokeMs", "5000" },
    { "bounds.configApplyMs", "2000" },
    { "bounds.drainMs", "2000" },
    { "heartbeatMs", "1200" },
    { "bounds.retryBudgetRatio", "0.2" },
    { "bounds.budgetSlack", "54" },
    { "bounds.graceS", "8" },
    { "limits.maxFds", "4100" },
    { "limits.memoryMb", std::to_string(aOptions.mMemoryMb) }
  };
  const std::string settings = aSetting.mWork + "/" + aOptions.mName + ".env";
  std::ofstream(settings) << Fill(ReadFile(aSetting.mRoot + "/deploy/gate.env"),
                                  fields);
  mProcess = std::make_unique<Process>(
    std::vector<std::string>{ aSetting.mRoot + "/target/bin/trefoilarch-gate" },
    std::vector<std::string>{ "PATH=" + EnvironmentValue("PATH"),
                              "HOME=" + EnvironmentValue("HOME"),
                              "TREFOILARCH_BOOT=" + settings },
    aSetting.mRoot,
    aSetting.mWork + "/" + aOptions.mName + ".log");
}

bool
Gate::AwaitReady() const
{
  constexpr int kTries = 200;
  for (int each = 0; each < kTries; ++each) {
    const Socket caller = Connect(mReady);
    if (caller.Open() &&
        caller.Send("GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n") &&
        AnswerReader(caller).Read(1000).mStatus == 200) {
      return true;
    }
    SleepMs(50);
  }
  return false;
}

Worker::Worker(const Setting& aSetting, std::string aId, int aPort)
  : mId(std::move(aId))
  , mPort(aPort > 0 ? aPort : FreePort())
  , mBorn(UnixMs())
  , mOutput(aSetting.mWork + "/" + mId + ".log")
  , mProcess(std::make_unique<Process>(
      std::vector<std::string>{ aSetting.mWorker, mId, std::to_string(mPort) },
      std::vector<std::string>{},
      aSetting.mWork,
      mOutput))
{
}

bool
Worker::AwaitListening() const
{
  constexpr int kTries = 200;
  for (int each = 0; each < kTries; ++each) {
    if (Connect(mPort).Open()) {
      return true;
    }
    SleepMs(10);
  }
  return false;
}

json
Worker::Entry(const std::string& aState, int aSequence, int aPort) const
{
  return { { "service", "svc" },
           { "address", "127.0.0.1:" + std::to_string(aPort) },
           { "zone", "zone-1" },
           { "version", "v1" },
           { "slots", 64 },
           { "state", aState },
           { "coldRemainingMs", 0 },
           { "sequence", aSequence },
           { "born", mBorn } };
}

std::vector<std::string>
Worker::Lines() const
{
  std::istringstream text(ReadFile(mOutput));
  std::vector<std::string> lines;
  std::string line;
  while (std::getline(text, line)) {
    lines.push_back(line);
  }
  return lines;
}

bool
Worker::Ran(const std::string& aRequest) const
{
  const auto lines = Lines();
  return std::find(lines.begin(), lines.end(), "ran " + aRequest) !=
         lines.end();
}

bool
Worker::Ended(const std::string& aRequest) const
{
  const auto lines = Lines();
  return std::find(lines.begin(), lines.end(), "ended " + aRequest) !=
         lines.end();
}

json
RouteOf(const std::string& aName,
        const std::string& aKind,
        const std::string& aService,
        int aTimeoutMs)
{
  json route{ { "name", aName },
              { "host", kHost },
              { "prefix", "/" + aName + "/" },
              { "kind", aKind },
              { "timeoutMs", aTimeoutMs },
              { "targetLatencyMs", 300 },
              { "priority", 1 },
              { "service", aService },
              { "maxAttempts", 1 },
              { "public", false },
              { "stickySessions", false } };
  if (aKind == "stream") {
    route["streamResume"] = false;
    route["gapAimMs"] = 800;
  }
  return route;
}

json
ConfigOf(const json& aRoutes, const json& aServices)
{
  return { { "version", 1 },
           { "routes", aRoutes },
           { "services", aServices },
           { "limits",
             { { "maxHeaderBytes", 16384 },
               { "maxBodyBytes", 4194304 },
               { "headerTimeoutMs", 5000 },
               { "idleTimeoutMs", 30000 } } },
           { "tenants",
             json::array({ { { "name", "desk" },
                             { "apiKeys", json::array({ kKey }) } } }) } };
}

std::string
RequestText(const std::string& aMethod,
            const std::string& aPath,
            const std::string& aId,
            int aDeadlineMs,
            const std::string& aBody)
{
  return aMethod + " " + aPath + " HTTP/1.1\r\nHost: " + kHost +
         "\r\nX-Request-Id: " + aId + "\r\nX-Credential: " + kKey +
         "\r\nX-Deadline-Ms: " + std::to_string(aDeadlineMs) +
         "\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
         aBody;
}

json
Services()
{
  return json::array({ { { "name", "svc" }, { "maxConns", 100 } } });
}

} // namespace review
