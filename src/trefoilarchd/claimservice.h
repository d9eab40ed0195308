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
  /** This entry's peer address as bound; asked at Start. */
  std::function<std::string()> mAddress;
  ClaimOptions mClaims;
  Millis mAskTimeout{ 800 };
  trefoilio::Metrics* mMetrics = nullptr;
};

/**
 * Claims idempotency keys for this entry's requests. One thread decides
 * (Claims), one writes to the table and one asks other entries.
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
   * Waits until the key is decided, for the decision span and a little. The
   * request may run only where the end is Run, and its end must then be told
   * by one of the calls below (see ClaimHold).
   */
  ClaimDecided Claim(const RequestId& aId,
                     const std::string& aWorkspace,
                     const std::string& aIdempotencyKey,
                     const std::string& aIntent);

  void Answered(RequestId aId, CachedAnswer aAnswer);
  void AnsweredUncached(RequestId aId);
  void NotRun(RequestId aId);
  void MaybeRan(RequestId aId);
  size_t LongestAnswer() const { return mOptions.mClaims.mMaxCachedAnswerSize; }

  /** For ClaimPeerServer. */
  ClaimReport Report(RequestId aId) const;

private:
  /** The caller's thread that waits; whoever closes it first decides. */
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
  struct Asked
  {
    uint64_t mTicket = 0;
    ClaimReport mReport;
  };
  using Event = std::variant<NewClaim, Committed, Asked>;
  using Work = std::function<void()>;
  struct Decider;
  struct Performer;

  void Decide();
  /** Does a ring's work on a thread of its own. */
  void Run(trefoilio::BoundedRing<Work>& aRing) const;

  ClaimServiceOptions mOptions;
  std::unique_ptr<ClaimStore> mStore;
  ClaimPeerClient mPeers;

  mutable std::mutex mMutex;
  std::unique_ptr<Claims> mCore; /**< under mMutex */
  /** The deciding thread's own. */
  std::unordered_map<RequestId, std::shared_ptr<Waiter>> mWaiting;
  std::atomic<bool> mStopping{ false };

  trefoilio::BoundedRing<Event> mEvents;
  trefoilio::BoundedRing<Work> mTableWork;
  trefoilio::BoundedRing<Work> mQuestions;
  std::thread mDecider;
  std::thread mTableWorker;
  std::thread mAsker;
};

} // namespace trefoilarch
