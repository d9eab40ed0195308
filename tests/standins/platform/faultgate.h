#pragma once

#include <cstdint>
#include <functional>
#include <mutex>
#include <nlohmann/json_fwd.hpp>
#include <random>
#include <string>

namespace standin {

class Exchange;

/** What an answer from behind the gate is. */
struct GateReply
{
  int mStatus = 200;
  std::string mBody;
  std::string mType = "application/json";
  std::string mTag{}; /**< the body's ETag, where it has one */
};

/**
 * The faults of one service of the platform, and its counts. Modes: `up`;
 * `down` (503 at once, nothing takes effect); `slow` (half of delay_ms passes
 * before the effect and half after it); `lose_answers` (the effect takes
 * place, then the connection is cut with the given probability).
 */
class FaultGate
{
public:
  /** Sets mode, delay_ms, probability and seed, where given. */
  void Set(const nlohmann::json& aOrder);
  /** Runs the work under the faults that are set, and answers. */
  void Pass(Exchange& aExchange,
            bool aWrite,
            const std::function<GateReply()>& aWork);
  nlohmann::json Counts() const;

private:
  enum class Mode
  {
    Up,
    Down,
    Slow,
    LoseAnswers,
  };

  bool LosesThisOne();

  mutable std::mutex mMutex;
  Mode mMode = Mode::Up;
  int64_t mDelay = 0; /**< milliseconds */
  double mProbability = 1;
  std::mt19937_64 mGenerator;
  uint64_t mReads = 0;
  uint64_t mWrites = 0;
  uint64_t mRefused = 0;
  uint64_t mLost = 0;
};

} // namespace standin
