#include "upstreamperformance.h"

#include "factorbounds.h"
#include "weightedlog.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

namespace trefoilarch {

namespace {

/** Factors of a service are updated at most this often, and at most once per
 * millisecond and upstream: the work of an update grows with the number of
 * upstreams. */
constexpr Millis kMinUpdateInterval{ 250 };
constexpr int64_t kUpdateIntervalPerUpstreamMs = 1;

/** An upstream is called slow only with this many samples from all entries, and
 * by own observation only with this many own ones. */
constexpr double kMinSlowSamples = 8;

/** The part of the last incarnation's logarithm that is assumed for the next:
 * it may run on another host. */
constexpr double kPriorShare = 0.5;

/** How long, and for how many upstreams, the last factor is kept. */
constexpr Millis kLastFactorLifetime{ 600000 };
constexpr size_t kMaxLastFactors = 1024;

/** Without TakeChanges(), the oldest changes are dropped beyond this. */
constexpr size_t kMaxChanges = 1024;

} // namespace

UpstreamPerformance::Upstream*
UpstreamPerformance::Find(const UpstreamId& aUpstream)
{
  const auto it = mUpstreams.find(aUpstream);
  return it == mUpstreams.end() ? nullptr : &it->second;
}

const UpstreamPerformance::Upstream*
UpstreamPerformance::Find(const UpstreamId& aUpstream) const
{
  const auto it = mUpstreams.find(aUpstream);
  return it == mUpstreams.end() ? nullptr : &it->second;
}

void
UpstreamPerformance::OnListed(const UpstreamId& aUpstream,
                              const std::string& aService,
                              int64_t aStartTime,
                              Millis aNow)
{
  Upstream* known = Find(aUpstream);
  if (known && known->mService == aService) {
    if (known->mStartTime == 0) {
      known->mStartTime = aStartTime;
    }
    if (aStartTime == 0 || known->mStartTime == aStartTime) {
      return;
    }
  }
  OnUnlisted(aUpstream, aNow);
  Add(aUpstream, aService, aStartTime, aNow);
}

void
UpstreamPerformance::Add(const UpstreamId& aUpstream,
                         const std::string& aService,
                         int64_t aStartTime,
                         Millis aNow)
{
  const double prior = TakePrior(aUpstream, aService, aNow);
  Upstream& added = mUpstreams[aUpstream];
  added.mId = aUpstream;
  added.mService = aService;
  added.mStartTime = aStartTime;
  added.mSpeed = SpeedEstimate(prior);
  added.mFactor = FactorOfLog(prior);
  mServices[aService].mUpstreams.push_back(&added);
}

void
UpstreamPerformance::OnUnlisted(const UpstreamId& aUpstream, Millis aNow)
{
  const auto it = mUpstreams.find(aUpstream);
  if (it == mUpstreams.end()) {
    return;
  }
  Upstream& upstream = it->second;
  if (upstream.mSlow.Since()) {
    AddChange(upstream, *upstream.mSlow.Since(), false, aNow);
  }
  Remember(upstream, aNow);
  const auto service = mServices.find(upstream.mService);
  std::erase(service->second.mUpstreams, &upstream);
  if (service->second.mUpstreams.empty()) {
    mServices.erase(service);
  }
  mUpstreams.erase(it);
}

void
UpstreamPerformance::Remember(const Upstream& aUpstream, Millis aNow)
{
  if (mLastFactors.size() >= kMaxLastFactors) {
    mLastFactors.erase(
      std::min_element(mLastFactors.begin(),
                       mLastFactors.end(),
                       [](const auto& aLeft, const auto& aRight) {
                         return aLeft.second.mAt < aRight.second.mAt;
                       }));
  }
  mLastFactors[aUpstream.mId] = { .mService = aUpstream.mService,
                                  .mFactor = aUpstream.mFactor,
                                  .mAt = aNow };
}

double
UpstreamPerformance::TakePrior(const UpstreamId& aUpstream,
                               const std::string& aService,
                               Millis aNow)
{
  const auto it = mLastFactors.find(aUpstream);
  if (it == mLastFactors.end()) {
    return 0;
  }
  const LastFactor last = it->second;
  mLastFactors.erase(it);
  const bool usable =
    last.mService == aService && aNow - last.mAt <= kLastFactorLifetime;
  return usable ? kPriorShare * std::log(last.mFactor) : 0;
}

void
UpstreamPerformance::OnContention(const UpstreamId& aUpstream,
                                  double aFactor,
                                  Millis aNow)
{
  Upstream* upstream = Find(aUpstream);
  if (!upstream || !IsBelieved(aFactor)) {
    return;
  }
  mServices[upstream->mService].mStatesContention = true;
  upstream->mContention.AddOwn(aFactor, aNow);
  MarkForReport(*upstream);
}

void
UpstreamPerformance::OnWork(const UpstreamId& aUpstream,
                            double aActualMs,
                            double aExpectedMs,
                            Millis aNow)
{
  Upstream* upstream = Find(aUpstream);
  const bool valid = aActualMs >= 0 && std::isfinite(aActualMs) &&
                     aExpectedMs > 0 && std::isfinite(aExpectedMs);
  if (!upstream || !valid) {
    return;
  }
  const Service& service = mServices[upstream->mService];
  const ContentionEstimate& contention = upstream->mContention;
  const double ratio = aActualMs / aExpectedMs / contention.Factor(aNow);
  const double usual = upstream->mFactor * std::exp(service.mOwnScale);
  // Where no upstream states its contention, none is assumed.
  const double certainty =
    service.mStatesContention ? contention.Certainty(aNow) : 1;
  upstream->mSpeed.AddOwn(ratio, usual, certainty, aNow);
  MarkForReport(*upstream);
  UpdateIfDue(upstream->mService, aNow);
}

void
UpstreamPerformance::OnPeerReport(const std::string& aFrom,
                                  const UpstreamPerformanceReport& aReport,
                                  Millis aNow)
{
  Upstream* upstream = Find(aReport.mUpstream);
  if (!upstream) {
    return;
  }
  // A newer incarnation counts once it is listed here, too; reports are
  // repeated as long as there are new samples.
  const bool sameIncarnation = aReport.mStartTime == 0 ||
                               upstream->mStartTime == 0 ||
                               aReport.mStartTime == upstream->mStartTime;
  if (!sameIncarnation) {
    return;
  }
  const bool currentContention =
    IsBelieved(aReport.mContention) && aReport.mContentionAge >= Millis(0) &&
    aReport.mContentionAge <= ContentionEstimate::kHeardLifetime;
  if (currentContention) {
    mServices[upstream->mService].mStatesContention = true;
    upstream->mContention.AddHeard(aReport.mContention,
                                   aNow - aReport.mContentionAge);
  }
  if (aReport.mSamples > 0 && IsBelieved(aReport.mSpeedFactor)) {
    upstream->mSpeed.AddHeard(std::hash<std::string>()(aFrom),
                              aReport.mSpeedFactor,
                              aReport.mSamples,
                              aNow);
  }
  UpdateIfDue(upstream->mService, aNow);
}

bool
UpstreamPerformance::StatesContention(const std::string& aService) const
{
  const auto it = mServices.find(aService);
  return it != mServices.end() && it->second.mStatesContention;
}

double
UpstreamPerformance::SpeedFactor(const UpstreamId& aUpstream) const
{
  const Upstream* upstream = Find(aUpstream);
  return upstream ? upstream->mFactor : 1;
}

double
UpstreamPerformance::ContentionFactor(const UpstreamId& aUpstream,
                                      Millis aNow) const
{
  const Upstream* upstream = Find(aUpstream);
  return upstream ? upstream->mContention.Factor(aNow) : 1;
}

double
UpstreamPerformance::WorkFactor(const UpstreamId& aUpstream, Millis aNow) const
{
  const Upstream* upstream = Find(aUpstream);
  return upstream ? WorkFactorOf(*upstream, aNow) : 1;
}

double
UpstreamPerformance::WorkFactorOf(const Upstream& aUpstream, Millis aNow)
{
  return BoundedFactor(aUpstream.mFactor * aUpstream.mContention.Factor(aNow));
}

void
UpstreamPerformance::UpdateIfDue(const std::string& aService, Millis aNow)
{
  Service& service = mServices[aService];
  if (aNow < service.mNextUpdateAt) {
    return;
  }
  const auto upstreams = static_cast<int64_t>(service.mUpstreams.size());
  service.mNextUpdateAt =
    aNow + std::max(kMinUpdateInterval,
                    Millis(upstreams * kUpdateIntervalPerUpstreamMs));
  Update(service, aNow);
}

void
UpstreamPerformance::Update(Service& aService, Millis aNow)
{
  std::vector<double> heard;
  const double heardScale = HeardFactors(aService, aNow, heard);
  aService.mOwnScale = OwnScale(aService, heard, aNow);
  std::vector<WeightedLog> combined;
  std::vector<double> logs;
  for (const Upstream* each : aService.mUpstreams) {
    combined.push_back(
      each->mSpeed.Combined(aService.mOwnScale, heardScale, aNow));
    logs.push_back(combined.back().mLog);
  }
  const double median = Median(logs);
  aService.mOwnScale += median;
  for (size_t index = 0; index < combined.size(); ++index) {
    Upstream& upstream = *aService.mUpstreams[index];
    upstream.mFactor = FactorOfLog(combined[index].mLog - median);
    UpdateSlow(upstream, combined[index].mWeight, aNow);
  }
}

double
UpstreamPerformance::HeardFactors(const Service& aService,
                                  Millis aNow,
                                  std::vector<double>& aLogs)
{
  for (const Upstream* each : aService.mUpstreams) {
    aLogs.push_back(each->mSpeed.Heard(aNow).mLog);
  }
  std::vector<double> logs = aLogs;
  const double median = Median(logs);
  for (double& each : aLogs) {
    each -= median;
  }
  return median;
}

double
UpstreamPerformance::OwnScale(const Service& aService,
                              const std::vector<double>& aHeard,
                              Millis aNow)
{
  std::vector<WeightedLog> differences;
  for (size_t index = 0; index < aHeard.size(); ++index) {
    const SpeedEstimate& speed = aService.mUpstreams[index]->mSpeed;
    if (speed.HasOwn()) {
      WeightedLog own = speed.Own(aNow);
      own.mLog -= aHeard[index];
      differences.push_back(own);
    }
  }
  return WeightedMedian(differences);
}

void
UpstreamPerformance::UpdateSlow(Upstream& aUpstream,
                                double aWeight,
                                Millis aNow)
{
  const double own = aUpstream.mSpeed.OwnSamples(aNow);
  aUpstream.mSource =
    own >= kMinSlowSamples ? SlowSource::Own : SlowSource::Heard;
  const double factor = aWeight >= kMinSlowSamples ? aUpstream.mFactor : 1;
  const std::optional<Millis> before = aUpstream.mSlow.Since();
  if (aUpstream.mSlow.Update(factor, aNow)) {
    const std::optional<Millis>& since = aUpstream.mSlow.Since();
    AddChange(aUpstream,
              since ? *since : before.value_or(aNow),
              since.has_value(),
              aNow);
  }
}

void
UpstreamPerformance::AddChange(const Upstream& aUpstream,
                               Millis aSince,
                               bool aSlow,
                               Millis aNow)
{
  if (mChanges.size() >= kMaxChanges) {
    mChanges.pop_front();
  }
  mChanges.push_back(
    { .mUpstream = Describe(aUpstream, aSince), .mSlow = aSlow, .mAt = aNow });
}

SlowUpstream
UpstreamPerformance::Describe(const Upstream& aUpstream, Millis aSince)
{
  return { .mUpstream = aUpstream.mId,
           .mService = aUpstream.mService,
           .mFactor = aUpstream.mFactor,
           .mSince = aSince,
           .mSource = aUpstream.mSource };
}

std::vector<SlowUpstreamChange>
UpstreamPerformance::TakeChanges()
{
  std::vector<SlowUpstreamChange> changes(mChanges.begin(), mChanges.end());
  mChanges.clear();
  return changes;
}

std::vector<SlowUpstream>
UpstreamPerformance::Slow(Millis aNow) const
{
  std::vector<SlowUpstream> slow;
  for (const auto& [id, each] : mUpstreams) {
    const std::optional<Millis>& since = each.mSlow.Since();
    if (since && *since <= aNow) {
      slow.push_back(Describe(each, *since));
    }
  }
  std::sort(slow.begin(),
            slow.end(),
            [](const SlowUpstream& aLeft, const SlowUpstream& aRight) {
              return aLeft.mUpstream < aRight.mUpstream;
            });
  return slow;
}

} // namespace trefoilarch
