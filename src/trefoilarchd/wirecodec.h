#pragma once

#include "libtrefoilarch/messages.h"

#include "trefoilarch.pb.h"

#include <optional>

namespace trefoilarch {

/** Converts a typed message to its wire format. */
wire::EntryEnvelope
Encode(const EntryMessage& aMessage);
wire::SidecarEnvelope
Encode(const SidecarMessage& aMessage);

/** Returns nullopt if the envelope holds no message this version knows. */
std::optional<EntryMessage>
Decode(wire::EntryEnvelope aEnvelope);
std::optional<SidecarMessage>
Decode(wire::SidecarEnvelope aEnvelope);

} // namespace trefoilarch
