#pragma once

#include "libtrefoilarch/millis.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace trefoilarch {

/** Identifies a stream: the hash of the id of the request that brought its
 * first event. */
using StreamKey = uint64_t;

/** The key of streams of requests without an id, which are never known. */
constexpr StreamKey kNoStream = 0;

StreamKey
StreamKeyOf(std::string_view aRequestId);

/** Where a stream began. It may continue only at an upstream of the same
 * service that runs the same software version. */
struct StreamOrigin
{
  std::string mService;
  /** Empty if the upstream names no version. */
  std::string mVersion;

  bool operator==(const StreamOrigin&) const = default;
};

/** The origin of a stream, as entries tell it to each other. */
struct StreamOriginRecord
{
  StreamKey mStream = 0;
  StreamOrigin mOrigin;
  /** How much longer the stream may be continued. */
  Millis mLifetime;

  bool operator==(const StreamOriginRecord&) const = default;
};

/** A record and the entry that is to keep it. */
struct AddressedStreamRecord
{
  std::string mTo;
  StreamOriginRecord mRecord;
};

/** A query for a stream's origin and the entry that may know it. */
struct AddressedStreamQuery
{
  std::string mTo;
  StreamKey mStream = 0;
};

} // namespace trefoilarch
