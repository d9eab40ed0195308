#include "plainservice.h"

#include "common/servicetext.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <thread>

namespace standin {

using nlohmann::json;

PlainService::PlainService(int64_t aDelayMillis, const std::string& aRecordFile)
  : mExecutions(aRecordFile)
  , mDelay(aDelayMillis)
{
}

void
PlainService::Handle(Exchange& aExchange)
{
  const std::string path = aExchange.Path();
  if (path == "/_control/executions") {
    aExchange.Send(200, mExecutions.Dump().dump());
  } else if (path == "/_control/set") {
    SetControls(aExchange);
  } else {
    Execute(aExchange);
  }
}

void
PlainService::SetControls(Exchange& aExchange)
{
  const json command = json::parse(aExchange.Body(), nullptr, false);
  if (!command.is_object()) {
    aExchange.Send(400, R"({"error":"not JSON"})");
    return;
  }
  mDelay = command.value("delay_ms", mDelay.load());
  mFailStatus = command.value("fail", mFailStatus.load());
  mCut = command.value("cut", mCut.load());
  mUnframed = command.value("unframed", mUnframed.load());
  mHalf = command.value("half", mHalf.load());
  aExchange.Send(200, "{}");
}

bool
PlainService::WaitForDelay(const Exchange& aExchange) const
{
  constexpr int64_t kPollInterval = 20;
  const int64_t end = MonotonicMillis() + mDelay;
  while (MonotonicMillis() < end) {
    if (aExchange.ClientLeft()) {
      return false;
    }
    const int64_t remaining = end - MonotonicMillis();
    std::this_thread::sleep_for(
      std::chrono::milliseconds(std::min(remaining, kPollInterval)));
  }
  return true;
}

void
PlainService::Execute(Exchange& aExchange)
{
  const std::string& body = aExchange.Body();
  const std::string id = aExchange.Header("X-Request-Id");
  const size_t number = mExecutions.Begin({ .mId = id,
                                            .mTokens = 1,
                                            .mBodyHash = HashOf(body),
                                            .mMark = aExchange.Path() });
  if (!WaitForDelay(aExchange)) {
    mExecutions.Cancel(number);
    return;
  }
  if (mCut) {
    mExecutions.Crash(number);
    aExchange.Cut();
    return;
  }
  mExecutions.Finish(number);
  if (const int status = mFailStatus; status != 0) {
    Send(aExchange, status, R"({"error":"told to fail"})");
    return;
  }
  Send(aExchange,
       200,
       ServiceAnswer(aExchange.Method(), aExchange.Path(), body, id).dump());
}

void
PlainService::Send(Exchange& aExchange,
                   int aStatus,
                   const std::string& aBody) const
{
  if (mUnframed) {
    const size_t bytes = mHalf ? aBody.size() / 2 : aBody.size();
    aExchange.SendUnframed(aStatus, aBody.substr(0, bytes));
  } else {
    aExchange.Send(aStatus, aBody);
  }
}

} // namespace standin
