#pragma once

#include "libtrefoilarch/streams/streamorigin.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace trefoilgate {

/** Datagrams between entries about where streams began. */

std::vector<uint8_t>
EncodeStreamRecord(const trefoilarch::StreamOriginRecord& aRecord);
std::vector<uint8_t>
EncodeStreamQuery(trefoilarch::StreamKey aStream);

/** Empty if the bytes are not a record. */
std::optional<trefoilarch::StreamOriginRecord>
DecodeStreamRecord(const std::vector<uint8_t>& aBytes);
/** Empty if the bytes are not a query. */
std::optional<trefoilarch::StreamKey>
DecodeStreamQuery(const std::vector<uint8_t>& aBytes);

} // namespace trefoilgate
