#pragma once

#include "libtrefoilarch/errors.h"
#include "libtrefoilarch/ids.h"
#include "libtrefoilio/httpmessage.h"

#include <string>

namespace trefoilarch {

/** Names the request on every answer. */
constexpr const char* kRequestIdHeader = "X-Trefoilarch-Request-Id";

/** A refusal in the OpenAI error form, as JSON text. */
std::string
RefusalJson(const Refusal& aRefusal, const RequestId& aId);

/** The whole HTTP answer to a refused request. */
trefoilio::HttpReply
RefusalReply(const Refusal& aRefusal, const RequestId& aId);

} // namespace trefoilarch
