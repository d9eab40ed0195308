#include "platformfleet.h"

#include "integration/await.h"
#include "integration/rawcaller.h"

#include "libtrefoilio/systemclock.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <csignal>
#include <iterator>
#include <set>
#include <string>
#include <thread>
#include <vector>

using namespace platformtest;
using integration::Await;
using integration::RawAnswer;
using integration::RawCaller;
using nlohmann::json;
using trefoilarch::Millis;
using trefoilio::FindHeader;
using trefoilio::HttpReply;
using trefoilio::MonotonicNow;

namespace {

constexpr int kReadTimeoutMs = 2000;

/** Workers 0 and 1 run the old version, 2 and 3 the new one. */
constexpr size_t kWorkers = 4;

/** Twice the routes' timeout: a caller waits that long at the most for a stream
 * and the last try to take it up. */
constexpr Millis kLongestStream{ 6000 };

/** As many streams as a gate may retry at once. */
constexpr int kBrokenStreams = 7;

std::string
VersionOf(size_t aWorker)
{
  return aWorker < 2 ? "v1" : "v2";
}

/** Waits until each gate has read an entry with the version of each worker. */
void
AwaitVersions(const PlatformFleet& aFleet, size_t aGates)
{
  for (size_t gate = 0; gate < aGates; ++gate) {
    cr_assert(Await([&] {
      std::set<std::string> read;
      for (const json& line : aFleet.LogOf(gate, "upstream_listed")) {
        if (!line.value("version", "").empty()) {
          read.insert(line.at("upstream"));
        }
      }
      return read.size() == kWorkers;
    }));
  }
}

/** A fleet of two versions, with gates that know each other. */
class VersionFleet : public PlatformFleet
{
public:
  explicit VersionFleet(size_t aGates = 1)
    : PlatformFleet({ .mWorkers = kWorkers,
                      .mGates = aGates,
                      .mRetrySlack = 400,
                      .mPeers = aGates > 1 })
  {
    for (size_t worker = 0; worker < kWorkers; ++worker) {
      ListVersion(worker, VersionOf(worker));
    }
    AwaitVersions(*this, aGates);
    cr_assert(aGates == 1 || AwaitPeers());
  }
};

GateCall
ResumableCall(const std::string& aId, const std::string& aPlan)
{
  return {
    .mId = aId, .mMethod = "POST", .mPath = "/resume/x", .mPlan = aPlan
  };
}

/** The same request, to go on after an event of an earlier try. */
GateCall
TakeUpCall(const std::string& aId,
           const std::string& aBegunBy,
           int aLastEvent,
           const std::string& aPlan = "stream,count=8,gap=2")
{
  GateCall call = ResumableCall(aId, aPlan);
  call.mHeaders = { { "Resumes", aBegunBy },
                    { "Last-Event-Id", std::to_string(aLastEvent) } };
  return call;
}

/** Sends a request, reads its first two events and leaves. */
void
BeginStream(const PlatformFleet& aFleet, const std::string& aId, size_t aGate)
{
  const RawCaller caller(aFleet.GateAddress(aGate));
  caller.Send(
    PlatformFleet::Text(ResumableCall(aId, "stream,count=90,gap=20")));
  const std::string text =
    caller.ReadUntil("data: event 2\n\n\r\n", kReadTimeoutMs);
  cr_assert(text.find("event 2\n") != std::string::npos, "%s", text.c_str());
}

/** The versions of the workers that ran these requests. */
std::set<std::string>
VersionsOf(const PlatformFleet& aFleet, const std::vector<std::string>& aIds)
{
  std::set<std::string> versions;
  for (const std::string& id : aIds) {
    for (const json& run : aFleet.RunsOf(id)) {
      versions.insert(VersionOf(run.at("worker").get<size_t>()));
    }
  }
  return versions;
}

void
ExpectRefused(const HttpReply& aReply, const std::string& aKind)
{
  cr_expect(aReply.mStatus == 503, "status %d", aReply.mStatus);
  cr_expect(aReply.mBody.find("\"" + aKind + "\"") != std::string::npos,
            "%s",
            aReply.mBody.c_str());
  cr_expect(!FindHeader(aReply.mHeaders, "Retry-After").empty());
}

} // namespace

