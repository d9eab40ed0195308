#pragma once

#include "libtrefoilarch/errors.h"
#include "libtrefoilarch/ids.h"
#include "libtrefoilio/httpmessage.h"

#include <string>

namespace trefoilarch {

/** Response header that holds the request's id. */
constexpr const char* kRequestIdHeader = "X-Trefoilarch-Request-Id";

/** Returns a refusal in the OpenAI error format, as JSON text. */
std::string
RefusalJson(const Refusal& aRefusal, const RequestId& aId);

/** Returns the HTTP reply to a refused request. */
trefoilio::HttpReply
RefusalReply(const Refusal& aRefusal, const RequestId& aId);

} // namespace trefoilarch
