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

  /** Events of one moment run in the order in which they were planned. */
  void At(Millis aWhen, std::function<void()> aWhat)
  {
    mEvents.emplace(std::pair(std::max(aWhen, mNow), mPlanned++),
                    std::move(aWhat));
  }

  void After(Millis aSpan, std::function<void()> aWhat)
  {
    At(mNow + aSpan, std::move(aWhat));
  }

  /** Runs what is planned until then. */
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
  uint64_t mPlanned = 0;
  std::map<std::pair<Millis, uint64_t>, std::function<void()>> mEvents;
};

} // namespace replay