Test(streamversions, a_broken_stream_goes_on_at_its_version, .timeout = 60)
{
  const VersionFleet fleet;
  for (int number = 0; number < kBrokenStreams; ++number) {
    const std::string id = "b" + std::to_string(number);
    const RawCaller caller(fleet.GateAddress(0));
    caller.Send(PlatformFleet::Text(
      ResumableCall(id, "stream,count=8,gap=1,cut=3,once=1")));
    const std::string text = caller.ReadUntil("0\r\n\r\n", kReadTimeoutMs);
    cr_expect(text.ends_with("0\r\n\r\n"), "%s", id.c_str());
    cr_expect(fleet.RunsOf(id).size() == 2);
    cr_expect(VersionsOf(fleet, { id }).size() == 1, "%s", id.c_str());
  }
}

Test(streamversions,
     a_copy_is_kept_at_an_upstream_of_the_version,
     .timeout = 60)
{
  const VersionFleet fleet;
  for (int number = 0; number < kBrokenStreams; ++number) {
    const std::string id = "c" + std::to_string(number);
    const RawCaller caller(fleet.GateAddress(0));
    caller.Send(
      PlatformFleet::Text({ .mId = id,
                            .mMethod = "POST",
                            .mPath = "/stream/x",
                            .mPlan = "stream,count=8,gap=1,cut=3,once=1",
                            .mHeaders = { { "X-Token-Usage", "500,400" } } }));
    cr_expect(
      caller.ReadUntil("0\r\n\r\n", kReadTimeoutMs).ends_with("0\r\n\r\n"));
    cr_expect(fleet.RunsOf(id).size() == 2);
    cr_expect(VersionsOf(fleet, { id }).size() == 1, "%s", id.c_str());
  }
}

Test(streamversions,
     a_stream_ends_where_its_version_has_one_upstream,
     .timeout = 60)
{
  VersionFleet fleet;
  fleet.ListVersion(1, "v1", "draining");
  cr_assert(
    Await([&] { return fleet.LogOf(0, "upstream_listed").back()["leaving"]; }));
  fleet.SetPlan(0, "stream,count=8,gap=1,cut=3", 1000);
  int cut = 0;
  for (int number = 0; number < 100 && cut < 3; ++number) {
    const std::string id = "o" + std::to_string(number);
    const RawCaller caller(fleet.GateAddress(0));
    caller.Send(PlatformFleet::Text(ResumableCall(id, "stream,count=8,gap=1")));
    const RawAnswer answer = caller.ReadAnswer("0\r\n\r\n", kReadTimeoutMs);
    const bool old = VersionsOf(fleet, { id }).contains("v1");
    cut += old ? 1 : 0;
    cr_expect(answer.mText.ends_with("0\r\n\r\n") != old, "%s", id.c_str());
    cr_expect(fleet.RunsOf(id).size() == 1, "%s", id.c_str());
  }
  cr_expect(cut == 3);
}

Test(streamversions, another_entry_learns_the_version, .timeout = 60)
{
  const VersionFleet fleet(3);
  for (int number = 0; number < 20; ++number) {
    const std::string begun = "t" + std::to_string(number);
    const std::string next = begun + "-next";
    const size_t gate = static_cast<size_t>(number) % 3;
    BeginStream(fleet, begun, gate);
    const HttpReply reply =
      fleet.Call(TakeUpCall(next, begun, 2), (gate + 1) % 3);
    cr_expect(reply.mStatus == 200, "%s: %d", next.c_str(), reply.mStatus);
    cr_expect(reply.mBody.find("event 8\n") != std::string::npos);
    cr_expect(VersionsOf(fleet, { begun, next }).size() == 1);
  }
}

Test(streamversions, the_version_outlives_the_entry_that_began, .timeout = 60)
{
  VersionFleet fleet(3);
  std::vector<std::string> begun;
  for (int number = 0; number < 10; ++number) {
    begun.push_back("k" + std::to_string(number));
    BeginStream(fleet, begun.back(), 0);
  }
  fleet.Gate(0).Signal(SIGKILL);
  for (const std::string& each : begun) {
    const std::string next = each + "-next";
    const HttpReply reply = fleet.Call(TakeUpCall(next, each, 2), 1);
    cr_expect(reply.mStatus == 200, "%s: %d", next.c_str(), reply.mStatus);
    cr_expect(VersionsOf(fleet, { each, next }).size() == 1);
  }
}

