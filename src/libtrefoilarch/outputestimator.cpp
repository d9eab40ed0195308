#include "outputestimator.h"

#include <algorithm>
#include <cmath>

namespace trefoilarch {

namespace {

constexpr unsigned kBinCount = 48;
constexpr double kMinLength = 1;
constexpr double kMaxLength = 131072;

/** Estimate without any data. */
constexpr double kDefaultEstimate = 256;

/** Weight of the prior, in responses. */
constexpr double kPriorWeight = 10;

/** At this many responses all counts are halved, so that old ones fade. */
constexpr float kDecayCount = 512;

/** Workspaces with a histogram of their own; others use their class's. */
constexpr size_t kMaxWorkspaces = 10000;

} // namespace

OutputEstimator::OutputEstimator()
{
  const Axis axis(kBinCount, kMinLength, kMaxLength);
  for (const auto& bin : axis) {
    mCentres.push_back(bin.center());
  }
}

OutputEstimator::Histogram
OutputEstimator::NewHistogram()
{
  return boost::histogram::make_histogram_with(
    std::vector<float>(), Axis(kBinCount, kMinLength, kMaxLength));
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
  const auto found = mWorkspaces.find(key);
  if (found != mWorkspaces.end()) {
    Add(found->second, aTokens);
  } else if (mWorkspaces.size() < kMaxWorkspaces) {
    Add(mWorkspaces.emplace(key, Lengths{ NewHistogram() }).first->second,
        aTokens);
  }
}

void
OutputEstimator::Add(Lengths& aLengths, uint32_t aTokens)
{
  if (aLengths.mCount >= kDecayCount) {
    aLengths.mHistogram *= 0.5F;
    aLengths.mCount /= 2;
  }
  aLengths.mHistogram(std::min<double>(aTokens, kMaxLength - 1));
  aLengths.mCount += 1;
}

uint32_t
OutputEstimator::Estimate(const std::string& aClass,
                          const std::string& aWorkspace,
                          uint32_t aMaxTokens) const
{
  const double maxTokens = aMaxTokens == 0 ? kMaxLength : aMaxTokens;
  double estimate = std::min(kDefaultEstimate, maxTokens);
  const auto ofClass = mClasses.find(aClass);
  if (ofClass != mClasses.end()) {
    estimate = Mean(ofClass->second, maxTokens, estimate);
  }
  const auto ofWorkspace = mWorkspaces.find(std::pair(aClass, aWorkspace));
  if (ofWorkspace != mWorkspaces.end()) {
    estimate = Mean(ofWorkspace->second, maxTokens, estimate);
  }
  return static_cast<uint32_t>(std::lround(estimate));
}

double
OutputEstimator::Mean(const Lengths& aLengths,
                      double aMaxTokens,
                      double aPrior) const
{
  double sum = kPriorWeight * aPrior;
  for (size_t i = 0; i < mCentres.size(); i++) {
    sum += aLengths.mHistogram.at(static_cast<int>(i)) *
           std::min(mCentres[i], aMaxTokens);
  }
  return sum / (kPriorWeight + aLengths.mCount);
}

} // namespace trefoilarch
