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
           .mInject = [](Fleet& aFleet,
                         size_t aWhich) { aFleet.Entry(aWhich).Kill(); },
           .mUndo = [](Fleet& aFleet,
                       size_t aWhich) { aFleet.RestartEntry(aWhich); },
           .mTargetsEntry = true,
           .mEntryDies = true };
}

Fault
SidecarKilled()
{
  return {
    .mName = "sidecar killed",
    .mInject = [](Fleet& aFleet,
                  size_t aWhich) { aFleet.Upstream(aWhich).mSidecar->Kill(); },
    .mUndo = [](Fleet& aFleet, size_t aWhich) { aFleet.RestartSidecar(aWhich); }
  };
}

Fault
EngineKilled()
{
  return { .mName = "engine killed",
           .mInject =
             [](Fleet& aFleet, size_t aWhich) {
               aFleet.Upstream(aWhich).mUpstream->Kill();
             },
           .mUndo = [](Fleet& aFleet,
                       size_t aWhich) { aFleet.RestartUpstream(aWhich); } };
}

using Chooser = std::function<ChildProcess&(Fleet&, size_t)>;

Fault
Frozen(std::string aName, const Chooser& aWho, bool aEntry = false)
{
  return {
    .mName = std::move(aName),
    .mInject = [aWho](Fleet& aFleet,
                      size_t aWhich) { aWho(aFleet, aWhich).Signal(SIGSTOP); },
    .mUndo = [aWho](Fleet& aFleet,
                    size_t aWhich) { aWho(aFleet, aWhich).Signal(SIGCONT); },
    .mTargetsEntry = aEntry
  };
}

Fault
OnLink(std::string aName, bool aChannel, const json& aOrder)
{
  return {
    .mName = std::move(aName),
    .mInject =
      [aChannel, aOrder](Fleet& aFleet, size_t aWhich) {
        UpstreamHost& host = aFleet.Upstream(aWhich);
        (aChannel ? host.mChannelProxy : host.mUpstreamProxy)->Order(aOrder);
      },
    .mUndo = [](Fleet&, size_t) {}
  };
}

Fault
EngineTold(std::string aName, const json& aOrder, const json& aEnd)
{
  return { .mName = std::move(aName),
           .mInject =
             [aOrder](Fleet& aFleet, size_t aWhich) {
               aFleet.Upstream(aWhich).Control(aOrder);
             },
           .mUndo =
             [aEnd](Fleet& aFleet, size_t aWhich) {
               aFleet.Upstream(aWhich).Control(aEnd);
             } };
}

Fault
TableTold(std::string aName, const json& aFaults)
{
  return { .mName = std::move(aName),
           .mInject =
             [aFaults](Fleet& aFleet, size_t) {
               aFleet.PlatformControl({ { "table", aFaults } });
             },
           .mUndo =
             [](Fleet& aFleet, size_t) {
               aFleet.PlatformControl({ { "table", { { "mode", "up" } } } });
             } };
}

} // namespace

std::vector<Fault>
OrderedFaults()
{
  return {
    EngineTold("engine slow", { { "slow", 5.0 } }, { { "slow", 1.0 } }),
    EngineTold("engine stalled", { { "stall", true } }, { { "stall", false } }),
    EngineTold("engine crashes mid-stream",
               { { "crash_after_tokens", 5 } },
               { { "crash_after_tokens", 0 } }),
    EngineTold("engine refuses", { { "refuse", 503 } }, { { "refuse", 0 } }),
    TableTold("table down", { { "mode", "down" } }),
    TableTold("table slow", { { "mode", "slow" }, { "delay_ms", 1500 } }),
    TableTold("table loses answers",
              { { "mode", "lose_answers" }, { "probability", 0.5 } }),
  };
}

std::vector<Fault>
AllFaults()
{
  std::vector<Fault> faults = {
    EntryKilled(),
    SidecarKilled(),
    EngineKilled(),
    Frozen(
      "entry frozen",
      [](Fleet& aFleet, size_t aWhich) -> ChildProcess& {
        return aFleet.Entry(aWhich);
      },
      true),
    Frozen("sidecar frozen",
           [](Fleet& aFleet, size_t aWhich) -> ChildProcess& {
             return *aFleet.Upstream(aWhich).mSidecar;
           }),
    Frozen("engine frozen",
           [](Fleet& aFleet, size_t aWhich) -> ChildProcess& {
             return *aFleet.Upstream(aWhich).mUpstream;
           }),
  };
  for (const bool channel : { true, false }) {
    const std::string link = channel ? "channel" : "upstream link";
    faults.push_back(OnLink(link + " cut", channel, { { "cut", true } }));
    for (const char* way : { "up", "down", "both" }) {
      faults.push_back(
        OnLink(link + " silent " + way, channel, { { "silence", way } }));
    }
    for (const char* side : { "up", "down" }) {
      faults.push_back(OnLink(
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
