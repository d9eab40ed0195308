#include "peersilence.h"

#include <algorithm>

namespace trefoilarch {

namespace {

/** An entry reports all requests it waits for at least every 0.64 s. A silence
 * missing from three reports in a row has ended. */
constexpr Millis kReportTimeout{ 1900 };

constexpr size_t kMinReporters = 2;

} // namespace

void
PeerSilence::OnPeerReport(const std::string& aFrom, Millis aSince, Millis aNow)
{
  std::erase_if(mReports, [&](const Report& aReport) {
    return aReport.mFrom == aFrom ||
           aNow - aReport.mReceivedAt > kReportTimeout;
  });
  if (mReports.size() >= kMinReporters) {
    mReports.erase(mReports.begin());
  }
  mReports.push_back({ .mFrom = aFrom, .mSince = aSince, .mReceivedAt = aNow });
}

Millis
PeerSilence::Silence(Millis aNow) const
{
  size_t reporters = 0;
  Millis since;
  for (const Report& each : mReports) {
    if (aNow - each.mReceivedAt <= kReportTimeout) {
      reporters++;
      since = std::max(since, each.mSince);
    }
  }
  return reporters < kMinReporters ? Millis(0)
                                   : std::max(Millis(0), aNow - since);
}

} // namespace trefoilarch
