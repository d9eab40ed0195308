#pragma once

#include "libtrefoilio/httpmessage.h"

namespace trefoilarch {

class PolicyService;

/** Handles the operator paths under /v1/policy for a PolicyService. */
trefoilio::HttpReply
HandlePolicyHttp(PolicyService& aService,
                 const trefoilio::HttpRequest& aRequest);

} // namespace trefoilarch
