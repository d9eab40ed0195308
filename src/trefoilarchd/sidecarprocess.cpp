#include "endpoint.h"
#include "grpcserverservice.h"
#include "incarnation.h"
#include "operatorservice.h"
#include "orderservice.h"
#include "process.h"
#include "upstreamservice.h"

#include "libtrefoilio/kernel.h"
#include "libtrefoilio/metrics.h"

#include <atomic>
#include <utility>

namespace trefoilarch {

namespace {

using trefoilio::HttpReply;
using trefoilio::HttpRequest;
using trefoilio::Settings;

constexpr int kNotFound = 404;

std::string
UpstreamName(const Settings& aSettings)
{
  const std::string name = aSettings.Text("upstream-name");
  return name.empty() ? aSettings.Text("name") : name;
}

UpstreamOptions
UpstreamOptionsFrom(const Settings& aSettings)
{
  UpstreamOptions options;
  options.mUrl = aSettings.Text("upstream-url");
  options.mKey = aSettings.Text("upstream-key");
  SidecarOptions& core = options.mCore;
  core.mUpstream = UpstreamName(aSettings);
  core.mDataCentre = aSettings.Text("data-centre");
  core.mLabels = aSettings.LabelMap("labels");
  core.mIncarnation = DrawIncarnation();
  core.mSeed = core.mIncarnation;
  core.mTokenStream = aSettings.Text("upstream-kind") == "engine";
  core.mQueueLimit = aSettings.Integer("queue-limit");
  core.mMaxRunning = aSettings.Integer("most-running");
  core.mInitialTokenCapacity = aSettings.Integer("first-token-room");
  core.mMaxTokenCapacity = aSettings.Integer("most-token-room");
  core.mOrphanTimeout = Millis(aSettings.Integer("orphan-ms"));
  options.mCalls.mMaxConnections = core.mMaxRunning;
  return options;
}

/** Orders need an engine, and a platform that stores the leases. */
bool
AcceptsOrders(const Settings& aSettings)
{
  return aSettings.Text("upstream-kind") == "engine" &&
         !aSettings.Text("platform").empty();
}

OrderServiceOptions
OrderOptionsFrom(const Settings& aSettings)
{
  const uint64_t incarnation = DrawIncarnation();
  OrderServiceOptions options;
  options.mPlatform = std::make_shared<const PlatformClient>(
    PlatformClientOptions{ .mUrl = aSettings.Text("platform") });
  options.mEngineUrl = aSettings.Text("upstream-url");
  options.mEngineKey = aSettings.Text("upstream-key");
  options.mOrders.mUpstream = UpstreamName(aSettings);
  options.mOrders.mHolder =
    aSettings.Text("name") + "-" + std::to_string(incarnation);
  options.mOrders.mEngineChecksFencing =
    aSettings.Text("engine-fencing") == "refuse";
  options.mOrders.mMaxOrderDuration =
    Millis(aSettings.Integer("longest-order-ms"));
  options.mOrders.mLoadSlots = aSettings.Integer("load-slots");
  options.mOrders.mSeed = incarnation;
  return options;
}

/** The daemon that runs next to an upstream. */
class SidecarProcess final : public Process
{
public:
  explicit SidecarProcess(const Settings& aSettings)
    : mName(aSettings.Text("name"))
  {
    auto upstream = std::make_unique<UpstreamService>(
      UpstreamOptionsFrom(aSettings), mMetrics);
    mUpstream = upstream.get();
    auto grpc = std::make_unique<GrpcServerService>(
      aSettings.Text("listen"),
      std::vector<grpc::Service*>{ &mUpstream->WireService() });
    mGrpcServer = grpc.get();
    auto operators = std::make_unique<OperatorService>(
      OperatorOptionsFrom(aSettings), mMetrics);
    mOperators = operators.get();
    mKernel.Register(OperatorService::kName, std::move(operators));
    if (AcceptsOrders(aSettings)) {
      auto orders = std::make_unique<OrderService>(OrderOptionsFrom(aSettings));
      mOrders = orders.get();
      mKernel.Register(OrderService::kName, std::move(orders));
    }
    mKernel.Register(UpstreamService::kName, std::move(upstream));
    mKernel.Register(GrpcServerService::kName, std::move(grpc));
  }

  void Start() override { mKernel.StartAll(); }

  std::vector<std::string> Listening() const override
  {
    return { "sidecar " + mName + " " + mGrpcServer->Address(),
             "operator " + mName + " " + mOperators->Address() };
  }

  std::string NotReady() const override { return mDraining ? "draining" : ""; }

  void Drain() override
  {
    mDraining = true;
    mUpstream->Drain();
  }

  bool Drained() const override { return mUpstream->Idle(); }

  void Stop() override { mKernel.StopAll(); }

private:
  OperatorOptions OperatorOptionsFrom(const Settings& aSettings)
  {
    const Endpoint listen =
      Endpoint::FromText(aSettings.Text("operator-listen"));
    OperatorOptions options{ .mAddress = listen.mAddress,
                             .mPort = listen.mPort,
                             .mRole = "sidecar",
                             .mName = mName,
                             .mNotReady = [this] { return NotReady(); } };
    options.mPaths["/drain"] = [this](const HttpRequest&) {
      mDraining = true;
      mUpstream->Drain();
      return HttpReply{ .mBody = "draining\n" };
    };
    options.mPaths["/v1/orders"] = [this](const HttpRequest& aHttp) {
      return mOrders ? mOrders->HandleOperator(aHttp)
                     : HttpReply{ .mStatus = kNotFound,
                                  .mBody = "no engine takes orders here\n" };
    };
    options.mPaths["/undrain"] = [this](const HttpRequest&) {
      mDraining = false;
      mUpstream->Undrain();
      return HttpReply{ .mBody = "undrained\n" };
    };
    return options;
  }

  std::string mName;
  trefoilio::Metrics mMetrics;
  trefoilio::Kernel mKernel;
  UpstreamService* mUpstream = nullptr;
  GrpcServerService* mGrpcServer = nullptr;
  OperatorService* mOperators = nullptr;
  OrderService* mOrders = nullptr; /**< null without engine or platform */
  std::atomic<bool> mDraining = false;
};

} // namespace

std::unique_ptr<Process>
MakeSidecarProcess(const Settings& aSettings)
{
  return std::make_unique<SidecarProcess>(aSettings);
}

} // namespace trefoilarch
