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
 * Joins the threads of two duties. Holds at most a fixed number of items; a
 * closed ring takes no more and gives out what is left.
 */
template<typename T>
class BoundedRing
{
public:
  explicit BoundedRing(size_t aCapacity)
    : mCapacity(aCapacity)
  {
  }

  /** False where the ring is full or closed. */
  bool TryPush(T aItem)
  {
    {
      std::lock_guard lock(mMutex);
      if (mClosed || mItems.size() >= mCapacity) {
        return false;
      }
      mItems.push_back(std::move(aItem));
    }
    mFilled.notify_one();
    return true;
  }

  /** Waits for a place; false where the ring is or gets closed. */
  bool Push(T aItem)
  {
    {
      std::unique_lock lock(mMutex);
      mEmptied.wait(lock,
                    [this] { return mClosed || mItems.size() < mCapacity; });
      if (mClosed) {
        return false;
      }
      mItems.push_back(std::move(aItem));
    }
    mFilled.notify_one();
    return true;
  }

  /** Waits for an item for at most the given span. */
  std::optional<T> PopFor(trefoilarch::Millis aSpan)
  {
    std::optional<T> item;
    {
      std::unique_lock lock(mMutex);
      mFilled.wait_for(lock, std::chrono::milliseconds(aSpan.Count()), [this] {
        return mClosed || !mItems.empty();
      });
      if (mItems.empty()) {
        return std::nullopt;
      }
      item.emplace(std::move(mItems.front()));
      mItems.pop_front();
    }
    mEmptied.notify_one();
    return item;
  }

  void Close()
  {
    {
      std::lock_guard lock(mMutex);
      mClosed = true;
    }
    mFilled.notify_all();
    mEmptied.notify_all();
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
  std::condition_variable mFilled;
  std::condition_variable mEmptied;
  std::deque<T> mItems;
  bool mClosed = false;
};

} // namespace trefoilio
