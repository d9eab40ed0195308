#include "gateway.h"

#include "bootclock.h"

#include <boost/asio/post.hpp>

/** What the gateway tells and logs of upstreams that crash, and of requests
 * that are not run for it. */
namespace trefoilgate {

using namespace trefoilarch;

namespace {

/** Suspects that a line of the log names; it says how many there are. */
constexpr size_t kMostNamed = 16;

std::vector<std::string>
TextsOf(const std::vector<RequestFingerprint>& aRequests)
{
  std::vector<std::string> texts;
  for (const RequestFingerprint& each : aRequests) {
    if (texts.size() < kMostNamed) {
      texts.push_back(each.Text());
    }
  }
  return texts;
}

std::vector<std::string>
NamesOf(const std::vector<UpstreamIncarnation>& aStarts)
{
  std::vector<std::string> names;
  names.reserve(aStarts.size());
  for (const UpstreamIncarnation& each : aStarts) {
    names.push_back(each.mUpstream);
  }
  return names;
}

} // namespace

void
Gateway::OnCrashUpdate()
{
  if (mCrashNewsDue) {
    return;
  }
  mCrashNewsDue = true;
  boost::asio::post(mLoop, [this] {
    mCrashNewsDue = false;
    TellCrashNews(false);
  });
}

void
Gateway::TellCrashNews(bool aAgain)
{
  for (const CrashUpdate& each : mRouter.TakeCrashUpdates(aAgain, BootNow())) {
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
                 { "fingerprints", TextsOf(each.mSuspects) } });
  }
  for (const QuarantineChange& each : mRouter.CrashQuarantine().TakeChanges()) {
    mLog.Write(LineKind::StateChange,
               each.mHeld ? "request_quarantined" : "request_let_go",
               { { "fingerprint", each.mRequest.Text() },
                 { "why", each.mReason },
                 { "crashes", NamesOf(each.mCrashes) } });
  }
}

} // namespace trefoilgate
