#pragma once

#include <algorithm>
#include <cstdint>
#include <random>
#include <vector>

/** Random decisions in a model of processes that share a faulty table. */
class ModelRandom
{
protected:
  explicit ModelRandom(uint32_t aSeed)
    : mRandom(aSeed)
    , mSuppressedFaultPercent(std::max<uint32_t>(mRandom() % 150, 50) - 50)
  {
  }

  uint32_t Draw(uint32_t aBelow) { return mRandom() % aBelow; }
  bool Chance(uint32_t aPercent) { return Draw(100) < aPercent; }
  /** Like Chance(), but a run suppresses a fixed share of its faults. */
  bool Fault(uint32_t aPercent)
  {
    return Draw(100) >= mSuppressedFaultPercent && Chance(aPercent);
  }

  std::mt19937 mRandom;
  uint32_t mSuppressedFaultPercent;
};

/** Removes one of the operations in progress. */
template<typename T>
void
EraseAt(std::vector<T>& aItems, size_t aIndex)
{
  aItems.erase(aItems.begin() + static_cast<std::ptrdiff_t>(aIndex));
}
