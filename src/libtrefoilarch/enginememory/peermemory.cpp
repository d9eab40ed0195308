#include "peermemory.h"

#include <algorithm>
#include <cmath>

namespace trefoilarch {

namespace {

/** No engine holds more tokens. */
constexpr uint32_t kMaxTokens = 1U << 24;

int64_t
Total(const EngineMemoryReport& aReport)
{
  return int64_t{ aReport.mTokens } + aReport.mExpectedTokens;
}

} // namespace

PeerMemory::PeerMemory(PeerMemoryOptions aOptions)
  : mOptions(aOptions)
{
}

bool
PeerMemory::IsKnown(const std::string& aFrom, const UpstreamId& aUpstream) const
{
  const auto engine = mEngines.find(aUpstream);
  return engine != mEngines.end() && engine->second.mReports.contains(aFrom);
}

void
PeerMemory::OnReport(const std::string& aFrom,
                     const EngineMemoryReport& aReport,
                     Millis aNow)
{
  const bool absurd =
    aReport.mTokens > kMaxTokens || aReport.mExpectedTokens > kMaxTokens;
  if (absurd) {
    return;
  }
  if (mOrder.size() >= mOptions.mMaxReports &&
      !IsKnown(aFrom, aReport.mUpstream)) {
    return;
  }
  Engine& engine = mEngines[aReport.mUpstream];
  auto known = engine.mReports.find(aFrom);
  if (known == engine.mReports.end()) {
    const Order::iterator added =
      mOrder.insert(mOrder.end(),
                    Received{ .mFrom = aFrom,
                              .mReport = { .mUpstream = aReport.mUpstream },
                              .mAt = aNow });
    known = engine.mReports.emplace(aFrom, added).first;
    Count(engine, *added, 1);
  }
  Received& received = *known->second;
  const int64_t rise = Total(aReport) - Total(received.mReport);
  engine.mRise =
    RiseAt(engine, aNow) + static_cast<double>(std::max<int64_t>(0, rise));
  engine.mRiseAt = aNow;
  Count(engine, received, -1);
  received.mReport = aReport;
  received.mAt = aNow;
  Count(engine, received, 1);
  mOrder.splice(mOrder.end(), mOrder, known->second);
}

void
PeerMemory::Count(Engine& aEngine, const Received& aReceived, int aSign)
{
  aEngine.mTokens += aSign * int64_t{ aReceived.mReport.mTokens };
  aEngine.mExpected += aSign * int64_t{ aReceived.mReport.mExpectedTokens };
  aEngine.mReceivedAt += aSign * aReceived.mAt.Count();
}

double
PeerMemory::RateWindowMs() const
{
  return static_cast<double>(
    std::max<int64_t>(1, mOptions.mRateWindow.Count()));
}

double
PeerMemory::RiseAt(const Engine& aEngine, Millis aNow) const
{
  const auto age = static_cast<double>((aNow - aEngine.mRiseAt).Count());
  return aEngine.mRise * std::exp(-std::max(0.0, age) / RateWindowMs());
}

PeerUse
PeerMemory::At(const UpstreamId& aUpstream, Millis aNow) const
{
  // Entries that use the engine for the first time have not reported it yet.
  const double minAge = static_cast<double>(mUpdateInterval.Count()) / 2;
  const auto found = mEngines.find(aUpstream);
  if (found == mEngines.end() || found->second.mReports.empty()) {
    return { .mAgeMs = minAge };
  }
  const Engine& engine = found->second;
  const auto reports = static_cast<double>(engine.mReports.size());
  const double meanAge = static_cast<double>(aNow.Count()) -
                         static_cast<double>(engine.mReceivedAt) / reports;
  const auto maxAge = static_cast<double>(mOptions.mReportTimeout.Count());
  const double age = std::clamp(meanAge, minAge, std::max(minAge, maxAge));
  return { .mTokens = static_cast<double>(engine.mTokens),
           .mExpected = static_cast<double>(engine.mExpected),
           .mRise = RiseAt(engine, aNow) / RateWindowMs(),
           .mAgeMs = age };
}

void
PeerMemory::Expire(Millis aNow)
{
  while (!mOrder.empty() &&
         aNow - mOrder.front().mAt > mOptions.mReportTimeout) {
    const Received& oldest = mOrder.front();
    const auto engine = mEngines.find(oldest.mReport.mUpstream);
    Count(engine->second, oldest, -1);
    engine->second.mReports.erase(oldest.mFrom);
    if (engine->second.mReports.empty()) {
      mEngines.erase(engine);
    }
    mOrder.pop_front();
  }
}

} // namespace trefoilarch
