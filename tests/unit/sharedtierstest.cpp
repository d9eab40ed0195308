#include "libtrefoilarch/directrouter.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

using namespace trefoilarch;

/**
 * Guards against 429 for requests of medium urgency at three of five entries
 * while the other two, which had half the load, accepted less urgent ones for
 * the same engines. Each entry judges by its own requests: the three began to
 * reject 1.5 s after their own last less urgent request, the time for which an
 * entry counts as accepting such requests. The other two rejected none.
 */
namespace {

constexpr Millis kStep{ 10 };
constexpr Millis kUpdateInterval{ 20 };
constexpr Millis kDuration{ 8000 };

/** An entry counts as accepting requests for this long after one. */
constexpr Millis kAdmittedWindow{ 1500 };

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

/** An entry and the attempts that it sent. */
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

  /** Whether it accepts the request. Accepted requests are sent. */
  bool Accepts(const char* aPath, uint32_t aTokens, Millis aNow)
  {
    mRouter.ConfirmPolicy(aNow);
    const RequestAttributes attributes{ .mHost = "h",
                                        .mPath = aPath,
                                        .mArrivedAt = aNow,
                                        .mCallerTimeout = Millis(6000),
                                        .mPrompt = { .mPromptTokens = aTokens,
                                                     .mMaxOutput = 40 } };
    return boost::leaf::try_handle_all(
      [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(bound, mRouter.Bind(attributes, aNow));
        auto attempt = mRouter.Place(bound, {}, aNow);
        cr_assert(attempt.has_value());
        mAttempts.push_back(std::move(*attempt));
        return true;
      },
      [](const Refusal&) { return false; },
      [] { return false; });
  }

  DirectRouter mRouter;
  std::vector<PlacedAttempt> mAttempts;
};

} // namespace

Test(sharedtiers, none_is_refused_while_another_entry_takes_the_less_urgent)
{
  Entry busy("busy");
  Entry quiet("quiet");
  Millis draftAcceptedAt(-10000);
  size_t refusedTooSoon = 0;
  size_t refused = 0;
  for (Millis now(1000); now < kDuration; now += kStep) {
    if (now.Count() % kUpdateInterval.Count() == 0) {
      quiet.mRouter.OnPeerUpdate(busy.mRouter.TakePeerUpdate(now), now);
      busy.mRouter.OnPeerUpdate(quiet.mRouter.TakePeerUpdate(now), now);
    }
    // The engines are full: requests of the busy entry do not start.
    if (!busy.Accepts("/quote/x", 2400, now)) {
      refused++;
      refusedTooSoon += now - draftAcceptedAt < kAdmittedWindow ? 1 : 0;
    }
    const bool sendsDraft = now.Count() % 100 == 0;
    if (sendsDraft && quiet.Accepts("/draft/x", 9000, now)) {
      draftAcceptedAt = now;
    }
    for (PlacedAttempt& each : quiet.mAttempts) {
      if (!each.mStarted && now - each.mSentAt >= Millis(300)) {
        quiet.mRouter.OnStarted(each, now);
      } else if (each.mStarted && now - each.mStartedAt == Millis(400)) {
        quiet.mRouter.OnEnded(each, AttemptOutcome::Good, now);
      }
    }
  }
  cr_expect(refused > 0);
  cr_expect(refusedTooSoon == 0,
            "%zu of %zu refused while drafts were accepted",
            refusedTooSoon,
            refused);
}
