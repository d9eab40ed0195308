#pragma once

#include "libtrefoilarch/millis.h"

#include <algorithm>
#include <functional>
#include <map>
#include <utility>

/** The events of a model, in the order of a virtual time. */
class ModelEvents
{
protected:
  void At(trefoilarch::Millis aTime, std::function<void()> aAction)
  {
    mEvents.emplace(aTime, std::move(aAction));
  }

  void After(int64_t aMillis, std::function<void()> aAction)
  {
    At(mNow + trefoilarch::Millis(aMillis), std::move(aAction));
  }

  /** Runs events until there are no more, or until aEnd. */
  void RunUntil(trefoilarch::Millis aEnd)
  {
    while (!mEvents.empty() && mNow < aEnd) {
      auto event = mEvents.extract(mEvents.begin());
      mNow = std::max(mNow, event.key());
      event.mapped()();
    }
  }

  trefoilarch::Millis mNow;

private:
  std::multimap<trefoilarch::Millis, std::function<void()>> mEvents;
};
