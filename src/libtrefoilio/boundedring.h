#pragma once

#include "../libtrefoilarch/millis.h"

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

namespace trefoilio {

/**
 * Bounded blocking queue between threads. Once closed, it rejects new items
 * but still returns those that it holds.
 */
template<typename T>
class BoundedRing
{
public:
  explicit BoundedRing(size_t aCapacity)
    : mCapacity(aCapacity)
  {
  }

  /** Returns false if the ring is full or closed. */
  bool TryPush(T aItem)
  {
    {
      std::lock_guard lock(mMutex);
      if (mClosed || mItems.size() >= mCapacity) {
        return false;
      }
      mItems.push_back(std::move(aItem));
    }
    mNotEmpty.notify_one();
    return true;
  }

  /** Waits until the ring has capacity; returns false once it is closed. */
  bool Push(T aItem)
  {
    {
      std::unique_lock lock(mMutex);
      mNotFull.wait(lock,
                    [this] { return mClosed || mItems.size() < mCapacity; });
      if (mClosed) {
        return false;
      }
      mItems.push_back(std::move(aItem));
    }
    mNotEmpty.notify_one();
    return true;
  }

  /** Waits for an item until the timeout. */
  std::optional<T> PopFor(trefoilarch::Millis aTimeout)
  {
    std::optional<T> item;
    {
      std::unique_lock lock(mMutex);
      mNotEmpty.wait_for(lock,
                         std::chrono::milliseconds(aTimeout.Count()),
                         [this] { return mClosed || !mItems.empty(); });
      if (mItems.empty()) {
        return std::nullopt;
      }
      item.emplace(std::move(mItems.front()));
      mItems.pop_front();
    }
    mNotFull.notify_one();
    return item;
  }

  void Close()
  {
    {
      std::lock_guard lock(mMutex);
      mClosed = true;
    }
    mNotEmpty.notify_all();
    mNotFull.notify_all();
  }

  bool Closed() const
  {
    std::lock_guard lock(mMutex);
    return mClosed;
  }

  size_t Size() const
  {
    std::lock_guard lock(mMutex);
    return mItems.size();
  }

private:
  const size_t mCapacity;
  mutable std::mutex mMutex;
  std::condition_variable mNotEmpty;
  std::condition_variable mNotFull;
  std::deque<T> mItems;
  bool mClosed = false;
};

} // namespace trefoilio
