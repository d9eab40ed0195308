#include "crashupdateparts.h"

#include <utility>

namespace trefoilarch {

namespace {

/** Requests that one message names. */
constexpr size_t kMostNamed = 40;

/** What an upstream's name takes in a message, in requests. */
constexpr size_t kNameSize = 2;

} // namespace

CrashUpdateParts::CrashUpdateParts(CrashUpdate aNews)
{
  for (const RequestFingerprint& each : aNews.mKeepaliveProbes) {
    Room(1).mKeepaliveProbes.push_back(each);
  }
  for (const AgedRequest& each : aNews.mCleared) {
    Room(1).mCleared.push_back(each);
  }
  for (const QuarantineReport& each : aNews.mQuarantined) {
    Room(1).mQuarantined.push_back(each);
  }
  for (CrashReport& each : aNews.mReports) {
    Add(std::move(each));
  }
}

void
CrashUpdateParts::Add(CrashReport aReport)
{
  const auto suspects = std::exchange(aReport.mSuspects, {});
  CrashReport part = aReport;
  for (const RequestFingerprint& each : suspects) {
    part.mSuspects.push_back(each);
    if (part.mSuspects.size() + kNameSize == kMostNamed) {
      Room(kMostNamed).mReports.push_back(std::exchange(part, aReport));
    }
  }
  if (!part.mSuspects.empty()) {
    const size_t size = part.mSuspects.size() + kNameSize;
    Room(size).mReports.push_back(std::move(part));
  }
}

CrashUpdate&
CrashUpdateParts::Room(size_t aSize)
{
  if (mParts.empty() || mParts.back().Size() + aSize > kMostNamed) {
    mParts.emplace_back();
  }
  return mParts.back();
}

} // namespace trefoilarch
