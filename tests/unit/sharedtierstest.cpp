#include "libtrefoilarch/directrouter.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

using namespace trefoilarch;

/**
 * Callers of the middle urgency got 429 at three of five entries while the
 * other two, which had half the load, went on taking less urgent requests for
 * the same engines. Each entry judges by what it takes itself. Evidence: the
 * three began to refuse 1.5 s after their own last less urgent request, which
 * is the span for which an entry counts as taking such; the two refused none.
 */
namespace {

constexpr Millis kStep{ 10 };
constexpr Millis kNotesPause{ 20 };
constexpr Millis kSpan{ 8000 };

/** An entry counts as taking requests for so long after one. */
constexpr Millis kTakenSpan{ 1500 };

Route
RouteOf(const char* aName, uint8_t aPriority, int64_t aTarget)
{
  return { .mName = aName,
           .mHost = "h",
           .mPathPrefix = std::string("/") + aName + "/",
           .mStream = true,
           .mTimeout = Millis(6000),
           .mFirstTokenTarget = Millis(aTarget),
           .mPriority = aPriority,
           .mTargets = { { .mService = "engines" } },
           .mPublic = true };
}

/** An entry, and when it last took a less urgent request. */
struct Entry
{
  explicit Entry(const char* aName)
    : mRouter({ .mName = aName })
  {
    RoutePolicy policy{ .mVersion = 1 };
    policy.mRoutes = { RouteOf("quote", 1, 500), RouteOf("draft", 2, 1500) };
    policy.mServices["engines"] = { .mName = "engines",
                                    .mMaxConnections = 100000,
                                    .mEngine = EngineTraits{ .mSlots = 64 } };
    mRouter.SetPolicy(std::make_shared<const RoutePolicy>(std::move(policy)));
    for (int each = 0; each < 4; ++each) {
      mRouter.Directory().Put({ .mId = "u" + std::to_string(each),
                                .mService = "engines",
                                .mAddress = "a:" + std::to_string(each),
                                .mSlots = 64 });
    }
    mRouter.OnDirectoryChanged(Millis(0));
    mRouter.SetEntries(2);
  }

  /** Whether it takes the request; what is taken is sent. */
  bool Takes(const char* aPath, uint32_t aTokens, Millis aNow)
  {
    mRouter.ConfirmPolicy(aNow);
    const RequestAttributes facts{ .mHost = "h",
                                   .mPath = aPath,
                                   .mArrivedAt = aNow,
                                   .mCallerTimeout = Millis(6000),
                                   .mPrompt = { .mPromptTokens = aTokens,
                                                .mMaxOutput = 40 } };
    return boost::leaf::try_handle_all(
      [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(bound, mRouter.Bind(facts, aNow));
        auto attempt = mRouter.Place(bound, {}, aNow);
        cr_assert(attempt.has_value());
        mSent.push_back(std::move(*attempt));
        return true;
      },
      [](const Refusal&) { return false; },
      [] { return false; });
  }

  DirectRouter mRouter;
  std::vector<PlacedAttempt> mSent;
};

} // namespace

Test(sharedtiers, none_is_refused_while_another_entry_takes_the_less_urgent)
{
  Entry busy("busy");
  Entry quiet("quiet");
  Millis draftTakenAt(-10000);
  size_t refusedTooSoon = 0;
  size_t refused = 0;
  for (Millis now(1000); now < kSpan; now += kStep) {
    if (now.Count() % kNotesPause.Count() == 0) {
      quiet.mRouter.OnPeerUpdate(busy.mRouter.TakePeerUpdate(now), now);
      busy.mRouter.OnPeerUpdate(quiet.mRouter.TakePeerUpdate(now), now);
    }
    // Engines that are full: what the busy entry sends does not start.
    if (!busy.Takes("/quote/x", 2400, now)) {
      refused++;
      refusedTooSoon += now - draftTakenAt < kTakenSpan ? 1 : 0;
    }
    const bool sendsDraft = now.Count() % 100 == 0;
    if (sendsDraft && quiet.Takes("/draft/x", 9000, now)) {
      draftTakenAt = now;
    }
    for (PlacedAttempt& each : quiet.mSent) {
      if (!each.mStarted && now - each.mSentAt >= Millis(300)) {
        quiet.mRouter.OnStarted(each, now);
      } else if (each.mStarted && now - each.mStartedAt == Millis(400)) {
        quiet.mRouter.OnEnded(each, AttemptOutcome::Good, now);
      }
    }
  }
  cr_expect(refused > 0);
  cr_expect(refusedTooSoon == 0,
            "%zu of %zu refused while drafts were taken",
            refusedTooSoon,
            refused);
}
