// What a sidecar's decisions cost, in nanoseconds and allocated bytes.

#include "cost.h"

#include "libtrefoilarch/sidecarcore.h"

#include <deque>
#include <random>
#include <string>

namespace trefoilarch {

namespace {

constexpr int kWarmUp = 20000;
constexpr int kMeasured = 50000;
constexpr int kClasses = 8;
constexpr const char* kEntry = "entry-1";
constexpr Millis kFar{ 1000000000 };

/** One sidecar whose queue stays at one length: each step offers a request,
 * and ends one so that the next is granted and started. */
class Bench
{
public:
  Bench(int aWaiting, int aWorkspaces)
    : mWorkspaces(aWorkspaces)
    , mCore({ .mIncarnation = 1,
              .mQueueLimit = 1000000,
              .mLedgerRetention = Millis(5000),
              .mEntrySilenceTimeout = kFar,
              .mMaxRunning = 64 })
  {
    mCore.OnMessage(kEntry, Hello{ .mEntry = kEntry, .mDataCentre = "" }, mNow);
    for (int i = 0; i < aWaiting; ++i) {
      Start(mCore.OnMessage(kEntry, NextOffer(), mNow));
    }
  }

  void Run()
  {
    for (int i = 0; i < kWarmUp; ++i) {
      One();
    }
    mOffer = mEnd = mToken = mTick = trefoilbench::Cost();
    for (int i = 0; i < kMeasured; ++i) {
      One();
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
    const int ofClass = number % kClasses;
    return { .mKey = { .mRequest = { mRandom(), mRandom() }, .mAttempt = 1 },
             .mLevel = { .mClass = "class-" + std::to_string(ofClass),
                         .mWorkspace =
                           "workspace-" + std::to_string(number % mWorkspaces),
                         .mTier = static_cast<Tier>(ofClass % kTierCount),
                         .mFloor = 0.05 },
             .mDeadline = kFar + Millis(number),
             .mFirstTokenDue = kFar / 2 + Millis(number),
             .mPromptTokens = 200,
             .mOutputTokens = 100,
             .mIdempotent = true };
  }

  /** Starts whatever has been granted, and what is granted by that. */
  void Start(const SidecarActions& aActions)
  {
    for (const SidecarAction& action : aActions) {
      if (const auto* send = std::get_if<SendToEntry>(&action)) {
        if (const auto* grant = std::get_if<Grant>(&send->mMessage)) {
          mRunning.push_back(grant->mKey);
          Start(mCore.OnMessage(
            kEntry,
            trefoilarch::Start{ .mKey = grant->mKey, .mCall = {} },
            mNow));
        }
      }
    }
  }

  void One()
  {
    mNow += Millis(++mSteps % 4 == 0 ? 1 : 0);
    const Offer offer = NextOffer();
    Start(mOffer.Add([&] { return mCore.OnMessage(kEntry, offer, mNow); }));
    if (mRunning.empty()) {
      return;
    }
    const AttemptKey key = mRunning.front();
    mRunning.pop_front();
    Start(mToken.Add([&] {
      return mCore.OnCall(CallData{ .mKey = key, .mData = "t", .mTokens = 1 },
                          mNow);
    }));
    Start(
      mEnd.Add([&] { return mCore.OnCall(CallDone{ .mKey = key }, mNow); }));
    Start(mCore.OnMessage(kEntry, Ack{ .mKey = key, .mNextChunk = 1 }, mNow));
    if (mCore.NextWake() <= mNow) {
      Start(mTick.Add([&] { return mCore.OnTick(mNow); }));
    }
  }

  int mWorkspaces;
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
    for (const int waiting : { 100, 10000 }) {
      std::printf("%d workspaces, %d waiting requests\n", workspaces, waiting);
      trefoilarch::Bench(waiting, workspaces).Run();
    }
  }
  return 0;
}
