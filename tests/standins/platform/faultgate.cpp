#include "faultgate.h"

#include "common/standinserver.h"

#include <chrono>
#include <map>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <thread>

namespace standin {

using nlohmann::json;

void
FaultGate::Set(const json& aOrder)
{
  static const std::map<std::string, Mode> kModes = {
    { "up", Mode::Up },
    { "down", Mode::Down },
    { "slow", Mode::Slow },
    { "lose_answers", Mode::LoseAnswers },
  };
  const std::lock_guard lock(mMutex);
  if (aOrder.contains("mode")) {
    mMode = kModes.at(aOrder["mode"].get<std::string>());
  }
  mDelay = aOrder.value("delay_ms", mDelay);
  mProbability = aOrder.value("probability", mProbability);
  if (aOrder.contains("seed")) {
    mGenerator.seed(aOrder["seed"].get<uint64_t>());
  }
}

bool
FaultGate::LosesThisOne()
{
  const std::lock_guard lock(mMutex);
  if (mMode != Mode::LoseAnswers) {
    return false;
  }
  const bool loses = std::bernoulli_distribution(mProbability)(mGenerator);
  mLost += loses ? 1 : 0;
  return loses;
}

void
FaultGate::Pass(Exchange& aExchange,
                bool aWrite,
                const std::function<GateReply()>& aWork)
{
  Mode mode = Mode::Up;
  std::chrono::milliseconds half(0);
  {
    const std::lock_guard lock(mMutex);
    mode = mMode;
    half = std::chrono::milliseconds(mode == Mode::Slow ? mDelay / 2 : 0);
    ++(aWrite ? mWrites : mReads);
    mRefused += mode == Mode::Down ? 1 : 0;
  }
  if (mode == Mode::Down) {
    aExchange.Send(503, R"({"error":"down","code":14})");
    return;
  }
  std::this_thread::sleep_for(half);
  const GateReply reply = aWork();
  std::this_thread::sleep_for(half);
  if (LosesThisOne()) {
    aExchange.Cut();
    return;
  }
  aExchange.Send(reply.mStatus, reply.mBody, reply.mType, reply.mTag);
}

json
FaultGate::Counts() const
{
  const std::lock_guard lock(mMutex);
  return { { "reads", mReads },
           { "writes", mWrites },
           { "refused", mRefused },
           { "lost_answers", mLost } };
}

} // namespace standin
