#include "libtrefoilarch/crashdetector.h"

#include <criterion/criterion.h>

using namespace trefoilarch;

namespace {

const UpstreamIncarnation kStart{ .mUpstream = "u", .mStartTime = 1 };
constexpr RequestFingerprint kOne{ 1, 1 };
constexpr RequestFingerprint kTwo{ 2, 2 };

} // namespace

Test(crashdetector, a_broken_connection_alone_is_no_crash)
{
  CrashDetector detector;
  cr_expect(!detector.OnConnectionLost(kStart, kOne, Millis(1000)));
  cr_expect(detector.IsCrashSuspected(kStart));
  detector.Expire(Millis(60000));
  cr_expect(!detector.IsCrashSuspected(kStart));
  cr_expect(detector.OnEnded(kStart, Millis(60001)).empty());
}

Test(crashdetector, the_requests_that_broke_with_the_process_are_suspects)
{
  CrashDetector detector;
  detector.OnConnectionLost(kStart, kOne, Millis(1000));
  detector.OnConnectionLost(kStart, kTwo, Millis(1003));
  const auto suspects = detector.OnEnded(kStart, Millis(1005));
  cr_expect(suspects == CrashDetector::Suspects({ kOne, kTwo }));
  // The same end seen again, by the list for example.
  cr_expect(detector.OnEnded(kStart, Millis(3000)).empty());
}

Test(crashdetector, what_broke_long_before_the_end_is_not_one)
{
  CrashDetector detector;
  detector.OnConnectionLost(kStart, kOne, Millis(1000));
  detector.OnConnectionLost(kStart, kTwo, Millis(5000));
  cr_expect(detector.OnEnded(kStart, Millis(5001)) ==
            CrashDetector::Suspects({ kTwo }));
}

Test(crashdetector, what_is_noticed_late_is_one_at_once)
{
  CrashDetector detector;
  detector.OnConnectionLost(kStart, kOne, Millis(1000));
  detector.OnEnded(kStart, Millis(1001));
  cr_expect(detector.OnConnectionLost(kStart, kTwo, Millis(1200)));
}

Test(crashdetector, one_that_leaves_does_not_crash)
{
  CrashDetector detector;
  detector.OnConnectionLost(kStart, kOne, Millis(1000));
  detector.OnLeaving(kStart);
  cr_expect(detector.OnEnded(kStart, Millis(1100)).empty());
}

Test(crashdetector, starts_of_one_upstream_are_told_apart)
{
  CrashDetector detector;
  detector.OnConnectionLost(kStart, kOne, Millis(1000));
  const UpstreamIncarnation next{ .mUpstream = "u", .mStartTime = 2 };
  cr_expect(detector.OnEnded(next, Millis(1001)).empty());
  cr_expect(detector.IsCrashSuspected(kStart));
}
