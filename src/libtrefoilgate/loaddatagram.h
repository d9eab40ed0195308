#pragma once

#include "libtrefoilarch/loadupdate.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace trefoilgate {

/** Maximum size of a load update, so that it is never fragmented. */
constexpr size_t kMaxLoadDatagramBytes = 1200;

/** Maximum numbers of elements in one load update. */
constexpr size_t kMaxPerformanceReports = 24;
constexpr size_t kMaxMemoryReports = 24;
constexpr size_t kMaxWorkspaceDemands = 16;

/**
 * Encodes an update as one datagram: MessagePack, arrays without names. Leaves
 * out reports that the decoder would reject. While the datagram is too long,
 * the last report of the longest list is left out. Empty if the sender's name
 * is invalid.
 */
std::vector<uint8_t>
EncodeLoadUpdate(const trefoilarch::LoadUpdate& aUpdate);

/** Decodes the output of EncodeLoadUpdate(); empty for any other bytes. */
std::optional<trefoilarch::LoadUpdate>
DecodeLoadUpdate(const std::vector<uint8_t>& aBytes);

} // namespace trefoilgate
