#pragma once

#include "memorytypes.h"
#include "memorywaiters.h"
#include "ownmemory.h"
#include "peermemory.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace trefoilarch {

struct EngineMemoryOptions
{
  OwnMemoryOptions mOwn;
  PeerMemoryOptions mPeers;
  /** The margin covers this many standard deviations: the 0.995 quantile of a
   * normal distribution. With the error of the learnt lengths, 0.99 of the sums
   * of outputs are within it. */
  double mMarginDeviations = 2.58;
  /** The margin is at most this share of an engine. A larger one comes from few
   * or bad data and would leave engines idle. */
  double mMaxMarginShare = 0.25;
  /** Weight of the shared segments that others are expected to use. Less than 1
   * if placement keeps requests with the same segments together. */
  double mExpectedSharedWeight = 1;
  /** Up to this tier, requests may wait at a full engine. */
  uint8_t mMaxQueueTier = 0;
  /** What may wait there, as a share of the engine's memory. */
  double mMaxQueueShare = 0.02;
  /** Up to this tier, requests may wait at the entry. */
  uint8_t mMaxWaitTier = 1;
  /** Maximum wait at the entry as a share of the time until the first token is
   * due. The rest is for the request's own prefill. */
  double mMaxWaitShare = 0.5;
  /** Requests that wait at the entry. */
  size_t mMaxWaiters = 1000;
  /** Maximum retry delay as a share of the caller's time. Callers obey no
   * longer one. */
  double mMaxReturnShare = 1.0 / 3;
};

/**
 * Accounts for the memory of model engines, in tokens, so that none is sent
 * more than it holds while another has room.
 *
 * The room of an engine is its capacity less what is used there, the further
 * output that is expected, and a margin. Each entry counts its own requests;
 * the others report theirs. If only some of the others are heard, their sum is
 * scaled to all.
 *
 * The margin is z * sqrt(V) + N, where V is the variance of the further outputs
 * by the lengths seen on their routes, plus that of what others have sent since
 * their last reports, and N is the mean of the latter: the rate of their new
 * tokens times the age of the reports. The rate is the highest of three:
 * - that at which their reports rose lately;
 * - that which keeps up what they report: this, over the time that a request of
 *   this entry takes. What has ended since is not deducted;
 * - as many times this entry's own rate at the engine as there are others. All
 *   see the same room at the same time, so all send there.
 * The requests of others are taken to be like those of this entry.
 *
 * A shared segment counts once per engine. Reports leave shared segments out,
 * so an entry can't see which of them are the same. Where others use an engine,
 * it counts the larger of two figures: the segments that it sent there within
 * OwnMemoryOptions::mSharedRetention, and the distinct segments that requests
 * like its own have if they use as many tokens. The latter assumes that
 * requests are placed regardless of their segments. It counts too much by at
 * most that figure where equal segments are kept together, and too little where
 * others use segments that this entry's requests haven't used lately.
 *
 * An entry that hears none of the others has its share of each engine: the
 * capacity divided by the number of entries. That can be less than one request,
 * so it may also send one request at a time to an engine of which it uses
 * nothing, within its share of all candidates.
 */
class EngineMemory
{
public:
  explicit EngineMemory(EngineMemoryOptions aOptions = {});

  /** Sets the number of entries, of those others whose updates arrive, even if
   * they report no memory, and the time between two updates of an entry. */
  void SetEntries(size_t aAll,
                  size_t aHeard,
                  Millis aUpdateInterval = Millis(500));

  void OnSent(const MemoryUse& aUse, Millis aNow);
  /** aTokens more tokens of the answer have arrived. */
  void OnOutput(const UpstreamId& aUpstream,
                uint64_t aAttempt,
                uint32_t aTokens);
  /** Lengths are learnt from whole answers only. */
  void OnEnded(const UpstreamId& aUpstream,
               uint64_t aAttempt,
               Millis aNow,
               AnswerEnd aEnd = AnswerEnd::Whole);

  /** The engine's process has ended. Later calls about its attempts are
   * ignored. */
  void OnEngineEnded(const UpstreamId& aUpstream, Millis aNow);

  MemoryRoom RoomAt(const UpstreamId& aUpstream,
                    uint32_t aCapacityTokens,
                    Millis aNow) const;
  /** Whether a request that adds aRequestTokens, its output included, fits. */
  bool Fits(const UpstreamId& aUpstream,
            uint32_t aCapacityTokens,
            uint32_t aRequestTokens,
            Millis aNow) const;
  /** Decides about a request. One that is told to wait keeps its claim to room
   * before less urgent ones until it is sent, decided again or given up, or
   * shortly after the time has passed. */
  MemoryVerdict Decide(const std::vector<MemoryCandidate>& aCandidates,
                       const MemoryRequest& aRequest,
                       Millis aNow);
  /** The request no longer waits. */
  void OnGivenUp(uint64_t aAttempt);

  std::vector<EngineMemoryReport> TakeReports(size_t aMost, Millis aNow);
  void OnPeerReport(const std::string& aFrom,
                    const EngineMemoryReport& aReport,
                    Millis aNow);
  /** Removes what is out of date; to be called at least every second. */
  void Expire(Millis aNow);

private:
  /** A candidate as seen by a request. */
  struct Option
  {
    const MemoryCandidate* mCandidate = nullptr;
    /** What the request adds there. */
    int64_t mRequestTokens = 0;
    MemoryRoom mRoom;
    /** Free with the request and the more urgent waiting ones; below 0 if they
     * don't fit. */
    int64_t mLeft = 0;
    bool mFits = false;
  };

  bool IsCutOff() const;
  double PeerScale() const;
  /** Variance of the further output of this entry's requests, of others, and of
   * one to be added. */
  double OutputVariance(const OwnUse& aOwn,
                        double aPeersExpected,
                        const RemainingOutput& aAdded) const;
  /** The mean of what others have sent since their reports, in tokens. */
  double SentSince(const UpstreamId& aUpstream,
                   const PeerUse& aPeers,
                   Millis aNow) const;
  /** Shared segments at an engine where others use so many tokens without
   * them. */
  int64_t SharedTokens(const OwnUse& aOwn, double aPeersTokens) const;
  /** The room if the spread of aAdded is added. */
  MemoryRoom RoomWith(const UpstreamId& aUpstream,
                      uint32_t aCapacityTokens,
                      const RemainingOutput& aAdded,
                      Millis aNow) const;
  std::vector<Option> OptionsOf(const std::vector<MemoryCandidate>& aCandidates,
                                const MemoryRequest& aRequest,
                                Millis aNow) const;
  /** Whether an entry that is cut off may send one request there. */
  bool FitsAlone(const Option& aOption, int64_t aUnusedShare) const;
  bool MayQueue(const Option& aOption, uint8_t aTier) const;
  double ForecastMs(const Option& aOption) const;
  MemoryVerdict DecideFull(const std::vector<Option>& aOptions,
                           const MemoryRequest& aRequest,
                           Millis aNow);

  EngineMemoryOptions mOptions;
  OwnMemory mOwn;
  PeerMemory mPeers;
  MemoryWaiters mWaiters;
  size_t mEntries = 0;
  size_t mHeard = 0;
};

} // namespace trefoilarch
