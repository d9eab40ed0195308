#include "platformfleet.h"

#include "integration/await.h"

#include <stdexcept>

namespace platformtest {

using integration::Await;
using integration::CallHttp;
using integration::ChildProcess;
using nlohmann::json;

namespace {

json
RouteOf(const std::string& aName, const std::string& aKind, int aAttempts)
{
  return { { "name", aName },
           { "host", "svc.example" },
           { "prefix", "/" + aName + "/" },
           { "kind", aKind },
           { "timeoutMs", 3000 },
           { "targetLatencyMs", 500 },
           { "priority", 1 },
           { "service", "svc" },
           { "maxAttempts", aAttempts },
           { "public", false },
           { "stickySessions", false },
           { "streamResume", aName == "resume" },
           { "gapAimMs", 300 } };
}

/** An entry of a worker that does not name its process. */
json
RowOf(const std::string& aAddress, const std::string& aState)
{
  return { { "service", "svc" }, { "address", aAddress },
           { "zone", "here" },   { "slots", 8 },
           { "state", aState },  { "coldRemainingMs", 0 },
           { "sequence", 1 } };
}

std::string
NameOf(size_t aWorker)
{
  return "i-" + std::to_string(aWorker);
}

} // namespace

PlatformFleet::PlatformFleet(FleetOptions aOptions)
  : mOptions(std::move(aOptions))
  , mStore(std::make_unique<ChildProcess>("trefoilarch-rowstore",
                                          std::vector<std::string>{}))
{
  PutPolicy(MakePolicy(1, { "key-1", "key-2" }));
  for (size_t each = 0; each < mOptions.mWorkers; ++each) {
    mWorkers.push_back(std::make_unique<ChildProcess>(
      "trefoilarch-worker", std::vector<std::string>{ NameOf(each) }));
    if (mOptions.mProxied) {
      mWorkerProxies.push_back(
        std::make_unique<integration::Proxy>(WorkerAddress(each)));
    }
    List(each);
  }
  for (size_t each = 0; each < mOptions.mGates; ++each) {
    StartGate();
  }
  AwaitReady();
}

void
PlatformFleet::StartGate()
{
  if (mOptions.mProxied) {
    mStoreProxies.push_back(
      std::make_unique<integration::Proxy>(mStore->Address("rowstore")));
  }
  mGates.push_back(MakeGate(mGates.size()));
}

void
PlatformFleet::RestartGate(size_t aGate)
{
  mGates[aGate] = MakeGate(aGate);
}

std::unique_ptr<ChildProcess>
PlatformFleet::MakeGate(size_t aGate) const
{
  const std::string store = mOptions.mProxied ? mStoreProxies[aGate]->Address()
                                              : mStore->Address("rowstore");
  std::vector<std::string> flags = { "--name",
                                     "gate-" + std::to_string(aGate),
                                     "--data-centre",
                                     "here",
                                     "--listen",
                                     "127.0.0.1:0",
                                     "--operator-listen",
                                     "127.0.0.1:0",
                                     "--platform",
                                     store };
  const std::vector<std::string> limits = {
    "--revoke-ms",       std::to_string(mOptions.mRevokeMs),
    "--memory-mb",       std::to_string(mOptions.mMemoryMb),
    "--retry-slack",     std::to_string(mOptions.mRetrySlack),
    "--stop-seconds",    std::to_string(mOptions.mStopSeconds),
    "--caller-stall-ms", std::to_string(mOptions.mCallerStallMs)
  };
  if (!mOptions.mSettingsFromFile) {
    flags.insert(flags.end(), limits.begin(), limits.end());
  }
  if (!mOptions.mUsageReceiver.empty()) {
    flags.insert(flags.end(),
                 { "--duties",
                   "usage_report,autoscale",
                   "--duty-receiver",
                   mOptions.mUsageReceiver,
                   "--duty-lease-ms",
                   "1500",
                   "--usage-window-s",
                   std::to_string(mOptions.mUsageWindowSeconds),
                   "--usage-late-s",
                   "6" });
  }
  if (mOptions.mPeers) {
    flags.insert(flags.end(), { "--peer-listen", "127.0.0.1:0" });
  }
  return std::make_unique<ChildProcess>("trefoilarch-gate", flags);
}

void
PlatformFleet::AwaitReady()
{
  for (size_t each = 0; each < mGates.size(); ++each) {
    if (!Await([&] { return ReadyStatus(each) == 200; })) {
      throw std::runtime_error("gate not ready");
    }
  }
}

bool
PlatformFleet::AwaitPeers() const
{
  for (size_t gate = 0; gate < mGates.size(); ++gate) {
    const bool knowsPeers = Await([&] {
      const auto lines = LogOf(gate, "peers");
      return !lines.empty() && lines.back().at("listed") == mGates.size() - 1;
    });
    if (!knowsPeers) {
      return false;
    }
  }
  return true;
}

trefoilio::HttpReply
PlatformFleet::Call(const GateCall& aCall, size_t aGate) const
{
  trefoilio::HttpHeaders headers = { { "Host", "svc.example" },
                                     { "X-Request-Id", aCall.mId },
                                     { "X-Test-Plan", aCall.mPlan },
                                     { "X-Credential", aCall.mKey },
                                     { "X-Deadline-Ms",
                                       std::to_string(aCall.mDeadlineMs) } };
  headers.insert(headers.end(), aCall.mHeaders.begin(), aCall.mHeaders.end());
  return CallHttp(aCall.mMethod,
                  "http://" + GateAddress(aGate) + aCall.mPath,
                  aCall.mBody,
                  headers);
}

std::string
PlatformFleet::Text(const GateCall& aCall)
{
  std::string text = aCall.mMethod;
  text += " " + aCall.mPath + " HTTP/1.1\r\n";
  text += "Host: svc.example\r\nX-Request-Id: " + aCall.mId + "\r\n";
  text += "X-Test-Plan: " + aCall.mPlan + "\r\n";
  text += "X-Credential: " + aCall.mKey + "\r\n";
  text += "X-Deadline-Ms: " + std::to_string(aCall.mDeadlineMs) + "\r\n";
  for (const auto& [name, value] : aCall.mHeaders) {
    text += name;
    text += ": ";
    text += value;
    text += "\r\n";
  }
  if (!aCall.mBody.empty()) {
    text += "Content-Length: " + std::to_string(aCall.mBody.size()) + "\r\n";
  }
  return text + "\r\n" + aCall.mBody;
}

json
PlatformFleet::Runs(size_t aWorker) const
{
  return integration::GetJson("http://" + WorkerAddress(aWorker) + "/control")
    .value("runs", json::array());
}

int
PlatformFleet::Running(size_t aWorker) const
{
  return integration::GetJson("http://" + WorkerAddress(aWorker) + "/control")
    .value("running", 0);
}

std::vector<json>
PlatformFleet::RunsOf(const std::string& aId) const
{
  std::vector<json> runs;
  for (size_t each = 0; each < mWorkers.size(); ++each) {
    for (const json& run : Runs(each)) {
      if (run.at("id") == aId) {
        runs.push_back(run);
        runs.back()["worker"] = each;
      }
    }
  }
  return runs;
}

void
PlatformFleet::SetPlan(size_t aWorker,
                       const std::string& aPlan,
                       int aTimes) const
{
  integration::PostJson("http://" + WorkerAddress(aWorker) + "/control",
                        { { "plan", aPlan }, { "times", aTimes } });
}

void
PlatformFleet::SetLoadSuffix(size_t aWorker, const std::string& aText) const
{
  integration::PostJson("http://" + WorkerAddress(aWorker) + "/control",
                        { { "load_suffix", aText } });
}

void
PlatformFleet::SetLimit(size_t aWorker, const std::string& aLimit) const
{
  integration::PostJson("http://" + WorkerAddress(aWorker) + "/control",
                        { { "limit", aLimit } });
}

json
PlatformFleet::Refusals(size_t aWorker) const
{
  return integration::GetJson("http://" + WorkerAddress(aWorker) + "/control")
    .value("refusals", json::array());
}

void
PlatformFleet::SetLeaving(size_t aWorker, const std::string& aText) const
{
  integration::PostJson("http://" + WorkerAddress(aWorker) + "/control",
                        { { "leaving", aText } });
}

void
PlatformFleet::SetPause(size_t aWorker, const std::string& aSeconds) const
{
  integration::PostJson("http://" + WorkerAddress(aWorker) + "/control",
                        { { "pause", aSeconds } });
}

json
PlatformFleet::MakePolicy(uint64_t aVersion,
                          const std::vector<std::string>& aKeys)
{
  return { { "version", aVersion },
           { "routes",
             { RouteOf("safe", "safe", 2),
               RouteOf("once", "unsafe", 1),
               RouteOf("stream", "stream", 1),
               RouteOf("resume", "stream", 3) } },
           { "services",
             { { { "name", "svc" },
                 { "healthPath", "/healthz" },
                 { "maxConns", 100 },
                 { "engine", { { "slots", 8 }, { "backups", true } } } } } },
           { "limits",
             { { "maxHeaderBytes", 16384 },
               { "maxBodyBytes", 1000000 },
               { "headerTimeoutMs", 3000 },
               { "idleTimeoutMs", 15000 } } },
           { "tenants", { { { "name", "desk" }, { "apiKeys", aKeys } } } } };
}

void
PlatformFleet::PutPolicy(const json& aPolicy) const
{
  Control({ { "put",
              { { { "table", "op" },
                  { "key", "config" },
                  { "value", aPolicy } } } } });
}

void
PlatformFleet::List(size_t aWorker, const std::string& aState) const
{
  PutRow("servers",
         NameOf(aWorker),
         WithVersion(aWorker, RowOf(ListedAddress(aWorker), aState)));
}

void
PlatformFleet::ListProcess(size_t aWorker, int64_t aStartTime) const
{
  PutRow("servers",
         NameOf(aWorker),
         WithVersion(aWorker, EntryOf(ListedAddress(aWorker), aStartTime)));
}

void
PlatformFleet::ListVersion(size_t aWorker,
                           const std::string& aVersion,
                           const std::string& aState) const
{
  json entry = EntryOf(ListedAddress(aWorker), 1);
  entry["version"] = aVersion;
  entry["state"] = aState;
  PutRow("servers", NameOf(aWorker), entry);
}

json
PlatformFleet::WithVersion(size_t aWorker, json aEntry) const
{
  if (aWorker < mOptions.mVersions.size()) {
    aEntry["version"] = mOptions.mVersions[aWorker];
  }
  return aEntry;
}

std::string
PlatformFleet::ListedAddress(size_t aWorker) const
{
  return mOptions.mProxied ? mWorkerProxies[aWorker]->Address()
                           : WorkerAddress(aWorker);
}

void
PlatformFleet::ListAs(const std::string& aId,
                      const std::string& aAddress,
                      const std::string& aState) const
{
  PutRow("servers", aId, RowOf(aAddress, aState));
}

void
PlatformFleet::PutRow(const std::string& aTable,
                      const std::string& aKey,
                      const json& aValue) const
{
  Control(
    { { "put",
        { { { "table", aTable }, { "key", aKey }, { "value", aValue } } } } });
}

json
PlatformFleet::EntryOf(const std::string& aAddress,
                       int64_t aStartTime,
                       uint64_t aSequence)
{
  return { { "service", "svc" },   { "address", aAddress },
           { "zone", "here" },     { "slots", 8 },
           { "state", "ready" },   { "coldRemainingMs", 0 },
           { "born", aStartTime }, { "sequence", aSequence } };
}

void
PlatformFleet::Unlist(const std::string& aId) const
{
  Control({ { "remove", { { { "table", "servers" }, { "key", aId } } } } });
}

json
PlatformFleet::Control(const json& aOrder) const
{
  return integration::PostJson(
    "http://" + mStore->Address("rowstore") + "/control", aOrder)["body"];
}

std::string
PlatformFleet::GateAddress(size_t aGate) const
{
  return LogOf(aGate, "started").at(0).at("listen");
}

std::string
PlatformFleet::OperatorAddress(size_t aGate) const
{
  return LogOf(aGate, "started").at(0).at("operator_listen");
}

std::string
PlatformFleet::WorkerAddress(size_t aWorker) const
{
  return mWorkers[aWorker]->Address("worker");
}

std::string
PlatformFleet::Metrics(size_t aGate) const
{
  return CallHttp("GET", "http://" + OperatorAddress(aGate) + "/metrics").mBody;
}

int
PlatformFleet::ReadyStatus(size_t aGate) const
{
  if (LogOf(aGate, "started").empty()) {
    return 0;
  }
  return CallHttp("GET", "http://" + OperatorAddress(aGate) + "/v1/readyz")
    .mStatus;
}

std::vector<json>
PlatformFleet::LogOf(size_t aGate, const std::string& aEvent) const
{
  std::vector<json> lines;
  for (const std::string& line :
       mGates[aGate]->LinesWith("\"event\":\"" + aEvent + "\"")) {
    lines.push_back(json::parse(line));
  }
  return lines;
}

} // namespace platformtest
