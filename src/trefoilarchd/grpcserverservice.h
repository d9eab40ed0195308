#pragma once

#include "libtrefoilio/service.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace grpc {
class Server;
class Service;
} // namespace grpc

namespace trefoilarch {

/** A gRPC server for other processes of this system. */
class GrpcServerService final : public trefoilio::Service
{
public:
  static constexpr const char* kName = "grpc";

  /** aListenAddress is `ADDRESS:PORT`; port 0 selects a free one. */
  GrpcServerService(std::string aListenAddress,
                    std::vector<grpc::Service*> aServices);
  ~GrpcServerService() override;

  /** Throws std::runtime_error if it cannot listen. */
  void Start(trefoilio::Kernel& aKernel) override;
  void Stop() override;
  std::string DumpState() const override;

  /** Returns the bound `ADDRESS:PORT`. */
  std::string Address() const;

private:
  std::string mListenAddress;
  std::vector<grpc::Service*> mServices;
  int mPort = 0;
  std::unique_ptr<grpc::Server> mServer;
};

} // namespace trefoilarch
