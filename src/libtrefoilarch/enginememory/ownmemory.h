#pragma once

#include "../loadupdate.h"
#include "memorytypes.h"
#include "outputlengths.h"
#include "requestmix.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <utility>
#include <vector>

namespace trefoilarch {

struct OwnMemoryOptions
{
  /** A shared segment that was sent to an engine is taken to be in use there
   * for this time after this entry's last request, if others use the engine. */
  Millis mSharedRetention{ 10000 };
  /** A request whose end was not reported is forgotten after this time. */
  Millis mMaxAttemptAge{ 300000 };
  /** Beyond these the oldest are forgotten. */
  size_t mMaxAttempts = 20000;
  /** An unchanged report is repeated after this time, before receivers let it
   * expire. */
  Millis mReportRepeat{ 1500 };
};

/** What this entry's requests use at an engine, in tokens. */
struct OwnUse
{
  int64_t mRequests = 0;
  /** Prompts without shared segments, and outputs so far. */
  int64_t mTokens = 0;
  /** Shared segments in use, each counted once. */
  int64_t mShared = 0;
  /** Other shared segments that were sent recently. */
  int64_t mRecentShared = 0;
  /** Mean and variance of the further output. */
  int64_t mExpected = 0;
  int64_t mVariance = 0;
  /** Standard error of mExpected from the learnt lengths, in 1/1000 tokens. */
  int64_t mMilliError = 0;
};

/** The engine memory that the requests of this entry use. */
class OwnMemory
{
public:
  explicit OwnMemory(OwnMemoryOptions aOptions);

  void SetUpdateInterval(Millis aInterval) { mUpdateInterval = aInterval; }

  void OnSent(const MemoryUse& aUse, Millis aNow);
  void OnOutput(const UpstreamId& aUpstream,
                uint64_t aAttempt,
                uint32_t aTokens);
  void OnEnded(const UpstreamId& aUpstream,
               uint64_t aAttempt,
               AnswerEnd aEnd,
               Millis aNow);

  /** Ends the engine's attempts and forgets its segments. */
  void OnEngineEnded(const UpstreamId& aUpstream, Millis aNow);

  OwnUse At(const UpstreamId& aUpstream) const;
  /** The sum over all engines. */
  const OwnUse& Sum() const { return mSum; }
  /** The rate at which requests are sent to the engine, in tokens per ms. */
  double SendingRate(const UpstreamId& aUpstream, Millis aNow) const;
  const RequestMix& Mix() const { return mMix; }
  /** Tokens of the segments that are not counted at the engine. Those that were
   * sent recently are counted there if aCountsRecent. */
  int64_t MissingTokens(const UpstreamId& aUpstream,
                        const std::vector<PromptSegment>& aShared,
                        bool aCountsRecent) const;
  RemainingOutput Expected(const std::string& aRoute,
                           uint32_t aExpectedOutput) const;

  /** First reports that would expire at receivers, then the most changed. */
  std::vector<EngineMemoryReport> TakeReports(size_t aMost, Millis aNow);
  void Expire(Millis aNow);

private:
  struct Sent
  {
    Millis mAt;
    UpstreamId mUpstream;
    uint64_t mAttempt = 0;
  };
  struct Attempt
  {
    MemoryUse mUse;
    uint32_t mOutput = 0;
    /** Its part of the sums. */
    int64_t mExpected = 0;
    int64_t mVariance = 0;
    int64_t mMilliError = 0;
    std::list<Sent>::iterator mSent;
  };
  struct Segment
  {
    uint32_t mTokens = 0;
    uint32_t mRequests = 0;
    Millis mUnusedSince;
  };
  struct Engine
  {
    OwnUse mUse;
    std::unordered_map<uint64_t, Attempt> mAttempts;
    std::unordered_map<uint64_t, Segment> mSegments;
    /** Sum of the tokens sent; it fades over the update interval. */
    double mSent = 0;
    Millis mSentAt;
    EngineMemoryReport mReported;
    Millis mReportedAt;
  };

  /** Time over which the rate of new requests is averaged. */
  double RateWindowMs() const;
  double SentRecently(const Engine& aEngine, Millis aNow) const;
  void Estimate(Engine& aEngine, Attempt& aAttempt);
  void AddTokens(Engine& aEngine, int64_t aTokens);
  static void AddSegment(Engine& aEngine, const PromptSegment& aSegment);
  static void RemoveSegment(Engine& aEngine, uint64_t aId, Millis aNow);
  void SampleMix();
  void ExpireSegments(Engine& aEngine, Millis aNow) const;
  static EngineMemoryReport ReportOf(const UpstreamId& aUpstream,
                                     const Engine& aEngine);

  OwnMemoryOptions mOptions;
  Millis mUpdateInterval{ 500 };
  OutputLengths mLengths;
  std::unordered_map<UpstreamId, Engine> mEngines;
  /** All attempts, oldest first. */
  std::list<Sent> mSent;
  OwnUse mSum;
  RequestMix mMix;
  Millis mSampledAt;
};

} // namespace trefoilarch
