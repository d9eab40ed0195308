#include "relaycontrol.h"

#include "relay.h"

#include "common/standinserver.h"

#include <nlohmann/json.hpp>

namespace standin {

using nlohmann::json;

namespace {

void
SetFaults(Relay& aRelay, const json& aOrder)
{
  aRelay.SetFaults([&aOrder](LinkFaults& aFaults) {
    aFaults.mDelay = aOrder.value("delay_ms", aFaults.mDelay);
    aFaults.mThrottle = aOrder.value("throttle", aFaults.mThrottle);
    aFaults.mCutAfter = aOrder.value("cut_after_bytes", aFaults.mCutAfter);
    aFaults.mRefuseNew = aOrder.value("refuse_new", aFaults.mRefuseNew);
    aFaults.mSilenceNew = aOrder.value("silence_new", aFaults.mSilenceNew);
  });
}

void
Strike(Relay& aRelay, const json& aOrder)
{
  const std::string silence = aOrder.value("silence", "");
  const std::string halfOpen = aOrder.value("half_open", "");
  const bool cut = aOrder.value("cut", false);
  aRelay.ForEachLink([&](Link& aLink) {
    if (silence == "up" || silence == "both") {
      aLink.Silence(Way::Up);
    }
    if (silence == "down" || silence == "both") {
      aLink.Silence(Way::Down);
    }
    if (!halfOpen.empty()) {
      aLink.HalfOpen(halfOpen == "up" ? Way::Up : Way::Down);
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
  return {
    { "connections", counts.mConnections }, { "open", counts.mOpen },
    { "bytes_up", counts.mBytesUp },        { "bytes_down", counts.mBytesDown },
    { "swallowed", counts.mSwallowed },     { "cuts", counts.mCuts }
  };
}

} // namespace

void
HandleRelayControl(Relay& aRelay, Exchange& aExchange)
{
  if (aExchange.Method() == "POST") {
    const json order = json::parse(aExchange.Body(), nullptr, false);
    if (!order.is_object()) {
      aExchange.Send(400, R"({"error":"not JSON"})");
      return;
    }
    SetFaults(aRelay, order);
    Strike(aRelay, order);
  }
  aExchange.Send(200, Counts(aRelay).dump());
}

} // namespace standin
