#pragma once

#include "ids.h"
#include "millis.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace trefoilarch {

/** A rate limit as stated in an upstream's response. */
struct NamedLimit
{
  /** Requests per second from all entries together. Empty if the response
   * states no such number. */
  std::optional<double> mPerSecond;

  bool operator==(const NamedLimit&) const = default;
};

/** A report of an upstream's limit, exchanged between entries. */
struct LimitReport
{
  UpstreamId mUpstream;
  /** Empty if it no longer has a limit. */
  std::optional<double> mPerSecond;
  /** Time since the response that showed it. */
  Millis mAge;

  bool operator==(const LimitReport&) const = default;
};

/** A limit that began, changed, ended or could not be parsed, for the log. */
struct LimitChange
{
  UpstreamId mUpstream;
  std::optional<double> mBefore;
  std::optional<double> mNow;
  bool mUnreadable = false;
  /** Whether another entry reported it. */
  bool mFromPeer = false;
  /** How long there had been a limit. */
  Millis mLasted;
};

/** The rate limits that upstreams state in their responses, as known to all
 * entries together. The latest response decides, whichever entry got it. */
class UpstreamLimits
{
public:
  /** The head of a response to a request that was sent at aSentAt. aLimit is
   * empty if it states no limit. */
  void OnAnswer(const UpstreamId& aUpstream,
                const std::optional<NamedLimit>& aLimit,
                Millis aSentAt,
                Millis aNow);
  void OnPeerReport(const LimitReport& aReport, Millis aNow);
  /** The upstream is gone or was replaced by another process. */
  void Forget(const UpstreamId& aUpstream);

  /** Requests per second; empty if there is no limit. */
  std::optional<double> Of(const UpstreamId& aUpstream) const;
  /** Report of what is known of the upstream. */
  LimitReport ReportOf(const UpstreamId& aUpstream, Millis aNow) const;
  /** Since when the upstream has had a limit. */
  std::optional<Millis> LimitedSince(const UpstreamId& aUpstream) const;
  /** Number of upstreams with a limit. */
  size_t Limited() const;

  /** Maximum number of reports per call of TakeReports(). */
  static constexpr size_t kMaxReports = 16;
  /** Returns the reports due to be sent. */
  std::vector<LimitReport> TakeReports(Millis aNow);
  /** Whether there are new reports to send. */
  bool HasUpdate() const { return mHasUpdate; }
  /** Returns the changes since the last call. */
  std::vector<LimitChange> TakeChanges();

private:
  struct LimitState
  {
    std::optional<double> mPerSecond;
    /** Time of the response that showed it, or of sending the request whose
     * response showed none. */
    Millis mObservedAt;
    Millis mSince;
    /** Empty before the first report. */
    std::optional<Millis> mReportedAt;
    bool mUnreadable = false;
  };

  void Take(const UpstreamId& aUpstream,
            std::optional<double> aPerSecond,
            Millis aObservedAt,
            bool aFromPeer,
            Millis aNow);

  std::map<UpstreamId, LimitState> mStates;
  std::vector<LimitChange> mChanges;
  bool mHasUpdate = false;
};

} // namespace trefoilarch
