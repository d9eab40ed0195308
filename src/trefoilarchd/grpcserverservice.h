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

/** The port for this system's own processes. */
class GrpcServerService final : public trefoilio::Service
{
public:
  static constexpr const char* kName = "grpc";

  /** aListen is `ADDRESS:PORT`; port 0 takes any free one. */
  GrpcServerService(std::string aListen, std::vector<grpc::Service*> aServed);
  ~GrpcServerService() override;

  /** Throws std::runtime_error where it cannot listen. */
  void Start(trefoilio::Kernel& aKernel) override;
  void Stop() override;
  std::string DumpState() const override;

  /** `ADDRESS:PORT` as bound. */
  std::string Address() const;

private:
  std::string mListen;
  std::vector<grpc::Service*> mServed;
  int mPort = 0;
  std::unique_ptr<grpc::Server> mServer;
};

} // namespace trefoilarch
