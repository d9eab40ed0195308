#include "libtrefoilarch/upstreamlimits.h"

#include <criterion/criterion.h>

using namespace trefoilarch;

namespace {

std::optional<NamedLimit>
Named(double aPerSecond)
{
  return NamedLimit{ .mPerSecond = aPerSecond };
}

} // namespace

Test(upstreamlimits, the_newest_answer_decides)
{
  UpstreamLimits limits;
  limits.OnAnswer("u", Named(1.5), Millis(90), Millis(100));
  cr_expect(limits.Of("u") == 1.5);
  limits.OnPeerReport({ "u", 3, Millis(500) }, Millis(200));
  cr_expect(limits.Of("u") == 1.5, "what is told is older");
  limits.OnPeerReport({ "u", 3, Millis(50) }, Millis(200));
  cr_expect(limits.Of("u") == 3);
  cr_expect(limits.LimitedSince("u") == Millis(100));
  cr_expect(limits.Limited() == 1);
}

Test(upstreamlimits, a_late_answer_from_before_ends_no_limit)
{
  UpstreamLimits limits;
  limits.OnAnswer("u", Named(1.5), Millis(90), Millis(100));
  limits.OnAnswer("u", std::nullopt, Millis(80), Millis(110));
  cr_expect(limits.Of("u") == 1.5);
  limits.OnAnswer("u", std::nullopt, Millis(120), Millis(130));
  cr_expect(!limits.Of("u"));
  limits.OnPeerReport({ "u", 1.5, Millis(100) }, Millis(200));
  cr_expect(!limits.Of("u"), "another entry's older answer brings none back");
}

Test(upstreamlimits, one_that_sent_nothing_hears_of_begin_and_end)
{
  UpstreamLimits teller;
  UpstreamLimits hearer;
  const auto tell = [&](Millis aNow) {
    for (const LimitReport& each : teller.TakeReports(aNow)) {
      hearer.OnPeerReport(each, aNow);
    }
  };
  teller.OnAnswer("u", Named(0), Millis(90), Millis(100));
  cr_expect(teller.HasUpdate());
  tell(Millis(110));
  cr_expect(!teller.HasUpdate());
  cr_expect(hearer.Of("u") == 0);
  cr_expect(hearer.HasUpdate(), "it tells those that the first can't reach");
  teller.OnAnswer("u", std::nullopt, Millis(200), Millis(210));
  tell(Millis(220));
  cr_expect(!hearer.Of("u"));
}

Test(upstreamlimits, what_has_not_changed_is_told_again_now_and_then)
{
  UpstreamLimits limits;
  limits.OnAnswer("u", Named(2), Millis(90), Millis(100));
  cr_expect(limits.TakeReports(Millis(100)).size() == 1);
  cr_expect(limits.TakeReports(Millis(2099)).empty());
  cr_expect(limits.TakeReports(Millis(2100)).size() == 1);
  cr_expect(limits.TakeReports(Millis(70000)).empty(), "nobody asks there now");
  cr_expect(!limits.Of("u"));
}

Test(upstreamlimits, what_is_no_number_leaves_the_limit_and_is_said_once)
{
  UpstreamLimits limits;
  limits.OnAnswer("u", Named(2), Millis(90), Millis(100));
  cr_expect(limits.TakeChanges().size() == 1);
  limits.OnAnswer("u", NamedLimit{}, Millis(190), Millis(200));
  limits.OnAnswer("u", NamedLimit{}, Millis(290), Millis(300));
  cr_expect(limits.Of("u") == 2);
  const auto changes = limits.TakeChanges();
  cr_assert(changes.size() == 1);
  cr_expect(changes.front().mUnreadable);
}

Test(upstreamlimits, what_finds_no_room_is_told_next)
{
  UpstreamLimits limits;
  constexpr size_t kAll = 2 * UpstreamLimits::kMaxReports;
  for (size_t each = 0; each < kAll; ++each) {
    limits.OnAnswer(
      "u" + std::to_string(each), Named(2), Millis(90), Millis(100));
  }
  const auto first = limits.TakeReports(Millis(110));
  const auto second = limits.TakeReports(Millis(120));
  cr_expect(first.size() + second.size() == kAll);
  cr_expect(first.front().mUpstream != second.front().mUpstream);
  cr_expect(limits.TakeReports(Millis(130)).empty());
}
