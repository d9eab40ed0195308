#include "outputestimator.h"

#include <algorithm>
#include <cmath>

namespace trefoilarch {

namespace {

constexpr unsigned kBins = 48;
constexpr double kShortest = 1;
constexpr double kLongest = 131072;

/** The guess where nothing is known. */
constexpr double kFirstGuess = 256;

/** Answers that the guess weighs as much as. */
constexpr double kGuessWeight = 10;

/** At this many answers all counts are halved, so that old ones fade. */
constexpr float kFull = 512;

/** Workspaces that are kept apart; further ones go by their class alone. */
constexpr size_t kMostWorkspaces = 10000;

} // namespace

OutputEstimator::OutputEstimator()
{
  const Axis axis(kBins, kShortest, kLongest);
  for (const auto& bin : axis) {
    mCentres.push_back(bin.center());
  }
}

OutputEstimator::Histogram
OutputEstimator::NewHistogram()
{
  return boost::histogram::make_histogram_with(
    std::vector<float>(), Axis(kBins, kShortest, kLongest));
}

void
OutputEstimator::Add(const std::string& aClass,
                     const std::string& aWorkspace,
                     uint32_t aTokens)
{
  if (aTokens == 0) {
    return;
  }
  Add(mClasses.try_emplace(aClass, Lengths{ NewHistogram() }).first->second,
      aTokens);
  const std::pair key(aClass, aWorkspace);
  const auto known = mWorkspaces.find(key);
  if (known != mWorkspaces.end()) {
    Add(known->second, aTokens);
  } else if (mWorkspaces.size() < kMostWorkspaces) {
    Add(mWorkspaces.emplace(key, Lengths{ NewHistogram() }).first->second,
        aTokens);
  }
}

void
OutputEstimator::Add(Lengths& aLengths, uint32_t aTokens)
{
  if (aLengths.mCount >= kFull) {
    aLengths.mHistogram *= 0.5F;
    aLengths.mCount /= 2;
  }
  aLengths.mHistogram(std::min<double>(aTokens, kLongest - 1));
  aLengths.mCount += 1;
}

uint32_t
OutputEstimator::Estimate(const std::string& aClass,
                          const std::string& aWorkspace,
                          uint32_t aMost) const
{
  const double most = aMost == 0 ? kLongest : aMost;
  double estimate = std::min(kFirstGuess, most);
  const auto ofClass = mClasses.find(aClass);
  if (ofClass != mClasses.end()) {
    estimate = Mean(ofClass->second, most, estimate);
  }
  const auto ofWorkspace = mWorkspaces.find(std::pair(aClass, aWorkspace));
  if (ofWorkspace != mWorkspaces.end()) {
    estimate = Mean(ofWorkspace->second, most, estimate);
  }
  return static_cast<uint32_t>(std::lround(estimate));
}

double
OutputEstimator::Mean(const Lengths& aLengths,
                      double aMost,
                      double aGuess) const
{
  double sum = kGuessWeight * aGuess;
  for (size_t i = 0; i < mCentres.size(); i++) {
    sum += aLengths.mHistogram.at(static_cast<int>(i)) *
           std::min(mCentres[i], aMost);
  }
  return sum / (kGuessWeight + aLengths.mCount);
}

} // namespace trefoilarch
