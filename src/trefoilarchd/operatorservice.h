#pragma once

#include "libtrefoilio/httpserver.h"
#include "libtrefoilio/metrics.h"
#include "libtrefoilio/service.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace trefoilarch {

struct OperatorOptions
{
  std::string mAddress = "127.0.0.1";
  uint16_t mPort = 0;
  std::string mRole;
  std::string mName;
  /** Returns the reason why the process is not ready, or "". */
  std::function<std::string()> mNotReady;
  /** Handlers of further paths by path prefix, longest first. */
  std::map<std::string,
           std::function<trefoilio::HttpReply(const trefoilio::HttpRequest&)>,
           std::greater<>>
    mPaths;
};

/** Serves the operators' HTTP port: health, metrics, state dump and more. */
class OperatorService final : public trefoilio::Service
{
public:
  static constexpr const char* kName = "operator";

  OperatorService(OperatorOptions aOptions, trefoilio::Metrics& aMetrics);
  ~OperatorService() override;

  void Start(trefoilio::Kernel& aKernel) override;
  void Stop() override;
  std::string DumpState() const override;

  /** Returns the bound `ADDRESS:PORT`. */
  std::string Address() const;

private:
  trefoilio::HttpReply Handle(const trefoilio::HttpRequest& aHttp);
  trefoilio::HttpReply State();
  trefoilio::HttpReply Ready();

  OperatorOptions mOptions;
  trefoilio::Metrics& mMetrics;
  const trefoilio::Kernel* mKernel = nullptr;
  std::unique_ptr<trefoilio::HttpServer> mServer;
};

} // namespace trefoilarch
