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

Test(upstreamlimits, the_latest_response_decides)
{
  UpstreamLimits limits;
  limits.OnAnswer("u", Named(1.5), Millis(90), Millis(100));
  cr_expect(limits.Of("u") == 1.5);
  limits.OnPeerReport({ "u", 3, Millis(500) }, Millis(200));
  cr_expect(limits.Of("u") == 1.5, "the report is older");
  limits.OnPeerReport({ "u", 3, Millis(50) }, Millis(200));
  cr_expect(limits.Of("u") == 3);
  cr_expect(limits.LimitedSince("u") == Millis(100));
  cr_expect(limits.Limited() == 1);
}

Test(upstreamlimits, a_late_response_to_an_earlier_request_ends_no_limit)
{
  UpstreamLimits limits;
  limits.OnAnswer("u", Named(1.5), Millis(90), Millis(100));
  limits.OnAnswer("u", std::nullopt, Millis(80), Millis(110));
  cr_expect(limits.Of("u") == 1.5);
  limits.OnAnswer("u", std::nullopt, Millis(120), Millis(130));
  cr_expect(!limits.Of("u"));
  limits.OnPeerReport({ "u", 1.5, Millis(100) }, Millis(200));
  cr_expect(!limits.Of("u"), "an older response of another entry is ignored");
}

Test(upstreamlimits, begin_and_end_of_a_limit_are_reported_to_peers)
{
  UpstreamLimits sender;
  UpstreamLimits receiver;
  const auto send = [&](Millis aNow) {
    for (const LimitReport& each : sender.TakeReports(aNow)) {
      receiver.OnPeerReport(each, aNow);
    }
  };
  sender.OnAnswer("u", Named(0), Millis(90), Millis(100));
  cr_expect(sender.HasUpdate());
  send(Millis(110));
  cr_expect(!sender.HasUpdate());
  cr_expect(receiver.Of("u") == 0);
  cr_expect(receiver.HasUpdate(),
            "it reports to entries that the first can't reach");
  sender.OnAnswer("u", std::nullopt, Millis(200), Millis(210));
  send(Millis(220));
  cr_expect(!receiver.Of("u"));
}

Test(upstreamlimits, an_unchanged_limit_is_reported_repeatedly)
{
  UpstreamLimits limits;
  limits.OnAnswer("u", Named(2), Millis(90), Millis(100));
  cr_expect(limits.TakeReports(Millis(100)).size() == 1);
  cr_expect(limits.TakeReports(Millis(2099)).empty());
  cr_expect(limits.TakeReports(Millis(2100)).size() == 1);
  cr_expect(limits.TakeReports(Millis(70000)).empty(), "no recent requests");
  cr_expect(!limits.Of("u"));
}

Test(upstreamlimits, an_unreadable_limit_changes_nothing_and_is_logged_once)
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

Test(upstreamlimits, reports_beyond_the_maximum_are_sent_next)
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
