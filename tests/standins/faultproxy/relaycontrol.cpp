#include "relaycontrol.h"

#include "relay.h"

#include "common/standinserver.h"

#include <nlohmann/json.hpp>

namespace standin {

using nlohmann::json;

namespace {

void
SetFaults(Relay& aRelay, const json& aCommand)
{
  aRelay.SetFaults([&aCommand](LinkFaults& aFaults) {
    aFaults.mDelay = aCommand.value("delay_ms", aFaults.mDelay);
    aFaults.mThrottle = aCommand.value("throttle", aFaults.mThrottle);
    aFaults.mCutAfter = aCommand.value("cut_after_bytes", aFaults.mCutAfter);
    aFaults.mRefuseNew = aCommand.value("refuse_new", aFaults.mRefuseNew);
    aFaults.mSilenceNew = aCommand.value("silence_new", aFaults.mSilenceNew);
  });
}

void
ApplyOnce(Relay& aRelay, const json& aCommand)
{
  const std::string silence = aCommand.value("silence", "");
  const std::string halfOpen = aCommand.value("half_open", "");
  const bool cut = aCommand.value("cut", false);
  aRelay.ForEachLink([&](Link& aLink) {
    if (silence == "up" || silence == "both") {
      aLink.Silence(Direction::Up);
    }
    if (silence == "down" || silence == "both") {
      aLink.Silence(Direction::Down);
    }
    if (!halfOpen.empty()) {
      aLink.HalfOpen(halfOpen == "up" ? Direction::Up : Direction::Down);
    }
    if (cut) {
      aLink.Cut();
    }
  });
}

json
Counts(const Relay& aRelay)
{
  const LinkCounts counts = aRelay.Counts();
  return { { "connections", counts.mConnections },
           { "open", counts.mOpen },
           { "bytes_up", counts.mBytesUp },
           { "bytes_down", counts.mBytesDown },
           { "swallowed", counts.mDiscardedBytes },
           { "cuts", counts.mCuts } };
}

} // namespace

void
HandleRelayControl(Relay& aRelay, Exchange& aExchange)
{
  if (aExchange.Method() == "POST") {
    const json command = json::parse(aExchange.Body(), nullptr, false);
    if (!command.is_object()) {
      aExchange.Send(400, R"({"error":"not JSON"})");
      return;
    }
    SetFaults(aRelay, command);
    ApplyOnce(aRelay, command);
  }
  aExchange.Send(200, Counts(aRelay).dump());
}

} // namespace standin
