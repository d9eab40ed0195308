#pragma once

#include "classifier.h"

#include <string>
#include <vector>

namespace trefoilarch {

/**
 * An upstream's labels as selectors see them: `upstream` and `data_centre`,
 * then what operators have set, then its own. Refers to its arguments.
 */
class UpstreamLabels
{
public:
  UpstreamLabels(const Policy& aPolicy, const UpstreamView& aUpstream);

  /** Null where there is no such label. */
  const std::string* Find(const std::string& aKey) const;
  bool MeetsAll(const std::vector<Requirement>& aAll) const;
  /** Whether it has the model and the service that the traffic asks for. */
  bool Serves(const Labels& aTraffic) const;
  bool Drained() const { return mSettings != nullptr && mSettings->mDrained; }

private:
  bool ServesOne(const Labels& aTraffic, const std::string& aKey) const;

  const UpstreamView& mUpstream;
  const UpstreamSettings* mSettings = nullptr;
};

} // namespace trefoilarch
