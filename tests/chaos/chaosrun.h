#pragma once

#include "integration/faults.h"
#include "integration/fleet.h"

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace chaos {

/** How long, and drawn from which seed. */
struct ChaosOptions
{
  uint64_t mSeed = 1;
  int64_t mSeconds = 30;
};

/** What a run has brought. */
struct ChaosReport
{
  size_t mRequests = 0;
  size_t mRepeats = 0; /**< of an idempotency key, among them */
  size_t mLeft = 0;    /**< callers that left */
  std::map<std::string, size_t> mFaults;
  std::map<std::string, size_t> mOutcomes;
  std::vector<std::string> mBroken; /**< promises that were not kept */
};

/**
 * Sends random requests through real processes while random faults strike,
 * two at a time and again during recovery, and checks every promise from the
 * callers' and the upstreams' records.
 */
class ChaosRun
{
public:
  explicit ChaosRun(ChaosOptions aOptions);

  ChaosReport Go();

private:
  struct SentCall
  {
    std::unique_ptr<integration::OpenCall> mCall;
    size_t mEntry = 0;
    int64_t mSent = 0;
    bool mIdempotent = true;
    bool mLeft = false;
  };
  struct ActiveFault
  {
    integration::Fault mFault;
    size_t mWhich = 0;
    int64_t mHealAt = 0;
  };

  size_t Draw(size_t aBelow) { return mRandom() % aBelow; }
  void SendOne();
  std::string DrawMark(bool aIdempotent);
  void LeaveOne();
  void StrikeOne();
  void HealDue(int64_t aNow);
  bool Struck(const integration::Fault& aFault, size_t aWhich) const;
  bool EntryDiedUnder(const SentCall& aCall) const;
  void Judge();
  void JudgeGroup(const std::string& aMark,
                  const std::vector<const SentCall*>& aCalls);

  ChaosOptions mOptions;
  std::mt19937_64 mRandom;
  std::vector<integration::Fault> mFaults;
  integration::Fleet mFleet;
  std::vector<SentCall> mCalls;
  std::vector<std::string> mKeys;
  std::list<ActiveFault> mActive;
  /** Times at which each entry was killed. */
  std::map<size_t, std::vector<int64_t>> mDeaths;
  ChaosReport mReport;
};

} // namespace chaos
