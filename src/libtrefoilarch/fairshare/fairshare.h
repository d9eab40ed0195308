#pragma once

#include "../loadupdate.h"
#include "../millis.h"
#include "contention.h"
#include "sharegroup.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace trefoilarch {

struct FairShareOptions
{
  ShareGroupOptions mGroup;
  /** Workspaces tracked over all services and tiers, some 250 bytes each and 32
   * for each entry that reports it. Those beyond share one account. */
  size_t mMaxAccounts = 8192;
  /** Services and tiers. Those beyond are admitted without limit. */
  size_t mMaxGroups = 256;
  /** Longest name of a workspace or service, in bytes. Workspaces with longer
   * names share one account. */
  size_t mMaxNameBytes = 128;
  uint64_t mSeed = 1;
};

/** A request that arrives at this entry. */
struct ShareRequest
{
  std::string mService;
  std::string mWorkspace;
  /** 0 is the most urgent. */
  uint8_t mTier = 0;
  /** Expected engine time in milliseconds, for the prompt and the output. */
  double mCostMs = 0;
  /** How long the caller still waits; a refusal names a third at most. */
  Millis mCallerTime;

  bool operator==(const ShareRequest&) const = default;
};

/** A workspace's share in a service and tier. Rates are in engine milliseconds
 * per second at all entries. */
struct WorkspaceShare
{
  std::string mService;
  std::string mWorkspace;
  uint8_t mTier = 0;
  /** What is granted now: the lesser of its demand and its entitlement. */
  double mShare = 0;
  double mDemand = 0;
  /** The part of mShare that others leave unused; they get it back with the
   * next update after they ask for it. */
  double mBorrowed = 0;
  /** Requests refused at this entry. */
  uint64_t mShed = 0;
  /** Whether requests were refused here recently. */
  bool mOverShare = false;

  bool operator==(const WorkspaceShare&) const = default;
};

/**
 * Divides the engines of a service fairly among workspaces, within each tier
 * and only under contention.
 *
 * Shares are weighted max-min shares of the capacity that the fleet has lately
 * admitted (see ShareCapacity), by the demand of the whole fleet: each entry
 * reports that of its own callers, and computes the shares from what it hears.
 * A workspace whose demand exceeds its share by more than the error of its
 * measurement is admitted at the rate of its share, each entry by its part of
 * the demand. Others are admitted always. A tier is contended if it or a more
 * urgent tier is under pressure.
 *
 * Demand counts every request, admitted or refused, until it is mMaxExcess
 * times the share: beyond it refused ones, which include repeats, aren't
 * counted. A higher demand wouldn't change any share, and admissions are
 * metered by the share alone.
 *
 * Bounds, whatever reports arrive, are lost, late, doubled or false:
 * - The shares of a service and tier add up to the learnt capacity at most.
 * - A share is at least the lesser of the demand and the workspace's part by
 *   weight of the capacity, among all workspaces that have demand.
 * - Without contention in the last seconds, nothing is refused.
 * - A workspace that asks gets a request from each entry within 0.9 s divided
 *   by the entry's part of its demand, so from the fleet at a mean rate of more
 *   than one a second.
 * - An entry that hears nobody takes the part of its share that is its own if
 *   all entries have the same demand: the share divided by their number.
 * - State is limited by the options.
 */
class FairShare
{
public:
  explicit FairShare(FairShareOptions aOptions = {});

  /** Sets the weights by workspace; 1 for a workspace that isn't named. Absurd
   * weights are clamped to 0.01 to 100. */
  void SetWeights(const std::map<std::string, double>& aWeights);
  /** Sets the number of all entries including this one, and of the others whose
   * updates this one receives. */
  void SetEntries(size_t aAll, size_t aHeard);

  /** Admits the request, or states the time to return after. */
  ShareVerdict Admit(const ShareRequest& aRequest,
                     const Contention& aContention,
                     Millis aNow);
  /** An admitted request has ended; corrects its expected cost. */
  void OnServed(const ShareRequest& aRequest, double aActualMs, Millis aNow);
  /** An admitted request was refused for another reason and won't run. */
  void OnRefused(const ShareRequest& aRequest, Millis aNow);

  /** What others would be most wrong about without it, at most aMost. To be
   * called once for each update. */
  std::vector<WorkspaceDemandReport> TakeReports(size_t aMost, Millis aNow);
  /** Older reports of a sender must have been dropped. */
  void OnPeerReport(const std::string& aFrom,
                    const WorkspaceDemandReport& aReport,
                    Millis aNow);

  /** All tracked workspaces, largest demand first. */
  std::vector<WorkspaceShare> Shares(Millis aNow) const;
  /** Workspaces that have become over or within their share, for the log. */
  std::vector<WorkspaceShare> TakeChanges(Millis aNow);
  /** Learnt capacity in engine milliseconds per second, 0 if unknown; shares
   * add up to at most this while they apply. */
  double Capacity(const std::string& aService, uint8_t aTier) const;

private:
  using GroupKey = std::pair<std::string, uint8_t>;

  struct Peer
  {
    uint32_t mNumber = 0;
    Millis mHeardAt;
  };
  /** A report that may be sent. */
  struct Candidate
  {
    const GroupKey* mGroup = nullptr;
    const std::string* mWorkspace = nullptr;
    ShareAccount* mAccount = nullptr;
    DemandRates mRates;
    /** How wrong others may be without it. */
    double mError = 0;
  };

  static double PressureOf(const Contention& aContention, uint8_t aTier);
  /** Null if there are too many. */
  ShareGroup* GroupOf(const std::string& aService, uint8_t aTier);
  ShareAccount* FindAccount(const ShareRequest& aRequest);
  ShareAccount& AccountOf(ShareGroup& aGroup,
                          const std::string& aWorkspace,
                          Millis aNow);
  bool HasRoom(Millis aNow);
  Peer* PeerOf(const std::string& aFrom, Millis aNow);
  void ExpirePeers(Millis aNow);
  FleetSize Fleet(Millis aNow) const;
  double WeightOf(const std::string& aWorkspace) const;
  std::vector<Candidate> Candidates(Millis aNow);
  double ReportError(const ShareAccount& aAccount,
                     double aDemand,
                     Millis aNow) const;
  void AddSignOfLife(std::vector<WorkspaceDemandReport>& aReports,
                     Millis aNow) const;
  bool IsOverShare(const ShareAccount& aAccount, Millis aNow) const;
  WorkspaceShare ShareOf(const GroupKey& aKey,
                         const std::string& aWorkspace,
                         const ShareAccount& aAccount,
                         const FleetSize& aFleet,
                         Millis aNow) const;

  FairShareOptions mOptions;
  std::map<std::string, double> mWeights;
  size_t mAllEntries = 1;
  size_t mHeardEntries = 0;
  std::map<GroupKey, ShareGroup> mGroups;
  std::map<std::string, Peer> mPeers;
  uint32_t mNextPeer = 0;
  /** The last two calls of TakeReports(). */
  Millis mReportedAt;
  Millis mReportInterval;
  Millis mRoomCheckedAt;
  std::minstd_rand mRandom;
};

} // namespace trefoilarch
