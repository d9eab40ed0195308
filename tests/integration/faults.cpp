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
                         size_t aIndex) { aFleet.Entry(aIndex).Kill(); },
           .mUndo = [](Fleet& aFleet,
                       size_t aIndex) { aFleet.RestartEntry(aIndex); },
           .mTargetsEntry = true,
           .mEntryDies = true };
}

Fault
SidecarKilled()
{
  return {
    .mName = "sidecar killed",
    .mInject = [](Fleet& aFleet,
                  size_t aIndex) { aFleet.Upstream(aIndex).mSidecar->Kill(); },
    .mUndo = [](Fleet& aFleet, size_t aIndex) { aFleet.RestartSidecar(aIndex); }
  };
}

Fault
EngineKilled()
{
  return { .mName = "engine killed",
           .mInject =
             [](Fleet& aFleet, size_t aIndex) {
               aFleet.Upstream(aIndex).mUpstream->Kill();
             },
           .mUndo = [](Fleet& aFleet,
                       size_t aIndex) { aFleet.RestartUpstream(aIndex); } };
}

using ProcessSelector = std::function<ChildProcess&(Fleet&, size_t)>;

Fault
ProcessFrozen(std::string aName,
              const ProcessSelector& aSelect,
              bool aEntry = false)
{
  return { .mName = std::move(aName),
           .mInject =
             [aSelect](Fleet& aFleet, size_t aIndex) {
               aSelect(aFleet, aIndex).Signal(SIGSTOP);
             },
           .mUndo =
             [aSelect](Fleet& aFleet, size_t aIndex) {
               aSelect(aFleet, aIndex).Signal(SIGCONT);
             },
           .mTargetsEntry = aEntry };
}

Fault
LinkFault(std::string aName, bool aChannel, const json& aOrder)
{
  return {
    .mName = std::move(aName),
    .mInject =
      [aChannel, aOrder](Fleet& aFleet, size_t aIndex) {
        UpstreamHost& host = aFleet.Upstream(aIndex);
        (aChannel ? host.mChannelProxy : host.mUpstreamProxy)->Order(aOrder);
      },
    .mUndo = [](Fleet&, size_t) {}
  };
}

Fault
EngineFault(std::string aName, const json& aOrder, const json& aUndoOrder)
{
  return { .mName = std::move(aName),
           .mInject =
             [aOrder](Fleet& aFleet, size_t aIndex) {
               aFleet.Upstream(aIndex).Control(aOrder);
             },
           .mUndo =
             [aUndoOrder](Fleet& aFleet, size_t aIndex) {
               aFleet.Upstream(aIndex).Control(aUndoOrder);
             } };
}

Fault
TableFault(std::string aName, const json& aFaults)
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
    EngineFault("engine slow", { { "slow", 5.0 } }, { { "slow", 1.0 } }),
    EngineFault(
      "engine stalled", { { "stall", true } }, { { "stall", false } }),
    EngineFault("engine crashes mid-stream",
                { { "crash_after_tokens", 5 } },
                { { "crash_after_tokens", 0 } }),
    EngineFault("engine refuses", { { "refuse", 503 } }, { { "refuse", 0 } }),
    TableFault("table down", { { "mode", "down" } }),
    TableFault("table slow", { { "mode", "slow" }, { "delay_ms", 1500 } }),
    TableFault("table loses answers",
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
    ProcessFrozen(
      "entry frozen",
      [](Fleet& aFleet, size_t aIndex) -> ChildProcess& {
        return aFleet.Entry(aIndex);
      },
      true),
    ProcessFrozen("sidecar frozen",
                  [](Fleet& aFleet, size_t aIndex) -> ChildProcess& {
                    return *aFleet.Upstream(aIndex).mSidecar;
                  }),
    ProcessFrozen("engine frozen",
                  [](Fleet& aFleet, size_t aIndex) -> ChildProcess& {
                    return *aFleet.Upstream(aIndex).mUpstream;
                  }),
  };
  for (const bool channel : { true, false }) {
    const std::string link = channel ? "channel" : "upstream link";
    faults.push_back(LinkFault(link + " cut", channel, { { "cut", true } }));
    for (const char* direction : { "up", "down", "both" }) {
      faults.push_back(LinkFault(
        link + " silent " + direction, channel, { { "silence", direction } }));
    }
    for (const char* side : { "up", "down" }) {
      faults.push_back(LinkFault(
        link + " half-open " + side, channel, { { "half_open", side } }));
    }
  }
  return faults;
}

Fault
FindFault(const std::string& aName)
{
  for (const Fault& fault : AllFaults()) {
    if (fault.mName == aName) {
      return fault;
    }
  }
  throw std::out_of_range(aName);
}

} // namespace integration
