#pragma once

#include "libtrefoilarch/performance/upstreamperformance.h"

#include <cmath>
#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace performancefleet {

using namespace trefoilarch;

constexpr int64_t kStart = 1000;
constexpr double kExpectedMs = 25;

inline std::string
EngineName(size_t aIndex)
{
  return "e" + std::to_string(aIndex);
}

/** Lists engines e0, e1, ... of one service. */
inline void
List(UpstreamPerformance& aPerformance, size_t aEngines)
{
  for (size_t each = 0; each < aEngines; ++each) {
    aPerformance.OnListed(EngineName(each), "llm", kStart, Millis(0));
  }
}

/**
 * 30 entries and 12 engines of three speeds. The contention of each engine is
 * 0.6 to 4.8 and changes five times a second; pauses vary by 1.5 to both sides
 * and one in fifty is a stall. Entries exchange 24 reports each half second,
 * over a network that loses, duplicates and delays, and that delivers reports
 * of old incarnations and absurd ones.
 */
class Fleet
{
public:
  static constexpr size_t kEntries = 30;
  static constexpr size_t kEngines = 12;
  static constexpr double kSpeeds[] = { 0.6, 1, 1.6 };

  explicit Fleet(uint32_t aSeed)
    : mRandom(aSeed)
    , mEntries(kEntries)
    , mContention(kEngines, 1)
  {
    for (UpstreamPerformance& each : mEntries) {
      List(each, kEngines);
      // Each entry's expectation is wrong by a factor of its own.
      mScales.push_back(Between(0.7, 1.4));
    }
  }

  void Run(Millis aFrom, Millis aEnd)
  {
    for (Millis now = aFrom; now < aEnd; now += Millis(10)) {
      ChangeContention();
      Deliver(now);
      for (size_t entry = 0; entry < kEntries; ++entry) {
        ServeEvents(entry, now);
        if ((now.Count() / 10 + static_cast<int64_t>(entry)) % 50 == 0) {
          Send(entry, now);
        }
      }
    }
  }

  /** Engines whose learned speed is nearer to one of the other two. */
  size_t Mistaken() const
  {
    size_t mistaken = 0;
    for (const UpstreamPerformance& entry : mEntries) {
      for (size_t engine = 0; engine < kEngines; ++engine) {
        const double error =
          std::log(entry.SpeedFactor(EngineName(engine)) / kSpeeds[engine % 3]);
        mistaken += std::abs(error) < std::log(1.6) / 2 ? 0 : 1;
      }
    }
    return mistaken;
  }

private:
  struct Message
  {
    Millis mAt;
    size_t mTo = 0;
    size_t mFrom = 0;
    UpstreamPerformanceReport mReport;
  };

  double Between(double aLow, double aHigh)
  {
    return std::exp(std::uniform_real_distribution<double>(
      std::log(aLow), std::log(aHigh))(mRandom));
  }
  bool Chance(uint32_t aPercent) { return mRandom() % 100 < aPercent; }

  void ChangeContention()
  {
    for (double& each : mContention) {
      each = Chance(5) ? Between(0.6, 4.8) : each;
    }
  }

  /** Five events per engine and second; one in four comes with a statement of
   * contention. */
  void ServeEvents(size_t aEntry, Millis aNow)
  {
    for (size_t engine = 0; engine < kEngines; ++engine) {
      if (!Chance(5)) {
        continue;
      }
      UpstreamPerformance& entry = mEntries[aEntry];
      if (Chance(25)) {
        entry.OnContention(EngineName(engine), mContention[engine], aNow);
      }
      const double noise = Chance(2) ? 40 : Between(1 / 1.5, 1.5);
      entry.OnWork(EngineName(engine),
                   kExpectedMs * kSpeeds[engine % 3] * mContention[engine] *
                     noise,
                   kExpectedMs * mScales[aEntry],
                   aNow);
    }
  }

  void Send(size_t aFrom, Millis aNow)
  {
    const auto reports = mEntries[aFrom].TakeReports(24, aNow);
    for (size_t to = 0; to < kEntries; ++to) {
      for (const UpstreamPerformanceReport& each : reports) {
        const int copies = Chance(20) ? 0 : (Chance(10) ? 2 : 1);
        for (int copy = 0; copy < copies && to != aFrom; ++copy) {
          // One report in ten is overtaken by the next.
          const double delay = Chance(10) ? Between(500, 1500) : 10;
          mMessages.push_back(
            { aNow + Millis(std::lround(delay)), to, aFrom, Spoilt(each) });
        }
      }
    }
  }

  UpstreamPerformanceReport Spoilt(UpstreamPerformanceReport aReport)
  {
    constexpr double kAbsurd[] = { NAN, INFINITY, -3, 1e300, 100 };
    if (Chance(5)) {
      aReport.mStartTime = kStart - 1;
      aReport.mSpeedFactor = 8;
    } else if (Chance(5)) {
      aReport.mSpeedFactor = kAbsurd[mRandom() % 5];
      aReport.mContention = kAbsurd[mRandom() % 4];
      aReport.mSamples = UINT32_MAX;
    }
    return aReport;
  }

  void Deliver(Millis aNow)
  {
    std::erase_if(mMessages, [&](const Message& aEach) {
      if (aNow < aEach.mAt) {
        return false;
      }
      mEntries[aEach.mTo].OnPeerReport(
        std::to_string(aEach.mFrom), aEach.mReport, aNow);
      return true;
    });
  }

  std::mt19937 mRandom;
  std::vector<UpstreamPerformance> mEntries;
  std::vector<double> mContention;
  std::vector<double> mScales;
  std::vector<Message> mMessages;
};

} // namespace performancefleet
