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

/** What an OperatorService answers with. */
struct OperatorOptions
{
  std::string mAddress = "127.0.0.1";
  uint16_t mPort = 0;
  std::string mRole;
  std::string mName;
  /** Empty where the process is ready, else the reason why not. */
  std::function<std::string()> mNotReady;
  /** Further paths by their beginning, the longest first. */
  std::map<std::string,
           std::function<trefoilio::HttpReply(const trefoilio::HttpRequest&)>,
           std::greater<>>
    mPaths;
};

/** The operators' HTTP port: health, metrics, the state dump, and more. */
class OperatorService final : public trefoilio::Service
{
public:
  static constexpr const char* kName = "operator";

  OperatorService(OperatorOptions aOptions, trefoilio::Metrics& aMetrics);
  ~OperatorService() override;

  void Start(trefoilio::Kernel& aKernel) override;
  void Stop() override;
  std::string DumpState() const override;

  /** `ADDRESS:PORT` as bound. */
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
