#pragma once

#include "httpmessage.h"

#include "../libtrefoilarch/millis.h"

#include <cstddef>
#include <optional>

namespace trefoilio {

/** Bytes of a reply's body; enough for every reply of the platform. */
constexpr size_t kMaxReplyBytes = 67108864;

/**
 * Sends a request on a connection of its own and waits for the complete
 * response; returns nothing on failure, on timeout or if the body is too long.
 * mTarget is the full URL.
 */
std::optional<HttpReply>
SendHttp(const HttpRequest& aRequest,
         trefoilarch::Millis aTimeout,
         size_t aMaxBytes = kMaxReplyBytes);

} // namespace trefoilio
