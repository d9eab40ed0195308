#pragma once

#include "claimpeer.h"
#include "claimstore.h"

#include "libtrefoilarch/claims.h"
#include "libtrefoilio/boundedring.h"
#include "libtrefoilio/service.h"

#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <unordered_map>
#include <variant>

namespace trefoilio {
class Metrics;
} // namespace trefoilio

namespace trefoilarch {

struct ClaimServiceOptions
{
  std::shared_ptr<const PlatformClient> mPlatform;
  /** Returns this entry's bound peer address; called by Start. */
  std::function<std::string()> mAddress;
  ClaimOptions mClaims;
  Millis mAskTimeout{ 800 };
  trefoilio::Metrics* mMetrics = nullptr;
};

/**
 * Claims idempotency keys for this entry's requests. One thread runs the
 * decision logic (Claims), one writes to the table and one queries other
 * entries.
 */
class ClaimService final : public trefoilio::Service
{
public:
  static constexpr const char* kName = "claims";

  explicit ClaimService(ClaimServiceOptions aOptions);
  ~ClaimService() override;

  void Start(trefoilio::Kernel& aKernel) override;
  void Stop() override;
  std::string DumpState() const override;

  /**
   * Waits for the decision, at most the decision timeout plus kAnswerSlack.
   * The request may run only if the outcome is Run; its own outcome must then
   * be reported by one of the calls below (see ClaimTracker).
   */
  ClaimDecided Claim(const RequestId& aId,
                     const std::string& aWorkspace,
                     const std::string& aIdempotencyKey,
                     const std::string& aIntent);

  void Answered(RequestId aId, CachedAnswer aAnswer);
  void AnsweredUncached(RequestId aId);
  void NotRun(RequestId aId);
  void MaybeRan(RequestId aId);
  size_t MaxCachedAnswerSize() const
  {
    return mOptions.mClaims.mMaxCachedAnswerSize;
  }

  /** Returns the status of a request, for ClaimPeerServer. */
  ClaimReport Report(RequestId aId) const;

private:
  /** A waiting caller's thread. The first to close it sets the outcome. */
  struct Waiter
  {
    std::promise<ClaimDecided> mPromise;
    std::atomic<bool> mClosed{ false };
  };
  struct NewClaim
  {
    ClaimRequest mRequest;
    std::shared_ptr<Waiter> mWaiter;
  };
  struct Committed
  {
    ClaimCommit mCommit;
  };
  struct ClaimantReported
  {
    uint64_t mTicket = 0;
    ClaimReport mReport;
  };
  using Event = std::variant<NewClaim, Committed, ClaimantReported>;
  using Work = std::function<void()>;
  struct Decider;
  struct Performer;

  void Decide();
  /** Executes the work items of a ring; the body of a worker thread. */
  void RunWorker(trefoilio::BoundedRing<Work>& aRing) const;

  ClaimServiceOptions mOptions;
  std::unique_ptr<ClaimStore> mStore;
  ClaimPeerClient mPeers;

  mutable std::mutex mMutex;
  std::unique_ptr<Claims> mCore; /**< guarded by mMutex */
  /** Used by the decision thread only. */
  std::unordered_map<RequestId, std::shared_ptr<Waiter>> mWaiting;
  std::atomic<bool> mStopping{ false };

  trefoilio::BoundedRing<Event> mEvents;
  trefoilio::BoundedRing<Work> mTableWork;
  trefoilio::BoundedRing<Work> mQueries;
  std::thread mDecisionThread;
  std::thread mTableThread;
  std::thread mQueryThread;
};

} // namespace trefoilarch
