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

/** The target is two seconds; the rest allows for a busy machine. */
constexpr int64_t kMaxDetectionDelay = 4000;
/** An engine silent on all calls may be in a long prefill: target 3 s. */
constexpr int64_t kMaxSingleCallDetectionDelay = 5000;

FleetOptions
Proxied(size_t aEngines)
{
  return { .mEngines = aEngines,
           .mProxyChannels = true,
           .mProxyUpstreams = true };
}

/** Non-idempotent streams resume on a new channel without loss. */
void
CheckChannel(const char* aDirection)
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
  fleet.Upstream().mChannelProxy->Order({ { "silence", aDirection } });
  for (const auto& call : calls) {
    const CallRecord record = call->AwaitEnd();
    cr_expect(record.mOutcome == CallOutcome::Complete,
              "silent %s: %s %s",
              aDirection,
              Name(record.mOutcome).c_str(),
              record.mKind.c_str());
    cr_expect(fleet.RunsOf(call->Mark()) == 1);
    criterion_info("silent %s: maximum gap %ld ms", aDirection, record.mMaxGap);
    cr_expect(record.mMaxGap <= kMaxDetectionDelay,
              "silent %s: %ld ms",
              aDirection,
              record.mMaxGap);
  }
}

/**
 * Silences the connection of one long non-idempotent stream, with or without
 * short streams on new connections. Returns the delay of the detection in
 * milliseconds.
 */
int64_t
MeasureDetectionDelay(Fleet& aFleet, bool aOthersContinue)
{
  const auto longCall = aFleet.Send(OnceRequest("mid-call", 3000));
  cr_assert(longCall->AwaitBytes(2000));
  const size_t index =
    aFleet.Executions(longCall->Mark()).front().mUpstream == "engine-1" ? 0 : 1;
  const int64_t silencedAt = trefoilio::MonotonicNow().Count();
  aFleet.Upstream(index).mUpstreamProxy->Order({ { "silence", "both" } });
  while (aOthersContinue && !longCall->HasEnded()) {
    const auto other = aFleet.Send(ChatRequest("mid-call", 5));
    cr_expect(other->AwaitEnd().mOutcome == CallOutcome::Complete);
  }
  const CallRecord record = longCall->AwaitEnd();
  cr_expect(record.mOutcome == CallOutcome::Failed && record.mRan == "maybe",
            "%s %s",
            Name(record.mOutcome).c_str(),
            record.mKind.c_str());
  cr_expect(aFleet.RunsOf(longCall->Mark()) == 1);
  criterion_info("detected after %ld ms", record.mEnded - silencedAt);
  return record.mEnded - silencedAt;
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

Test(silence, of_an_idle_channel_delays_the_next_request_little)
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
  const int64_t delay = record.mEnded - record.mSent;
  criterion_info("answered after %ld ms", delay);
  cr_assert(delay <= kMaxDetectionDelay, "%ld ms", delay);
}

Test(silence, towards_an_engine_is_found_while_others_go_on)
{
  Fleet fleet(Proxied(1));
  const int64_t delay = MeasureDetectionDelay(fleet, true);
  cr_assert(delay <= kMaxDetectionDelay, "%ld ms", delay);
}

Test(silence, towards_an_engine_that_has_one_call_is_found)
{
  Fleet fleet(Proxied(2));
  const int64_t delay = MeasureDetectionDelay(fleet, false);
  cr_assert(delay <= kMaxSingleCallDetectionDelay, "%ld ms", delay);
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
  const size_t index =
    fleet.Executions(call->Mark()).front().mUpstream == "engine-1" ? 0 : 1;
  fleet.Upstream(index).mUpstreamProxy->Order({ { "silence", "both" } });
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
  const int64_t silencedAt = trefoilio::MonotonicNow().Count();
  const json changed =
    fleet.ChangePolicy({ { { "op", "drain" }, { "upstream", "engine-9" } } });
  cr_assert(changed["status"] == 200 || changed["status"] == 503,
            "%s",
            changed.dump().c_str());
  cr_assert(Await([&] {
    return fleet.PolicyVersion(0) > before && fleet.PolicyVersion(1) > before;
  }));
  const int64_t delay = trefoilio::MonotonicNow().Count() - silencedAt;
  criterion_info("in force after %ld ms", delay);
  cr_assert(delay <= 2 * kMaxDetectionDelay, "%ld ms", delay);
}
