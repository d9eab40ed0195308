#pragma once

#include "../millis.h"

#include <cstddef>

namespace trefoilarch {

struct ShareCapacityOptions
{
  /** Smoothed pressure from which on shares apply. Below 1, because a queue
   * that is at its bound already delays everybody. */
  double mOnsetPressure = 0.6;
  /** Pressure that the control aims at; leaves room for its noise below 1. */
  double mTargetPressure = 0.5;
  /** Shares cease to apply after the pressure has been below this, and the
   * demand below the capacity... */
  double mEndPressure = 0.25;
  /** ...for this long. */
  Millis mEndAfter{ 1000 };
  /** Time constant by which the pressure is smoothed. */
  Millis mPressureDecayTime{ 200 };
  /** Pressure from which on the engines are taken to be busy all the time. */
  double mBusyPressure = 0.15;
  /** Work that waits at a pressure of 1, as the time that the engines need for
   * it. */
  Millis mBacklogAtFullPressure{ 1000 };
  /** How much later than the pressure the admitted rate is known: the time
   * constant of its sums, and half an update interval. */
  Millis mServedLag{ 1300 };
  /** Time constant by which the capacity follows what busy engines are sent,
   * and by which it rises if engines that aren't busy are sent more. */
  Millis mLearnTime{ 4000 };
  /** Time constant by which it falls if engines that aren't busy are sent less,
   * which says little about what they can do. */
  Millis mForgetTime{ 60000 };
  /** Proportional change of the share of those over it, by the deviation of the
   * pressure from its target, and its limits. */
  double mGain = 1.5;
  double mMinFactor = 0.1;
  double mMaxFactor = 1.3;
  /** Relative increase of the capacity per second without pressure; none from
   * half of the target on. */
  double mIncrease = 0.3;
  /** Relative decrease per second by the excess of pressure over that. Above
   * the target, since what is refused to those over their share mostly suffices
   * and a capacity that is too low takes from the modest. */
  double mDecrease = 0.6;
  double mDecreasePressure = 0.8;
  /** Limits of the increase and decrease. */
  double mMinCorrection = 0.3;
  double mMaxCorrection = 3;
};

/**
 * Learns the capacity of a service's engines for one tier, in engine
 * milliseconds per second, from what the whole fleet admits.
 *
 * While engines are busy, the capacity is the mean rate of what was admitted,
 * less the growth of what waits. Otherwise it is what was admitted lately at
 * most. A correction grows without pressure and falls under too much. The rate
 * is a figure that all entries have in common and the correction decays, so
 * entries whose measured pressure differs don't drift apart.
 *
 * Bound: the capacity is at most 4 times the highest and at least 0.2 times the
 * lowest rate admitted.
 */
class ShareCapacity
{
public:
  explicit ShareCapacity(ShareCapacityOptions aOptions = {});

  /** Takes a measured pressure; negative and infinite ones count as 0. */
  void OnPressure(double aPressure);
  /** aServed, aDemand: what the fleet admits and is asked for now. */
  void Update(double aServed, double aDemand, Millis aNow);

  /** Whether shares apply now. */
  bool IsLimited() const { return mLimited; }
  /** Engine milliseconds per second of the fleet. */
  double Capacity() const { return mCapacity; }
  /** What the share of those over it is multiplied by, to bring the pressure to
   * its target. Workspaces within their share aren't affected. */
  double Factor() const;

private:
  void Start(double aServed, Millis aNow);
  void SmoothPressure(double aElapsedMs);
  /** What the engines seem to get done, if they are busy. */
  double DoneRate(double aServed) const;
  void Learn(double aServed, double aElapsedMs);
  void Correct(double aElapsedMs);
  void UpdateLimited(double aDemand, Millis aNow);

  ShareCapacityOptions mOptions;
  double mPressureSum = 0;
  size_t mPressureSamples = 0;
  double mPressure = 0;
  /** Mean over mServedLag. */
  double mLaggedPressure = 0;
  double mLearnt = 0;
  double mCorrection = 1;
  double mCapacity = 0;
  bool mLimited = false;
  bool mStarted = false;
  Millis mStartedAt;
  /** How long the engines have been busy, in milliseconds. */
  double mBusyMs = 0;
  Millis mUpdatedAt;
  /** When there last was a reason to limit. */
  Millis mContendedAt;
};

} // namespace trefoilarch
