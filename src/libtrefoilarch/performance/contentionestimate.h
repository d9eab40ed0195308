#pragma once

#include "../millis.h"

#include <optional>

namespace trefoilarch {

/** A contention that an upstream stated. */
struct StatedContention
{
  double mFactor = 1;
  Millis mAt;

  bool operator==(const StatedContention&) const = default;
};

/**
 * An upstream's contention, from what it stated to this entry and to others.
 * The newest statement loses weight within some hundred milliseconds, since
 * contention changes many times a second. The estimate then approaches the
 * recent mean, and 1 without recent statements.
 */
class ContentionEstimate
{
public:
  /** What others heard expires after this time. */
  static constexpr Millis kHeardLifetime{ 10000 };

  void AddOwn(double aFactor, Millis aAt);
  /** A statement to another entry at aAt. One that isn't newer than the last
   * is ignored. */
  void AddHeard(double aFactor, Millis aAt);

  double Factor(Millis aNow) const;
  /** How well Factor() is known, from 0 to 1: the weight of the newest
   * statement, or 0 without one. */
  double Certainty(Millis aNow) const;
  /** The last statement to this entry. */
  const std::optional<StatedContention>& Own() const { return mOwn; }

private:
  /** A mean with weights that decay with time. */
  struct RecentMean
  {
    double mSum = 0;
    double mWeight = 0;
    Millis mAt;

    void Add(double aFactor, Millis aAt);
    double Decay(Millis aNow) const;
  };

  double Mean(Millis aNow) const;
  /** The statement of another entry, unless it has expired. */
  std::optional<StatedContention> Heard(Millis aNow) const;
  std::optional<StatedContention> Newest(Millis aNow) const;

  std::optional<StatedContention> mOwn;
  std::optional<StatedContention> mHeard;
  RecentMean mOwnMean;
  RecentMean mHeardMean;
};

} // namespace trefoilarch
