#include "httpclient.h"

#include <ulfius.h>

#include <algorithm>
#include <mutex>

namespace trefoilio {

namespace {

/** Owns an ulfius structure and its contents. */
template<typename T, int (*Init)(T*), int (*Clean)(T*)>
class Owned
{
public:
  Owned() { Init(&mValue); }
  ~Owned() { Clean(&mValue); }
  Owned(const Owned&) = delete;
  Owned& operator=(const Owned&) = delete;
  T* operator&() { return &mValue; }

private:
  T mValue{};
};

using OwnedRequest =
  Owned<_u_request, ulfius_init_request, ulfius_clean_request>;
using OwnedResponse =
  Owned<_u_response, ulfius_init_response, ulfius_clean_response>;

void
InitializeUlfius()
{
  static std::once_flag sDone;
  std::call_once(sDone, [] { ulfius_global_init(); });
}

/** ulfius timeouts are in seconds, and 0 means no limit. */
unsigned long
RoundUpToSeconds(trefoilarch::Millis aDuration)
{
  const int64_t millis = std::max<int64_t>(aDuration.Count(), 1);
  return static_cast<unsigned long>((millis + 999) / 1000);
}

void
FillRequest(_u_request& aTo,
            const HttpRequest& aFrom,
            trefoilarch::Millis aTimeout)
{
  ulfius_set_request_properties(&aTo,
                                U_OPT_HTTP_VERB,
                                aFrom.mMethod.c_str(),
                                U_OPT_HTTP_URL,
                                aFrom.mTarget.c_str(),
                                U_OPT_HTTP_PROXY,
                                "",
                                U_OPT_FOLLOW_REDIRECT,
                                0,
                                U_OPT_TIMEOUT,
                                RoundUpToSeconds(aTimeout),
                                U_OPT_NONE);
  for (const auto& [name, value] : aFrom.mHeaders) {
    if (SafeHeader(name, value)) {
      u_map_put(aTo.map_header, name.c_str(), value.c_str());
    }
  }
  if (!aFrom.mBody.empty()) {
    ulfius_set_request_properties(&aTo,
                                  U_OPT_BINARY_BODY,
                                  aFrom.mBody.data(),
                                  aFrom.mBody.size(),
                                  U_OPT_NONE);
  }
}

HttpReply
ReadResponse(const _u_response& aResponse)
{
  HttpReply reply;
  reply.mStatus = static_cast<int>(aResponse.status);
  const _u_map& headers = *aResponse.map_header;
  for (int i = 0; i < headers.nb_values; ++i) {
    reply.mHeaders.emplace_back(headers.keys[i],
                                headers.values[i] ? headers.values[i] : "");
  }
  if (aResponse.binary_body_length > 0) {
    reply.mBody.assign(static_cast<const char*>(aResponse.binary_body),
                       aResponse.binary_body_length);
  }
  return reply;
}

} // namespace

std::optional<HttpReply>
SendHttp(const HttpRequest& aRequest, trefoilarch::Millis aTimeout)
{
  InitializeUlfius();
  OwnedRequest request;
  OwnedResponse response;
  FillRequest(*&request, aRequest, aTimeout);
  if (ulfius_send_http_request(&request, &response) != U_OK) {
    return std::nullopt;
  }
  return ReadResponse(*&response);
}

} // namespace trefoilio
