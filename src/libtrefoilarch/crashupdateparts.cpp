#include "crashupdateparts.h"

#include <utility>

namespace trefoilarch {

namespace {

/** Maximum number of fingerprints in a message. */
constexpr size_t kMaxRequests = 40;

/** Size of an incarnation in a message, in fingerprints. */
constexpr size_t kIncarnationSize = 2;

} // namespace

CrashUpdateParts::CrashUpdateParts(CrashUpdate aUpdate)
{
  for (const RequestFingerprint& each : aUpdate.mProbes) {
    PartFor(1).mProbes.push_back(each);
  }
  for (const AgedRequest& each : aUpdate.mCleared) {
    PartFor(1).mCleared.push_back(each);
  }
  for (const QuarantineReport& each : aUpdate.mQuarantined) {
    PartFor(1).mQuarantined.push_back(each);
  }
  for (CrashReport& each : aUpdate.mReports) {
    AddReport(std::move(each));
  }
}

void
CrashUpdateParts::AddReport(CrashReport aReport)
{
  const auto suspects = std::exchange(aReport.mSuspects, {});
  CrashReport part = aReport;
  for (const RequestFingerprint& each : suspects) {
    part.mSuspects.push_back(each);
    if (part.mSuspects.size() + kIncarnationSize == kMaxRequests) {
      PartFor(kMaxRequests).mReports.push_back(std::exchange(part, aReport));
    }
  }
  if (!part.mSuspects.empty()) {
    const size_t size = part.mSuspects.size() + kIncarnationSize;
    PartFor(size).mReports.push_back(std::move(part));
  }
}

CrashUpdate&
CrashUpdateParts::PartFor(size_t aSize)
{
  if (mParts.empty() || mParts.back().Size() + aSize > kMaxRequests) {
    mParts.emplace_back();
  }
  return mParts.back();
}

} // namespace trefoilarch
