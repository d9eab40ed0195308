#include "await.h"
#include "fleet.h"
#include "httpcall.h"

#include <criterion/criterion.h>

using namespace integration;
using trefoilload::CallOutcome;
using trefoilload::CallRecord;

namespace {

FleetOptions
Small()
{
  FleetOptions options;
  options.mEngines = 2;
  options.mServices = 1;
  options.mEntries = 2;
  return options;
}

} // namespace

Test(endtoend, answers_are_whole_streamed_and_not)
{
  Fleet fleet(Small());
  for (size_t entry = 0; entry < 2; ++entry) {
    const auto streamed = fleet.Send(ChatRequest("mid-call", 40), entry);
    const auto whole = fleet.Send(ChatRequest("drafting", 60, false), entry);
    const auto once = fleet.Send(OnceRequest("drafting", 10), entry);
    const auto booking = fleet.Send(BookingRequest(), entry);
    for (const auto* call : { &streamed, &whole, &once, &booking }) {
      const CallRecord record = (*call)->AwaitEnd();
      cr_assert(record.mOutcome == CallOutcome::Whole,
                "%s: %s",
                Name(record.mOutcome).c_str(),
                (*call)->Body().c_str());
      cr_assert(record.mRequestId.size() == 32);
      cr_assert(fleet.RunsOf((*call)->Mark()) == 1);
    }
  }
}
