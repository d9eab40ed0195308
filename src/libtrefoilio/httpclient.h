#pragma once

#include "httpmessage.h"

#include "../libtrefoilarch/millis.h"

#include <optional>

namespace trefoilio {

/**
 * Sends a request through the ulfius client and waits for the whole answer;
 * empty where there was none in time. mTarget is the whole URL.
 */
std::optional<HttpReply>
SendHttp(const HttpRequest& aRequest, trefoilarch::Millis aTimeout);

} // namespace trefoilio
