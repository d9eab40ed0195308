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
  /** A waiting class of which nothing runs gets a floor start after this. */
  Millis mFloorStartDelay{ 2000 };
  /** The least floor of a class, as a share of regular starts. */
  double mMinFloor = 0.01;
  /** Waiting requests of each class that the queue limit does not touch. */
  size_t mReservedPlaces = 4;
};

/** Whose turn it is. */
struct Dispatch
{
  AttemptKey mKey;
  /** A floor start is made beside the room, so it takes nobody's place. */
  bool mFloor = false;

  bool operator==(const Dispatch&) const = default;
};

/**
 * The order in which the waiting requests of one upstream start.
 *
 * Regular turns: the highest tier that waits; within the tier the requests
 * that can still meet their first-token target, earliest last moment first,
 * then those that are late; within a class the workspace that has had the
 * fewest tokens for its weight (start-time fair queueing), and of its requests
 * the most urgent.
 *
 * Floor turns: a class that waits is owed one after 1/floor regular starts of
 * others, and after mFloorStartDelay if nothing of it runs, unless its floor
 * starts in flight fill its floor's part of the room already. It is made beside
 * the room: the regular turns of higher tiers are the same as if it had not
 * been made, so it never sheds or preempts a request of a higher tier or takes
 * its place; it can only slow the engine that they share. Bound: a class that
 * waits and has no floor start in flight starts something within ceil(1/floor)
 * regular starts, and within mFloorStartDelay if nothing of it runs, whichever
 * is first.
 *
 * Shedding: the lowest tier first, and of it whoever arrived last; the last
 * mKeptPlaces requests of a class are not shed, or a class crowded out of the
 * queue could not have its floor.
 *
 * Each call costs O(log n) in requests and workspaces, and is linear in the
 * number of classes that wait or run (tens at most).
 */
class Schedule
{
public:
  explicit Schedule(ScheduleOptions aOptions = {});

  void Add(const WaitingRequest& aRequest, Millis aNow);
  /** Takes a request out that gets no turn; nothing if it is not here. */
  void Remove(const AttemptKey& aKey);

  /** Requests that have become late by now, once each. */
  std::vector<AttemptKey> TakeLate(Millis aNow);
  /** The request that waits under that key, or null. */
  const WaitingRequest* Find(const AttemptKey& aKey) const;

  /** The floor turn that is due, if any, in a room of that many tokens. */
  std::optional<Dispatch> NextFloorDispatch(uint64_t aCapacity,
                                            Millis aNow) const;
  /** The regular turn; nothing if nobody waits. */
  std::optional<Dispatch> NextRegularDispatch() const;
  /** Takes the request of that turn out, and counts it as a start. */
  void Take(const Dispatch& aDispatch, Millis aNow);

  /** A request that had its turn has ended; aFloorTokens: if it was a floor
   * turn, the tokens that it was counted with then. */
  void OnEnded(const ServiceLevel& aLevel, uint64_t aFloorTokens, Millis aNow);
  /** Corrects the tokens that a request was counted with at its turn. */
  void Adjust(const ServiceLevel& aLevel, int64_t aTokens);

  /**
   * Whom to shed so that an arrival of that class finds a place: a waiting
   * request, or nothing where the arrival itself is the one.
   */
  std::optional<AttemptKey> VictimFor(const ServiceLevel& aLevel) const;
  /** Whether the queue limit does not touch the class's next request. */
  bool HasReservedPlace(const ServiceLevel& aLevel) const;

  /**
   * Tokens that start before a request of that level, which can still be on
   * time or can't. Never any of a lower tier.
   */
  uint64_t TokensAhead(const ServiceLevel& aLevel, bool aLate) const;
  /** Requests of its own class that wait. */
  size_t WaitingOf(const ServiceLevel& aLevel) const;

  size_t Size() const { return mRequests.size(); }
  uint64_t Tokens() const;
  /** When a floor turn falls due by the passing of time, or a request becomes
   * late. */
  Millis NextWake() const;
  /** The share of regular starts that the level's class is sure of. */
  double Floor(const ServiceLevel& aLevel) const;

private:
  using ClassMap = std::map<std::string, ScheduleClass>;

  ClassMap& TierOf(const ServiceLevel& aLevel);
  const ScheduleClass* FindClass(const ServiceLevel& aLevel) const;
  ScheduleClass& ClassOf(const ServiceLevel& aLevel);
  /** Regular starts between two floor turns of the class. */
  static uint64_t FloorInterval(const ScheduleClass& aClass);
  bool IsFloorDue(const ScheduleClass& aClass, Millis aNow) const;
  static bool HasFloorCapacity(const ScheduleClass& aClass, uint64_t aCapacity);
  void EraseIfUnused(const ServiceLevel& aLevel);

  ScheduleOptions mOptions;
  std::unordered_map<AttemptKey, WaitingRequest> mRequests;
  std::array<ClassMap, kTierCount> mTiers;
  /** By tier, on time and late. */
  std::array<std::array<uint64_t, 2>, kTierCount> mTokens{};
  /** Requests that are not late yet, by their last moment. */
  std::set<WaitingRequest*, ByUrgency> mOnTime;
  uint64_t mArrivals = 0;
  uint64_t mRegularStarts = 0;
};

} // namespace trefoilarch
