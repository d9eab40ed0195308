#pragma once

#include "millis.h"
#include "tierupdate.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace trefoilarch {

/** A service's tier at all entries from which there are reports. */
struct TierState
{
  std::string mService;
  uint8_t mPriority = 0;
  /** Share of its work that is expected to start or end too late. */
  double mLateShare = 0;
  double mRejectedShare = 0;
  /** See SharedTiers::ShedShare(). */
  double mShedShare = 0;

  bool operator==(const TierState&) const = default;
};

/**
 * What all entries accept and reject of each service's tiers, so that overload
 * is shed from the least urgent tier everywhere, however the requests are
 * spread over the entries. Entries exchange reports while one of them is
 * overloaded. All reject the same share of the less urgent requests, and none
 * rejects a more urgent one until the others have stopped accepting less urgent
 * ones. Entries that send no reports, being old or not reachable, don't count.
 */
class SharedTiers
{
public:
  /** A request arrived; aLate: it is expected to start or end too late. */
  void OnRequest(const std::string& aService,
                 uint8_t aPriority,
                 double aWork,
                 bool aLate,
                 Millis aNow);
  /** It was accepted or rejected because of overload. */
  void OnDecision(const std::string& aService,
                  uint8_t aPriority,
                  double aWork,
                  bool aRejected,
                  Millis aNow);

  /** The state of this entry for its peers. Empty if there is no overload. */
  std::vector<TierReport> Reports(Millis aNow) const;
  /** Ignores an update that is older than the last one of its sender. */
  void OnPeerUpdate(const TierUpdate& aUpdate, Millis aNow);

  /** Whether an entry is overloaded, as far as is known here. */
  bool IsOverloaded(Millis aNow) const;
  /** Whether the peer's reports are recent. */
  bool IsReporting(const std::string& aPeer, Millis aNow) const;
  /** Whether a peer has recently accepted a less urgent request. */
  bool PeersAcceptLessUrgent(const std::string& aService,
                             uint8_t aPriority,
                             Millis aNow) const;
  /**
   * The share of the requests of that priority that each entry should reject so
   * that more urgent ones are served, by the state of all reporting entries. 0
   * without peers: an entry then has only its own requests to judge by.
   */
  double ShedShare(const std::string& aService,
                   uint8_t aPriority,
                   Millis aNow) const;

  /** The state of each tier at all live entries. */
  std::vector<TierState> State(Millis aNow) const;

private:
  /** Exponentially decaying rates of work; see TierReport. */
  struct Rates
  {
    double mDemand = 0;
    double mLate = 0;
    double mRejected = 0;

    void Decay(Millis aElapsed);
    Rates& operator+=(const Rates& aOther);
  };
  struct Tier
  {
    Rates mRates;
    Millis mUpdatedAt;
    Millis mAcceptedAt{ -TierReport::kMaxAge.Count() };
  };
  struct Peer
  {
    uint64_t mProcess = 0;
    uint64_t mSequence = 0;
    std::vector<TierReport> mReports;
    Millis mReceivedAt;
  };
  static void Decay(Tier& aTier, Millis aNow);
  TierReport ReportOf(const std::string& aService,
                      uint8_t aPriority,
                      Tier aTier,
                      Millis aNow) const;
  static bool IsLive(const Peer& aPeer, Millis aNow);
  /** By priority, of all live entries. */
  std::map<uint8_t, Rates> Totals(const std::string& aService,
                                  Millis aNow) const;

  /** By service and priority. */
  std::map<std::string, std::map<uint8_t, Tier>> mServices;
  std::map<std::string, Peer> mPeers;
};

} // namespace trefoilarch
