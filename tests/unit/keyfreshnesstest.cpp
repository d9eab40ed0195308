#include "modelevents.h"
#include "modelrandom.h"

#include "libtrefoilarch/directrouter.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <functional>
#include <memory>
#include <optional>
#include <utility>

using namespace trefoilarch;

/**
 * A revoked key must not be accepted for longer than 5 s. The model has a store
 * whose clock runs at its own speed, an operator who changes policies, and an
 * entry that follows them by long polls while responses are lost, connections
 * are cut and the entry is suspended.
 */
namespace {

constexpr Millis kMaxUseAfterRevocation{ 5000 };
constexpr Millis kPollWait{ 2400 };
constexpr Millis kResponseTimeout{ 800 };
constexpr Millis kRetryDelay{ 300 };
constexpr Millis kEnd{ 20 * 60 * 1000 };
/** After this time without faults, a valid key is accepted. */
constexpr Millis kStableWindow{ 6000 };

std::shared_ptr<const RoutePolicy>
PolicyOf(uint64_t aVersion, bool aHasKey)
{
  RoutePolicy policy{ .mVersion = aVersion };
  policy.mRoutes = { { .mName = "r",
                       .mHost = "h",
                       .mPathPrefix = "/",
                       .mTargets = { { .mService = "s" } } } };
  policy.mWorkspaces = { { .mName = "other", .mKeys = { "x" } } };
  if (aHasKey) {
    policy.mWorkspaces.push_back({ .mName = "t", .mKeys = { "k" } });
  }
  return std::make_shared<const RoutePolicy>(std::move(policy));
}

class KeyModel
  : private ModelRandom
  , private ModelEvents
{
public:
  explicit KeyModel(uint32_t aSeed)
    : ModelRandom(aSeed)
    , mDrift(static_cast<int64_t>(Draw(201)) - 100)
    , mRouter({ .mSeed = aSeed })
  {
    mStored = PolicyOf(1, true);
  }

  void Run()
  {
    At(Millis(0), [this] { Poll(); });
    At(Millis(10), [this] { Request(); });
    At(Millis(1000), [this] { ChangePolicy(); });
    At(Millis(500), [this] { InjectFaults(); });
    RunUntil(kEnd);
    RC_ASSERT(mServed > 0U);
  }

private:
  struct Response
  {
    Millis mSentAt;
    Millis mStoreTime;
    std::shared_ptr<const RoutePolicy> mPolicy;
  };

  /** The store's steady clock, with an offset and a drift. */
  Millis StoreTime() const
  {
    constexpr int64_t kMillion = 1000000;
    return Millis(77000 + mNow.Count() + mNow.Count() * mDrift / kMillion);
  }

  /** Runs an action of the entry, later if the entry is suspended. */
  void RunOnEntry(const std::function<void()>& aAction)
  {
    if (mNow < mFrozenUntil) {
      At(mFrozenUntil, [this, aAction] { RunOnEntry(aAction); });
    } else {
      aAction();
    }
  }

  void Poll()
  {
    const bool atOnce = mFailed || mClock.NeedsMeasurement(mNow);
    const Millis wait = atOnce ? Millis(0) : kPollWait;
    const uint64_t poll = ++mPolls;
    const Millis sentAt = mNow;
    if (!mDisconnected) {
      After(1 + Draw(8), [this, poll, sentAt, wait] {
        DelayResponse(poll, sentAt, mNow + wait);
      });
    }
    At(sentAt + wait + kResponseTimeout, [this, poll] {
      RunOnEntry([this, poll] {
        if (poll == mPolls) {
          mFailed = true;
          mClock.Reset();
          At(mNow + kRetryDelay, [this] { RunOnEntry([this] { Poll(); }); });
          mPolls++;
        }
      });
    });
  }

  /** The store delays the response until something changes. */
  void DelayResponse(uint64_t aPoll, Millis aSentAt, Millis aUntil)
  {
    const uint64_t knownVersion =
      mRouter.Index() ? mRouter.Index()->Version() : 0;
    if (mNow < aUntil && mStored->mVersion <= knownVersion) {
      After(20, [this, aPoll, aSentAt, aUntil] {
        DelayResponse(aPoll, aSentAt, aUntil);
      });
      return;
    }
    if (mDisconnected || Fault(5)) {
      return;
    }
    const Response response{ .mSentAt = aSentAt,
                             .mStoreTime = StoreTime(),
                             .mPolicy = mStored };
    // A response may be delayed for long on its way.
    const int64_t delay = Fault(5) ? Draw(3000) : 1 + Draw(8);
    After(delay, [this, aPoll, response] {
      RunOnEntry([this, aPoll, response] { TakeResponse(aPoll, response); });
    });
  }

  void TakeResponse(uint64_t aPoll, const Response& aResponse)
  {
    if (aPoll != mPolls) {
      return;
    }
    mFailed = false;
    mRouter.SetPolicy(aResponse.mPolicy);
    const Millis madeAt =
      mClock.RespondedAt(aResponse.mSentAt, aResponse.mStoreTime);
    mRouter.ConfirmPolicy(std::clamp(madeAt, aResponse.mSentAt, mNow));
    Poll();
  }

  void ChangePolicy()
  {
    mStored = PolicyOf(mStored->mVersion + 1 + Draw(3), Chance(50));
    const bool hasKey = mStored->mWorkspaces.size() > 1;
    if (hasKey) {
      mRevokedAt.reset();
    } else if (!mRevokedAt) {
      mRevokedAt = mNow;
    }
    After(2000 + Draw(20000), [this] { ChangePolicy(); });
  }

  void InjectFaults()
  {
    mDisconnected = Fault(20);
    if (Fault(10)) {
      mFrozenUntil = mNow + Millis(Draw(9000));
    }
    if (mDisconnected || mNow < mFrozenUntil) {
      mLastFaultAt = std::max(mNow, mFrozenUntil);
    }
    After(500 + Draw(5000), [this] { InjectFaults(); });
  }

  void Request()
  {
    const Millis sent = mNow;
    RunOnEntry([this, sent] { Serve(sent); });
    After(30 + Draw(60), [this] { Request(); });
  }

  void Serve(Millis aSent)
  {
    if (mDisconnected) {
      mLastFaultAt = mNow;
    }
    const bool served = boost::leaf::try_handle_all(
      [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(
          bound,
          mRouter.Bind(
            { .mHost = "h", .mPath = "/x", .mKey = "k", .mArrivedAt = mNow },
            mNow));
        return mRouter.StillAllowed(bound, mNow);
      },
      [] { return false; });
    if (served) {
      mServed++;
      RC_ASSERT(!mRevokedAt || aSent <= *mRevokedAt + kMaxUseAfterRevocation);
      RC_ASSERT(mRouter.Index()->Version() >= mLastVersion);
      mLastVersion = mRouter.Index()->Version();
      return;
    }
    const bool isStable =
      mSuppressedFaultPercent >= 100 && mNow - mLastFaultAt > kStableWindow;
    const bool isCurrent =
      mRouter.Index() && mRouter.Index()->Version() == mStored->mVersion;
    RC_ASSERT(!isStable || !isCurrent || mRevokedAt);
  }

  /** Drift of the store's clock, in millionths. */
  int64_t mDrift;
  std::shared_ptr<const RoutePolicy> mStored;
  std::optional<Millis> mRevokedAt;
  DirectRouter mRouter;
  RemoteClock mClock;
  uint64_t mPolls = 0;
  bool mFailed = false;
  bool mDisconnected = false;
  Millis mFrozenUntil;
  Millis mLastFaultAt;
  uint64_t mServed = 0;
  uint64_t mLastVersion = 0;
};

} // namespace

