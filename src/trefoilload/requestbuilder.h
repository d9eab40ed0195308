#pragma once

#include "trace.h"

#include "../libtrefoilio/httpmessage.h"

#include <map>
#include <string>

namespace trefoilload {

/** Tells a workspace's bearer token; no entry: it has none. */
using Tokens = std::map<std::string, std::string>;

/** The path at an entry that the request goes to. */
std::string
PathOf(const TraceRequest& aRequest);

/**
 * The request as a caller sends it to an entry. The number makes its prompt
 * unlike every other's; the run's name makes it unlike other runs'.
 */
trefoilio::HttpRequest
BuildRequest(const TraceRequest& aRequest,
             size_t aNumber,
             const std::string& aRun,
             const std::string& aEntry,
             const Tokens& aTokens);

} // namespace trefoilload
