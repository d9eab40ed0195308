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
  /** Maximum number of pairs of a request and a crash; the oldest go first. */
  size_t mMaxPairs = 4096;
};

/**
 * Records which requests were running at which crashes, as pairs of a request
 * and an upstream incarnation. A crash that is reported twice counts once, in
 * any order. A complete response to a request voids all its earlier crashes.
 */
class CrashEvidence
{
public:
  explicit CrashEvidence(CrashEvidenceOptions aOptions = {});

  /** Returns true if the pair is new. */
  bool Add(const UpstreamIncarnation& aIncarnation,
           const RequestFingerprint& aRequest,
           Millis aAt);
  /** The request got a complete response at that time. */
  void Clear(const RequestFingerprint& aRequest, Millis aAt);

  /** Number of crashes while it was running. */
  size_t TotalCrashes(const RequestFingerprint& aRequest) const;
  using IsExplanation = std::function<bool(const RequestFingerprint&)>;
  /** Number of these that no other suspect explains. */
  size_t UnexplainedCrashes(const RequestFingerprint& aRequest,
                            const IsExplanation& aIsExplanation) const;
  /** Incarnations that crashed while it was running. */
  std::vector<UpstreamIncarnation> IncarnationsOf(
    const RequestFingerprint& aRequest) const;

  /** Time of the first crash, or 0 if there is none. */
  Millis FirstCrashAt(const RequestFingerprint& aRequest) const;

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

  CrashEvidenceOptions mOptions;
  std::unordered_map<RequestFingerprint, Suspect> mSuspects;
  std::map<UpstreamIncarnation, Crash> mCrashes;
  size_t mPairCount = 0;
};

} // namespace trefoilarch