Test(keyfreshness,
     a_revoked_key_is_rejected_in_time_despite_faults,
     .timeout = 200)
{
  const bool holds = rc::check("a revoked key is rejected in time",
                               [](uint32_t aSeed) { KeyModel(aSeed).Run(); });
  cr_assert(holds);
}

/** A clock that is fast by 100 parts in a million is 8.6 s ahead after a day.
 * The calculated time must never be later than the response. */
Test(keyfreshness, clocks_that_drift_for_days_date_no_response_too_late)
{
  constexpr int64_t kDay = 24L * 3600 * 1000;
  constexpr int64_t kMillion = 1000000;
  for (const int64_t drift : { -100, 0, 100 }) {
    RemoteClock clock;
    int64_t worst = 0;
    for (int64_t now = 0; now < 3 * kDay;) {
      const bool atOnce = clock.NeedsMeasurement(Millis(now));
      const int64_t madeAt = now + (atOnce ? 2 : 2402);
      const int64_t storeTime = madeAt + madeAt * drift / kMillion;
      const Millis localTime =
        clock.RespondedAt(Millis(now), Millis(storeTime));
      cr_assert(localTime.Count() <= madeAt,
                "%d ms late",
                static_cast<int>(localTime.Count() - madeAt));
      if (now > 1000 * 1000) {
        worst = std::max(worst, madeAt - localTime.Count());
      }
      now = madeAt + 1;
    }
    cr_expect(worst < 400, "%d ms early", static_cast<int>(worst));
  }
}
