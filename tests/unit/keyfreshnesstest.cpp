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
 * The rule that a revoked key is honoured no longer than 5 s, as a model: a
 * store whose clock runs at its own speed, an operator who puts policies, and
 * an entry that follows them by long polls while answers are lost, links are
 * cut and the entry stands still.
 */
namespace {

constexpr Millis kRevoked{ 5000 };
constexpr Millis kPoll{ 2400 };
constexpr Millis kAnswerSpan{ 800 };
constexpr Millis kPause{ 300 };
constexpr Millis kEnd{ 20 * 60 * 1000 };
/** Without faults for this long, a valid key is served. */
constexpr Millis kCalm{ 6000 };

std::shared_ptr<const RoutePolicy>
PolicyOf(uint64_t aVersion, bool aHoldsKey)
{
  RoutePolicy policy{ .mVersion = aVersion };
  policy.mRoutes = { { .mName = "r",
                       .mHost = "h",
                       .mPathPrefix = "/",
                       .mTargets = { { .mService = "s" } } } };
  policy.mWorkspaces = { { .mName = "other", .mKeys = { "x" } } };
  if (aHoldsKey) {
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

  void Play()
  {
    At(Millis(0), [this] { Ask(); });
    At(Millis(10), [this] { Request(); });
    At(Millis(1000), [this] { Operate(); });
    At(Millis(500), [this] { Disturb(); });
    RunUntil(kEnd);
    RC_ASSERT(mServed > 0U);
  }

private:
  struct Answer
  {
    Millis mSentAt;
    Millis mStoreTime;
    std::shared_ptr<const RoutePolicy> mPolicy;
  };

  /** The store's steady clock: another start, another speed. */
  Millis Reading() const
  {
    constexpr int64_t kMillion = 1000000;
    return Millis(77000 + mNow.Count() + mNow.Count() * mDrift / kMillion);
  }

  /** What the entry would do now; later where it stands still. */
  void AtEntry(const std::function<void()>& aWhat)
  {
    if (mNow < mFrozenUntil) {
      At(mFrozenUntil, [this, aWhat] { AtEntry(aWhat); });
    } else {
      aWhat();
    }
  }

  void Ask()
  {
    const bool atOnce = mFailed || mClock.NeedsMeasurement(mNow);
    const Millis wait = atOnce ? Millis(0) : kPoll;
    const uint64_t poll = ++mPolls;
    const Millis asked = mNow;
    if (!mCut) {
      After(1 + Draw(8),
            [this, poll, asked, wait] { Hold(poll, asked, mNow + wait); });
    }
    At(asked + wait + kAnswerSpan, [this, poll] {
      AtEntry([this, poll] {
        if (poll == mPolls) {
          mFailed = true;
          mClock.Reset();
          At(mNow + kPause, [this] { AtEntry([this] { Ask(); }); });
          mPolls++;
        }
      });
    });
  }

  /** The store holds the answer back until something changes. */
  void Hold(uint64_t aPoll, Millis aAsked, Millis aUntil)
  {
    const uint64_t known = mRouter.Index() ? mRouter.Index()->Version() : 0;
    if (mNow < aUntil && mStored->mVersion <= known) {
      After(20, [this, aPoll, aAsked, aUntil] { Hold(aPoll, aAsked, aUntil); });
      return;
    }
    if (mCut || Fault(5)) {
      return;
    }
    const Answer answer{ .mSentAt = aAsked,
                         .mStoreTime = Reading(),
                         .mPolicy = mStored };
    // An answer may lie about for long on its way.
    const int64_t way = Fault(5) ? Draw(3000) : 1 + Draw(8);
    After(way, [this, aPoll, answer] {
      AtEntry([this, aPoll, answer] { Take(aPoll, answer); });
    });
  }

  void Take(uint64_t aPoll, const Answer& aAnswer)
  {
    if (aPoll != mPolls) {
      return;
    }
    mFailed = false;
    mRouter.SetPolicy(aAnswer.mPolicy);
    const Millis made = mClock.RespondedAt(aAnswer.mSentAt, aAnswer.mStoreTime);
    mRouter.ConfirmPolicy(std::clamp(made, aAnswer.mSentAt, mNow));
    Ask();
  }

  void Operate()
  {
    mStored = PolicyOf(mStored->mVersion + 1 + Draw(3), Chance(50));
    const bool holds = mStored->mWorkspaces.size() > 1;
    if (holds) {
      mRevokedAt.reset();
    } else if (!mRevokedAt) {
      mRevokedAt = mNow;
    }
    After(2000 + Draw(20000), [this] { Operate(); });
  }

  void Disturb()
  {
    mCut = Fault(20);
    if (Fault(10)) {
      mFrozenUntil = mNow + Millis(Draw(9000));
    }
    if (mCut || mNow < mFrozenUntil) {
      mDisturbedAt = std::max(mNow, mFrozenUntil);
    }
    After(500 + Draw(5000), [this] { Disturb(); });
  }

  void Request()
  {
    const Millis sent = mNow;
    AtEntry([this, sent] { Serve(sent); });
    After(30 + Draw(60), [this] { Request(); });
  }

  void Serve(Millis aSent)
  {
    if (mCut) {
      mDisturbedAt = mNow;
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
      RC_ASSERT(!mRevokedAt || aSent <= *mRevokedAt + kRevoked);
      RC_ASSERT(mRouter.Index()->Version() >= mLastVersion);
      mLastVersion = mRouter.Index()->Version();
      return;
    }
    const bool calm =
      mSuppressedFaultPercent >= 100 && mNow - mDisturbedAt > kCalm;
    const bool known =
      mRouter.Index() && mRouter.Index()->Version() == mStored->mVersion;
    RC_ASSERT(!calm || !known || mRevokedAt);
  }

  /** Of the store's clock, in millionths. */
  int64_t mDrift;
  std::shared_ptr<const RoutePolicy> mStored;
  std::optional<Millis> mRevokedAt;
  DirectRouter mRouter;
  RemoteClock mClock;
  uint64_t mPolls = 0;
  bool mFailed = false;
  bool mCut = false;
  Millis mFrozenUntil;
  Millis mDisturbedAt;
  uint64_t mServed = 0;
  uint64_t mLastVersion = 0;
};

} // namespace

Test(keyfreshness,
     a_revoked_key_is_dead_in_time_whatever_happens,
     .timeout = 200)
{
  const bool holds = rc::check("a revoked key is dead in time",
                               [](uint32_t aSeed) { KeyModel(aSeed).Play(); });
  cr_assert(holds);
}

/** A clock that runs fast by 100 parts in a million is 8.6 s ahead in a day;
 * the answer's date may never be later than the answer. */
Test(keyfreshness, clocks_that_drift_for_days_date_no_answer_too_late)
{
  constexpr int64_t kDay = 24L * 3600 * 1000;
  constexpr int64_t kMillion = 1000000;
  for (const int64_t drift : { -100, 0, 100 }) {
    RemoteClock clock;
    int64_t worst = 0;
    for (int64_t now = 0; now < 3 * kDay;) {
      const bool quick = clock.NeedsMeasurement(Millis(now));
      const int64_t made = now + (quick ? 2 : 2402);
      const int64_t reading = made + made * drift / kMillion;
      const Millis date = clock.RespondedAt(Millis(now), Millis(reading));
      cr_assert(date.Count() <= made,
                "%d ms late",
                static_cast<int>(date.Count() - made));
      if (now > 1000 * 1000) {
        worst = std::max(worst, made - date.Count());
      }
      now = made + 1;
    }
    cr_expect(worst < 400, "%d ms early", static_cast<int>(worst));
  }
}
