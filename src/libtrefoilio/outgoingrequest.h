#pragma once

#include "httpmessage.h"

#include "libtrefoilgate/clientconnection.h"

#include <optional>
#include <string>

namespace trefoilio {

/** A request as it is sent on a connection. */
struct OutgoingRequest
{
  std::string mEndpoint; /**< ADDRESS:PORT */
  trefoilgate::OutgoingCall mCall;
};

/** Returns nothing if the target is not `http://ADDRESS:PORT`, optionally with
 * a path, or if the method or the target can't be sent as they are. Headers
 * that apply to the connection are left out, except a Host of the request's
 * own. */
std::optional<OutgoingRequest>
MakeOutgoing(HttpRequest aRequest);

/** The answer's end-to-end headers, the one that frames its body, and whether
 * its connection closes. One without a body and a length counts as chunked. */
HttpHeaders
HeadersOf(const trefoilgate::UpstreamAnswer& aAnswer);

} // namespace trefoilio
