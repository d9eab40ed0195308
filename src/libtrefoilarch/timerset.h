#pragma once

#include "millis.h"

#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace trefoilarch {

/**
 * At most one due time for each key, in order of time. Setting, clearing and
 * taking one cost the logarithm of the number of keys.
 */
template<typename Key>
class TimerSet
{
public:
  /** Sets or moves the key's due time. */
  void Set(const Key& aKey, Millis aDue)
  {
    const auto [place, added] = mDue.try_emplace(aKey, aDue);
    if (!added) {
      if (place->second == aDue) {
        return;
      }
      mOrder.erase({ place->second, aKey });
      place->second = aDue;
    }
    mOrder.emplace(aDue, aKey);
  }

  void Clear(const Key& aKey)
  {
    const auto place = mDue.find(aKey);
    if (place == mDue.end()) {
      return;
    }
    mOrder.erase({ place->second, aKey });
    mDue.erase(place);
  }

  /** Removes and returns one key that is due, or nothing. */
  std::optional<Key> TakeDue(Millis aNow)
  {
    if (mOrder.empty() || mOrder.begin()->first > aNow) {
      return std::nullopt;
    }
    Key key = mOrder.begin()->second;
    Clear(key);
    return key;
  }

  /** The earliest due time, or Millis::Never(). */
  Millis Next() const
  {
    return mOrder.empty() ? Millis::Never() : mOrder.begin()->first;
  }

private:
  std::unordered_map<Key, Millis> mDue;
  std::set<std::pair<Millis, Key>> mOrder;
};

} // namespace trefoilarch
