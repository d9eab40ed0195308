#include "operatorservice.h"

#include "endpoint.h"

#include "libtrefoilio/kernel.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace trefoilarch {

using trefoilio::HttpReply;
using trefoilio::HttpRequest;

namespace {

constexpr int kNotFound = 404;
constexpr int kBadRequest = 400;
constexpr int kUnavailable = 503;

/** Operators, their tools and health checks. */
constexpr size_t kMaxConnections = 200;

HttpReply
Text(int aStatus, std::string aText)
{
  return HttpReply{ .mStatus = aStatus,
                    .mHeaders = { { "Content-Type", "text/plain" } },
                    .mBody = std::move(aText) };
}

} // namespace

OperatorService::OperatorService(OperatorOptions aOptions,
                                 trefoilio::Metrics& aMetrics)
  : mOptions(std::move(aOptions))
  , mMetrics(aMetrics)
{
}

OperatorService::~OperatorService()
{
  Stop();
}

void
OperatorService::Start(trefoilio::Kernel& aKernel)
{
  mKernel = &aKernel;
  mServer = std::make_unique<trefoilio::HttpServer>(
    trefoilio::HttpServerOptions{ .mAddress = mOptions.mAddress,
                                  .mPort = mOptions.mPort,
                                  .mMaxConnections = kMaxConnections },
    [this](const HttpRequest& aHttp) { return Handle(aHttp); },
    [](trefoilio::BadInput) { return Text(kBadRequest, "bad input\n"); });
}

void
OperatorService::Stop()
{
  mServer.reset();
}

std::string
OperatorService::DumpState() const
{
  return nlohmann::json{
    { "role", mOptions.mRole }, { "name", mOptions.mName }
  }.dump();
}

std::string
OperatorService::Address() const
{
  return Endpoint{ mOptions.mAddress, mServer->Port() }.Text();
}

HttpReply
OperatorService::Handle(const HttpRequest& aHttp)
{
  const std::string path = aHttp.mTarget.substr(0, aHttp.mTarget.find('?'));
  if (path == "/healthz") {
    return Text(200, "ok\n");
  }
  if (path == "/readyz") {
    return Ready();
  }
  if (path == "/metrics") {
    return Text(200, mMetrics.Text());
  }
  if (path == "/state") {
    return State();
  }
  for (const auto& [prefix, handler] : mOptions.mPaths) {
    if (path.rfind(prefix, 0) == 0) {
      return handler(aHttp);
    }
  }
  return Text(kNotFound, "no such path\n");
}

HttpReply
OperatorService::State()
{
  return HttpReply{ .mHeaders = { { "Content-Type", "application/json" } },
                    .mBody = mKernel->DumpState() };
}

HttpReply
OperatorService::Ready()
{
  const std::string reason = mOptions.mNotReady();
  return reason.empty() ? Text(200, "ready\n")
                        : Text(kUnavailable, reason + "\n");
}

} // namespace trefoilarch
