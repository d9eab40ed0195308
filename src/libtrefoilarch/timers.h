#pragma once

#include "millis.h"

#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace trefoilarch {

/** One timer for each key; arming, disarming and expiry cost O(log n). */
template<typename Key>
class Timers
{
public:
  /** Sets the key's timer, in place of the one it had. */
  void Arm(const Key& aKey, Millis aAt)
  {
    Disarm(aKey);
    mDue.emplace(aKey, aAt);
    mQueue.emplace(aAt, aKey);
  }

  void Disarm(const Key& aKey)
  {
    const auto found = mDue.find(aKey);
    if (found == mDue.end()) {
      return;
    }
    mQueue.erase({ found->second, aKey });
    mDue.erase(found);
  }

  /** Takes out one key whose time has come. */
  std::optional<Key> TakeDue(Millis aNow)
  {
    if (mQueue.empty() || mQueue.begin()->first > aNow) {
      return std::nullopt;
    }
    Key key = mQueue.begin()->second;
    mQueue.erase(mQueue.begin());
    mDue.erase(key);
    return key;
  }

  Millis Next() const
  {
    return mQueue.empty() ? Millis::Never() : mQueue.begin()->first;
  }

private:
  std::set<std::pair<Millis, Key>> mQueue;
  std::unordered_map<Key, Millis> mDue;
};

} // namespace trefoilarch
