#pragma once

#include "ids.h"
#include "millis.h"
#include "scheduleclass.h"
#include "servicelevel.h"
#include "waitingrequest.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace trefoilarch {

/** How a Schedule keeps classes from starving. */
struct ScheduleOptions
{
  /**
   * A waiting class with nothing running gets a floor start after this time.
   */
  Millis mFloorStartDelay{ 2000 };
  /** Minimum floor of a class, as a fraction of regular starts. */
  double mMinFloor = 0.01;
  /** Waiting requests of each class that are exempt from the queue limit. */
  size_t mReservedPlaces = 4;
};

/** The request to start next. */
struct Dispatch
{
  AttemptKey mKey;
  /**
   * A floor start is made outside the capacity limit, so it displaces no other
   * request.
   */
  bool mFloor = false;

  bool operator==(const Dispatch&) const = default;
};

/**
 * The order in which the waiting requests of one upstream start.
 *
 * Regular dispatches: the highest tier that waits; within the tier the requests
 * that can still meet their first-token target, earliest mStartBy first, then
 * those that are late; within a class the workspace that has received the
 * fewest tokens for its weight (start-time fair queueing), and of its requests
 * the most urgent.
 *
 * Floor dispatches: a waiting class is due one after 1/floor regular starts of
 * others, and after mFloorStartDelay if nothing of it runs, unless its floor
 * starts in flight already fill its floor's fraction of the capacity. A floor
 * start is made outside the capacity limit: the regular dispatches of higher
 * tiers are the same as without it, so it never sheds, preempts or displaces a
 * request of a higher tier; it can only slow down the engine that they share.
 * Bound: a waiting class without a floor start in flight starts a request
 * within ceil(1/floor) regular starts, and within mFloorStartDelay if nothing
 * of it runs, whichever is first.
 *
 * Shedding: the lowest tier first, and within it the latest arrival. The last
 * mReservedPlaces requests of a class are not shed, as a class crowded out of
 * the queue would get no floor starts.
 *
 * Each call costs O(log n) in requests and workspaces, and is linear in the
 * number of classes that wait or run (tens at most).
 */
class Schedule
{
public:
  explicit Schedule(ScheduleOptions aOptions = {});

  void Add(const WaitingRequest& aRequest, Millis aNow);
  /**
   * Removes a request that will not be dispatched; no effect if it is not
   * waiting.
   */
  void Remove(const AttemptKey& aKey);

  /** Returns the requests that have become late by now, once each. */
  std::vector<AttemptKey> TakeLate(Millis aNow);
  /** The waiting request of that key, or null. */
  const WaitingRequest* Find(const AttemptKey& aKey) const;

  /**
   * The floor dispatch that is due, if any, with a capacity of aCapacity
   * tokens.
   */
  std::optional<Dispatch> NextFloorDispatch(uint64_t aCapacity,
                                            Millis aNow) const;
  /** The next regular dispatch, if any request waits. */
  std::optional<Dispatch> NextRegularDispatch() const;
  /** Removes the dispatched request and counts it as a start. */
  void Take(const Dispatch& aDispatch, Millis aNow);

  /**
   * A dispatched request has ended. aFloorTokens: for a floor dispatch, the
   * tokens it was counted with, else 0.
   */
  void OnEnded(const ServiceLevel& aLevel, uint64_t aFloorTokens, Millis aNow);
  /**
   * Corrects the tokens that a request was counted with when it was dispatched.
   */
  void Adjust(const ServiceLevel& aLevel, int64_t aTokens);

  /**
   * Chooses the request to shed so that an arrival of that level can be queued.
   * Empty if the arrival itself is to be shed.
   */
  std::optional<AttemptKey> VictimFor(const ServiceLevel& aLevel) const;
  /** Whether the class's next request is exempt from the queue limit. */
  bool HasReservedPlace(const ServiceLevel& aLevel) const;

  /**
   * Tokens that start before a request of that level. aLate: whether it has
   * missed its first-token target. Never includes a lower tier.
   */
  uint64_t TokensAhead(const ServiceLevel& aLevel, bool aLate) const;
  /** Number of waiting requests of the level's class. */
  size_t WaitingOf(const ServiceLevel& aLevel) const;

  size_t Size() const { return mRequests.size(); }
  uint64_t Tokens() const;
  /** When a floor dispatch becomes due by time, or a request becomes late. */
  Millis NextWake() const;
  /** The guaranteed fraction of regular starts of the level's class. */
  double Floor(const ServiceLevel& aLevel) const;

private:
  using ClassMap = std::map<std::string, ScheduleClass>;

  ClassMap& TierOf(const ServiceLevel& aLevel);
  const ScheduleClass* FindClass(const ServiceLevel& aLevel) const;
  ScheduleClass& ClassOf(const ServiceLevel& aLevel);
  /** Regular starts between two floor dispatches of the class. */
  static uint64_t FloorInterval(const ScheduleClass& aClass);
  bool IsFloorDue(const ScheduleClass& aClass, Millis aNow) const;
  static bool HasFloorCapacity(const ScheduleClass& aClass, uint64_t aCapacity);
  void EraseIfUnused(const ServiceLevel& aLevel);

  ScheduleOptions mOptions;
  std::unordered_map<AttemptKey, WaitingRequest> mRequests;
  std::array<ClassMap, kTierCount> mTiers;
  /** By tier, on time and late. */
  std::array<std::array<uint64_t, 2>, kTierCount> mTokens{};
  /** Requests that are not late yet, by mStartBy. */
  std::set<WaitingRequest*, ByUrgency> mOnTime;
  uint64_t mArrivals = 0;
  uint64_t mRegularStarts = 0;
};

} // namespace trefoilarch
