#include "usagereceiver.h"

namespace platformtest {

using nlohmann::json;

UsageReceiver::UsageReceiver()
  : mServer("127.0.0.1:0",
            [this](standin::Exchange& aExchange) { Serve(aExchange); })
{
}

void
UsageReceiver::SetMode(ReceiverMode aMode)
{
  const std::lock_guard lock(mMutex);
  mMode = aMode;
}

uint64_t
UsageReceiver::Total(const std::string& aWorkspace) const
{
  const std::lock_guard lock(mMutex);
  uint64_t total = 0;
  for (const auto& [window, counts] : mCounts) {
    total += counts.value(aWorkspace, uint64_t{ 0 });
  }
  return total;
}

size_t
UsageReceiver::Windows() const
{
  const std::lock_guard lock(mMutex);
  return mCounts.size();
}

size_t
UsageReceiver::Requests() const
{
  const std::lock_guard lock(mMutex);
  return mRequests;
}

std::string
UsageReceiver::LastHolder() const
{
  const std::lock_guard lock(mMutex);
  return mLastHolder;
}

std::vector<std::string>
UsageReceiver::Violations() const
{
  const std::lock_guard lock(mMutex);
  return mViolations;
}

void
UsageReceiver::Serve(standin::Exchange& aExchange)
{
  const std::lock_guard lock(mMutex);
  mRequests++;
  if (mMode == ReceiverMode::IsBusy) {
    aExchange.Send(429, "{}");
    return;
  }
  Accept(aExchange);
  if (mMode == ReceiverMode::LosesAnswers) {
    aExchange.Cut();
  } else {
    aExchange.Send(200, "{}");
  }
}

void
UsageReceiver::Accept(const standin::Exchange& aExchange)
{
  const json report = json::parse(aExchange.Body());
  const uint64_t window = report.at("window");
  const std::string holder = aExchange.Header("X-Duty-Holder");
  const uint64_t token = std::stoull(aExchange.Header("X-Fencing-Token"));
  const auto counts = mCounts.emplace(window, report.at("counts")).first;
  if (counts->second != report.at("counts")) {
    mViolations.push_back("two reports of window " + std::to_string(window));
  }
  if (!mHolders.empty() && token < mHolders.rbegin()->first) {
    mViolations.push_back("token " + std::to_string(token) + " falls");
  }
  const auto owner = mHolders.emplace(token, holder).first;
  if (owner->second != holder) {
    mViolations.push_back("token " + std::to_string(token) + " of two holders");
  }
  mLastHolder = holder;
}

} // namespace platformtest
