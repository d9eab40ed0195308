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

/** How much is remembered. */
struct CrashEvidenceOptions
{
  /** A crash counts for so long. */
  Millis mRetention{ 3600000 };
  /** Pairs of request and crash; the oldest go first. */
  size_t mMaxPairs = 4096;
};

/**
 * Which requests were at which crashes. It is a set of pairs of a request and
 * one start of an upstream, so that the same crash told twice counts once, in
 * any order. A whole answer to a request voids all crashes that it was at
 * before.
 */
class CrashEvidence
{
public:
  explicit CrashEvidence(CrashEvidenceOptions aOptions = {});

  /** True where that was not known. */
  bool Add(const UpstreamIncarnation& aStart,
           const RequestFingerprint& aRequest,
           Millis aAt);
  /** The request got a whole answer at that instant. */
  void Clear(const RequestFingerprint& aRequest, Millis aAt);

  /** Crashes that the request was at. */
  size_t TotalCrashes(const RequestFingerprint& aRequest) const;
  using IsExplanation = std::function<bool(const RequestFingerprint&)>;
  /** Those at which no other request was that explains them. */
  size_t UnexplainedCrashes(const RequestFingerprint& aRequest,
                            const IsExplanation& aExplains) const;
  /** The upstreams that crashed while the request was there. */
  std::vector<UpstreamIncarnation> IncarnationsOf(
    const RequestFingerprint& aRequest) const;

  /** The first of them all; 0 for none. */
  Millis FirstCrashAt(const RequestFingerprint& aRequest) const;

  void Expire(Millis aNow);

private:
  struct Suspect
  {
    std::map<UpstreamIncarnation, Millis> mCrashes;
    /** What is told later of crashes before that is void. */
    Millis mClearedAt;
  };
  struct Crash
  {
    std::set<RequestFingerprint> mSuspects;
    Millis mAt;
  };

  void Drop(const UpstreamIncarnation& aStart);
  void DropOldest();

  CrashEvidenceOptions mOptions;
  std::unordered_map<RequestFingerprint, Suspect> mSuspects;
  std::map<UpstreamIncarnation, Crash> mCrashes;
  size_t mPairs = 0;
};

} // namespace trefoilarch
