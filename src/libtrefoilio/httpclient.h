#pragma once

#include "httpmessage.h"

#include "../libtrefoilarch/millis.h"

#include <optional>

namespace trefoilio {

/**
 * Sends a request with the ulfius client and waits for the complete response;
 * returns nothing on failure or timeout. mTarget is the full URL.
 */
std::optional<HttpReply>
SendHttp(const HttpRequest& aRequest, trefoilarch::Millis aTimeout);

} // namespace trefoilio
