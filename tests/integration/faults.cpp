#include "faults.h"

#include "fleet.h"

#include <csignal>
#include <stdexcept>

namespace integration {

using nlohmann::json;

namespace {

Fault
EntryKilled()
{
  return { .mName = "entry killed",
           .mStrike = [](Fleet& aFleet) { aFleet.Entry().Kill(); },
           .mHeal = [](Fleet& aFleet) { aFleet.RestartEntry(0); },
           .mEntryDies = true };
}

Fault
SidecarKilled()
{
  return { .mName = "sidecar killed",
           .mStrike = [](Fleet& aFleet) { aFleet.Upstream().mSidecar->Kill(); },
           .mHeal = [](Fleet& aFleet) { aFleet.RestartSidecar(0); } };
}

Fault
EngineKilled()
{
  return { .mName = "engine killed",
           .mStrike =
             [](Fleet& aFleet) { aFleet.Upstream().mUpstream->Kill(); },
           .mHeal = [](Fleet& aFleet) { aFleet.RestartUpstream(0); } };
}

Fault
Frozen(std::string aName, std::function<ChildProcess&(Fleet&)> aWho)
{
  return { .mName = std::move(aName),
           .mStrike = [aWho](Fleet& aFleet) { aWho(aFleet).Signal(SIGSTOP); },
           .mHeal = [aWho](Fleet& aFleet) { aWho(aFleet).Signal(SIGCONT); } };
}

Fault
Ordered(std::string aName, bool aChannel, json aOrder)
{
  return {
    .mName = std::move(aName),
    .mStrike =
      [aChannel, aOrder](Fleet& aFleet) {
        UpstreamHost& host = aFleet.Upstream();
        (aChannel ? host.mChannelProxy : host.mUpstreamProxy)->Order(aOrder);
      },
    .mHeal = [](Fleet&) {}
  };
}

} // namespace

std::vector<Fault>
AllFaults()
{
  std::vector<Fault> faults = {
    EntryKilled(),
    SidecarKilled(),
    EngineKilled(),
    Frozen("entry frozen",
           [](Fleet& aFleet) -> ChildProcess& { return aFleet.Entry(); }),
    Frozen("sidecar frozen",
           [](Fleet& aFleet) -> ChildProcess& {
             return *aFleet.Upstream().mSidecar;
           }),
    Frozen("engine frozen",
           [](Fleet& aFleet) -> ChildProcess& {
             return *aFleet.Upstream().mUpstream;
           }),
  };
  for (const bool channel : { true, false }) {
    const std::string link = channel ? "channel" : "upstream link";
    faults.push_back(Ordered(link + " cut", channel, { { "cut", true } }));
    for (const char* way : { "up", "down", "both" }) {
      faults.push_back(
        Ordered(link + " silent " + way, channel, { { "silence", way } }));
    }
    for (const char* side : { "up", "down" }) {
      faults.push_back(Ordered(
        link + " half-open " + side, channel, { { "half_open", side } }));
    }
  }
  return faults;
}

Fault
FaultNamed(const std::string& aName)
{
  for (const Fault& fault : AllFaults()) {
    if (fault.mName == aName) {
      return fault;
    }
  }
  throw std::out_of_range(aName);
}

} // namespace integration
