#include "grpcserverservice.h"

#include <grpcpp/server.h>
#include <grpcpp/server_builder.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <stdexcept>
#include <utility>

namespace trefoilarch {

namespace {

constexpr int kMostMessageBytes = 64 * 1024 * 1024;
constexpr std::chrono::milliseconds kStopWait{ 500 };

} // namespace

GrpcServerService::GrpcServerService(std::string aListen,
                                     std::vector<grpc::Service*> aServed)
  : mListen(std::move(aListen))
  , mServed(std::move(aServed))
{
}

GrpcServerService::~GrpcServerService()
{
  Stop();
}

void
GrpcServerService::Start(trefoilio::Kernel&)
{
  grpc::ServerBuilder builder;
  builder.AddListeningPort(mListen, grpc::InsecureServerCredentials(), &mPort);
  builder.SetMaxReceiveMessageSize(kMostMessageBytes);
  builder.SetMaxSendMessageSize(kMostMessageBytes);
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  for (grpc::Service* service : mServed) {
    builder.RegisterService(service);
  }
  mServer = builder.BuildAndStart();
  if (!mServer || mPort == 0) {
    throw std::runtime_error("cannot listen on " + mListen);
  }
}

void
GrpcServerService::Stop()
{
  if (mServer) {
    mServer->Shutdown(std::chrono::system_clock::now() + kStopWait);
    mServer->Wait();
    mServer.reset();
  }
}

std::string
GrpcServerService::Address() const
{
  return mListen.substr(0, mListen.rfind(':') + 1) + std::to_string(mPort);
}

std::string
GrpcServerService::DumpState() const
{
  return nlohmann::json{ { "address", Address() } }.dump();
}

} // namespace trefoilarch
