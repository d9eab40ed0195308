#pragma once

#include "libtrefoilio/httpmessage.h"

#include <nlohmann/json.hpp>
#include <string>

namespace integration {

/** Sends and waits; status 0 where there was no answer. */
trefoilio::HttpReply
CallHttp(const std::string& aMethod,
         const std::string& aUrl,
         const std::string& aBody = "",
         const trefoilio::HttpHeaders& aHeaders = {});

/** The answer of a GET as JSON; null where it is none. */
nlohmann::json
GetJson(const std::string& aUrl);

/** POSTs JSON; the answer with its status, `{"status":N,"body":...}`. */
nlohmann::json
PostJson(const std::string& aUrl, const nlohmann::json& aBody);

} // namespace integration
