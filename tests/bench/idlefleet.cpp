#include "idlefleet.h"

#include "integration/await.h"
#include "integration/fleet.h"
#include "integration/httpcall.h"

#include <stdexcept>

namespace bench {

using integration::ChildProcess;
using nlohmann::json;

namespace {

json
HostEntry(const std::string& aTarget,
          const std::string& aRole,
          const std::string& aName)
{
  json labels{ { "role", aRole },
               { "host", "host-" + aName },
               { "data_centre", "riga-1" },
               { "state", "live" } };
  if (aRole == "sidecar") {
    labels["upstream"] = aName;
  }
  return { { "targets", { aTarget } }, { "labels", labels } };
}

std::string
NameOf(const char* aRole, size_t aIndex)
{
  return std::string(aRole) + "-" + std::to_string(aIndex + 1);
}

} // namespace

IdleFleet::IdleFleet(FleetSize aSize,
                     const std::vector<std::string>& aEntryFlags)
  : mSize(aSize)
  , mPlatform("trefoilarch-platform", {})
  , mEngine("trefoilarch-engine", { "--name", "engine" })
{
  const std::string platform = "http://" + mPlatform.Address("platform");
  const std::string engine = "http://" + mEngine.Address("engine");
  const auto start = [&](const char* aRole,
                         const std::string& aName,
                         std::vector<std::string> aExtraFlags) {
    std::vector<std::string> flags{
      "--role", aRole,        "--name", aName,         "--data-centre",
      "riga-1", "--platform", platform, "--log-level", "error"
    };
    flags.insert(flags.end(), aExtraFlags.begin(), aExtraFlags.end());
    return std::make_unique<ChildProcess>("trefoilarchd", std::move(flags));
  };
  for (size_t i = 0; i < mSize.mSidecars; ++i) {
    const std::string name = NameOf("engine", i);
    mSidecars.push_back(start("sidecar",
                              "sidecar-" + name,
                              { "--upstream-name",
                                name,
                                "--upstream-url",
                                engine,
                                "--labels",
                                "model=base" }));
  }
  for (size_t i = 0; i < mSize.mEntries; ++i) {
    mEntries.push_back(start("entry", NameOf("entry", i), aEntryFlags));
  }
  PublishHosts();
  const json policy{ { "op", "replace_policy" },
                     { "policy", integration::TestPolicy() } };
  if (ChangePolicy(policy) == 0) {
    throw std::runtime_error("cannot set the policy");
  }
  for (size_t i = 0; i < mSize.mEntries; ++i) {
    if (!AwaitReady(i)) {
      throw std::runtime_error("an entry is not ready");
    }
  }
}

std::string
IdleFleet::EntryUrl(size_t aIndex) const
{
  return "http://" + mEntries[aIndex]->Address("entry");
}

uint16_t
IdleFleet::ChannelPort(size_t aSidecar) const
{
  const std::string address = mSidecars[aSidecar]->Address("sidecar");
  return static_cast<uint16_t>(
    std::stoi(address.substr(address.rfind(':') + 1)));
}

void
IdleFleet::PublishHosts() const
{
  json hosts = json::array();
  for (size_t i = 0; i < mSize.mSidecars; ++i) {
    hosts.push_back(HostEntry(
      mSidecars[i]->Address("sidecar"), "sidecar", NameOf("engine", i)));
  }
  for (size_t i = 0; i < mSize.mEntries; ++i) {
    hosts.push_back(
      HostEntry(mEntries[i]->Address("peer"), "entry", NameOf("entry", i)));
  }
  integration::PostJson("http://" + mPlatform.Address("platform") + "/control",
                        { { "hosts", hosts } });
}

json
IdleFleet::PlatformCounts() const
{
  return integration::GetJson("http://" + mPlatform.Address("platform") +
                              "/control");
}

size_t
IdleFleet::HostListBytes() const
{
  return integration::CallHttp(
           "GET", "http://" + mPlatform.Address("platform") + "/hosts")
    .mBody.size();
}

uint64_t
IdleFleet::ChangePolicy(const json& aOperation)
{
  const std::string id = "bench-" + std::to_string(++mChangeCount) + "-" +
                         std::to_string(mPlatform.Id());
  const json answer = integration::PostJson(
    "http://" + mEntries[0]->Address("operator") + "/v1/policy/changes",
    { { "id", id },
      { "author", "bench" },
      { "base_version", nullptr },
      { "operations", json::array({ aOperation }) } });
  return answer["body"].is_object()
           ? answer["body"].value("version", uint64_t{ 0 })
           : 0;
}

uint64_t
IdleFleet::PolicyVersion(size_t aEntry) const
{
  const json policy = integration::GetJson(
    "http://" + mEntries[aEntry]->Address("operator") + "/v1/policy");
  return policy.is_object() ? policy.value("version", uint64_t{ 0 }) : 0;
}

bool
IdleFleet::AwaitReady(size_t aEntry) const
{
  const std::string url =
    "http://" + mEntries[aEntry]->Address("operator") + "/readyz";
  return integration::Await(
    [&] { return integration::CallHttp("GET", url).mStatus == 200; });
}

} // namespace bench
