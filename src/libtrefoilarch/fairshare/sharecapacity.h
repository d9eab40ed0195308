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
  /** Work that waits at a pressure of 1, as the time that the engines need for
   * it. */
  Millis mBacklogAtFullPressure{ 1000 };
  /** Time constant by which the capacity follows what the fleet admits. Several
   * times that of the demand, so that the first second of a flood hardly counts
   * as capacity. */
  Millis mLearnTime{ 4000 };
  /** Proportional change of the share of those over it, by the deviation of the
   * pressure from its target, and its limits. */
  double mGain = 1.5;
  double mMinFactor = 0.1;
  double mMaxFactor = 1.3;
  /** Relative increase of the capacity per second without pressure; none from
   * half of the target on. */
  double mIncrease = 0.3;
  /** Relative decrease per second by the excess of pressure over the target. */
  double mDecrease = 0.3;
  /** Limits of the increase and decrease. */
  double mMinCorrection = 0.3;
  double mMaxCorrection = 3;
};

/**
 * Learns the capacity of a service's engines for one tier, in engine
 * milliseconds per second, from what the whole fleet admits.
 *
 * The capacity is the mean rate of what was admitted, less the part of it that
 * still waits, with a correction that grows without pressure and falls under
 * too much. The mean is a figure that all entries have in common and the
 * correction decays, so entries whose measured pressure differs don't drift
 * apart.
 *
 * Bound: the capacity is within 0.2 and 6 times the mean rate admitted.
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
  void Learn(double aServed, double aElapsedMs);
  void Correct(double aElapsedMs);
  void UpdateLimited(double aDemand, Millis aNow);

  ShareCapacityOptions mOptions;
  double mPressureSum = 0;
  size_t mPressureSamples = 0;
  double mPressure = 0;
  /** Means over the learn time. */
  double mMeanPressure = 0;
  double mMeanServed = 0;
  double mCorrection = 1;
  double mCapacity = 0;
  bool mLimited = false;
  bool mStarted = false;
  Millis mStartedAt;
  Millis mUpdatedAt;
  /** When there last was a reason to limit. */
  Millis mContendedAt;
};

} // namespace trefoilarch
