#include "libtrefoilarch/outlierdetector.h"

#include "virtualfleet.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace trefoilarch;

namespace {

constexpr Millis kUsualTime{ 100 };

UpstreamId
NameOf(size_t aNumber)
{
  return "engine-" + std::to_string(aNumber);
}

/** A detector with upstreams of one group that were healthy so far. */
class Group
{
public:
  explicit Group(size_t aSize, const std::string& aName = "base")
    : mSize(aSize)
  {
    for (size_t i = 0; i < aSize; i++) {
      mDetector.Add(NameOf(i), aName);
    }
    for (int i = 0; i < 20; i++) {
      AnswerAll(kUsualTime);
    }
  }

  void AnswerAll(Millis aDuration)
  {
    for (size_t i = 0; i < mSize; i++) {
      mDetector.OnFirstToken(NameOf(i), aDuration, mNow);
    }
    mNow += Millis(1000);
  }

  void Fail(size_t aNumber, int aCount = 1)
  {
    for (int i = 0; i < aCount; i++) {
      mDetector.OnFailure(NameOf(aNumber), mNow);
    }
  }

  OutlierState State(size_t aNumber) const
  {
    return mDetector.State(NameOf(aNumber), mNow);
  }

  size_t Ejected() const
  {
    size_t ejected = 0;
    for (size_t i = 0; i < mSize; i++) {
      ejected += State(i) == OutlierState::Ejected ? 1 : 0;
    }
    return ejected;
  }

  size_t mSize;
  OutlierDetector mDetector{ {} };
  Millis mNow{ 1000 };
};

} // namespace

Test(outlierdetector, failures_eject_and_probes_restore)
{
  Group group(6);
  group.Fail(2, 4);
  cr_assert(group.State(2) == OutlierState::Healthy);
  group.Fail(2);
  cr_assert(group.State(2) == OutlierState::Ejected);
  group.mNow += Millis(5000);
  cr_assert(group.State(2) == OutlierState::Probing);
  group.Fail(2);
  group.mNow += Millis(9999);
  cr_assert(group.State(2) == OutlierState::Ejected, "twice as long");
  group.mNow += Millis(1);
  group.mDetector.OnFirstToken(NameOf(2), kUsualTime, group.mNow);
  cr_assert(group.State(2) == OutlierState::Healthy);
}

Test(outlierdetector, ejects_a_slow_member_but_not_a_slow_group)
{
  Group group(6);
  for (int i = 0; i < 20; i++) {
    group.mDetector.OnFirstToken(NameOf(1), kUsualTime * 10, group.mNow);
  }
  cr_assert(group.State(1) == OutlierState::Ejected);
  cr_assert_eq(group.Ejected(), 1);

  Group slow(6);
  for (int i = 0; i < 100; i++) {
    slow.AnswerAll(kUsualTime * 10);
  }
  cr_assert_eq(slow.Ejected(), 0);
}

Test(outlierdetector, limits_the_ejected_share)
{
  const bool holds =
    rc::check("limits the ejected share",
              [](const std::vector<std::pair<uint8_t, uint16_t>>& aResults) {
                Group group(12);
                for (const auto& [number, duration] : aResults) {
                  group.Fail(number % 12, 5);
                  group.mDetector.OnFirstToken(
                    NameOf(duration % 12), Millis(duration), group.mNow);
                  group.mNow += Millis(duration % 3000);
                  RC_ASSERT(group.Ejected() <= 4U);
                }
              });
  cr_assert(holds);
  Group all(12, "");
  for (size_t i = 0; i < 12; i++) {
    all.Fail(i, 20);
  }
  cr_assert_eq(all.Ejected(), 4);
}

Test(outlierdetector, an_upstream_that_rejects_all_gets_few_requests)
{
  VirtualFleet fleet(1, 3, {}, AnyUpstream());
  fleet.SetEngine(NameOf(0), { .mRefuse = 1 });
  for (int i = 0; i < 600; i++) {
    fleet.At(Millis(2000 + i * 100),
             [&fleet] { fleet.SendRequest(true, Millis(20000)); });
  }
  fleet.Run(Millis(90000));
  cr_assert_leq(fleet.Calls().at(NameOf(0)), 20);
  int complete = 0;
  for (const auto& [id, caller] : fleet.Callers()) {
    complete += caller.mComplete ? 1 : 0;
  }
  cr_assert_geq(complete, 599);
}

Test(outlierdetector, a_restarted_sidecar_gets_requests_at_once)
{
  VirtualFleet fleet(1, 3, {}, AnyUpstream());
  for (int i = 0; i < 200; i++) {
    fleet.At(Millis(2000 + i * 10),
             [&fleet] { fleet.SendRequest(true, Millis(20000)); });
  }
  fleet.At(Millis(3000), [&fleet] { fleet.Restart(NameOf(0)); });
  fleet.Run(Millis(3900));
  const int before = fleet.Calls().at(NameOf(0));
  fleet.Run(Millis(4100));
  cr_assert_gt(fleet.Calls().at(NameOf(0)), before);
}
