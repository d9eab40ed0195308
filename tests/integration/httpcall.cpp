#include "httpcall.h"

#include "libtrefoilio/httpclient.h"

namespace integration {

using nlohmann::json;

trefoilio::HttpReply
CallHttp(const std::string& aMethod,
         const std::string& aUrl,
         const std::string& aBody,
         const trefoilio::HttpHeaders& aHeaders)
{
  constexpr trefoilarch::Millis kTimeout(30000);
  const auto reply = trefoilio::SendHttp({ .mMethod = aMethod,
                                           .mTarget = aUrl,
                                           .mHeaders = aHeaders,
                                           .mBody = aBody },
                                         kTimeout);
  if (reply) {
    return *reply;
  }
  trefoilio::HttpReply noReply;
  noReply.mStatus = 0;
  return noReply;
}

json
GetJson(const std::string& aUrl)
{
  return json::parse(CallHttp("GET", aUrl).mBody, nullptr, false);
}

json
PostJson(const std::string& aUrl, const json& aBody)
{
  const trefoilio::HttpReply reply = CallHttp(
    "POST", aUrl, aBody.dump(), { { "Content-Type", "application/json" } });
  return { { "status", reply.mStatus },
           { "body", json::parse(reply.mBody, nullptr, false) } };
}

} // namespace integration
