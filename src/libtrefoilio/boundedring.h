#pragma once

#include "../libtrefoilarch/millis.h"

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <limits>
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
    : BoundedRing(aCapacity, std::numeric_limits<size_t>::max(), [](const T&) {
      return size_t{ 0 };
    })
  {
  }
  /** Items with bytes wait as well while those of others reach aMaxBytes. */
  BoundedRing(size_t aCapacity,
              size_t aMaxBytes,
              std::function<size_t(const T&)> aBytesOf)
    : mCapacity(aCapacity)
    , mMaxBytes(aMaxBytes)
    , mBytesOf(std::move(aBytesOf))
  {
  }

  /** Returns false if the ring is full or closed. */
  bool TryPush(T aItem)
  {
    {
      std::lock_guard lock(mMutex);
      if (mClosed || !HasRoom(aItem)) {
        return false;
      }
      Add(std::move(aItem));
    }
    mNotEmpty.notify_one();
    return true;
  }

  /** Waits until the ring has capacity; returns false once it is closed. */
  bool Push(T aItem)
  {
    {
      std::unique_lock lock(mMutex);
      mNotFull.wait(lock, [&] { return mClosed || HasRoom(aItem); });
      if (mClosed) {
        return false;
      }
      Add(std::move(aItem));
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
      mBytes -= mBytesOf(*item);
    }
    // Items with bytes may have to wait on while others need not.
    mNotFull.notify_all();
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
  bool HasRoom(const T& aItem) const
  {
    return mItems.size() < mCapacity &&
           (mBytes < mMaxBytes || mBytesOf(aItem) == 0);
  }

  void Add(T aItem)
  {
    mBytes += mBytesOf(aItem);
    mItems.push_back(std::move(aItem));
  }

  const size_t mCapacity;
  const size_t mMaxBytes;
  const std::function<size_t(const T&)> mBytesOf;
  mutable std::mutex mMutex;
  std::condition_variable mNotEmpty;
  std::condition_variable mNotFull;
  std::deque<T> mItems;
  size_t mBytes = 0;
  bool mClosed = false;
};

} // namespace trefoilio
