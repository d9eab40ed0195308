#pragma once

#include "eventsplitter.h"
#include "sidecarserver.h"
#include "statequery.h"

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

struct UpstreamOptions
{
  SidecarOptions mCore;
  std::string mUrl; /**< `http://ADDRESS:PORT`, optionally with a path */
  std::string mKey; /**< bearer token for the upstream, or empty */
  size_t mRingCapacity = 65536;
  /** Response data in the ring. */
  size_t mRingBytes = 4194304;
  CallWatchOptions mWatch;
  trefoilio::CallRunnerOptions mCalls;
};

/**
 * The sidecar's decision thread: passes entries' messages and the upstream's
 * responses to the SidecarCore and performs the resulting actions.
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
  /** After Drain(): whether all requests have ended and been delivered. */
  bool Idle() const { return mIdle; }

private:
  struct MessageReceived
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
  using Event = std::variant<MessageReceived,
                             EntryDown,
                             Head,
                             Data,
                             End,
                             SetDraining,
                             StateQuery>;

  /** A call that the upstream is processing. */
  struct RunningCall
  {
    uint64_t mCall = 0;
    bool mTokenStream = false;
    int mStatus = 0;
    EventSplitter mEvents;
  };

  void Run();
  void On(MessageReceived aEvent);
  void On(const EntryDown& aEvent);
  void On(Head aEvent);
  /** Applies the Retry-After of a response that refuses the call. */
  void ApplyRetryAfter(const Head& aHead);
  void On(Data aEvent);
  void On(const End& aEvent);
  void On(const SetDraining& aEvent);
  /** A sidecar has no policy; it forwards versions between entries. */
  void ForwardPolicyVersion(uint64_t aVersion);
  void On(const StateQuery& aQuery);
  CallEvent CallResult(const AttemptKey& aKey,
                       const RunningCall& aCall,
                       trefoilio::CallEnd aEnd) const;
  /** Cancels calls whose connection has been silent for too long. */
  void EndSilentCalls(Millis aNow);
  /** Cancels a running call as failed. */
  void AbortCall(const AttemptKey& aKey, Millis aNow);
  void PerformAll(SidecarActions aActions);
  void Perform(const SendToEntry& aAction);
  void Perform(StartCall aAction);
  void Perform(const CancelCall& aAction);
  trefoilio::HttpRequest ToHttp(StartCall& aAction) const;
  Millis TimeToNextWake() const;

  UpstreamOptions mOptions;
  trefoilio::Metrics& mMetrics;
  SidecarCore mCore;
  CallWatch mWatch;
  /** Mutable because DumpState() queries the decision thread. */
  mutable trefoilio::BoundedRing<Event> mRing;
  SidecarServer mServer;
  std::unordered_map<AttemptKey, RunningCall> mRunningCalls;
  uint64_t mPolicyVersion = 0;
  std::atomic<bool> mIdle = false;
  std::unique_ptr<trefoilio::CallRunner> mCalls;
  std::thread mThread;
};

} // namespace trefoilarch
