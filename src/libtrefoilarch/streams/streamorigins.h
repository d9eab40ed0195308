#pragma once

#include "streamorigin.h"

#include <map>
#include <optional>
#include <unordered_map>

namespace trefoilarch {

/** The origins of recent streams that an entry knows. */
class StreamOrigins
{
public:
  /** The first origin of a stream stays; a later record of the same one extends
   * its lifetime. */
  void Put(const StreamOriginRecord& aRecord, Millis aNow);
  /** With the remaining lifetime; empty if unknown. */
  std::optional<StreamOriginRecord> Find(StreamKey aStream, Millis aNow) const;
  size_t Size() const { return mOrigins.size(); }

private:
  struct KnownOrigin
  {
    StreamOrigin mOrigin;
    Millis mExpiresAt;
  };

  void Expire(Millis aNow);

  std::unordered_map<StreamKey, KnownOrigin> mOrigins;
  /** By time of expiry; entries whose origin was extended since are stale. */
  std::multimap<Millis, StreamKey> mExpiries;
};

} // namespace trefoilarch
