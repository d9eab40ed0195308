#include "sharedtiers.h"

#include <algorithm>
#include <cmath>

namespace trefoilarch {

namespace {

/** Time constant of the rates of work. After a burst of four times the usual
 * load less urgent requests are accepted again within three seconds. */
constexpr double kDecayMs = 500;

constexpr double kMillisPerSecond = 1000;

/** An entry counts as accepting a tier for this long after its last request. */
constexpr Millis kAcceptedWindow{ 1500 };

/** Without a report for this long an entry no longer counts. Entries send one
 * every 640 ms at least, and two in a row are rarely lost. */
constexpr Millis kReportTimeout{ 1800 };

/** Shares of late or rejected work below this are no overload. */
constexpr double kMinShare = 0.01;

/** Less urgent requests are rejected entirely once this share of the more
 * urgent ones is late. */
constexpr double kFullShedLateShare = 0.5;

/** At most this many times the late work is shed, so that a few late requests
 * don't shed a tier that is far larger. */
constexpr double kMaxShedPerLate = 8;

/** Less urgent requests stay rejected while more of the more urgent ones are
 * rejected than this share. This keeps a tier from being accepted again and
 * again in the course of one overload. */
constexpr double kMaxRejectedShare = 0.04;

} // namespace

void
SharedTiers::Rates::Decay(Millis aElapsed)
{
  const double elapsed = std::max(0.0, static_cast<double>(aElapsed.Count()));
  const double factor = std::exp(-elapsed / kDecayMs);
  mDemand *= factor;
  mLate *= factor;
  mRejected *= factor;
}

SharedTiers::Rates&
SharedTiers::Rates::operator+=(const Rates& aOther)
{
  mDemand += aOther.mDemand;
  mLate += aOther.mLate;
  mRejected += aOther.mRejected;
  return *this;
}

void
SharedTiers::Decay(Tier& aTier, Millis aNow)
{
  const Millis elapsed = aNow - aTier.mUpdatedAt;
  aTier.mRates.Decay(elapsed);
  aTier.mUpdatedAt = aNow;
}

void
SharedTiers::OnRequest(const std::string& aService,
                       uint8_t aPriority,
                       double aWork,
                       bool aLate,
                       Millis aNow)
{
  Tier& tier = mServices[aService][aPriority];
  Decay(tier, aNow);
  const double rate = aWork * kMillisPerSecond / kDecayMs;
  tier.mRates.mDemand += rate;
  tier.mRates.mLate += aLate ? rate : 0;
}

void
SharedTiers::OnDecision(const std::string& aService,
                        uint8_t aPriority,
                        double aWork,
                        bool aRejected,
                        Millis aNow)
{
  Tier& tier = mServices[aService][aPriority];
  Decay(tier, aNow);
  if (aRejected) {
    tier.mRates.mRejected += aWork * kMillisPerSecond / kDecayMs;
  } else {
    tier.mAcceptedAt = aNow;
  }
}

TierReport
SharedTiers::ReportOf(const std::string& aService,
                      uint8_t aPriority,
                      Tier aTier,
                      Millis aNow) const
{
  Decay(aTier, aNow);
  return { .mService = aService,
           .mPriority = aPriority,
           .mDemand = aTier.mRates.mDemand,
           .mLate = aTier.mRates.mLate,
           .mRejected = aTier.mRates.mRejected,
           .mAcceptedAge =
             std::min(aNow - aTier.mAcceptedAt, TierReport::kMaxAge) };
}

std::vector<TierReport>
SharedTiers::Reports(Millis aNow) const
{
  std::vector<TierReport> reports;
  if (!IsOverloaded(aNow)) {
    return reports;
  }
  for (const auto& [service, tiers] : mServices) {
    for (const auto& [priority, tier] : tiers) {
      reports.push_back(ReportOf(service, priority, tier, aNow));
    }
  }
  return reports;
}

void
SharedTiers::OnPeerUpdate(const TierUpdate& aUpdate, Millis aNow)
{
  Peer& peer = mPeers[aUpdate.mFrom];
  const bool late =
    peer.mProcess == aUpdate.mProcess && aUpdate.mSequence <= peer.mSequence;
  if (late) {
    return;
  }
  peer = { .mProcess = aUpdate.mProcess,
           .mSequence = aUpdate.mSequence,
           .mReports = aUpdate.mReports,
           .mReceivedAt = aNow };
  std::erase_if(mPeers, [aNow](const auto& aEntry) {
    return !IsLive(aEntry.second, aNow);
  });
}

bool
SharedTiers::IsLive(const Peer& aPeer, Millis aNow)
{
  return aNow - aPeer.mReceivedAt <= kReportTimeout;
}

bool
SharedTiers::IsOverloaded(Millis aNow) const
{
  const auto overloaded = [](const auto& aTier) {
    return std::max(aTier.mLate, aTier.mRejected) > kMinShare * aTier.mDemand;
  };
  for (const auto& [service, tiers] : mServices) {
    for (const auto& [priority, tier] : tiers) {
      const bool recent = aNow - tier.mUpdatedAt < kReportTimeout;
      if (recent && overloaded(tier.mRates)) {
        return true;
      }
    }
  }
  return std::any_of(mPeers.begin(), mPeers.end(), [&](const auto& aEntry) {
    const auto& reports = aEntry.second.mReports;
    return IsLive(aEntry.second, aNow) &&
           std::any_of(reports.begin(), reports.end(), overloaded);
  });
}

bool
SharedTiers::IsReporting(const std::string& aPeer, Millis aNow) const
{
  const auto peer = mPeers.find(aPeer);
  return peer != mPeers.end() && IsLive(peer->second, aNow);
}

bool
SharedTiers::PeersAcceptLessUrgent(const std::string& aService,
                                   uint8_t aPriority,
                                   Millis aNow) const
{
  for (const auto& [name, peer] : mPeers) {
    if (!IsLive(peer, aNow)) {
      continue;
    }
    const Millis elapsed = aNow - peer.mReceivedAt;
    for (const TierReport& each : peer.mReports) {
      if (each.mService == aService && each.mPriority > aPriority &&
          each.mAcceptedAge + elapsed < kAcceptedWindow) {
        return true;
      }
    }
  }
  return false;
}

std::map<uint8_t, SharedTiers::Rates>
SharedTiers::Totals(const std::string& aService, Millis aNow) const
{
  std::map<uint8_t, Rates> totals;
  const auto add = [&](uint8_t aPriority, Rates aRates, Millis aSince) {
    aRates.Decay(aNow - aSince);
    totals[aPriority] += aRates;
  };
  const auto own = mServices.find(aService);
  if (own != mServices.end()) {
    for (const auto& [priority, tier] : own->second) {
      add(priority, tier.mRates, tier.mUpdatedAt);
    }
  }
  for (const auto& [name, peer] : mPeers) {
    for (const TierReport& each : peer.mReports) {
      if (IsLive(peer, aNow) && each.mService == aService) {
        const Rates rates{ .mDemand = each.mDemand,
                           .mLate = each.mLate,
                           .mRejected = each.mRejected };
        add(each.mPriority, rates, peer.mReceivedAt);
      }
    }
  }
  return totals;
}

double
SharedTiers::ShedShare(const std::string& aService,
                       uint8_t aPriority,
                       Millis aNow) const
{
  const bool hasPeers =
    std::any_of(mPeers.begin(), mPeers.end(), [aNow](const auto& aEntry) {
      return IsLive(aEntry.second, aNow);
    });
  if (!hasPeers) {
    return 0;
  }
  const std::map<uint8_t, Rates> totals = Totals(aService, aNow);
  const auto own = totals.find(aPriority);
  const double demand = own == totals.end() ? 0 : own->second.mDemand;
  double late = 0;
  double lateShare = 0;
  for (auto each = totals.begin();
       each != totals.end() && each->first < aPriority;
       ++each) {
    const Rates& total = each->second;
    if (total.mRejected > kMaxRejectedShare * total.mDemand) {
      return 1;
    }
    late += total.mLate;
    if (total.mDemand > 0) {
      lateShare = std::max(lateShare, total.mLate / total.mDemand);
    }
  }
  const double byWork = demand > 0 ? kMaxShedPerLate * late / demand : 1;
  return std::min({ 1.0, lateShare / kFullShedLateShare, byWork });
}

std::vector<TierState>
SharedTiers::State(Millis aNow) const
{
  std::vector<TierState> states;
  for (const auto& [service, tiers] : mServices) {
    for (const auto& [priority, total] : Totals(service, aNow)) {
      const double demand = std::max(1.0, total.mDemand);
      states.push_back({ .mService = service,
                         .mPriority = priority,
                         .mLateShare = total.mLate / demand,
                         .mRejectedShare = total.mRejected / demand,
                         .mShedShare = ShedShare(service, priority, aNow) });
    }
  }
  return states;
}

} // namespace trefoilarch
