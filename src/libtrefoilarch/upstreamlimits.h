#pragma once

#include "ids.h"
#include "millis.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace trefoilarch {

/** A rate limit as an upstream's answer names it. */
struct NamedLimit
{
  /** Requests a second from all entries together; empty where what the answer
   * says is no such number. */
  std::optional<double> mPerSecond;

  bool operator==(const NamedLimit&) const = default;
};

/** What entries tell each other of an upstream's limit. */
struct LimitReport
{
  UpstreamId mUpstream;
  /** Empty where it has none any more. */
  std::optional<double> mPerSecond;
  /** Since the answer that shows it. */
  Millis mAge;

  bool operator==(const LimitReport&) const = default;
};

/** A limit that began, changed, ended or could not be read, for the log. */
struct LimitChange
{
  UpstreamId mUpstream;
  std::optional<double> mBefore;
  std::optional<double> mNow;
  bool mUnreadable = false;
  /** Another entry told it. */
  bool mFromPeer = false;
  /** How long there had been a limit. */
  Millis mLasted;
};

/** The rate limits that upstreams name in their answers, as far as all entries
 * together know. The newest answer decides, whichever entry had it. */
class UpstreamLimits
{
public:
  /** The head of an answer to a request that was sent at aSentAt; aLimit is
   * empty where it names none. */
  void OnAnswer(const UpstreamId& aUpstream,
                const std::optional<NamedLimit>& aLimit,
                Millis aSentAt,
                Millis aNow);
  void OnPeerReport(const LimitReport& aWord, Millis aNow);
  /** Another process has taken the upstream's place, or it is gone. */
  void Forget(const UpstreamId& aUpstream);

  /** Requests a second; empty where there is no limit. */
  std::optional<double> Of(const UpstreamId& aUpstream) const;
  /** What is known of the upstream, to be told. */
  LimitReport ReportOf(const UpstreamId& aUpstream, Millis aNow) const;
  /** Since when the upstream has had a limit. */
  std::optional<Millis> LimitedSince(const UpstreamId& aUpstream) const;
  /** How many upstreams have one. */
  size_t Limited() const;

  /** Reports that TakeReports() gives at a time; the rest comes next. */
  static constexpr size_t kMaxReports = 16;
  /** What others have to be told now. */
  std::vector<LimitReport> TakeReports(Millis aNow);
  /** Something is to be told that is new. */
  bool HasUpdate() const { return mHasNews; }
  /** Changes since this was last asked. */
  std::vector<LimitChange> TakeChanges();

private:
  struct Known
  {
    std::optional<double> mPerSecond;
    /** Of the answer that shows it, or of the request that got one without. */
    Millis mAt;
    Millis mSince;
    /** Empty before the first time. */
    std::optional<Millis> mToldAt;
    bool mUnreadable = false;
  };

  void Take(const UpstreamId& aUpstream,
            std::optional<double> aPerSecond,
            Millis aAt,
            bool aTold,
            Millis aNow);

  std::map<UpstreamId, Known> mKnown;
  std::vector<LimitChange> mChanges;
  bool mHasNews = false;
};

} // namespace trefoilarch
