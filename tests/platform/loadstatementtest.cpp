#include "platformfleet.h"

#include "integration/await.h"

#include "platformdialect.h"

#include <criterion/criterion.h>

using namespace platformtest;
using trefoilarch::LoadStatement;
using trefoilarch::ReportedLoad;

namespace {

constexpr ReportedLoad kLoad{ .mRunning = 12, .mWaiting = 3, .mSlots = 64 };

LoadStatement
StatementOf(const std::string& aReport)
{
  return trefoilplatform::PlatformDialect().mLoad(
    { .mStatus = 200, .mHeaders = { { "X-Instance-Load", aReport } } });
}

} // namespace

Test(loadstatement, a_report_without_further_figures_is_read)
{
  cr_expect(StatementOf("12,3,64") == LoadStatement{ .mLoad = kLoad });
  cr_expect(StatementOf(" 12, 3 ,64 ") == LoadStatement{ .mLoad = kLoad });
}

Test(loadstatement, the_fourth_figure_is_the_contention)
{
  const LoadStatement expected{ .mLoad = kLoad, .mContention = 4.8 };
  cr_expect(StatementOf("12,3,64,480") == expected);
  cr_expect(StatementOf("12,3,64,480,7,x") == expected);
}

Test(loadstatement, an_invalid_fourth_figure_does_not_discard_the_load)
{
  const LoadStatement expected{ .mLoad = kLoad, .mInvalid = true };
  for (const char* fourth :
       { "-5", "0", "nan", "inf", "1e9", "x", " ", "1 2" }) {
    cr_expect(
      StatementOf(std::string("12,3,64,") + fourth) == expected, "%s", fourth);
  }
}

Test(loadstatement, an_unreadable_report_states_only_that)
{
  const LoadStatement expected{ .mInvalid = true };
  for (const char* report : { "",
                              ",",
                              "12",
                              "12,3",
                              "12,,64",
                              ",3,64",
                              "-1,3,64",
                              "12,3,0",
                              "12,3,x",
                              "1.5,3,64",
                              "nan,3,64",
                              "12,3,1000001",
                              "99999999999,3,64,100" }) {
    cr_expect(StatementOf(report) == expected, "%s", report);
  }
}

Test(loadstatement, no_report_states_nothing)
{
  cr_expect(trefoilplatform::PlatformDialect().mLoad({ .mStatus = 200 }) ==
            LoadStatement{});
}

Test(loadstatement, unreadable_reports_are_counted_and_logged, .timeout = 60)
{
  const PlatformFleet fleet({ .mWorkers = 1 });
  fleet.SetLoadSuffix(0, "00000000000");
  for (int call = 0; call < 5; ++call) {
    cr_expect(fleet.Call({ .mId = std::to_string(call) }).mStatus == 200);
  }
  const auto countLines = [&] {
    return fleet.LogOf(0, "load_report_unreadable").size();
  };
  // The log is written by a thread of its own.
  cr_assert(integration::Await([&] { return countLines() > 0; }), "no line");
  const size_t lines = countLines();
  cr_expect(lines >= 1 && lines <= 3, "%zu lines", lines);
}
