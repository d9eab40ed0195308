#pragma once

#include "trace.h"

#include "../libtrefoilio/httpmessage.h"

#include <map>
#include <string>

namespace trefoilload {

/** Tells a workspace's bearer token; no entry: it has none. */
using Tokens = std::map<std::string, std::string>;

/**
 * The request as a caller sends it to an entry. The mark, in the prompt or in
 * a service's path, makes it unlike every other and names its executions.
 */
trefoilio::HttpRequest
BuildRequest(const TraceRequest& aRequest,
             const std::string& aMark,
             const std::string& aEntry,
             const Tokens& aTokens);

} // namespace trefoilload
