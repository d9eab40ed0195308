#include "platformclient.h"

#include "libtrefoilio/httpserver.h"

#include <criterion/criterion.h>

using namespace trefoilarch;
using trefoilio::HttpReply;
using trefoilio::HttpRequest;

namespace {

constexpr const char* kTwoHosts =
  R"([{"targets":["127.0.0.1:1"],"labels":{"role":"sidecar","upstream":"a"}},)"
  R"({"targets":["127.0.0.1:2"],"labels":{"role":"entry","host":"b"}}])";

/** Serves a host list, with a tag unless aTag is empty. */
HttpReply
HostListReply(const HttpRequest& aRequest, const std::string& aTag)
{
  HttpReply reply;
  if (aTag.empty()) {
    reply.mBody = kTwoHosts;
    return reply;
  }
  reply.mHeaders = { { "ETag", aTag } };
  if (trefoilio::FindHeader(aRequest.mHeaders, "If-None-Match") == aTag) {
    reply.mStatus = 304;
  } else {
    reply.mBody = kTwoHosts;
  }
  return reply;
}

struct Platform
{
  explicit Platform(std::string aTag)
    : mTag(std::move(aTag))
    , mServer(
        {},
        [this](const HttpRequest& aRequest) {
          return HostListReply(aRequest, mTag);
        },
        [](trefoilio::BadInput) { return HttpReply{ .mStatus = 400 }; })
    , mClient({ .mUrl = "http://127.0.0.1:" + std::to_string(mServer.Port()) })
  {
  }

  std::string mTag;
  trefoilio::HttpServer mServer;
  PlatformClient mClient;
};

} // namespace

Test(hostlist, with_a_tag_is_sent_once)
{
  Platform platform("\"7\"");
  const auto first = platform.mClient.ReadHosts();
  cr_assert(first && first->mMembership && first->mBytes > 0);
  cr_assert(first->mMembership->mSidecars.size() == 1);
  cr_assert(first->mTag == "\"7\"");
  const auto second = platform.mClient.ReadHosts(first->mTag);
  cr_assert(second, "nothing read");
  cr_assert(!second->mMembership, "sent again, tag %s", second->mTag.c_str());
  cr_assert(second->mBytes == 0);
  cr_assert(second->mTag == first->mTag);
  platform.mTag = "\"8\"";
  const auto third = platform.mClient.ReadHosts(second->mTag);
  cr_assert(third && third->mMembership == first->mMembership);
}

Test(hostlist, without_a_tag_is_sent_in_full_each_time)
{
  Platform platform("");
  for (int i = 0; i < 2; ++i) {
    const auto read = platform.mClient.ReadHosts("\"old\"");
    cr_assert(read && read->mMembership && read->mTag.empty());
  }
}
