#include "grpcserverservice.h"

#include <grpcpp/server.h>
#include <grpcpp/server_builder.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <stdexcept>
#include <utility>

namespace trefoilarch {

namespace {

constexpr int kMaxMessageBytes = 64 * 1024 * 1024;
constexpr std::chrono::milliseconds kShutdownTimeout{ 500 };

} // namespace

GrpcServerService::GrpcServerService(std::string aListenAddress,
                                     std::vector<grpc::Service*> aServices)
  : mListenAddress(std::move(aListenAddress))
  , mServices(std::move(aServices))
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
  builder.AddListeningPort(
    mListenAddress, grpc::InsecureServerCredentials(), &mPort);
  builder.SetMaxReceiveMessageSize(kMaxMessageBytes);
  builder.SetMaxSendMessageSize(kMaxMessageBytes);
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  for (grpc::Service* service : mServices) {
    builder.RegisterService(service);
  }
  mServer = builder.BuildAndStart();
  if (!mServer || mPort == 0) {
    throw std::runtime_error("cannot listen on " + mListenAddress);
  }
}

void
GrpcServerService::Stop()
{
  if (mServer) {
    mServer->Shutdown(std::chrono::system_clock::now() + kShutdownTimeout);
    mServer->Wait();
    mServer.reset();
  }
}

std::string
GrpcServerService::Address() const
{
  return mListenAddress.substr(0, mListenAddress.rfind(':') + 1) +
         std::to_string(mPort);
}

std::string
GrpcServerService::DumpState() const
{
  return nlohmann::json{ { "address", Address() } }.dump();
}

} // namespace trefoilarch
