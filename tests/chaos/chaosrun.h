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

/** Seed and duration of a run. */
struct ChaosOptions
{
  uint64_t mSeed = 1;
  int64_t mSeconds = 30;
};

/** The results of a run. */
struct ChaosReport
{
  size_t mRequests = 0;
  size_t mRepeatedKeys = 0; /**< requests that reuse an idempotency key */
  size_t mCallersLeft = 0;  /**< callers that disconnected */
  std::map<std::string, size_t> mFaults;
  std::map<std::string, size_t> mOutcomes;
  std::vector<std::string> mViolations; /**< guarantees that did not hold */
};

/**
 * Sends random requests through real processes under random faults, up to two
 * at a time and also during recovery, and checks all guarantees against the
 * callers' and the upstreams' records.
 */
class ChaosRun
{
public:
  explicit ChaosRun(ChaosOptions aOptions);

  ChaosReport Run();

private:
  struct SentCall
  {
    std::unique_ptr<integration::OpenCall> mCall;
    size_t mEntry = 0;
    int64_t mSentAt = 0;
    bool mIdempotent = true;
    bool mCallerLeft = false;
  };
  struct ActiveFault
  {
    integration::Fault mFault;
    size_t mTarget = 0;
    int64_t mUndoAt = 0;
  };

  size_t RandomBelow(size_t aLimit) { return mRandom() % aLimit; }
  void SendRequest();
  std::string ChooseMark(bool aIdempotent);
  void AbandonCall();
  void InjectFault();
  void UndoDueFaults(int64_t aNow);
  bool IsTargeted(const integration::Fault& aFault, size_t aTarget) const;
  bool EntryDiedDuring(const SentCall& aCall) const;
  void CheckCalls();
  void CheckGroup(const std::string& aMark,
                  const std::vector<const SentCall*>& aCalls);

  ChaosOptions mOptions;
  std::mt19937_64 mRandom;
  std::vector<integration::Fault> mFaults;
  integration::Fleet mFleet;
  std::vector<SentCall> mCalls;
  std::vector<std::string> mKeys;
  std::list<ActiveFault> mActive;
  /** Kill times of each entry. */
  std::map<size_t, std::vector<int64_t>> mKillTimes;
  ChaosReport mReport;
};

} // namespace chaos
