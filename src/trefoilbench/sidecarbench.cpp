// Measures a sidecar's decisions in nanoseconds and allocated bytes.

#include "cost.h"

#include "libtrefoilarch/sidecarcore.h"

#include <deque>
#include <random>
#include <string>

namespace trefoilarch {

namespace {

constexpr int kWarmUpSteps = 20000;
constexpr int kMeasuredSteps = 50000;
constexpr int kClasses = 8;
constexpr const char* kEntry = "entry-1";
constexpr Millis kFarDeadline{ 1000000000 };

/** One sidecar with a constant queue length: each step offers a request, and
 * ends one so that the next is granted and started. */
class Bench
{
public:
  Bench(int aQueueLength, int aWorkspaces)
    : mWorkspaceCount(aWorkspaces)
    , mCore({ .mIncarnation = 1,
              .mQueueLimit = 1000000,
              .mLedgerRetention = Millis(5000),
              .mEntrySilenceTimeout = kFarDeadline,
              .mMaxRunning = 64 })
  {
    mCore.OnMessage(kEntry, Hello{ .mEntry = kEntry, .mDataCentre = "" }, mNow);
    for (int i = 0; i < aQueueLength; ++i) {
      StartGranted(mCore.OnMessage(kEntry, NextOffer(), mNow));
    }
  }

  void Run()
  {
    for (int i = 0; i < kWarmUpSteps; ++i) {
      RunStep();
    }
    mOffer = mEnd = mToken = mTick = trefoilbench::Cost();
    for (int i = 0; i < kMeasuredSteps; ++i) {
      RunStep();
    }
    mOffer.Print("offer");
    mEnd.Print("end, grant");
    mToken.Print("token");
    mTick.Print("tick");
  }

private:
  Offer NextOffer()
  {
    const auto number = static_cast<int>(mRandom() % 1000000);
    const int classIndex = number % kClasses;
    return { .mKey = { .mRequest = { mRandom(), mRandom() }, .mAttempt = 1 },
             .mLevel = { .mClass = "class-" + std::to_string(classIndex),
                         .mWorkspace = "workspace-" +
                                       std::to_string(number % mWorkspaceCount),
                         .mTier = static_cast<Tier>(classIndex % kTierCount),
                         .mFloor = 0.05 },
             .mDeadline = kFarDeadline + Millis(number),
             .mFirstTokenDue = kFarDeadline / 2 + Millis(number),
             .mPromptTokens = 200,
             .mOutputTokens = 100,
             .mIdempotent = true };
  }

  /** Starts all granted attempts, including those granted as a result. */
  void StartGranted(const SidecarActions& aActions)
  {
    for (const SidecarAction& action : aActions) {
      if (const auto* send = std::get_if<SendToEntry>(&action)) {
        if (const auto* grant = std::get_if<Grant>(&send->mMessage)) {
          mRunning.push_back(grant->mKey);
          StartGranted(mCore.OnMessage(
            kEntry,
            trefoilarch::Start{ .mKey = grant->mKey, .mCall = {} },
            mNow));
        }
      }
    }
  }

  void RunStep()
  {
    mNow += Millis(++mSteps % 4 == 0 ? 1 : 0);
    const Offer offer = NextOffer();
    StartGranted(
      mOffer.Add([&] { return mCore.OnMessage(kEntry, offer, mNow); }));
    if (mRunning.empty()) {
      return;
    }
    const AttemptKey key = mRunning.front();
    mRunning.pop_front();
    StartGranted(mToken.Add([&] {
      return mCore.OnCall(CallData{ .mKey = key, .mData = "t", .mTokens = 1 },
                          mNow);
    }));
    StartGranted(
      mEnd.Add([&] { return mCore.OnCall(CallDone{ .mKey = key }, mNow); }));
    StartGranted(
      mCore.OnMessage(kEntry, Ack{ .mKey = key, .mNextChunk = 1 }, mNow));
    if (mCore.NextWake() <= mNow) {
      StartGranted(mTick.Add([&] { return mCore.OnTick(mNow); }));
    }
  }

  int mWorkspaceCount;
  uint64_t mSteps = 0;
  std::mt19937_64 mRandom{ 1 };
  Millis mNow{ 1000 };
  SidecarCore mCore;
  std::deque<AttemptKey> mRunning;
  trefoilbench::Cost mOffer;
  trefoilbench::Cost mEnd;
  trefoilbench::Cost mToken;
  trefoilbench::Cost mTick;
};

} // namespace

} // namespace trefoilarch

int
main()
{
  for (const int workspaces : { 10, 2400 }) {
    for (const int queueLength : { 100, 10000 }) {
      std::printf(
        "%d workspaces, %d waiting requests\n", workspaces, queueLength);
      trefoilarch::Bench(queueLength, workspaces).Run();
    }
  }
  return 0;
}
