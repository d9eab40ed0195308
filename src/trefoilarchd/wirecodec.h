#pragma once

#include "libtrefoilarch/messages.h"

#include "trefoilarch.pb.h"

#include <optional>

namespace trefoilarch {

/** The typed message as it goes over the wire. */
wire::EntryEnvelope
Encode(const EntryMessage& aMessage);
wire::SidecarEnvelope
Encode(const SidecarMessage& aMessage);

/** Empty where the envelope holds no message that this version knows. */
std::optional<EntryMessage>
Decode(wire::EntryEnvelope aEnvelope);
std::optional<SidecarMessage>
Decode(wire::SidecarEnvelope aEnvelope);

} // namespace trefoilarch
