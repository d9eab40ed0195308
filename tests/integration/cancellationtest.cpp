#include "await.h"
#include "fleet.h"
#include "httpcall.h"

#include "libtrefoilio/systemclock.h"

#include <criterion/criterion.h>

using namespace integration;
using trefoilarch::Millis;
using trefoilload::CallOutcome;

namespace {

/** The target is one second; the rest allows for a busy machine. */
constexpr int64_t kMaxStopDelay = 2000;

ExecutionRecord
OnlyExecution(const Fleet& aFleet, const std::string& aMark)
{
  const auto all = aFleet.Executions(aMark);
  return all.size() == 1 ? all.front() : ExecutionRecord();
}

/** Disconnects; returns how long the upstream ran on, in milliseconds. */
int64_t
MeasureStopDelay(const Fleet& aFleet, OpenCall& aCall)
{
  const int64_t leftAt = trefoilio::MonotonicNow().Count();
  aCall.Leave();
  cr_assert(
    Await([&] { return OnlyExecution(aFleet, aCall.Mark()).mCancelled; }));
  return OnlyExecution(aFleet, aCall.Mark()).mEndTime - leftAt;
}

} // namespace

Test(cancellation, a_caller_that_leaves_stops_the_engine)
{
  Fleet fleet({});
  for (const bool stream : { true, false }) {
    const auto call = fleet.Send(ChatRequest("mid-call", 5000, stream));
    cr_assert(
      Await([&] { return OnlyExecution(fleet, call->Mark()).mTokens > 20; }));
    const int64_t stopDelay = MeasureStopDelay(fleet, *call);
    criterion_info("stream %d: stopped after %ld ms", stream, stopDelay);
    cr_assert(
      stopDelay <= kMaxStopDelay, "stream %d: %ld ms", stream, stopDelay);
  }
}

Test(cancellation, a_silent_engine_is_cancelled_too)
{
  Fleet fleet({});
  const auto call = fleet.Send(ChatRequest("mid-call", 5000));
  cr_assert(call->AwaitBytes(500));
  fleet.Upstream().Control({ { "slow", 1000.0 } });
  const int64_t stopDelay = MeasureStopDelay(fleet, *call);
  cr_assert(stopDelay <= kMaxStopDelay, "%ld ms", stopDelay);
}

Test(cancellation, a_caller_that_leaves_the_queue_is_never_run)
{
  Fleet fleet({ .mSidecarFlags = { "--most-running", "1" } });
  const auto running = fleet.Send(ChatRequest("drafting", 400));
  cr_assert(running->AwaitBytes(300));
  const auto waiting = fleet.Send(ChatRequest("drafting", 50));
  const std::string mark = waiting->Mark();
  waiting->Leave();
  cr_assert(running->AwaitEnd().mOutcome == CallOutcome::Complete);
  const auto next = fleet.Send(ChatRequest("drafting", 20));
  cr_assert(next->AwaitEnd().mOutcome == CallOutcome::Complete);
  cr_assert(fleet.RunsOf(mark) == 0);
}

Test(cancellation, a_deadline_that_passes_stops_the_engine)
{
  Fleet fleet({});
  const auto call = fleet.Send(ChatRequest("mid-call", 60),
                               0,
                               { { "X-Trefoilarch-Deadline-Ms", "1500" } });
  cr_assert(call->AwaitBytes(300));
  fleet.Upstream().Control({ { "slow", 100.0 } });
  const auto record = call->AwaitEnd();
  cr_assert(record.mOutcome == CallOutcome::Failed);
  cr_assert(record.mKind == "deadline_exceeded", "%s", record.mKind.c_str());
  cr_assert(record.mEnded - record.mSent <= 1500 + kMaxStopDelay);
  cr_assert(
    Await([&] { return OnlyExecution(fleet, call->Mark()).mCancelled; }));
}

Test(cancellation, a_caller_that_leaves_stops_a_service_call)
{
  Fleet fleet({ .mServices = 1 });
  fleet.Upstream(1).Control({ { "delay_ms", 8000 } });
  auto request = BookingRequest();
  request.mIdempotent = true;
  const auto call = fleet.Send(request);
  cr_assert(Await([&] { return fleet.RunsOf(call->Mark()) == 1; }));
  const int64_t stopDelay = MeasureStopDelay(fleet, *call);
  cr_assert(stopDelay <= kMaxStopDelay, "%ld ms", stopDelay);
}

Test(cancellation, a_keyed_call_continues_for_its_repeat)
{
  Fleet fleet({ .mServices = 1 });
  fleet.Upstream(1).Control({ { "delay_ms", 1500 } });
  const auto first = fleet.SendMarked(BookingRequest(), "seat", 0);
  cr_assert(Await([&] { return fleet.RunsOf("seat") == 1; }));
  first->Leave();
  cr_assert(Await([&] { return OnlyExecution(fleet, "seat").mFinished; }));
  cr_assert(!OnlyExecution(fleet, "seat").mCancelled);
  std::string lastOutcome;
  cr_assert(Await([&] {
              const auto repeat = fleet.SendMarked(BookingRequest(), "seat", 0);
              const auto record = repeat->AwaitEnd();
              lastOutcome = Name(record.mOutcome) + " " + record.mKind;
              return record.mOutcome == CallOutcome::Complete;
            }),
            "%s",
            lastOutcome.c_str());
  cr_assert(fleet.RunsOf("seat") == 1);
}
