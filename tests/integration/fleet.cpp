#include "fleet.h"

#include "await.h"
#include "httpcall.h"

#include "trefoilload/requestbuilder.h"

#include <fstream>
#include <stdexcept>

namespace integration {

using nlohmann::json;
using trefoilload::TraceRequest;

namespace {

std::vector<std::string>
Concatenate(std::vector<std::string> aItems,
            const std::vector<std::string>& aAdded)
{
  aItems.insert(aItems.end(), aAdded.begin(), aAdded.end());
  return aItems;
}

json
HostEntry(const std::string& aTarget,
          const std::string& aRole,
          const std::string& aHost,
          const std::string& aUpstream,
          const std::string& aState)
{
  json labels = { { "role", aRole },
                  { "host", aHost },
                  { "data_centre", "riga-1" },
                  { "state", aState } };
  if (!aUpstream.empty()) {
    labels["upstream"] = aUpstream;
  }
  return { { "targets", { aTarget } }, { "labels", labels } };
}

} // namespace

Proxy::Proxy(const std::string& aTarget)
  : mProcess("trefoilarch-faultproxy", { "--to", aTarget })
  , mAddress(mProcess.Address("faultproxy"))
  , mControl("http://" + mProcess.Address("control") + "/control")
{
}

json
Proxy::Order(const json& aOrder) const
{
  return PostJson(mControl, aOrder)["body"];
}

json
Proxy::Counts() const
{
  return GetJson(mControl);
}

std::string
UpstreamHost::UpstreamUrl() const
{
  return "http://" + mUpstream->Address(mEngine ? "engine" : "service");
}

std::string
UpstreamHost::OperatorUrl() const
{
  return "http://" + mSidecar->Address("operator");
}

std::string
UpstreamHost::ChannelAddress() const
{
  return mChannelProxy ? mChannelProxy->Address()
                       : mSidecar->Address("sidecar");
}

void
UpstreamHost::Control(const json& aOrder) const
{
  const std::string path = mEngine ? "/control" : "/_control/set";
  PostJson(UpstreamUrl() + path, aOrder);
}

Fleet::Fleet(FleetOptions aOptions)
  : mOptions(std::move(aOptions))
  , mPlatform(std::make_unique<ChildProcess>("trefoilarch-platform",
                                             std::vector<std::string>{}))
  , mRunner(
      std::make_unique<trefoilio::CallRunner>(trefoilio::CallRunnerOptions{}))
{
  if (mOptions.mProxyPlatform) {
    mPlatformProxy = std::make_unique<Proxy>(mPlatform->Address("platform"));
  }
  for (size_t i = 0; i < mOptions.mEngines; ++i) {
    AddUpstream(i, true);
  }
  for (size_t i = 0; i < mOptions.mServices; ++i) {
    AddUpstream(i, false);
  }
  for (size_t i = 0; i < mOptions.mEntries; ++i) {
    mEntries.push_back(MakeEntry(i));
  }
  PublishHosts();
  const json changed = ChangePolicy(json::array(
    { { { "op", "replace_policy" }, { "policy", TestPolicy() } } }));
  if (changed["status"] != 200) {
    throw std::runtime_error("policy not set: " + changed.dump());
  }
  for (size_t i = 0; i < mEntries.size(); ++i) {
    if (!AwaitReady(i)) {
      throw std::runtime_error("an entry is not ready");
    }
  }
}

void
Fleet::AddUpstream(size_t aNumber, bool aEngine)
{
  auto host = std::make_unique<UpstreamHost>();
  host->mEngine = aEngine;
  host->mName =
    (aEngine ? "engine-" : "booking-") + std::to_string(aNumber + 1);
  host->mRecordFile = mFolder.Path() + "/" + host->mName;
  host->mUpstream = MakeUpstream(*host, "127.0.0.1:0");
  if (mOptions.mProxyUpstreams) {
    const std::string url = host->UpstreamUrl();
    host->mUpstreamProxy =
      std::make_unique<Proxy>(url.substr(std::string("http://").size()));
  }
  host->mSidecar = MakeSidecar(*host);
  if (mOptions.mProxyChannels) {
    host->mChannelProxy =
      std::make_unique<Proxy>(host->mSidecar->Address("sidecar"));
  }
  mUpstreams.push_back(std::move(host));
}

std::unique_ptr<ChildProcess>
Fleet::MakeUpstream(const UpstreamHost& aHost, const std::string& aListen) const
{
  const std::vector<std::string> flags = { "--name",   aHost.mName,
                                           "--listen", aListen,
                                           "--record", aHost.mRecordFile };
  return std::make_unique<ChildProcess>(
    aHost.mEngine ? "trefoilarch-engine" : "trefoilarch-service",
    aHost.mEngine ? Concatenate(flags, mOptions.mEngineFlags) : flags);
}

void
Fleet::RestartUpstream(size_t aUpstream)
{
  UpstreamHost& host = *mUpstreams[aUpstream];
  const std::string address =
    host.mUpstream->Address(host.mEngine ? "engine" : "service");
  host.mUpstream.reset();
  host.mUpstream = MakeUpstream(host, address);
  host.UpstreamUrl();
}

std::unique_ptr<ChildProcess>
Fleet::MakeSidecar(const UpstreamHost& aHost) const
{
  const std::string upstream = aHost.mUpstreamProxy
                                 ? "http://" + aHost.mUpstreamProxy->Address()
                                 : aHost.UpstreamUrl();
  return std::make_unique<ChildProcess>(
    "trefoilarchd",
    Concatenate({ "--role",
                  "sidecar",
                  "--name",
                  "sidecar-" + aHost.mName,
                  "--data-centre",
                  "riga-1",
                  "--platform",
                  PlatformUrlForDaemons(),
                  "--upstream-name",
                  aHost.mName,
                  "--upstream-url",
                  upstream,
                  "--upstream-kind",
                  aHost.mEngine ? "engine" : "service",
                  "--labels",
                  aHost.mEngine ? "model=base" : "service=booking" },
                mOptions.mSidecarFlags));
}

std::unique_ptr<ChildProcess>
Fleet::MakeEntry(size_t aNumber) const
{
  return std::make_unique<ChildProcess>(
    "trefoilarchd",
    Concatenate({ "--role",
                  "entry",
                  "--name",
                  "entry-" + std::to_string(aNumber + 1),
                  "--data-centre",
                  "riga-1",
                  "--platform",
                  PlatformUrlForDaemons() },
                mOptions.mEntryFlags));
}

std::string
Fleet::PlatformUrl() const
{
  return "http://" + mPlatform->Address("platform");
}

std::string
Fleet::PlatformUrlForDaemons() const
{
  return mPlatformProxy ? "http://" + mPlatformProxy->Address() : PlatformUrl();
}

std::string
Fleet::EntryUrl(size_t aEntry) const
{
  return "http://" + mEntries[aEntry]->Address("entry");
}

std::string
Fleet::OperatorUrl(size_t aEntry) const
{
  return "http://" + mEntries[aEntry]->Address("operator");
}

void
Fleet::PlatformControl(const json& aOrder) const
{
  PostJson(PlatformUrl() + "/control", aOrder);
}

void
Fleet::PublishHosts() const
{
  json hosts = json::array();
  for (const auto& host : mUpstreams) {
    hosts.push_back(HostEntry(host->ChannelAddress(),
                              "sidecar",
                              "host-" + host->mName,
                              host->mName,
                              host->mState));
  }
  for (const auto& entry : mEntries) {
    const std::string peer = entry->Address("peer");
    hosts.push_back(HostEntry(peer, "entry", peer, "", "live"));
  }
  PlatformControl({ { "hosts", hosts } });
}

void
Fleet::RestartSidecar(size_t aUpstream)
{
  UpstreamHost& host = *mUpstreams[aUpstream];
  host.mSidecar = MakeSidecar(host);
  if (mOptions.mProxyChannels) {
    host.mChannelProxy =
      std::make_unique<Proxy>(host.mSidecar->Address("sidecar"));
  }
  PublishHosts();
}

void
Fleet::RestartEntry(size_t aEntry)
{
  mEntries[aEntry] = MakeEntry(aEntry);
  PublishHosts();
}

void
Fleet::AddEntry()
{
  mEntries.push_back(MakeEntry(mEntries.size()));
  PublishHosts();
}

bool
Fleet::AwaitReady(size_t aEntry) const
{
  return Await([&] {
    return CallHttp("GET", OperatorUrl(aEntry) + "/readyz").mStatus == 200;
  });
}

json
Fleet::ChangePolicy(const json& aOperations,
                    size_t aEntry,
                    std::optional<uint64_t> aBaseVersion)
{
  const json base = aBaseVersion ? json(*aBaseVersion) : json();
  const std::string id = "change-" + std::to_string(++mChangeCount) + "-" +
                         std::to_string(mPlatform->Id());
  return PostJson(OperatorUrl(aEntry) + "/v1/policy/changes",
                  { { "id", id },
                    { "author", "test" },
                    { "base_version", base },
                    { "operations", aOperations } });
}

uint64_t
Fleet::PolicyVersion(size_t aEntry) const
{
  const json policy = GetJson(OperatorUrl(aEntry) + "/v1/policy");
  return policy.is_object() ? policy.value("version", uint64_t(0)) : 0;
}

std::unique_ptr<OpenCall>
Fleet::Send(const TraceRequest& aRequest,
            size_t aEntry,
            const trefoilio::HttpHeaders& aExtraHeaders)
{
  return SendMarked(
    aRequest, "call" + std::to_string(++mSentCount), aEntry, aExtraHeaders);
}

std::unique_ptr<OpenCall>
Fleet::SendMarked(const TraceRequest& aRequest,
                  const std::string& aMark,
                  size_t aEntry,
                  const trefoilio::HttpHeaders& aExtraHeaders)
{
  trefoilio::HttpRequest httpRequest = trefoilload::BuildRequest(
    aRequest, aMark, EntryUrl(aEntry), { { "agents", "secret-of-agents" } });
  for (const auto& header : aExtraHeaders) {
    std::erase_if(httpRequest.mHeaders, [&](const auto& aOther) {
      return aOther.first == header.first;
    });
    httpRequest.mHeaders.push_back(header);
  }
  return std::make_unique<OpenCall>(*mRunner, aRequest, httpRequest, aMark);
}

std::vector<ExecutionRecord>
Fleet::Executions(const std::string& aMark) const
{
  std::vector<ExecutionRecord> executions;
  for (const auto& host : mUpstreams) {
    const json list =
      GetJson(host->UpstreamUrl() +
              (host->mEngine ? "/executions" : "/_control/executions"));
    for (const json& item : list.is_array() ? list : json::array()) {
      const std::string mark = item.value("mark", "");
      if (!aMark.empty() && mark.substr(mark.rfind('/') + 1) != aMark) {
        continue;
      }
      executions.push_back({ .mUpstream = host->mName,
                             .mId = item.value("id", ""),
                             .mMark = mark,
                             .mStartTime = item.value("started_ms", int64_t(0)),
                             .mEndTime = item.value("ended_ms", int64_t(0)),
                             .mTokens = item.value("tokens", uint64_t(0)),
                             .mFinished = item.value("finished", false),
                             .mCancelled = item.value("cancelled", false) });
    }
  }
  return executions;
}

size_t
Fleet::RunsOf(const std::string& aMark) const
{
  size_t runs = 0;
  for (const auto& host : mUpstreams) {
    std::ifstream record(host->mRecordFile);
    std::string id;
    for (std::string mark; record >> id && std::getline(record, mark);) {
      runs += mark.substr(mark.find_last_of("/ ") + 1) == aMark ? 1 : 0;
    }
  }
  return runs;
}

json
TestPolicy()
{
  // The SHA-256 of "secret-of-agents".
  const std::string hash =
    "07093e82845e0ebc2f36ff1d754adb94d14ff08e6b1f96d635a96806254da0a6";
  const json callers = json::array(
    { { { "key", "desk" }, { "op", "exists" }, { "values", json::array() } } });
  const auto requestClass = [](const char* aName, int aTier) {
    return json({ { "name", aName },
                  { "tier", aTier },
                  { "floor", 0.05 },
                  { "first_token_ms", 2000 },
                  { "between_token_ms", 200 },
                  { "deadline_ms", 30000 },
                  { "idempotent", true } });
  };
  json calls = requestClass("mid-call", 0);
  calls["callers"] = callers;
  const json base = json::array(
    { { { "key", "model" }, { "op", "equals" }, { "values", { "base" } } } });
  const json booking = json::array({ { { "key", "service" },
                                       { "op", "equals" },
                                       { "values", { "booking" } } } });
  return {
    { "classes",
      { calls,
        requestClass("booking", 0),
        requestClass("drafting", 2),
        requestClass("public-page", 3) } },
    { "workspaces",
      { { { "name", "agents" },
          { "token_sha256", hash },
          { "weight", 4 },
          { "default_class", "mid-call" },
          { "labels", { { "desk", "calls" } } } },
        { { "name", "public" },
          { "weight", 1 },
          { "default_class", "public-page" } } } },
    { "selectors",
      { { { "name", "models" }, { "traffic", base }, { "upstreams", base } },
        { { "name", "booking" },
          { "traffic", booking },
          { "upstreams", booking } } } },
    { "upstreams", json::array() }
  };
}

TraceRequest
ChatRequest(const std::string& aClass, size_t aTokens, bool aStream)
{
  TraceRequest request;
  request.mWorkspace = aClass == "public-page" ? "public" : "agents";
  request.mClass = aClass;
  request.mModel = "base";
  request.mPromptTokens = 20;
  request.mOutputTokens = aTokens;
  request.mStream = aStream;
  return request;
}

TraceRequest
OnceRequest(const std::string& aClass, size_t aTokens, bool aStream)
{
  TraceRequest request = ChatRequest(aClass, aTokens, aStream);
  request.mIdempotent = false;
  return request;
}

TraceRequest
BookingRequest()
{
  TraceRequest request;
  request.mWorkspace = "agents";
  request.mClass = "booking";
  request.mService = "booking";
  request.mPromptTokens = 10;
  request.mIdempotent = false;
  return request;
}

} // namespace integration
