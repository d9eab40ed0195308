#include "claimservice.h"

#include "callerrequest.h"

#include "libtrefoilio/metrics.h"
#include "libtrefoilio/systemclock.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <chrono>

namespace trefoilarch {

namespace {

constexpr size_t kEventRingCapacity = 4096;
constexpr size_t kWorkRingCapacity = 16;
constexpr size_t kQueryRingCapacity = 256;
/** Limits how long an idle thread takes to notice a closed ring. */
constexpr Millis kMaxWait{ 500 };
constexpr Millis kAnswerSlack{ 500 };

constexpr std::array kOutcomeNames = {
  "run", "in_progress", "finished", "maybe_ran", "other_intent", "unsettled",
};

} // namespace

struct ClaimService::Decider
{
  ClaimService& mService;
  int64_t mSeconds;
  Millis mNow;

  ClaimActions operator()(NewClaim& aEvent) const
  {
    mService.mWaiting[aEvent.mRequest.mId] = std::move(aEvent.mWaiter);
    return mService.mCore->Claim(std::move(aEvent.mRequest), mSeconds, mNow);
  }
  ClaimActions operator()(Committed& aEvent) const
  {
    return mService.mCore->OnCommitted(
      std::move(aEvent.mCommit), mSeconds, mNow);
  }
  ClaimActions operator()(ClaimantReported& aEvent) const
  {
    return mService.mCore->OnClaimantReport(
      aEvent.mTicket, aEvent.mReport, mSeconds, mNow);
  }
};

struct ClaimService::Performer
{
  ClaimService& mService;

  void operator()(ClaimDecided& aAction) const
  {
    const auto found = mService.mWaiting.find(aAction.mId);
    if (found == mService.mWaiting.end()) {
      return;
    }
    const std::shared_ptr<Waiter> waiter = std::move(found->second);
    mService.mWaiting.erase(found);
    if (!waiter->mClosed.exchange(true)) {
      waiter->mPromise.set_value(std::move(aAction));
    } else if (aAction.mOutcome == ClaimOutcome::Run) {
      mService.NotRun(aAction.mId);
    }
  }
  void operator()(CommitClaims& aAction) const
  {
    mService.mTableWork.TryPush([&service = mService, commit = aAction] {
      service.mEvents.Push(Committed{ service.mStore->Commit(commit) });
    });
  }
  void operator()(const ExpireClaims& aAction) const
  {
    mService.mTableWork.TryPush(
      [&service = mService, aAction] { service.mStore->Expire(aAction); });
  }
  /** A query that does not fit in the ring expires at its deadline. */
  void operator()(const QueryClaimant& aAction) const
  {
    mService.mQueries.TryPush([&service = mService, aAction] {
      service.mEvents.Push(ClaimantReported{
        aAction.mTicket,
        service.mPeers.Ask(
          aAction.mAddress, aAction.mRequest, service.mOptions.mAskTimeout) });
    });
  }
};

ClaimService::ClaimService(ClaimServiceOptions aOptions)
  : mOptions(std::move(aOptions))
  , mStore(std::make_unique<ClaimStore>(mOptions.mPlatform))
  , mCore(std::make_unique<Claims>(mOptions.mClaims))
  , mEvents(kEventRingCapacity)
  , mTableWork(kWorkRingCapacity)
  , mQueries(kQueryRingCapacity)
{
}

ClaimService::~ClaimService()
{
  Stop();
}

void
ClaimService::Start(trefoilio::Kernel& /*aKernel*/)
{
  if (mOptions.mAddress) {
    mOptions.mClaims.mAddress = mOptions.mAddress();
    mCore = std::make_unique<Claims>(mOptions.mClaims);
  }
  mDecisionThread = std::thread([this] { Decide(); });
  mTableThread = std::thread([this] { RunWorker(mTableWork); });
  mQueryThread = std::thread([this] { RunWorker(mQueries); });
}

void
ClaimService::Stop()
{
  mStopping = true;
  mEvents.Close();
  mTableWork.Close();
  mQueries.Close();
  for (std::thread* thread :
       { &mDecisionThread, &mTableThread, &mQueryThread }) {
    if (thread->joinable()) {
      thread->join();
    }
  }
}

std::string
ClaimService::DumpState() const
{
  std::lock_guard lock(mMutex);
  return nlohmann::json{
    { "undecided", mCore->Undecided() },
    { "remembered", mCore->Remembered() },
    { "answer_bytes", mCore->AnswerBytes() },
    { "address", mOptions.mClaims.mAddress },
  }
    .dump();
}

ClaimDecided
ClaimService::Claim(const RequestId& aId,
                    const std::string& aWorkspace,
                    const std::string& aIdempotencyKey,
                    const std::string& aIntent)
{
  const auto waiter = std::make_shared<Waiter>();
  std::future<ClaimDecided> future = waiter->mPromise.get_future();
  NewClaim claim{
    { aId, Sha256Hex(aWorkspace + "\n" + aIdempotencyKey), Sha256Hex(aIntent) },
    waiter
  };
  ClaimDecided decided{ aId, ClaimOutcome::Unsettled, nullptr };
  if (mEvents.TryPush(std::move(claim))) {
    const Millis timeout = mOptions.mClaims.mDecisionTimeout + kAnswerSlack;
    future.wait_for(std::chrono::milliseconds(timeout.Count()));
    if (waiter->mClosed.exchange(true)) {
      decided = future.get();
    }
  }
  if (mOptions.mMetrics != nullptr) {
    const char* name = kOutcomeNames.at(static_cast<size_t>(decided.mOutcome));
    mOptions.mMetrics->Count("claims_total",
                             std::string("end=\"") + name + "\"");
  }
  return decided;
}

void
ClaimService::Answered(RequestId aId, CachedAnswer aAnswer)
{
  std::lock_guard lock(mMutex);
  mCore->Answered(aId, std::move(aAnswer));
}

void
ClaimService::AnsweredUncached(RequestId aId)
{
  std::lock_guard lock(mMutex);
  mCore->AnsweredUncached(aId);
}

void
ClaimService::NotRun(RequestId aId)
{
  std::lock_guard lock(mMutex);
  mCore->NotRun(aId);
}

void
ClaimService::MaybeRan(RequestId aId)
{
  std::lock_guard lock(mMutex);
  mCore->MaybeRan(aId);
}

ClaimReport
ClaimService::Report(RequestId aId) const
{
  std::lock_guard lock(mMutex);
  return mCore->Report(aId);
}

void
ClaimService::Decide()
{
  while (!mStopping) {
    Millis wait;
    {
      std::lock_guard lock(mMutex);
      wait = mCore->NextWake() - trefoilio::MonotonicNow();
    }
    std::optional<Event> event =
      mEvents.PopFor(std::clamp(wait, Millis(0), kMaxWait));
    ClaimActions actions;
    {
      std::lock_guard lock(mMutex);
      const int64_t seconds = trefoilio::UnixSeconds();
      const Millis now = trefoilio::MonotonicNow();
      actions = event ? std::visit(Decider{ *this, seconds, now }, *event)
                      : mCore->OnTick(seconds, now);
    }
    for (ClaimAction& action : actions) {
      std::visit(Performer{ *this }, action);
    }
  }
}

void
ClaimService::RunWorker(trefoilio::BoundedRing<Work>& aRing) const
{
  while (!mStopping) {
    const std::optional<Work> work = aRing.PopFor(kMaxWait);
    if (work) {
      (*work)();
    }
  }
}

} // namespace trefoilarch
