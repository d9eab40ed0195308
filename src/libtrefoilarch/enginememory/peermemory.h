#pragma once

#include "../loadupdate.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>

namespace trefoilarch {

struct PeerMemoryOptions
{
  /** A report counts for this time unless it is replaced: the entry may be gone
   * or cut off. */
  Millis mReportTimeout{ 3000 };
  /** Time over which the rate of new requests is averaged. */
  Millis mRateWindow{ 2000 };
  /** Reports kept; beyond these, new ones are ignored. */
  size_t mMaxReports = 16384;
};

/** What the reports of other entries say about an engine, in tokens. */
struct PeerUse
{
  double mTokens = 0;
  double mExpected = 0;
  /** Rate at which the reports rose lately, in tokens per ms. */
  double mRise = 0;
  /** Mean age of the reports, in ms. */
  double mAgeMs = 0;
};

/** The engine memory that the requests of other entries use. */
class PeerMemory
{
public:
  explicit PeerMemory(PeerMemoryOptions aOptions);

  void SetUpdateInterval(Millis aInterval) { mUpdateInterval = aInterval; }

  /** Replaces the sender's last report about the engine. Ignores absurd
   * figures. */
  void OnReport(const std::string& aFrom,
                const EngineMemoryReport& aReport,
                Millis aNow);
  PeerUse At(const UpstreamId& aUpstream, Millis aNow) const;
  void Expire(Millis aNow);

private:
  struct Received
  {
    std::string mFrom;
    EngineMemoryReport mReport;
    Millis mAt;
  };
  using Order = std::list<Received>;
  struct Engine
  {
    std::unordered_map<std::string, Order::iterator> mReports;
    int64_t mTokens = 0;
    int64_t mExpected = 0;
    /** Sum of the times of receipt, in milliseconds. */
    int64_t mReceivedAt = 0;
    /** Sum of the rises of the reports; it fades over the rate window. */
    double mRise = 0;
    Millis mRiseAt;
  };

  bool IsKnown(const std::string& aFrom, const UpstreamId& aUpstream) const;
  double RateWindowMs() const;
  /** The sum of rises as faded until now. */
  double RiseAt(const Engine& aEngine, Millis aNow) const;
  static void Count(Engine& aEngine, const Received& aReceived, int aSign);

  PeerMemoryOptions mOptions;
  Millis mUpdateInterval{ 500 };
  std::unordered_map<UpstreamId, Engine> mEngines;
  /** Oldest first. */
  Order mOrder;
};

} // namespace trefoilarch
