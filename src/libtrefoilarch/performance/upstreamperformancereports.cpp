#include "upstreamperformance.h"

#include "factorbounds.h"

#include <algorithm>
#include <cmath>

namespace trefoilarch {

void
UpstreamPerformance::MarkForReport(Upstream& aUpstream)
{
  if (aUpstream.mWaiting == 0) {
    aUpstream.mWaiting = ++mLastWaiting;
  }
}

std::vector<UpstreamPerformanceReport>
UpstreamPerformance::TakeReports(size_t aMost, Millis aNow)
{
  for (const auto& [name, service] : mServices) {
    UpdateIfDue(name, aNow);
  }
  std::vector<Upstream*> waiting;
  for (auto& [id, each] : mUpstreams) {
    if (each.mWaiting != 0) {
      waiting.push_back(&each);
    }
  }
  std::sort(waiting.begin(),
            waiting.end(),
            [](const Upstream* aLeft, const Upstream* aRight) {
              return aLeft->mWaiting < aRight->mWaiting;
            });
  const size_t oldest = std::min(waiting.size(), aMost - aMost / 2);
  std::stable_sort(waiting.begin() + static_cast<std::ptrdiff_t>(oldest),
                   waiting.end(),
                   [&](const Upstream* aLeft, const Upstream* aRight) {
                     return ChangeSinceReport(*aLeft) >
                            ChangeSinceReport(*aRight);
                   });
  waiting.resize(std::min(waiting.size(), aMost));
  std::vector<UpstreamPerformanceReport> reports;
  reports.reserve(waiting.size());
  for (Upstream* each : waiting) {
    reports.push_back(Report(*each, aNow));
  }
  return reports;
}

double
UpstreamPerformance::OwnSpeedLog(const Upstream& aUpstream) const
{
  if (!aUpstream.mSpeed.HasOwn()) {
    return 0;
  }
  const double scale = mServices.at(aUpstream.mService).mOwnScale;
  const double log = aUpstream.mSpeed.OwnLog() - scale;
  return std::log(FactorOfLog(log));
}

double
UpstreamPerformance::ChangeSinceReport(const Upstream& aUpstream) const
{
  const auto& contention = aUpstream.mContention.Own();
  const double contentionLog = contention ? std::log(contention->mFactor) : 0;
  return std::abs(OwnSpeedLog(aUpstream) - aUpstream.mReportedSpeed) +
         std::abs(contentionLog - aUpstream.mReportedContention);
}

UpstreamPerformanceReport
UpstreamPerformance::Report(Upstream& aUpstream, Millis aNow) const
{
  aUpstream.mWaiting = 0;
  aUpstream.mReportedSpeed = OwnSpeedLog(aUpstream);
  UpstreamPerformanceReport report{
    .mUpstream = aUpstream.mId,
    .mStartTime = aUpstream.mStartTime,
    .mSpeedFactor = FactorOfLog(aUpstream.mReportedSpeed),
    .mSamples =
      static_cast<uint32_t>(std::lround(aUpstream.mSpeed.OwnSamples(aNow))),
  };
  const auto& contention = aUpstream.mContention.Own();
  if (contention &&
      aNow - contention->mAt <= ContentionEstimate::kHeardLifetime) {
    aUpstream.mReportedContention = std::log(contention->mFactor);
    report.mContention = contention->mFactor;
    report.mContentionAge = std::max(aNow - contention->mAt, Millis(0));
  }
  return report;
}

} // namespace trefoilarch
