#pragma once

#include "common/standinserver.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace platformtest {

/** How the receiver answers. */
enum class ReceiverMode : uint8_t
{
  Accepts,
  /** Accepts the report and cuts the connection without an answer. */
  LosesAnswers,
  /** Answers with 429 and accepts nothing. */
  IsBusy,
};

/**
 * Accepts usage reports and checks that there is one for each window, and that
 * fencing tokens never fall nor belong to two holders.
 */
class UsageReceiver
{
public:
  UsageReceiver();

  std::string Address() const { return mServer.Endpoint(); }
  void SetMode(ReceiverMode aMode);

  /** All requests of the workspace in accepted reports. */
  uint64_t Total(const std::string& aWorkspace) const;
  size_t Windows() const;
  /** Requests so far, whether accepted or not. */
  size_t Requests() const;
  /** The holder of the last accepted report. */
  std::string LastHolder() const;
  std::vector<std::string> Violations() const;

private:
  void Serve(standin::Exchange& aExchange);
  void Accept(const standin::Exchange& aExchange);

  mutable std::mutex mMutex;
  ReceiverMode mMode = ReceiverMode::Accepts;
  std::map<uint64_t, nlohmann::json> mCounts;
  std::map<uint64_t, std::string> mHolders;
  std::string mLastHolder;
  size_t mRequests = 0;
  std::vector<std::string> mViolations;
  standin::StandinServer mServer;
};

} // namespace platformtest
