#pragma once

#include "millis.h"
#include "requestfingerprint.h"
#include "upstreamincarnation.h"

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace trefoilarch {

/** Limits of the stored evidence. */
struct CrashEvidenceOptions
{
  /** How long a crash counts. */
  Millis mRetention{ 3600000 };
  /** Maximum number of pairs of a feature and a crash. Features at only one
   * crash go first, then the oldest crashes. */
  size_t mMaxPairs = 16384;
};

/**
 * Records which requests and prompt segments were running at which crashes, as
 * pairs of a feature and an upstream incarnation. A crash that is reported
 * twice counts once, in any order. A complete response voids all earlier
 * crashes of the request's features.
 */
class CrashEvidence
{
public:
  explicit CrashEvidence(CrashEvidenceOptions aOptions = {});

  /** Returns true if the pair is new. */
  bool Add(const UpstreamIncarnation& aIncarnation,
           const RequestFingerprint& aFeature,
           Millis aAt);
  /** A request with it got a complete response at that time. */
  void Clear(const RequestFingerprint& aFeature, Millis aAt);

  /** Number of crashes while it was running. */
  size_t TotalCrashes(const RequestFingerprint& aFeature) const;
  using IsExplanation = std::function<bool(const RequestFingerprint&)>;
  /** Number of these that no other suspect explains. Crashes with less than
   * aSpacing between them count as one. */
  size_t UnexplainedCrashes(const RequestFingerprint& aFeature,
                            const IsExplanation& aIsExplanation,
                            Millis aSpacing = Millis(0)) const;
  using IsCompanion = std::function<bool(const RequestFingerprint&)>;
  /** Whether such a feature was at one of its crashes. */
  bool HasCompanion(const RequestFingerprint& aFeature,
                    const IsCompanion& aIsCompanion) const;
  /** Its crashes and their times. */
  std::map<UpstreamIncarnation, Millis> CrashesOf(
    const RequestFingerprint& aFeature) const;
  /** Incarnations that crashed while it was running. */
  std::vector<UpstreamIncarnation> IncarnationsOf(
    const RequestFingerprint& aFeature) const;

  /** Time of the first crash, or 0 if there is none. */
  Millis FirstCrashAt(const RequestFingerprint& aFeature) const;

  /** Time since which it was at aCount crashes, with aSpacing between them; of
   * the first crash if there are fewer, or 0 if there is none. */
  Millis SinceLast(const RequestFingerprint& aFeature,
                   size_t aCount,
                   Millis aSpacing) const;

  void Expire(Millis aNow);

private:
  struct Suspect
  {
    std::map<UpstreamIncarnation, Millis> mCrashes;
    /** Reports of crashes up to this time are ignored. */
    Millis mClearedAt;
  };
  struct Crash
  {
    std::set<RequestFingerprint> mSuspects;
    Millis mCrashedAt;
  };

  void RemoveCrash(const UpstreamIncarnation& aIncarnation);
  void RemoveOldestCrash();
  /** Removes the features that were at no other crash from the oldest crashes,
   * until the number of pairs is within its limit. */
  void RemoveSingles();

  CrashEvidenceOptions mOptions;
  std::unordered_map<RequestFingerprint, Suspect> mSuspects;
  std::map<UpstreamIncarnation, Crash> mCrashes;
  size_t mPairCount = 0;
};

} // namespace trefoilarch
