#include "await.h"
#include "fleet.h"
#include "httpcall.h"
#include "verdict.h"

#include "libtrefoilio/systemclock.h"

#include <criterion/criterion.h>

using namespace integration;
using nlohmann::json;
using trefoilload::CallOutcome;
using trefoilload::CallRecord;

namespace {

/** The aim is two seconds; the rest is for a busy machine. */
constexpr int64_t kFoundWithin = 4000;
/** An engine that says nothing to anyone may be at a long prefill: 3 s. */
constexpr int64_t kFoundAloneWithin = 5000;

FleetOptions
Proxied(size_t aEngines)
{
  return { .mEngines = aEngines,
           .mProxyChannels = true,
           .mProxyUpstreams = true };
}

/** Streams that may run once go on over a fresh channel, nothing lost. */
void
CheckChannel(const char* aWay)
{
  Fleet fleet(Proxied(1));
  constexpr size_t kCalls = 6;
  std::vector<std::unique_ptr<OpenCall>> calls;
  calls.reserve(kCalls);
  for (size_t i = 0; i < kCalls; ++i) {
    calls.push_back(fleet.Send(OnceRequest("mid-call", 500)));
  }
  for (const auto& call : calls) {
    cr_assert(call->AwaitBytes(2000));
  }
  fleet.Upstream().mChannelProxy->Order({ { "silence", aWay } });
  for (const auto& call : calls) {
    const CallRecord record = call->AwaitEnd();
    cr_expect(record.mOutcome == CallOutcome::Complete,
              "silent %s: %s %s",
              aWay,
              Name(record.mOutcome).c_str(),
              record.mKind.c_str());
    cr_expect(fleet.RunsOf(call->Mark()) == 1);
    criterion_info("silent %s: longest gap %ld ms", aWay, record.mMaxGap);
    cr_expect(record.mMaxGap <= kFoundWithin,
              "silent %s: %ld ms",
              aWay,
              record.mMaxGap);
  }
}

/**
 * Silences the connection of one long stream that may run once, while short
 * ones go on over new connections or not. Reports after how long it was found.
 */
int64_t
SilenceAnEngine(Fleet& aFleet, bool aOthersGoOn)
{
  const auto once = aFleet.Send(OnceRequest("mid-call", 3000));
  cr_assert(once->AwaitBytes(2000));
  const size_t at =
    aFleet.Executions(once->Mark()).front().mUpstream == "engine-1" ? 0 : 1;
  const int64_t struck = trefoilio::MonotonicNow().Count();
  aFleet.Upstream(at).mUpstreamProxy->Order({ { "silence", "both" } });
  while (aOthersGoOn && !once->HasEnded()) {
    const auto other = aFleet.Send(ChatRequest("mid-call", 5));
    cr_expect(other->AwaitEnd().mOutcome == CallOutcome::Complete);
  }
  const CallRecord record = once->AwaitEnd();
  cr_expect(record.mOutcome == CallOutcome::Failed && record.mRan == "maybe",
            "%s %s",
            Name(record.mOutcome).c_str(),
            record.mKind.c_str());
  cr_expect(aFleet.RunsOf(once->Mark()) == 1);
  criterion_info("found after %ld ms", record.mEnded - struck);
  return record.mEnded - struck;
}

} // namespace

Test(silence, of_a_channel_up_is_found_and_the_answer_resumed)
{
  CheckChannel("up");
}

Test(silence, of_a_channel_down_is_found_and_the_answer_resumed)
{
  CheckChannel("down");
}

Test(silence, of_a_channel_both_ways_is_found_and_the_answer_resumed)
{
  CheckChannel("both");
}

Test(silence, of_an_idle_channel_costs_the_next_request_little)
{
  Fleet fleet(Proxied(1));
  cr_assert(fleet.Send(ChatRequest("mid-call", 5))->AwaitEnd().mOutcome ==
            CallOutcome::Complete);
  fleet.Upstream().mChannelProxy->Order({ { "silence", "both" } });
  const auto call = fleet.Send(ChatRequest("mid-call", 5));
  const CallRecord record = call->AwaitEnd();
  cr_assert(record.mOutcome == CallOutcome::Complete,
            "%s %s",
            Name(record.mOutcome).c_str(),
            record.mKind.c_str());
  const int64_t span = record.mEnded - record.mSent;
  criterion_info("answered after %ld ms", span);
  cr_assert(span <= kFoundWithin, "%ld ms", span);
}

Test(silence, towards_an_engine_is_found_while_others_go_on)
{
  Fleet fleet(Proxied(1));
  const int64_t span = SilenceAnEngine(fleet, true);
  cr_assert(span <= kFoundWithin, "%ld ms", span);
}

Test(silence, towards_an_engine_that_has_one_call_is_found)
{
  Fleet fleet(Proxied(2));
  const int64_t span = SilenceAnEngine(fleet, false);
  cr_assert(span <= kFoundAloneWithin, "%ld ms", span);
  const auto next = fleet.Send(ChatRequest("mid-call", 5));
  cr_expect(next->AwaitEnd().mOutcome == CallOutcome::Complete);
}

Test(silence, before_an_engines_first_token_is_rerun_where_that_is_safe)
{
  Fleet fleet(Proxied(2));
  fleet.Upstream(0).Control({ { "stall", true } });
  fleet.Upstream(1).Control({ { "stall", true } });
  const auto call = fleet.Send(ChatRequest("drafting", 20));
  cr_assert(Await([&] { return fleet.RunsOf(call->Mark()) == 1; }));
  const size_t at =
    fleet.Executions(call->Mark()).front().mUpstream == "engine-1" ? 0 : 1;
  fleet.Upstream(at).mUpstreamProxy->Order({ { "silence", "both" } });
  fleet.Upstream(0).Control({ { "stall", false } });
  fleet.Upstream(1).Control({ { "stall", false } });
  const CallRecord record = call->AwaitEnd();
  cr_assert(record.mOutcome == CallOutcome::Complete,
            "%s %s",
            Name(record.mOutcome).c_str(),
            record.mKind.c_str());
}

Test(silence, towards_the_platform_is_found_and_changes_go_on)
{
  Fleet fleet({ .mEntries = 2, .mProxyPlatform = true });
  const uint64_t before = fleet.PolicyVersion();
  fleet.PlatformProxy().Order({ { "silence", "both" } });
  const int64_t struck = trefoilio::MonotonicNow().Count();
  const json changed =
    fleet.ChangePolicy({ { { "op", "drain" }, { "upstream", "engine-9" } } });
  cr_assert(changed["status"] == 200 || changed["status"] == 503,
            "%s",
            changed.dump().c_str());
  cr_assert(Await([&] {
    return fleet.PolicyVersion(0) > before && fleet.PolicyVersion(1) > before;
  }));
  const int64_t span = trefoilio::MonotonicNow().Count() - struck;
  criterion_info("in force after %ld ms", span);
  cr_assert(span <= 2 * kFoundWithin, "%ld ms", span);
}