Test(streamversions, an_unknown_version_is_refused_with_a_reason, .timeout = 60)
{
  const VersionFleet fleet(2);
  const HttpReply reply = fleet.Call(TakeUpCall("u", "nobody-knows", 2));
  ExpectRefused(reply, "stream_version_unknown");
  GateCall unnamed = ResumableCall("n", "stream,count=8");
  unnamed.mHeaders = { { "Last-Event-Id", "2" } };
  ExpectRefused(fleet.Call(unnamed), "stream_version_unknown");
  cr_expect(fleet.RunsOf("u").empty() && fleet.RunsOf("n").empty());
}

Test(streamversions,
     a_version_that_is_gone_is_refused_with_a_reason,
     .timeout = 60)
{
  const VersionFleet fleet(2);
  std::string old;
  for (int number = 0; old.empty(); ++number) {
    const std::string id = "g" + std::to_string(number);
    BeginStream(fleet, id, 0);
    old = VersionsOf(fleet, { id }).contains("v1") ? id : "";
  }
  fleet.Unlist("i-0");
  fleet.Unlist("i-1");
  cr_assert(
    Await([&] { return fleet.LogOf(1, "upstream_unlisted").size() == 2; }));
  ExpectRefused(fleet.Call(TakeUpCall("next", old, 2), 1),
                "stream_version_unavailable");
  cr_expect(fleet.RunsOf("next").empty());
}

Test(streamversions, a_single_version_needs_no_record, .timeout = 60)
{
  const PlatformFleet fleet({ .mWorkers = 2 });
  fleet.ListVersion(0, "v1");
  fleet.ListVersion(1, "v1");
  cr_assert(Await([&] {
    const auto lines = fleet.LogOf(0, "service_versions");
    return !lines.empty() && lines.back().at("versions") == json({ "v1" });
  }));
  // Twice the route's timeout: no stream is older.
  std::this_thread::sleep_for(std::chrono::milliseconds(6200));
  const HttpReply reply = fleet.Call(TakeUpCall("s", "begun-elsewhere", 2));
  cr_expect(
    reply.mStatus == 200, "status %d, %s", reply.mStatus, reply.mBody.c_str());
  cr_expect(reply.mBody.find("event 3\n") != std::string::npos);
}

Test(streamversions, upstreams_without_versions_go_on_as_one, .timeout = 60)
{
  const PlatformFleet fleet({ .mWorkers = 2 });
  BeginStream(fleet, "a", 0);
  const HttpReply reply = fleet.Call(TakeUpCall("a-next", "a", 2));
  cr_expect(reply.mStatus == 200, "status %d", reply.mStatus);
}

Test(streamversions, operators_see_the_versions, .timeout = 60)
{
  const VersionFleet fleet;
  const json status =
    integration::GetJson("http://" + fleet.OperatorAddress(0) + "/v1/status");
  std::multiset<std::string> versions;
  for (const json& upstream : status.at("upstreams")) {
    versions.insert(upstream.at("labels").value("version", ""));
  }
  cr_expect(versions.count("v1") == 2 && versions.count("v2") == 2);
  cr_expect(fleet.Metrics().find("upstream_versions{version=\"svc/v1\"} 2") !=
            std::string::npos);
  const auto lines = fleet.LogOf(0, "service_versions");
  cr_assert(!lines.empty());
  cr_expect(lines.back().at("versions") == json({ "v1", "v2" }));
}

