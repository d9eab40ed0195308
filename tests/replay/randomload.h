#pragma once

#include "trace.h"
#include "virtualengine.h"
#include "virtualtime.h"

#include "libtrefoilarch/sidecarcore.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>

namespace replay {

using namespace trefoilarch;

/** Options of a random load; probabilities from 0 to 1. */
struct RandomLoadOptions
{
  double mArrivalsPerSecond = 20;
  double mNeverStartProbability = 0;
  double mWithdrawProbability = 0;
  double mIdempotentProbability = 0.7;
  double mSlowdownProbability = 0;
  uint32_t mMinDeadline = 500;
};

/**
 * Runs one sidecar with an engine under a random load and checks each of its
 * actions against a simple record of all requests and messages.
 */
class RandomLoad
{
public:
  RandomLoad(uint64_t aSeed, RandomLoadOptions aOptions);

  void Play(Millis aDuration);

  /**
   * Overloads the sidecar for aDuration. Then only the last caller whose
   * request was declined as DeadlineUnmeetable retries, at the stated retry
   * time. Returns whether it was served, or nothing without such a caller.
   */
  std::optional<bool> PlayRetry(Millis aDuration);

  size_t mFloorStarts = 0;
  size_t mShed = 0;
  size_t mOutOfOrder = 0;

private:
  enum class State
  {
    Waiting,
    Granted,
    Running,
    Ended,
  };

  struct Request
  {
    Offer mOffer;
    Millis mDeadlineAt;
    State mState = State::Waiting;
    bool mResponseStarted = false;
  };

  struct ClassRecord
  {
    size_t mInFlight = 0;
    uint64_t mRegularStartsBefore = 0;
    Millis mIdleSince;
  };

  static AttemptKey KeyOf(uint64_t aNumber);

  bool RandomBool(double aProbability);

  uint32_t RandomBetween(uint32_t aMin, uint32_t aMax);

  void ScheduleArrival(Millis aEnd);

  /** Sends the entry's heartbeats until aEnd. */
  void SendHeartbeats(Millis aEnd);

  void ScheduleSlowdown(Millis aEnd);

  void Arrive();

  void Arrive(Offer aOffer);

  void RunActions(const SidecarActions& aActions);

  void ScheduleTick();

  Request& RequestOf(const AttemptKey& aKey);

  size_t WaitingCount(const std::string& aClass) const;

  void RestartFloorWait(ClassRecord& aRecord) const;

  void Check(const SendToEntry& aSend);

  void Check(const StartCall& aStart);

  void Check(const CancelCall& aCancel);

  void OnReceived(const Grant& aGrant);

  /** Checks that a start ahead of a waiting request of a higher tier is a floor
   * start to which the class was entitled. */
  void CheckStartOrder(const ServiceLevel& aLevel);

  void OnReceived(const Decline& aDecline);

  void CheckShed(const ServiceLevel& aLevel) const;

  void OnReceived(const Failed& aFailed);

  void OnReceived(const Finished& aFinished);

  void OnReceived(const Voided& aVoided);

  void OnReceived(const Chunk& aChunk);

  template<typename Other>
  void OnReceived(const Other&)
  {
  }

  void End(Request& aRequest);

  /** Checks that no request waits past its deadline, and no class with nothing
   * in flight waits longer than the floor start delay. */
  void CheckWaitingTimes() const;

  void OnToken(uint64_t aId, bool aLast);

  std::mt19937_64 mRandom;
  RandomLoadOptions mOptions;
  VirtualTime mTime;
  SidecarCore mCore;
  VirtualEngine mEngine;
  std::map<uint64_t, Request> mRequests;
  std::map<std::string, ClassRecord> mClasses;
  uint64_t mNextNumber = 1;
  uint64_t mRegularStarts = 0;
  Tier mHighestGranted = kTierCount;
  /** The last offer declined as DeadlineUnmeetable. */
  std::optional<Offer> mUnmeetableOffer;
  Millis mRetryAt;
  Millis mWakeTime = Millis::Never();
};

} // namespace replay
