#pragma once

#include "libtrefoilio/httpmessage.h"

#include <nlohmann/json.hpp>
#include <string>

namespace integration {

/** Sends a request and waits for the reply; status 0 without one. */
trefoilio::HttpReply
CallHttp(const std::string& aMethod,
         const std::string& aUrl,
         const std::string& aBody = "",
         const trefoilio::HttpHeaders& aHeaders = {});

/** Returns the JSON reply to a GET; a discarded value if it is not JSON. */
nlohmann::json
GetJson(const std::string& aUrl);

/** POSTs JSON; returns status and body as `{"status":N,"body":...}`. */
nlohmann::json
PostJson(const std::string& aUrl, const nlohmann::json& aBody);

} // namespace integration
