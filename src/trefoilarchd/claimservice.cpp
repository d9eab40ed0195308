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

constexpr size_t kEventRing = 4096;
constexpr size_t kWorkRing = 16;
constexpr size_t kQuestionRing = 256;
/** So that a closed ring is noticed where nothing else happens. */
constexpr Millis kLongestWait{ 500 };
constexpr Millis kAnswerSlack{ 500 };

constexpr std::array kEndNames = {
  "run", "in_progress", "finished", "maybe_ran", "other_intent", "unsettled",
};

} // namespace

struct ClaimService::Decider
{
  ClaimService& mService;
  int64_t mSeconds;
  Millis mNow;

  ClaimActions operator()(NewClaim& aOne) const
  {
    mService.mWaiting[aOne.mRequest.mId] = std::move(aOne.mWaiter);
    return mService.mCore->Claim(std::move(aOne.mRequest), mSeconds, mNow);
  }
  ClaimActions operator()(Committed& aOne) const
  {
    return mService.mCore->OnCommitted(std::move(aOne.mCommit), mSeconds, mNow);
  }
  ClaimActions operator()(Asked& aOne) const
  {
    return mService.mCore->OnClaimantReport(
      aOne.mTicket, aOne.mReport, mSeconds, mNow);
  }
};

struct ClaimService::Performer
{
  ClaimService& mService;

  void operator()(ClaimDecided& aOne) const
  {
    const auto place = mService.mWaiting.find(aOne.mId);
    if (place == mService.mWaiting.end()) {
      return;
    }
    const std::shared_ptr<Waiter> waiter = std::move(place->second);
    mService.mWaiting.erase(place);
    if (!waiter->mClosed.exchange(true)) {
      waiter->mPromise.set_value(std::move(aOne));
    } else if (aOne.mOutcome == ClaimOutcome::Run) {
      mService.NotRun(aOne.mId);
    }
  }
  void operator()(CommitClaims& aOne) const
  {
    mService.mTableWork.TryPush([&service = mService, commit = aOne] {
      service.mEvents.Push(Committed{ service.mStore->Commit(commit) });
    });
  }
  void operator()(const ExpireClaims& aOne) const
  {
    mService.mTableWork.TryPush(
      [&service = mService, aOne] { service.mStore->Expire(aOne); });
  }
  /** A question too many stays without an answer until its deadline. */
  void operator()(const QueryClaimant& aOne) const
  {
    mService.mQuestions.TryPush([&service = mService, aOne] {
      service.mEvents.Push(
        Asked{ aOne.mTicket,
               service.mPeers.Ask(
                 aOne.mAddress, aOne.mRequest, service.mOptions.mAskTimeout) });
    });
  }
};

ClaimService::ClaimService(ClaimServiceOptions aOptions)
  : mOptions(std::move(aOptions))
  , mStore(std::make_unique<ClaimStore>(mOptions.mPlatform))
  , mCore(std::make_unique<Claims>(mOptions.mClaims))
  , mEvents(kEventRing)
  , mTableWork(kWorkRing)
  , mQuestions(kQuestionRing)
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
  mDecider = std::thread([this] { Decide(); });
  mTableWorker = std::thread([this] { Run(mTableWork); });
  mAsker = std::thread([this] { Run(mQuestions); });
}

void
ClaimService::Stop()
{
  mStopping = true;
  mEvents.Close();
  mTableWork.Close();
  mQuestions.Close();
  for (std::thread* thread : { &mDecider, &mTableWorker, &mAsker }) {
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
  ClaimDecided answered{ aId, ClaimOutcome::Unsettled, nullptr };
  if (mEvents.TryPush(std::move(claim))) {
    const Millis span = mOptions.mClaims.mDecisionTimeout + kAnswerSlack;
    future.wait_for(std::chrono::milliseconds(span.Count()));
    if (waiter->mClosed.exchange(true)) {
      answered = future.get();
    }
  }
  if (mOptions.mMetrics != nullptr) {
    const char* name = kEndNames.at(static_cast<size_t>(answered.mOutcome));
    mOptions.mMetrics->Count("claims_total",
                             std::string("end=\"") + name + "\"");
  }
  return answered;
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
      mEvents.PopFor(std::clamp(wait, Millis(0), kLongestWait));
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
ClaimService::Run(trefoilio::BoundedRing<Work>& aRing) const
{
  while (!mStopping) {
    const std::optional<Work> work = aRing.PopFor(kLongestWait);
    if (work) {
      (*work)();
    }
  }
}

} // namespace trefoilarch
