#include "callerservice.h"
#include "claimpeer.h"
#include "claimservice.h"
#include "endpoint.h"
#include "fleetstatus.h"
#include "grpcserverservice.h"
#include "incarnation.h"
#include "membershipservice.h"
#include "operatorservice.h"
#include "policypeer.h"
#include "policyservice.h"
#include "process.h"
#include "routerservice.h"

#include "libtrefoilio/kernel.h"
#include "libtrefoilio/metrics.h"

#include <atomic>
#include <utility>

namespace trefoilarch {

namespace {

using trefoilio::HttpReply;
using trefoilio::HttpRequest;
using trefoilio::Settings;

constexpr size_t kBytesPerMb = 1048576;
constexpr const char* kPolicyName = "policy";
constexpr const char* kMembershipName = "membership";

RouterOptions
RouterOptionsFrom(const Settings& aSettings)
{
  RouterOptions options;
  EntryOptions& core = options.mCore;
  core.mSeed = DrawIncarnation();
  core.mEntry = aSettings.Text("name") + "-" + std::to_string(core.mSeed);
  core.mDataCentre = aSettings.Text("data-centre");
  core.mOfferWidth = aSettings.Integer("offer-width");
  core.mSilenceTimeout = Millis(aSettings.Integer("silence-ms"));
  core.mRetryPercent = static_cast<double>(aSettings.Integer("retry-percent"));
  core.mMaxOpen = aSettings.Integer("most-open");
  return options;
}

CallerOptions
CallerOptionsFrom(const Settings& aSettings)
{
  const Endpoint listen = Endpoint::FromText(aSettings.Text("listen"));
  CallerOptions options;
  options.mHttp.mAddress = listen.mAddress;
  options.mHttp.mPort = listen.mPort;
  options.mHttp.mMaxBodyBytes = aSettings.Integer("most-body-bytes");
  options.mHttp.mMaxHeaderBytes = aSettings.Integer("most-header-bytes");
  options.mHttp.mMaxTotalBytes =
    static_cast<size_t>(aSettings.Integer("most-request-mb")) * kBytesPerMb;
  options.mHttp.mReceiveSeconds = aSettings.Integer("receive-seconds");
  options.mMaxOpen = aSettings.Integer("most-open");
  options.mMaxAnswerBytes =
    static_cast<size_t>(aSettings.Integer("most-answer-mb")) * kBytesPerMb;
  options.mHttp.mMaxConnections = 2 * options.mMaxOpen;
  options.mDataCentre = aSettings.Text("data-centre");
  return options;
}

std::shared_ptr<const PlatformClient>
PlatformFrom(const Settings& aSettings)
{
  return std::make_shared<const PlatformClient>(
    PlatformClientOptions{ .mUrl = aSettings.Text("platform") });
}

/** Returns the sidecars given by the setting `--sidecars`. */
Membership
FixedMembership(const Settings& aSettings)
{
  Membership members;
  for (const auto& [name, address] : aSettings.LabelMap("sidecars")) {
    members.mSidecars.push_back(
      SidecarMember{ .mUpstream = name, .mAddress = address });
  }
  return members;
}

std::vector<SidecarAddress>
Sidecars(const Membership& aMembership)
{
  std::vector<SidecarAddress> sidecars;
  for (const SidecarMember& member : aMembership.mSidecars) {
    sidecars.push_back(SidecarAddress{
      .mUpstream = UpstreamView{ .mName = member.mUpstream,
                                 .mDataCentre = member.mDataCentre },
      .mAddress = member.mAddress,
      .mLeaving = member.mLeaving });
  }
  return sidecars;
}

std::vector<std::string>
PeerAddresses(const Membership& aMembership)
{
  std::vector<std::string> peers;
  for (const EntryMember& member : aMembership.mEntries) {
    if (!member.mLeaving) {
      peers.push_back(member.mAddress);
    }
  }
  return peers;
}

/** The daemon that serves callers. */
class EntryProcess final : public Process
{
public:
  explicit EntryProcess(const Settings& aSettings)
    : mName(aSettings.Text("name"))
    , mPlatform(PlatformFrom(aSettings))
    , mPolicyPeerServer(
        [this](uint64_t aAfter) { return mPolicy->DeltaAfter(aAfter); })
    , mClaimPeerServer([this](RequestId aId) { return mClaims->Report(aId); })
  {
    mPolicy = Add(kPolicyName,
                  std::make_unique<PolicyService>(PolicyServiceOptions{
                    .mPlatform = mPlatform,
                    .mLog = { .mSeed = DrawIncarnation() },
                    .mMetrics = &mMetrics }));
    mRouter = Add(
      RouterService::kName,
      std::make_unique<RouterService>(RouterOptionsFrom(aSettings), mMetrics));
    mMembership = Add(
      kMembershipName,
      std::make_unique<MembershipService>(MembershipOptionsFrom(aSettings)));
    mGrpcServer = Add(
      GrpcServerService::kName,
      std::make_unique<GrpcServerService>(
        aSettings.Text("peer-listen"),
        std::vector<grpc::Service*>{ &mPolicyPeerServer, &mClaimPeerServer }));
    mClaims = Add(ClaimService::kName,
                  std::make_unique<ClaimService>(ClaimServiceOptions{
                    .mPlatform = mPlatform,
                    .mAddress = [this] { return mGrpcServer->Address(); },
                    .mClaims = { .mSeed = DrawIncarnation() },
                    .mMetrics = &mMetrics }));
    CallerOptions callers = CallerOptionsFrom(aSettings);
    callers.mClassifier = [this] { return mPolicy->CurrentClassifier(); };
    mCallers =
      Add(CallerService::kName,
          std::make_unique<CallerService>(std::move(callers), mMetrics));
    mOperators = Add(OperatorService::kName,
                     std::make_unique<OperatorService>(
                       OperatorOptionsFrom(aSettings), mMetrics));
    ConnectServices();
  }

