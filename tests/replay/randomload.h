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

/** How a random load behaves; chances from 0 to 1. */
struct Behaviour
{
  double mArrivalsPerSecond = 20;
  double mNeverStarts = 0;
  double mWithdraws = 0;
  double mIdempotent = 0.7;
  double mSlowdowns = 0;
  uint32_t mLeastDeadline = 500;
};

/**
 * One sidecar with an engine under a random load, whose every action is
 * checked against a naive record of what was asked and said.
 */
class RandomLoad
{
public:
  RandomLoad(uint64_t aSeed, Behaviour aBehaviour);

  void Play(Millis aSpan);

  /**
   * Overload until aSpan; then the last caller that was told that its deadline
   * can't be met comes back when it was told to, and nobody else comes.
   * Whether it was served then; nothing if there was no such caller.
   */
  std::optional<bool> PlayReturn(Millis aSpan);

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
    bool mBegun = false;
  };

  struct ClassRecord
  {
    size_t mInFlight = 0;
    uint64_t mRegularAtStart = 0;
    Millis mSince;
  };

  static AttemptKey KeyOf(uint64_t aNumber);

  bool Chance(double aShare);

  uint32_t Between(uint32_t aLeast, uint32_t aMost);

  void PlanArrival(Millis aEnd);

  /** The entry gives signs of life. */
  void Beat(Millis aEnd);

  void PlanSlowdown(Millis aEnd);

  void Arrive();

  void Arrive(Offer aOffer);

  void Do(const SidecarActions& aActions);

  void Plan();

  Request& RequestOf(const AttemptKey& aKey);

  size_t WaitingOf(const std::string& aClass) const;

  void Restart(ClassRecord& aRecord) const;

  void Check(const SendToEntry& aSend);

  void Check(const StartCall& aStart);

  void Check(const CancelCall& aCancel);

  void Hear(const Grant& aGrant);

  /** A start before a waiting request of a higher tier is a floor start, and
   * the class was owed it. */
  void CheckTurn(const ServiceLevel& aLevel);

  void Hear(const Decline& aDecline);

  void CheckShed(const ServiceLevel& aLevel) const;

  void Hear(const Failed& aFailed);

  void Hear(const Finished& aFinished);

  void Hear(const Voided& aVoided);

  void Hear(const Chunk& aChunk);

  template<typename Other>
  void Hear(const Other&)
  {
  }

  void End(Request& aRequest);

  /** Nobody waits past its deadline, and no class without anything in flight
   * past its floor span. */
  void CheckNobodyOverstays() const;

  void OnToken(uint64_t aId, bool aLast);

  std::mt19937_64 mRandom;
  Behaviour mBehaviour;
  VirtualTime mTime;
  SidecarCore mCore;
  VirtualEngine mEngine;
  std::map<uint64_t, Request> mRequests;
  std::map<std::string, ClassRecord> mClasses;
  uint64_t mNext = 1;
  uint64_t mRegularStarts = 0;
  Tier mHighestGranted = kTierCount;
  /** The last one that was told its deadline can't be met. */
  std::optional<Offer> mSentAway;
  Millis mReturnAt;
  Millis mWake = Millis::Never();
};

} // namespace replay
