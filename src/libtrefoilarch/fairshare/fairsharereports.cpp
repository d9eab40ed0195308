// The exchange of demand between entries.
#include "fairshare.h"

#include <algorithm>
#include <cmath>

namespace trefoilarch {

namespace {

/** Largest rate that is believed, in engine milliseconds per second. */
constexpr double kMaxRate = 1e9;

/** A demand that has decayed to this is reported as none. */
constexpr double kMinReportedDemand = 0.1;

/** A report is repeated early enough that one update may be lost. */
constexpr int64_t kUpdatesBeforeLapse = 2;

bool
IsRate(double aRate)
{
  return std::isfinite(aRate) && aRate >= 0 && aRate <= kMaxRate;
}

} // namespace

std::vector<WorkspaceDemandReport>
FairShare::TakeReports(size_t aMost, Millis aNow)
{
  mReportInterval = aNow - mReportedAt;
  mReportedAt = aNow;
  std::vector<Candidate> candidates = Candidates(aNow);
  const size_t count = std::min(aMost, candidates.size());
  std::partial_sort(candidates.begin(),
                    candidates.begin() + static_cast<std::ptrdiff_t>(count),
                    candidates.end(),
                    [](const Candidate& aLhs, const Candidate& aRhs) {
                      return aLhs.mError > aRhs.mError;
                    });
  candidates.resize(count);
  std::vector<WorkspaceDemandReport> reports;
  for (const Candidate& candidate : candidates) {
    candidate.mAccount->mReportedDemand = candidate.mRates.mDemand;
    candidate.mAccount->mReportedAt = aNow;
    reports.push_back({ .mService = candidate.mGroup->first,
                        .mWorkspace = *candidate.mWorkspace,
                        .mTier = candidate.mGroup->second,
                        .mDemand = candidate.mRates.mDemand,
                        .mServed = candidate.mRates.mServed });
  }
  if (reports.empty() && aMost > 0) {
    AddSignOfLife(reports, aNow);
  }
  return reports;
}

void
FairShare::OnPeerReport(const std::string& aFrom,
                        const WorkspaceDemandReport& aReport,
                        Millis aNow)
{
  if (!IsRate(aReport.mDemand) || !IsRate(aReport.mServed) ||
      aReport.mTier >= kTierCount || mAllEntries == 1) {
    return;
  }
  ShareGroup* group = GroupOf(aReport.mService, aReport.mTier);
  Peer* peer = group == nullptr ? nullptr : PeerOf(aFrom, aNow);
  if (peer == nullptr) {
    return;
  }
  peer->mHeardAt = aNow;
  ShareAccount* account = group->Find(aReport.mWorkspace);
  if (account == nullptr && aReport.mDemand == 0) {
    return;
  }
  if (account == nullptr) {
    account = &AccountOf(*group, aReport.mWorkspace, aNow);
  }
  const DemandRates rates{ .mDemand = aReport.mDemand,
                           .mServed =
                             std::min(aReport.mServed, aReport.mDemand) };
  account->mDemand.OnHeard(peer->mNumber, rates, aNow);
}

std::vector<FairShare::Candidate>
FairShare::Candidates(Millis aNow)
{
  std::vector<Candidate> candidates;
  for (auto& [key, group] : mGroups) {
    for (auto& [name, account] : group.All()) {
      DemandRates own = account.mDemand.Own(aNow);
      if (own.mDemand < kMinReportedDemand) {
        own = {};
      }
      if (own.mDemand == 0 && account.mReportedDemand == 0) {
        continue;
      }
      candidates.push_back(
        { .mGroup = &key,
          .mWorkspace = &name,
          .mAccount = &account,
          .mRates = own,
          .mError = ReportError(account, own.mDemand, aNow) });
    }
  }
  return candidates;
}

double
FairShare::ReportError(const ShareAccount& aAccount,
                       double aDemand,
                       Millis aNow) const
{
  const Millis lapsesAt =
    aAccount.mReportedAt + mOptions.mGroup.mDemand.mHeardLifetime;
  const bool lapsesSoon =
    aNow + mReportInterval * kUpdatesBeforeLapse >= lapsesAt;
  const double change = std::abs(aDemand - aAccount.mReportedDemand);
  return lapsesSoon ? std::max(aDemand, change) : change;
}

void
FairShare::AddSignOfLife(std::vector<WorkspaceDemandReport>& aReports,
                         Millis aNow) const
{
  // An entry without demand is to be counted as such, not as one unheard.
  for (const auto& [key, group] : mGroups) {
    for (const auto& [name, account] : group.All()) {
      if (account.mDemand.IsHeard(aNow)) {
        aReports.push_back(
          { .mService = key.first, .mWorkspace = name, .mTier = key.second });
        return;
      }
    }
  }
}

} // namespace trefoilarch
