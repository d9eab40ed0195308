#include "servicefaultinjector.h"

#include "common/standinserver.h"

#include <chrono>
#include <map>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <thread>

namespace standin {

using nlohmann::json;

void
ServiceFaultInjector::Set(const json& aCommand)
{
  static const std::map<std::string, Mode> kModes = {
    { "up", Mode::Up },
    { "down", Mode::Down },
    { "slow", Mode::Slow },
    { "lose_answers", Mode::LoseAnswers },
  };
  const std::lock_guard lock(mMutex);
  if (aCommand.contains("mode")) {
    mMode = kModes.at(aCommand["mode"].get<std::string>());
  }
  mDelay = aCommand.value("delay_ms", mDelay);
  mProbability = aCommand.value("probability", mProbability);
  if (aCommand.contains("seed")) {
    mGenerator.seed(aCommand["seed"].get<uint64_t>());
  }
}

bool
ServiceFaultInjector::DropsResponse()
{
  const std::lock_guard lock(mMutex);
  if (mMode != Mode::LoseAnswers) {
    return false;
  }
  const bool drops = std::bernoulli_distribution(mProbability)(mGenerator);
  mDroppedResponses += drops ? 1 : 0;
  return drops;
}

void
ServiceFaultInjector::RunWithFaults(Exchange& aExchange,
                                    bool aWrite,
                                    const std::function<ServiceReply()>& aWork)
{
  Mode mode = Mode::Up;
  std::chrono::milliseconds halfDelay(0);
  {
    const std::lock_guard lock(mMutex);
    mode = mMode;
    halfDelay = std::chrono::milliseconds(mode == Mode::Slow ? mDelay / 2 : 0);
    ++(aWrite ? mWrites : mReads);
    mRefused += mode == Mode::Down ? 1 : 0;
  }
  if (mode == Mode::Down) {
    aExchange.Send(503, R"({"error":"down","code":14})");
    return;
  }
  std::this_thread::sleep_for(halfDelay);
  const ServiceReply reply = aWork();
  std::this_thread::sleep_for(halfDelay);
  if (DropsResponse()) {
    aExchange.Cut();
    return;
  }
  aExchange.Send(reply.mStatus, reply.mBody, reply.mType, reply.mETag);
}

json
ServiceFaultInjector::Counts() const
{
  const std::lock_guard lock(mMutex);
  return { { "reads", mReads },
           { "writes", mWrites },
           { "refused", mRefused },
           { "lost_answers", mDroppedResponses } };
}

} // namespace standin
