#include "libtrefoilio/kernel.h"

#include <criterion/criterion.h>

#include <stdexcept>

using namespace trefoilio;

namespace {

/** Notes what happens to it. */
class Noted : public Service
{
public:
  Noted(std::string aName, std::string& aNotes, std::string aNeeds = "")
    : mName(std::move(aName))
    , mNotes(aNotes)
    , mNeeds(std::move(aNeeds))
  {
  }
  ~Noted() override { mNotes += "~" + mName; }

  void Start(Kernel& aKernel) override
  {
    if (!mNeeds.empty()) {
      mNotes += aKernel.Find<Noted>(mNeeds).mName + "<";
    }
    mNotes += "+" + mName;
  }
  void Stop() override { mNotes += "-" + mName; }
  std::string DumpState() const override { return "{\"on\":true}"; }

private:
  const std::string mName;
  std::string& mNotes;
  const std::string mNeeds;
};

} // namespace

Test(kernel, starts_in_order_and_stops_in_the_opposite)
{
  std::string notes;
  {
    Kernel kernel;
    kernel.Register("a", std::make_unique<Noted>("a", notes));
    kernel.Register("b\"", std::make_unique<Noted>("b", notes, "a"));
    kernel.StartAll();
    cr_assert(kernel.DumpState() ==
              "{\"a\":{\"on\":true},\"b\\\"\":{\"on\":true}}");
  }
  cr_assert(notes == "+aa<+b-b-a~b~a", "%s", notes.c_str());
}

Test(kernel, failed_start_stops_what_had_started)
{
  std::string notes;
  Kernel kernel;
  kernel.Register("a", std::make_unique<Noted>("a", notes));
  kernel.Register("b", std::make_unique<Noted>("b", notes, "missing"));
  bool thrown = false;
  try {
    kernel.StartAll();
  } catch (const std::out_of_range&) {
    thrown = true;
  }
  cr_assert(thrown);
  cr_assert(notes == "+a-a");
  thrown = false;
  try {
    kernel.Register("a", std::make_unique<Noted>("a", notes));
  } catch (const std::invalid_argument&) {
    thrown = true;
  }
  cr_assert(thrown);
}
