#pragma once

#include <cstdint>
#include <functional>
#include <mutex>
#include <nlohmann/json_fwd.hpp>
#include <random>
#include <string>

namespace standin {

class Exchange;

/** The response of a service of the platform. */
struct ServiceReply
{
  int mStatus = 200;
  std::string mBody;
  std::string mType = "application/json";
  std::string mETag{}; /**< the body's ETag, if any */
};

/**
 * Injects faults into one service of the platform and counts its calls. Modes:
 * `up`; `down` (503 at once, without effect); `slow` (half of delay_ms before
 * the call takes effect, half after it); `lose_answers` (the call takes effect,
 * then the connection is reset with the given probability).
 */
class ServiceFaultInjector
{
public:
  /** Sets mode, delay_ms, probability and seed, each if present. */
  void Set(const nlohmann::json& aCommand);
  /** Runs aWork under the current faults and sends its reply. */
  void RunWithFaults(Exchange& aExchange,
                     bool aWrite,
                     const std::function<ServiceReply()>& aWork);
  nlohmann::json Counts() const;

private:
  enum class Mode
  {
    Up,
    Down,
    Slow,
    LoseAnswers,
  };

  bool DropsResponse();

  mutable std::mutex mMutex;
  Mode mMode = Mode::Up;
  int64_t mDelay = 0; /**< milliseconds */
  double mProbability = 1;
  std::mt19937_64 mGenerator;
  uint64_t mReads = 0;
  uint64_t mWrites = 0;
  uint64_t mRefused = 0;
  uint64_t mDroppedResponses = 0;
};

} // namespace standin
