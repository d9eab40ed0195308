#include "libtrefoilarch/directrouter.h"

#include <criterion/criterion.h>

#include <memory>
#include <string>
#include <utility>

using namespace trefoilarch;

/**
 * Guards against requests that are sent to upstreams known to have crashed.
 * Their rows stay in the list for some seconds, and another process that has
 * taken the address rejects all requests, which used up the attempts of a
 * request.
 */
namespace {

constexpr int kRequests = 40;

class Router
{
public:
  Router()
  {
    RoutePolicy policy{ .mVersion = 1 };
    policy.mRoutes = { { .mName = "r",
                         .mHost = "h",
                         .mPathPrefix = "/",
                         .mTargets = { { .mService = "svc" } },
                         .mPublic = true } };
    policy.mServices["svc"] = { .mName = "svc", .mMaxConnections = 1000 };
    mRouter.SetPolicy(std::make_shared<const RoutePolicy>(std::move(policy)));
    List("u0", 1);
    List("u1", 1);
  }

  void List(const std::string& aId, int64_t aStartTime)
  {
    mRouter.Directory().Put({ .mId = aId,
                              .mService = "svc",
                              .mAddress = "a:" + aId,
                              .mStartTime = aStartTime });
    mRouter.OnDirectoryChanged(mNow);
  }

  /** Places a request, which ends well unless aEnds is false. */
  PlacedAttempt Send(bool aEnds = true)
  {
    mNow += Millis(10);
    mRouter.ConfirmPolicy(mNow);
    const RequestAttributes attributes{ .mHost = "h",
                                        .mPath = "/x",
                                        .mArrivedAt = mNow };
    auto bound = mRouter.Bind(attributes, mNow);
    cr_assert(bound.has_value());
    BoundRequest request = std::move(*bound);
    request.mFeatures.mContent = { .mHigh = 1, .mLow = 2 };
    auto attempt = mRouter.Place(request, {}, mNow);
    cr_assert(attempt.has_value());
    if (aEnds) {
      mRouter.OnStarted(*attempt, mNow);
      mRouter.OnEnded(*attempt, AttemptOutcome::Good, mNow);
    }
    return *attempt;
  }

  int SentTo(const std::string& aId)
  {
    int sent = 0;
    for (int each = 0; each < kRequests; ++each) {
      sent += Send().mUpstream == aId ? 1 : 0;
    }
    return sent;
  }

  /** The upstream's process ends while it runs a request. */
  void Crash(const std::string& aId)
  {
    PlacedAttempt attempt = Send(false);
    while (attempt.mUpstream != aId) {
      mRouter.OnEnded(attempt, AttemptOutcome::Withdrawn, mNow);
      attempt = Send(false);
    }
    mRouter.OnConnectionLost(attempt, mNow);
    mRouter.OnEnded(attempt, AttemptOutcome::Broken, mNow);
    mRouter.OnConnectionRefused(aId, mNow);
  }

  /** Another entry reports that the process has crashed. */
  void ReportCrash(const std::string& aId, int64_t aStartTime)
  {
    mRouter.OnCrashUpdate(
      { .mReports = { { .mIncarnation = { .mUpstream = aId,
                                          .mStartTime = aStartTime } } } },
      mNow);
  }

private:
  DirectRouter mRouter{ { .mName = "entry" } };
  Millis mNow{ 1000 };
};

} // namespace

Test(crashedupstreams, none_gets_requests_before_its_row_changes)
{
  Router router;
  router.Crash("u0");
  cr_expect(router.SentTo("u0") == 0);
  router.List("u0", 2);
  cr_expect(router.SentTo("u0") > 0);
}

Test(crashedupstreams, none_gets_requests_of_an_entry_that_was_told)
{
  Router router;
  router.ReportCrash("u0", 1);
  cr_expect(router.SentTo("u0") == 0);
  router.ReportCrash("u1", 7);
  cr_expect(router.SentTo("u1") == kRequests, "a process that is gone");
}

Test(crashedupstreams, they_are_tried_where_there_is_no_other)
{
  Router router;
  router.Crash("u0");
  router.Crash("u1");
  cr_expect(router.SentTo("u0") + router.SentTo("u1") > 0);
}
