#pragma once

#include "eventsplitter.h"
#include "sidecarserver.h"
#include "statequestion.h"

#include "libtrefoilarch/callwatch.h"
#include "libtrefoilarch/sidecarcore.h"
#include "libtrefoilio/boundedring.h"
#include "libtrefoilio/callrunner.h"
#include "libtrefoilio/metrics.h"
#include "libtrefoilio/service.h"

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <unordered_map>
#include <variant>

namespace trefoilarch {

/** How an UpstreamService works. */
struct UpstreamOptions
{
  SidecarOptions mCore;
  std::string mUrl; /**< `http://ADDRESS:PORT`, perhaps with a path */
  std::string mKey; /**< bearer token for the upstream, or empty */
  size_t mRingCapacity = 65536;
  CallWatchOptions mWatch;
  trefoilio::CallRunnerOptions mCalls;
};

/**
 * The sidecar's decision thread: feeds the SidecarCore with entries' messages
 * and the upstream's answers, and carries out what it says.
 */
class UpstreamService final : public trefoilio::Service
{
public:
  static constexpr const char* kName = "upstream";

  UpstreamService(UpstreamOptions aOptions, trefoilio::Metrics& aMetrics);
  ~UpstreamService() override;

  void Start(trefoilio::Kernel& aKernel) override;
  void Stop() override;
  std::string DumpState() const override;

  grpc::Service& WireService() { return mServer.WireService(); }

  void Drain();
  void Undrain();
  /** After Drain(): everything that ran is over and delivered. */
  bool Idle() const { return mIdle; }

private:
  struct FromEntry
  {
    EntryId mEntry;
    EntryMessage mMessage;
  };
  struct EntryDown
  {
    EntryId mEntry;
  };
  struct Head
  {
    AttemptKey mKey;
    int mStatus = 0;
    Headers mHeaders;
  };
  struct Data
  {
    AttemptKey mKey;
    std::string mData;
  };
  struct End
  {
    AttemptKey mKey;
    trefoilio::CallEnd mEnd;
  };
  struct SetDraining
  {
    bool mDraining = false;
  };
  using Event = std::
    variant<FromEntry, EntryDown, Head, Data, End, SetDraining, StateQuestion>;

  /** One call that the upstream is running. */
  struct Running
  {
    uint64_t mCall = 0;
    bool mTokenStream = false;
    int mStatus = 0;
    EventSplitter mEvents;
  };

  void Run();
  void On(FromEntry aEvent);
  void On(const EntryDown& aEvent);
  void On(Head aEvent);
  void On(Data aEvent);
  void On(const End& aEvent);
  void On(const SetDraining& aEvent);
  /** A sidecar keeps no policy; it lets entries hear of each other's. */
  void PassOnVersion(uint64_t aVersion);
  void On(const StateQuestion& aQuestion);
  CallEvent Conclude(const AttemptKey& aKey,
                     const Running& aRunning,
                     trefoilio::CallEnd aEnd) const;
  /** Gives up calls whose connection has gone silent for good. */
  void EndSilentCalls(Millis aNow);
  void CarryOut(SidecarActions aActions);
  void Do(const SendToEntry& aAction);
  void Do(StartCall aAction);
  void Do(const CancelCall& aAction);
  trefoilio::HttpRequest ToHttp(StartCall& aAction) const;
  Millis Wait() const;

  UpstreamOptions mOptions;
  trefoilio::Metrics& mMetrics;
  SidecarCore mCore;
  CallWatch mWatch;
  /** Mutable: a state dump asks the decision thread for its state. */
  mutable trefoilio::BoundedRing<Event> mRing;
  SidecarServer mServer;
  std::unordered_map<AttemptKey, Running> mRunning;
  uint64_t mPolicyVersion = 0;
  std::atomic<bool> mIdle = false;
  std::unique_ptr<trefoilio::CallRunner> mCalls;
  std::thread mThread;
};

} // namespace trefoilarch
