#pragma once

#include "classifier.h"

#include <string>
#include <vector>

namespace trefoilarch {

/**
 * An upstream's labels for selectors: `upstream` and `data_centre`, then the
 * labels set by operators, then its own. Holds references to its arguments.
 */
class UpstreamLabels
{
public:
  UpstreamLabels(const Policy& aPolicy, const UpstreamView& aUpstream);

  /** Null if there is no such label. */
  const std::string* Find(const std::string& aKey) const;
  bool MeetsAll(const std::vector<Requirement>& aRequirements) const;
  /** Whether it has the model and the service that the traffic requests. */
  bool Serves(const Labels& aTraffic) const;
  bool Drained() const { return mSettings != nullptr && mSettings->mDrained; }

private:
  bool MatchesLabel(const Labels& aTraffic, const std::string& aKey) const;

  const UpstreamView& mUpstream;
  const UpstreamSettings* mSettings = nullptr;
};

} // namespace trefoilarch