  void Start() override { mKernel.StartAll(); }

  std::vector<std::string> Listening() const override
  {
    return { "entry " + mName + " " + mCallers->Address(),
             "operator " + mName + " " + mOperators->Address(),
             "peer " + mName + " " + mGrpcServer->Address() };
  }

  std::string NotReady() const override
  {
    if (mDraining) {
      return "stopping";
    }
    if (mPolicy->Version() == 0) {
      return mPolicy->IsLoaded() ? "no policy has been set"
                                 : "no policy is known yet";
    }
    if (!mMembership->IsLoaded()) {
      return "no host list is known yet";
    }
    return mRouter->Settled() ? "" : "the sidecars have not answered yet";
  }

  void Drain() override
  {
    mDraining = true;
    mCallers->Drain();
  }

  bool Drained() const override
  {
    return mCallers->OpenRequests() == 0 && mRouter->OpenRequests() == 0;
  }

  void Stop() override { mKernel.StopAll(); }

private:
  template<typename T>
  T* Add(const char* aName, std::unique_ptr<T> aService)
  {
    T* service = aService.get();
    mKernel.Register(aName, std::move(aService));
    return service;
  }

  /** Sets the hooks through which the services notify each other. */
  void ConnectServices()
  {
    mPolicy->Subscribe([this](std::shared_ptr<const Classifier> aClassifier) {
      mRouter->SetClassifier(std::move(aClassifier));
    });
    mRouter->SetVersionHook(
      [this](uint64_t aVersion) { mPolicy->OnRemoteVersion(aVersion); });
    mMembership->Subscribe([this](const Membership& aMembership) {
      mRouter->SetSidecars(Sidecars(aMembership));
      mPolicy->SetPeers(PeerAddresses(aMembership));
    });
    mPolicy->SetUpstreams([this] { return mRouter->Upstreams(); });
  }

  MembershipServiceOptions MembershipOptionsFrom(const Settings& aSettings)
  {
    MembershipServiceOptions options{ .mSeed = DrawIncarnation() };
    options.mEntry = mName;
    options.mSubsetSize = aSettings.Integer("subset-size");
    options.mFixed = FixedMembership(aSettings);
    if (options.mFixed.mSidecars.empty()) {
      options.mPlatform = mPlatform;
    }
    return options;
  }

  OperatorOptions OperatorOptionsFrom(const Settings& aSettings)
  {
    const Endpoint listen =
      Endpoint::FromText(aSettings.Text("operator-listen"));
    OperatorOptions options{ .mAddress = listen.mAddress,
                             .mPort = listen.mPort,
                             .mRole = "entry",
                             .mName = mName,
                             .mNotReady = [this] { return NotReady(); } };
    options.mPaths["/v1/policy"] = [this](const HttpRequest& aHttp) {
      return mPolicy->HandleOperator(aHttp);
    };
    options.mPaths["/v1/status"] = [this](const HttpRequest&) {
      return HttpReply{ .mHeaders = { { "Content-Type", "application/json" } },
                        .mBody = FleetStatus(
                          mRouter->DumpState(),
                          mPolicy->CurrentClassifier()->CurrentPolicy()) };
    };
    return options;
  }

  std::string mName;
  trefoilio::Metrics mMetrics;
  std::shared_ptr<const PlatformClient> mPlatform;
  PolicyPeerServer mPolicyPeerServer;
  ClaimPeerServer mClaimPeerServer;
  trefoilio::Kernel mKernel;
  PolicyService* mPolicy = nullptr;
  RouterService* mRouter = nullptr;
  MembershipService* mMembership = nullptr;
  GrpcServerService* mGrpcServer = nullptr;
  ClaimService* mClaims = nullptr;
  CallerService* mCallers = nullptr;
  OperatorService* mOperators = nullptr;
  std::atomic<bool> mDraining = false;
};

} // namespace

std::unique_ptr<Process>
MakeEntryProcess(const Settings& aSettings)
{
  return std::make_unique<EntryProcess>(aSettings);
}

} // namespace trefoilarch
