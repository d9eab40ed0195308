#include "libtrefoilarch/crashdetector.h"

#include <criterion/criterion.h>

using namespace trefoilarch;

namespace {

const UpstreamIncarnation kIncarnation{ .mUpstream = "u", .mStartTime = 1 };
const RequestFeatures kOne{ .mContent = { 1, 1 } };
const RequestFeatures kTwo{ .mContent = { 2, 2 } };

} // namespace

Test(crashdetector, a_broken_connection_alone_is_no_crash)
{
  CrashDetector detector;
  cr_expect(!detector.OnConnectionLost(kIncarnation, kOne, Millis(1000)));
  cr_expect(detector.IsCrashSuspected(kIncarnation));
  detector.Expire(Millis(60000));
  cr_expect(!detector.IsCrashSuspected(kIncarnation));
  cr_expect(detector.OnEnded(kIncarnation, Millis(60001)).empty());
}

Test(crashdetector, requests_that_failed_with_the_process_are_suspects)
{
  CrashDetector detector;
  detector.OnConnectionLost(kIncarnation, kOne, Millis(1000));
  detector.OnConnectionLost(kIncarnation, kTwo, Millis(1003));
  const auto suspects = detector.OnEnded(kIncarnation, Millis(1005));
  cr_expect(suspects ==
            CrashDetector::Suspects({ kOne.mContent, kTwo.mContent }));
  // The same end reported again, for example by the list.
  cr_expect(detector.OnEnded(kIncarnation, Millis(3000)).empty());
}

Test(crashdetector, requests_that_failed_long_before_the_end_are_no_suspects)
{
  CrashDetector detector;
  detector.OnConnectionLost(kIncarnation, kOne, Millis(1000));
  detector.OnConnectionLost(kIncarnation, kTwo, Millis(5000));
  cr_expect(detector.OnEnded(kIncarnation, Millis(5001)) ==
            CrashDetector::Suspects({ kTwo.mContent }));
}

Test(crashdetector, a_failure_detected_after_the_end_is_a_suspect_at_once)
{
  CrashDetector detector;
  detector.OnConnectionLost(kIncarnation, kOne, Millis(1000));
  detector.OnEnded(kIncarnation, Millis(1001));
  cr_expect(detector.OnConnectionLost(kIncarnation, kTwo, Millis(1200)));
}

Test(crashdetector, the_end_of_a_leaving_upstream_is_no_crash)
{
  CrashDetector detector;
  detector.OnConnectionLost(kIncarnation, kOne, Millis(1000));
  detector.OnLeaving(kIncarnation);
  cr_expect(detector.OnEnded(kIncarnation, Millis(1100)).empty());
}

Test(crashdetector, incarnations_of_one_upstream_are_distinguished)
{
  CrashDetector detector;
  detector.OnConnectionLost(kIncarnation, kOne, Millis(1000));
  const UpstreamIncarnation next{ .mUpstream = "u", .mStartTime = 2 };
  cr_expect(detector.OnEnded(next, Millis(1001)).empty());
  cr_expect(detector.IsCrashSuspected(kIncarnation));
}
