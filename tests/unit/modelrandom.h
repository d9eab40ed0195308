#pragma once

#include <algorithm>
#include <cstdint>
#include <random>
#include <vector>

/** What chance decides in a model of processes round a faulty table. */
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
  /** As Chance, but the rarer the calmer this run is. */
  bool Fault(uint32_t aPercent)
  {
    return Draw(100) >= mSuppressedFaultPercent && Chance(aPercent);
  }

  std::mt19937 mRandom;
  uint32_t mSuppressedFaultPercent;
};

/** Takes one operation out of those that are under way. */
template<typename T>
void
EraseAt(std::vector<T>& aItems, size_t aPlace)
{
  aItems.erase(aItems.begin() + static_cast<std::ptrdiff_t>(aPlace));
}