namespace {

/** How a gate is out of step. */
struct Cut
{
  const char* mName;
  json mOrder;
  json mMend;
  /** Whether it may still learn of changes in time. */
  bool mIsPartial = false;
};

/** A gate's loss of the store, both ways and one way. */
const std::vector<Cut> kStoreCuts = {
  { "refused",
    { { "cut", true }, { "refuse_new", true } },
    { { "refuse_new", false } } },
  { "silent",
    { { "silence", "both" }, { "silence_new", true } },
    { { "cut", true }, { "silence_new", false } } },
  { "only requests arrive",
    { { "silence", "down" } },
    { { "cut", true } },
    true },
  { "only answers arrive", { { "silence", "up" } }, { { "cut", true } }, true },
};

/** Streams of an upstream that starts again in another version, unseen by a
 * gate that has lost the store, don't continue there. */
void
TakeUpAtCutGate(const Cut& aCut)
{
  PlatformFleet fleet({ .mWorkers = 2,
                        .mGates = 2,
                        .mRetrySlack = 400,
                        .mProxied = true,
                        .mPeers = true });
  fleet.ListVersion(0, "v1");
  cr_assert(fleet.AwaitPeers());
  fleet.Unlist("i-1");
  for (size_t gate = 0; gate < 2; ++gate) {
    cr_assert(Await([&] {
      const auto lines = fleet.LogOf(gate, "service_versions");
      return !lines.empty() && lines.back().at("versions") == json({ "v1" });
    }));
  }
  BeginStream(fleet, "s", 0);
  fleet.StoreProxy(0).Order(aCut.mOrder);
  // Its connections end with the process; the next one listens at once.
  fleet.WorkerProxy(0).Order({ { "cut", true } });
  json entry = PlatformFleet::EntryOf(fleet.WorkerProxy(0).Address(), 2);
  entry["version"] = "v2";
  fleet.PutRow("servers", "i-0", entry);
  const HttpReply reply = fleet.Call(TakeUpCall("s-next", "s", 2));
  const bool knows =
    reply.mBody.find("stream_version_unavailable") != std::string::npos;
  ExpectRefused(reply,
                aCut.mIsPartial && knows ? "stream_version_unavailable"
                                         : "stream_version_unknown");
  cr_expect(fleet.RunsOf("s-next").empty(), "%s", aCut.mName);
  cr_expect(fleet.Call(ResumableCall("new", "stream,count=3")).mStatus == 200,
            "streams begin at a gate that has lost the store");
  fleet.StoreProxy(0).Order(aCut.mMend);
  cr_assert(Await(
    [&] {
      const auto lines = fleet.LogOf(0, "service_versions");
      return !lines.empty() && lines.back().at("versions") == json({ "v2" });
    },
    Millis(8000)));
  ExpectRefused(fleet.Call(TakeUpCall("s-late", "s", 2)),
                "stream_version_unavailable");
  cr_expect(fleet.RunsOf("s-late").empty(), "%s", aCut.mName);
}

} // namespace

/** A gate that had lost the store took an old entry for the new process. */
Test(streamversions,
     a_gate_without_the_store_continues_no_stream_at_an_unproved_process,
     .timeout = 90)
{
  for (const Cut& each : kStoreCuts) {
    TakeUpAtCutGate(each);
  }
}

namespace {

/** Workers of another version join while a gate is cut from all others, and
 * from the store too unless the order is empty; their streams are taken up at
 * that gate. */
void
TakeUpAtIsolatedGate(const Cut& aCut)
{
  constexpr int kStreams = 12;
  PlatformFleet fleet({ .mWorkers = kWorkers,
                        .mGates = 2,
                        .mRetrySlack = 400,
                        .mProxied = true });
  fleet.Unlist("i-2");
  fleet.Unlist("i-3");
  fleet.ListVersion(0, "v1");
  fleet.ListVersion(1, "v1");
  // Longer than any stream: a single version needs no record from now on.
  std::this_thread::sleep_for(
    std::chrono::milliseconds(kLongestStream.Count() + 1500));
  cr_expect(fleet.Call(TakeUpCall("before", "elsewhere", 2)).mStatus == 200);
  fleet.StoreProxy(0).Order(aCut.mOrder);
  fleet.ListVersion(2, "v2");
  fleet.ListVersion(3, "v2");
  cr_assert(Await([&] {
    const auto lines = fleet.LogOf(1, "service_versions");
    return !lines.empty() && lines.back().at("versions").size() == 2;
  }));
  bool newVersion = false;
  for (int number = 0; number < kStreams; ++number) {
    const std::string begun = "j" + std::to_string(number);
    BeginStream(fleet, begun, 1);
    fleet.Call(TakeUpCall(begun + "-next", begun, 2), 0);
    newVersion = newVersion || VersionsOf(fleet, { begun }).contains("v2");
    cr_expect(VersionsOf(fleet, { begun, begun + "-next" }).size() == 1,
              "%s, %s",
              aCut.mName,
              begun.c_str());
  }
  cr_expect(newVersion, "a stream has begun at the new version");
}

} // namespace

/** A gate that is out of step took all workers for those of one version. */
Test(streamversions,
     an_isolated_gate_joins_no_streams_of_versions_it_has_not_seen,
     .timeout = 120)
{
  std::vector<Cut> cuts = kStoreCuts;
  cuts.push_back({ "the others alone", json::object(), json::object() });
  for (const Cut& each : cuts) {
    TakeUpAtIsolatedGate(each);
  }
}

