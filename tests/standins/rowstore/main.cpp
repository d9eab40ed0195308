#include "rowtable.h"

#include "common/standinserver.h"

#include "libtrefoilio/base64.h"

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <iostream>
#include <mutex>
#include <random>
#include <thread>

using namespace standin;
using nlohmann::json;

namespace {

constexpr size_t kMaxRows = 500;
constexpr int kHistoryGone = 410;
constexpr int kForbidden = 403;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

/**
 * The store's fault modes: `up` (none); `down` (503); `busy` (429); `reset`;
 * `silent` (no response until the mode ends); `deaf` (a call that arrives or
 * becomes due in this mode never gets a response); `slow` (delay_ms before
 * each response); `lost` (writes take effect and the connection is cut).
 */
class FaultInjector
{
public:
  void Set(const json& aCommand)
  {
    const std::lock_guard lock(mMutex);
    mMode = aCommand.value("fault", mMode);
    mDelay = std::chrono::milliseconds(aCommand.value("delay_ms", 0));
    mChanged.notify_all();
  }

  std::string Mode() const
  {
    const std::lock_guard lock(mMutex);
    return mMode;
  }

  /** Applies the fault mode; returns false if the call must not be served. */
  bool Admit(Exchange& aExchange)
  {
    std::unique_lock lock(mMutex);
    const bool deaf = mMode == "deaf";
    while ((deaf || mMode == "silent") && !aExchange.ClientLeft()) {
      mChanged.wait_for(lock, std::chrono::milliseconds(20));
    }
    const std::string mode = mMode;
    const auto delay = mDelay;
    lock.unlock();
    if (mode == "slow") {
      std::this_thread::sleep_for(delay);
    }
    if (mode == "down") {
      aExchange.Send(kUnavailable, "{}");
    } else if (mode == "busy") {
      aExchange.Send(429, "{}");
    } else if (mode == "reset" || aExchange.ClientLeft()) {
      aExchange.Cut();
    } else {
      return true;
    }
    return false;
  }

  void CountCall()
  {
    const std::lock_guard lock(mMutex);
    mCalls++;
  }

  uint64_t Calls() const
  {
    const std::lock_guard lock(mMutex);
    return mCalls;
  }

private:
  mutable std::mutex mMutex;
  std::condition_variable mChanged;
  std::string mMode = "up";
  std::chrono::milliseconds mDelay{ 0 };
  uint64_t mCalls = 0;
};

uint64_t
ParseNumber(const std::string& aText, uint64_t aDefault)
{
  return aText.empty() ? aDefault : std::stoull(aText);
}

/** `value` is any JSON; `bytes`, in base64, need not be JSON. */
std::string
ValueOf(const json& aRow)
{
  return aRow.contains("bytes")
           ? trefoilio::FromBase64(aRow.at("bytes").get<std::string>())
               .value_or("")
           : aRow.at("value").dump();
}

void
Control(RowTable& aRows, FaultInjector& aFaultInjector, Exchange& aExchange)
{
  const json command = json::parse(aExchange.Body(), nullptr, false);
  if (command.contains("fault")) {
    aFaultInjector.Set(command);
  }
  if (command.value("copy", false)) {
    aRows.TakeCopy();
  }
  if (command.value("restore", false)) {
    aRows.Restore();
  }
  for (const json& row : command.value("put", json::array())) {
    aRows.Put(row.at("table"), row.at("key"), ValueOf(row));
  }
  for (const json& row : command.value("remove", json::array())) {
    aRows.Remove(row.at("table"), row.at("key"));
  }
  if (command.value("drop_history", false)) {
    aRows.DropHistory();
  }
  aExchange.Send(200, json{ { "calls", aFaultInjector.Calls() } }.dump());
}

void
SetEra(const RowTable& aRows, Exchange& aExchange)
{
  aExchange.SetHeader("Store-Era", std::to_string(aRows.Era()));
}

void
Write(RowTable& aRows, const FaultInjector& aFaultInjector, Exchange& aExchange)
{
  const json transaction = json::parse(aExchange.Body(), nullptr, false);
  for (const char* list : { "setKeys", "remove" }) {
    for (const json& row : transaction.value(list, json::array())) {
      const std::string table = row.value("table", "");
      if (table == "op" || table == "servers") {
        aExchange.Send(kForbidden, "{}");
        return;
      }
    }
  }
  const TransactionResult result = aRows.Transact(transaction);
  SetEra(aRows, aExchange);
  if (aFaultInjector.Mode() == "lost") {
    aExchange.Cut();
    return;
  }
  aExchange.Send(result.mStatus, result.mBody.dump());
}

void
Read(const RowTable& aRows, Exchange& aExchange)
{
  const auto limit = std::min<uint64_t>(
    kMaxRows, ParseNumber(aExchange.Parameter("limit"), kMaxRows));
  SetEra(aRows, aExchange);
  aExchange.Send(200,
                 aRows
                   .Read(aExchange.Parameter("table"),
                         aExchange.Parameter("part"),
                         aExchange.Parameter("from"),
                         aExchange.Parameter("to"),
                         limit)
                   .dump());
}

void
Follow(const RowTable& aRows,
       FaultInjector& aFaultInjector,
       Exchange& aExchange)
{
  const auto wait =
    std::chrono::milliseconds(ParseNumber(aExchange.Parameter("waitMs"), 0));
  const auto changes =
    aRows.Follow(aExchange.Parameter("table"),
                 ParseNumber(aExchange.Parameter("after"), 0),
                 wait);
  // A fault that began while the call waited also applies to its response.
  if (!aFaultInjector.Admit(aExchange)) {
    return;
  }
  SetEra(aRows, aExchange);
  if (changes) {
    aExchange.Send(200, changes->dump());
  } else {
    aExchange.Send(kHistoryGone, "{}");
  }
}

void
Serve(RowTable& aRows, FaultInjector& aFaultInjector, Exchange& aExchange)
{
  const std::string path = aExchange.Path();
  if (path == "/control") {
    Control(aRows, aFaultInjector, aExchange);
    return;
  }
  aFaultInjector.CountCall();
  if (!aFaultInjector.Admit(aExchange)) {
    return;
  }
  if (path == "/v1/rows-tx") {
    Write(aRows, aFaultInjector, aExchange);
  } else if (path == "/v1/rows-get") {
    Read(aRows, aExchange);
  } else if (path == "/v1/rows-feed") {
    Follow(aRows, aFaultInjector, aExchange);
  } else {
    aExchange.Send(kNotFound, "{}");
  }
}

} // namespace

int
main(int aCount, char** aArguments)
{
  BlockStopSignals();
  const std::string endpoint = aCount > 1 ? aArguments[1] : "127.0.0.1:0";
  RowTable rows;
  FaultInjector faultInjector;
  const StandinServer server(endpoint, [&](Exchange& aExchange) {
    Serve(rows, faultInjector, aExchange);
  });
  AnnounceListening("rowstore", "store", server.Endpoint());
  WaitForStopSignal();
  return 0;
}
