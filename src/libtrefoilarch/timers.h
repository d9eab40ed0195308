#pragma once

#include "millis.h"

#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace trefoilarch {

/** One timer per key; arming, disarming and expiry cost O(log n). */
template<typename Key>
class Timers
{
public:
  /** Sets the key's timer, replacing its previous one. */
  void Arm(const Key& aKey, Millis aAt)
  {
    Disarm(aKey);
    mDueTimes.emplace(aKey, aAt);
    mQueue.emplace(aAt, aKey);
  }

  void Disarm(const Key& aKey)
  {
    const auto found = mDueTimes.find(aKey);
    if (found == mDueTimes.end()) {
      return;
    }
    mQueue.erase({ found->second, aKey });
    mDueTimes.erase(found);
  }

  /** Removes and returns one key whose timer is due. */
  std::optional<Key> TakeDue(Millis aNow)
  {
    if (mQueue.empty() || mQueue.begin()->first > aNow) {
      return std::nullopt;
    }
    Key key = mQueue.begin()->second;
    mQueue.erase(mQueue.begin());
    mDueTimes.erase(key);
    return key;
  }

  Millis Next() const
  {
    return mQueue.empty() ? Millis::Never() : mQueue.begin()->first;
  }

private:
  std::set<std::pair<Millis, Key>> mQueue;
  std::unordered_map<Key, Millis> mDueTimes;
};

} // namespace trefoilarch
