#pragma once

#include "libtrefoilarch/millis.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace replay {

using trefoilarch::Millis;

/** Runs events in the order of their virtual times. */
class VirtualTime
{
public:
  Millis Now() const { return mNow; }

  /** Events with the same time run in the order in which they were
   * scheduled. */
  void At(Millis aTime, std::function<void()> aEvent)
  {
    mEvents.emplace(std::pair(std::max(aTime, mNow), mScheduledCount++),
                    std::move(aEvent));
  }

  void After(Millis aDelay, std::function<void()> aEvent)
  {
    At(mNow + aDelay, std::move(aEvent));
  }

  /** Runs all events up to and including that time. */
  void RunUntil(Millis aEnd)
  {
    while (!mEvents.empty() && mEvents.begin()->first.first <= aEnd) {
      auto event = mEvents.extract(mEvents.begin());
      mNow = event.key().first;
      event.mapped()();
    }
    mNow = aEnd;
  }

private:
  Millis mNow{ 1 };
  uint64_t mScheduledCount = 0;
  std::map<std::pair<Millis, uint64_t>, std::function<void()>> mEvents;
};

} // namespace replay
