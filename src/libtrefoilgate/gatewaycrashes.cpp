#include "gateway.h"

#include "bootclock.h"

#include <boost/asio/post.hpp>

/** Updates and log lines about upstreams that crash, and about requests in
 * quarantine for it. */
namespace trefoilgate {

using namespace trefoilarch;

namespace {

/** Maximum number of suspects named in a log line, which also gives their
 * count. */
constexpr size_t kMaxNamed = 16;

std::vector<std::string>
FingerprintTexts(const std::vector<RequestFingerprint>& aRequests)
{
  std::vector<std::string> texts;
  for (const RequestFingerprint& each : aRequests) {
    if (texts.size() < kMaxNamed) {
      texts.push_back(each.Text());
    }
  }
  return texts;
}

std::vector<std::string>
UpstreamNames(const std::vector<UpstreamIncarnation>& aIncarnations)
{
  std::vector<std::string> names;
  names.reserve(aIncarnations.size());
  for (const UpstreamIncarnation& each : aIncarnations) {
    names.push_back(each.mUpstream);
  }
  return names;
}

} // namespace

void
Gateway::OnCrashUpdate()
{
  if (mCrashUpdateDue) {
    return;
  }
  mCrashUpdateDue = true;
  boost::asio::post(mLoop, [this] {
    mCrashUpdateDue = false;
    SendCrashUpdates(false);
  });
}

void
Gateway::SendCrashUpdates(bool aRepeat)
{
  for (const CrashUpdate& each : mRouter.TakeCrashUpdates(aRepeat, BootNow())) {
    mPeers.SendUpdate(each);
  }
  LogCrashes();
}

void
Gateway::LogCrashes()
{
  for (const UpstreamCrash& each : mRouter.TakeCrashes()) {
    mLog.Write(LineKind::StateChange,
               "upstream_crashed",
               { { "upstream", each.mIncarnation.mUpstream },
                 { "born", each.mIncarnation.mStartTime },
                 { "why", each.mReason },
                 { "suspects", each.mSuspects.size() },
                 { "fingerprints", FingerprintTexts(each.mSuspects) } });
  }
  for (const QuarantineChange& each : mRouter.CrashQuarantine().TakeChanges()) {
    mLog.Write(
      LineKind::StateChange,
      each.mHeld ? "request_quarantined" : "request_let_go",
      { { "fingerprint", each.mRequest.Text() },
        { "segment",
          each.mRequest.IsSegment() ? SegmentName(each.mRequest.mLow) : "" },
        { "why", each.mReason },
        { "crashes", UpstreamNames(each.mCrashes) } });
  }
}

} // namespace trefoilgate
