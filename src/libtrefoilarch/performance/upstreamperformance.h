#pragma once

#include "../ids.h"
#include "../loadupdate.h"
#include "../millis.h"
#include "contentionestimate.h"
#include "slowdetector.h"
#include "slowupstream.h"
#include "speedestimate.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace trefoilarch {

/**
 * How long work takes at each upstream, in two factors that are kept apart:
 *
 * - The speed is lasting and relative to the median of the service's upstreams.
 *   It is learned from the time of finished work, divided by the expected time
 *   and the contention, and from the reports of other entries. Each source
 *   weighs as much as it has samples; a minority of wrong ones has little
 *   effect. Entries have different expectations, so own ratios are aligned with
 *   the reports by one factor for the service.
 * - The contention is what upstreams state. It is valid for some hundred
 *   milliseconds.
 *
 * Both are 1 for an unknown upstream and are bounded to 0.2 to 8. Values that
 * are not numbers, negative or absurd are ignored, as are reports about
 * upstreams that are not listed or about another incarnation. Factors and
 * slowness are updated with calls that have a time, at intervals; TakeReports()
 * updates all services.
 */
class UpstreamPerformance
{
public:
  /** Adds an upstream, or a new incarnation if the start time differs. The
   * start time is in Unix milliseconds, 0 if unknown. The speed of the last
   * incarnation becomes a weak prior. */
  void OnListed(const UpstreamId& aUpstream,
                const std::string& aService,
                int64_t aStartTime,
                Millis aNow);
  void OnUnlisted(const UpstreamId& aUpstream, Millis aNow);
  /** Takes the contention from a load report; 1 is usual. */
  void OnContention(const UpstreamId& aUpstream, double aFactor, Millis aNow);
  /** Takes the time of finished work; aExpectedMs is the expectation at factor
   * 1. */
  void OnWork(const UpstreamId& aUpstream,
              double aActualMs,
              double aExpectedMs,
              Millis aNow);

  /** Whether an upstream of the service has stated its contention, to this
   * entry or to another. */
  bool StatesContention(const std::string& aService) const;
  double SpeedFactor(const UpstreamId& aUpstream) const;
  double ContentionFactor(const UpstreamId& aUpstream, Millis aNow) const;
  /** Speed and contention together, bounded like each of them. */
  double WorkFactor(const UpstreamId& aUpstream, Millis aNow) const;

  /**
   * Takes at most aMost reports about upstreams with observations since their
   * last report. Half of them, rounded up, are those that have waited longest:
   * each is reported within as many calls as there are such halves in the
   * number of waiting upstreams. The rest are those that changed most.
   */
  std::vector<UpstreamPerformanceReport> TakeReports(size_t aMost, Millis aNow);
  void OnPeerReport(const std::string& aFrom,
                    const UpstreamPerformanceReport& aReport,
                    Millis aNow);

  /** Onset and end of slowness since the last call, for the log. */
  std::vector<SlowUpstreamChange> TakeChanges();
  /** Slow upstreams, by id. */
  std::vector<SlowUpstream> Slow(Millis aNow) const;

private:
  struct Upstream
  {
    UpstreamId mId;
    std::string mService;
    int64_t mStartTime = 0;
    ContentionEstimate mContention;
    SpeedEstimate mSpeed;
    SlowDetector mSlow;
    SlowSource mSource = SlowSource::Own;
    double mFactor = 1;
    /** Position among upstreams that wait for a report; 0 if there is nothing
     * to report. */
    uint64_t mWaiting = 0;
    /** Logarithms of the last report. */
    double mReportedSpeed = 0;
    double mReportedContention = 0;
  };

  struct Service
  {
    std::vector<Upstream*> mUpstreams;
    bool mStatesContention = false;
    /** Logarithm of what own ratios exceed the speed factors by. */
    double mOwnScale = 0;
    Millis mNextUpdateAt;
  };

  /** The factor of an upstream that was listed before. */
  struct LastFactor
  {
    std::string mService;
    double mFactor = 1;
    Millis mAt;
  };

  Upstream* Find(const UpstreamId& aUpstream);
  const Upstream* Find(const UpstreamId& aUpstream) const;
  static double WorkFactorOf(const Upstream& aUpstream, Millis aNow);
  void Add(const UpstreamId& aUpstream,
           const std::string& aService,
           int64_t aStartTime,
           Millis aNow);
  /** The logarithm of the factor to assume for a new incarnation. */
  double TakePrior(const UpstreamId& aUpstream,
                   const std::string& aService,
                   Millis aNow);
  void Remember(const Upstream& aUpstream, Millis aNow);

  void UpdateIfDue(const std::string& aService, Millis aNow);
  void Update(Service& aService, Millis aNow);
  /** Logarithms of the upstreams' factors by the reports of others, relative to
   * their median; returns that median. */
  static double HeardFactors(const Service& aService,
                             Millis aNow,
                             std::vector<double>& aLogs);
  static double OwnScale(const Service& aService,
                         const std::vector<double>& aHeard,
                         Millis aNow);
  void UpdateSlow(Upstream& aUpstream, double aWeight, Millis aNow);
  void AddChange(const Upstream& aUpstream,
                 Millis aSince,
                 bool aSlow,
                 Millis aNow);
  static SlowUpstream Describe(const Upstream& aUpstream, Millis aSince);

  void MarkForReport(Upstream& aUpstream);
  double ChangeSinceReport(const Upstream& aUpstream) const;
  double OwnSpeedLog(const Upstream& aUpstream) const;
  UpstreamPerformanceReport Report(Upstream& aUpstream, Millis aNow) const;

  std::unordered_map<UpstreamId, Upstream> mUpstreams;
  std::unordered_map<std::string, Service> mServices;
  std::unordered_map<UpstreamId, LastFactor> mLastFactors;
  std::deque<SlowUpstreamChange> mChanges;
  uint64_t mLastWaiting = 0;
};

} // namespace trefoilarch
