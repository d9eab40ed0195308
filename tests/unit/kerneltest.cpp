#include "libtrefoilio/kernel.h"

#include <criterion/criterion.h>

#include <stdexcept>

using namespace trefoilio;

namespace {

/** Records its starts, stops and destruction. */
class RecordingService : public Service
{
public:
  RecordingService(std::string aName,
                   std::string& aEvents,
                   std::string aDependency = "")
    : mName(std::move(aName))
    , mEvents(aEvents)
    , mDependency(std::move(aDependency))
  {
  }
  ~RecordingService() override { mEvents += "~" + mName; }

  void Start(Kernel& aKernel) override
  {
    if (!mDependency.empty()) {
      mEvents += aKernel.Find<RecordingService>(mDependency).mName + "<";
    }
    mEvents += "+" + mName;
  }
  void Stop() override { mEvents += "-" + mName; }
  std::string DumpState() const override { return "{\"on\":true}"; }

private:
  const std::string mName;
  std::string& mEvents;
  const std::string mDependency;
};

} // namespace

Test(kernel, starts_in_order_and_stops_in_reverse_order)
{
  std::string events;
  {
    Kernel kernel;
    kernel.Register("a", std::make_unique<RecordingService>("a", events));
    kernel.Register("b\"",
                    std::make_unique<RecordingService>("b", events, "a"));
    kernel.StartAll();
    cr_assert(kernel.DumpState() ==
              "{\"a\":{\"on\":true},\"b\\\"\":{\"on\":true}}");
  }
  cr_assert(events == "+aa<+b-b-a~b~a", "%s", events.c_str());
}

Test(kernel, failed_start_stops_the_started_services)
{
  std::string events;
  Kernel kernel;
  kernel.Register("a", std::make_unique<RecordingService>("a", events));
  kernel.Register("b",
                  std::make_unique<RecordingService>("b", events, "missing"));
  bool thrown = false;
  try {
    kernel.StartAll();
  } catch (const std::out_of_range&) {
    thrown = true;
  }
  cr_assert(thrown);
  cr_assert(events == "+a-a");
  thrown = false;
  try {
    kernel.Register("a", std::make_unique<RecordingService>("a", events));
  } catch (const std::invalid_argument&) {
    thrown = true;
  }
  cr_assert(thrown);
}