/** An open connection that is older than the list proves the process. */
Test(streamversions,
     a_gate_without_the_store_continues_streams_at_a_proved_process,
     .timeout = 60)
{
  PlatformFleet fleet({ .mWorkers = 2, .mRetrySlack = 400, .mProxied = true });
  fleet.ListVersion(0, "v1");
  fleet.ListVersion(1, "v1");
  cr_assert(Await([&] {
    const auto lines = fleet.LogOf(0, "service_versions");
    return !lines.empty() && lines.back().at("versions") == json({ "v1" });
  }));
  for (int each = 0; each < 20; ++each) {
    cr_expect(fleet.Call({ .mId = std::to_string(each) }).mStatus == 200);
  }
  // The list is confirmed each second.
  std::this_thread::sleep_for(std::chrono::milliseconds(2500));
  BeginStream(fleet, "s", 0);
  fleet.StoreProxy(0).Order({ { "cut", true }, { "refuse_new", true } });
  cr_assert(Await([&] { return !fleet.LogOf(0, "dependency_lost").empty(); },
                  Millis(4000)));
  const HttpReply reply = fleet.Call(TakeUpCall("s-next", "s", 2));
  cr_expect(
    reply.mStatus == 200, "status %d, %s", reply.mStatus, reply.mBody.c_str());
}

namespace {

/** What becomes of the old version while no gate runs. */
enum class OldVersion : uint8_t
{
  Serving,
  Leaving,
  Gone,
  Back,
};

/** Streams of both versions are taken up at gates that were all killed and
 * started again; none may go on at the other version. */
void
TakeUpAfterRestartOfAllGates(OldVersion aOld)
{
  constexpr size_t kGates = 2;
  constexpr int kStreams = 7;
  VersionFleet fleet(kGates);
  const Millis start = MonotonicNow();
  std::vector<std::string> begun;
  for (int number = 0; number < kStreams; ++number) {
    begun.push_back("r" + std::to_string(number));
    BeginStream(fleet, begun.back(), static_cast<size_t>(number) % kGates);
  }
  for (size_t gate = 0; gate < kGates; ++gate) {
    fleet.Gate(gate).Signal(SIGKILL);
  }
  for (const size_t worker : { 0, 1 }) {
    if (aOld == OldVersion::Leaving) {
      fleet.ListVersion(worker, "v1", "draining");
    } else if (aOld != OldVersion::Serving) {
      fleet.Unlist("i-" + std::to_string(worker));
    }
  }
  for (size_t gate = 0; gate < kGates; ++gate) {
    fleet.RestartGate(gate);
  }
  fleet.AwaitReady();
  std::vector<std::string> taken;
  for (size_t each = 0; MonotonicNow() - start < kLongestStream; ++each) {
    if (aOld == OldVersion::Back && each == begun.size()) {
      fleet.ListVersion(0, "v1");
      fleet.ListVersion(1, "v1");
    }
    const std::string& stream = begun[each % begun.size()];
    taken.push_back(stream + "-" + std::to_string(each));
    fleet.Call(TakeUpCall(taken.back(), stream, 2), each % kGates);
  }
  std::set<std::string> versions;
  for (const std::string& each : begun) {
    const auto own = VersionsOf(fleet, { each });
    versions.insert(own.begin(), own.end());
    std::vector<std::string> all = { each };
    std::ranges::copy_if(
      taken, std::back_inserter(all), [&](const std::string& aTaken) {
        return aTaken.starts_with(each + "-");
      });
    cr_expect(VersionsOf(fleet, all) == own,
              "%s, old version %d",
              each.c_str(),
              static_cast<int>(aOld));
  }
  cr_log_info("%zu tries to take streams up", taken.size());
  cr_expect(versions.size() == 2, "both versions have begun streams");
}

} // namespace

/** Gates that all start again know no stream's version. */
Test(streamversions,
     no_stream_is_joined_after_all_gates_restart,
     .timeout = 120)
{
  for (const OldVersion old : { OldVersion::Serving,
                                OldVersion::Leaving,
                                OldVersion::Gone,
                                OldVersion::Back }) {
    TakeUpAfterRestartOfAllGates(old);
  }
}
