#pragma once

#include "trace.h"

#include "../libtrefoilio/httpmessage.h"

#include <map>
#include <string>

namespace trefoilload {

/** Bearer tokens by workspace; a workspace without an entry has none. */
using Tokens = std::map<std::string, std::string>;

/**
 * Builds the request that a caller sends to an entry. The mark, in the prompt
 * or the service path, makes it unique and identifies its executions.
 */
trefoilio::HttpRequest
BuildRequest(const TraceRequest& aRequest,
             const std::string& aMark,
             const std::string& aEntry,
             const Tokens& aTokens);

} // namespace trefoilload
