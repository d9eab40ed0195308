#include "libtrefoilarch/trefoilarch.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <string>

using namespace trefoilarch;

namespace {

constexpr const char* kEntry = "entry-1";
constexpr const char* kUpstream = "engine-1";

/**
 * Example of embedding both cores: one entry, one sidecar, and an upstream that
 * answers each call with "Hello, " and "traveller" 20 ms apart. Every action is
 * carried out at once, every message arrives at once, and time is virtual.
 */
class Example
{
public:
  Example()
    : mEntry({ .mEntry = kEntry, .mDataCentre = "riga-1" })
    , mSidecar({ .mUpstream = kUpstream,
                 .mDataCentre = "riga-1",
                 .mLabels = { { "model", "base" } },
                 .mIncarnation = 1 })
  {
    mEntry.SetClassifier(MakeClassifier());
    CarryOut(mEntry.SetUpstreams(
      { { .mName = kUpstream, .mDataCentre = "riga-1", .mLabels = {} } },
      {},
      mNow));
    CarryOut(mEntry.OnChannelUp(kUpstream, mNow));
  }

  /** Classifies a caller's request and passes it to the entry. */
  void SendRequest(RequestId aId, const std::string& aBody)
  {
    const auto classified =
      MakeClassifier()->Classify({ .mWorkspace = "rail",
                                   .mTokenHash = "",
                                   .mWantedClass = "",
                                   .mLabels = {},
                                   .mModel = "base",
                                   .mService = "",
                                   .mDataCentre = "riga-1",
                                   .mDeadline = {},
                                   .mIdempotent = {} });
    cr_assert(classified);
    EntryRequest request;
    request.mId = aId;
    request.mClassified = *classified;
    request.mCall = { .mMethod = "POST",
                      .mPath = "/v1/chat/completions",
                      .mHeaders = {},
                      .mBody = aBody,
                      .mTokenStream = true };
    CarryOut(mEntry.OnRequest(std::move(request), mNow));
  }

  /** Advances the time from one wake-up to the next. */
  void RunUntil(Millis aEnd)
  {
    while (mNow < aEnd) {
      mNow = std::min({ aEnd,
                        std::max(mNow, mEntry.NextWake()),
                        std::max(mNow, mSidecar.NextWake()),
                        mCallDue });
      if (mCallDue <= mNow) {
        ContinueCall();
      }
      CarryOut(mEntry.OnTick(mNow));
      CarryOut(mSidecar.OnTick(mNow));
    }
  }

  std::string mAnswer;
  bool mComplete = false;
  bool mRefused = false;

private:
  static std::shared_ptr<const Classifier> MakeClassifier()
  {
    auto policy = std::make_shared<Policy>();
    policy->mVersion = 1;
    policy->mClasses["agents"] = { .mName = "agents",
                                   .mTier = 0,
                                   .mCallers = {} };
    policy->mWorkspaces["rail"] = { .mName = "rail",
                                    .mTokenHash = "",
                                    .mDefaultClass = "agents",
                                    .mLabels = {} };
    policy->mSelectors["all"] = { .mName = "all",
                                  .mTraffic = {},
                                  .mUpstreams = {} };
    return std::make_shared<const Classifier>(std::move(policy));
  }

  /**
   * Queued, so that the consequences of an action come after the other actions
   * of its event.
   */
  template<typename Actions>
  void CarryOut(Actions aActions)
  {
    for (auto& action : aActions) {
      std::visit(
        [this](auto& aTyped) {
          mPendingActions.emplace_back(
            [this, typed = std::move(aTyped)]() mutable {
              Do(std::move(typed));
            });
        },
        action);
    }
    while (!mRunningAction && !mPendingActions.empty()) {
      const auto next = std::move(mPendingActions.front());
      mPendingActions.pop_front();
      mRunningAction = true;
      next();
      mRunningAction = false;
    }
  }

  void Do(SendToSidecar aAction)
  {
    CarryOut(mSidecar.OnMessage(kEntry, std::move(aAction.mMessage), mNow));
  }
  void Do(const ReopenChannel&)
  {
    CarryOut(mEntry.OnChannelUp(kUpstream, mNow));
  }
  void Do(const AnswerHead&) {}
  void Do(const AnswerData& aAction) { mAnswer += aAction.mData; }
  void Do(const AnswerEnd&) { mComplete = true; }
  void Do(const AnswerError&) { mRefused = true; }

  void Do(SendToEntry aAction)
  {
    CarryOut(mEntry.OnMessage(kUpstream, std::move(aAction.mMessage), mNow));
  }
  void Do(const StartCall& aAction)
  {
    mCall = aAction.mKey;
    mCallDue = mNow + Millis(20);
  }
  void Do(const CancelCall&) { mCallDue = Millis::Never(); }

  void ContinueCall()
  {
    const std::vector<std::string> words = { "Hello, ", "traveller" };
    mCallDue = mNow + Millis(20);
    if (mNextWord == 0) {
      CarryOut(mSidecar.OnCall(CallHead{ mCall, 200, {} }, mNow));
    }
    if (mNextWord < words.size()) {
      CarryOut(mSidecar.OnCall(CallData{ mCall, words[mNextWord++], 1 }, mNow));
    } else {
      mCallDue = Millis::Never();
      CarryOut(mSidecar.OnCall(CallDone{ mCall, 3, 2 }, mNow));
    }
  }

  Millis mNow{ 1000 };
  EntryCore mEntry;
  SidecarCore mSidecar;
  AttemptKey mCall;
  Millis mCallDue = Millis::Never();
  size_t mNextWord = 0;
  std::deque<std::function<void()>> mPendingActions;
  bool mRunningAction = false;
};

} // namespace

Test(embedding, both_cores_serve_a_request_in_virtual_time)
{
  Example example;
  example.SendRequest({ 1, 2 }, R"({"model":"base"})");
  example.RunUntil(Millis(1030));
  cr_assert(example.mAnswer == "Hello, ");
  cr_assert_not(example.mComplete);
  example.RunUntil(Millis(2000));
  cr_assert(example.mAnswer == "Hello, traveller");
  cr_assert(example.mComplete);
  cr_assert_not(example.mRefused);
}
