#include "libtrefoilarch/placement.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <optional>
#include <set>

using namespace trefoilarch;

namespace {

constexpr uint64_t kRoom = 16384;
constexpr uint32_t kTokens = 512;

/** Upstreams that are all up, idle and alike. */
class Fleet
{
public:
  explicit Fleet(size_t aCount)
  {
    for (size_t i = 0; i < aCount; i++) {
      Add("engine-" + std::to_string(i));
    }
  }

  void Add(const UpstreamId& aName)
  {
    UpstreamLink& link =
      mLinks.try_emplace(aName, ChannelTimeouts{}).first->second;
    link.mView = { .mName = aName, .mDataCentre = "riga-1", .mLabels = {} };
    link.mHealth.OnUp(Millis());
    link.mHealth.OnWelcome(Millis());
    link.SetLoad({ .mTokenCapacity = kRoom });
  }

  std::vector<UpstreamLink*> Choose(uint64_t aPrefix, size_t aCount)
  {
    if (!mSet) {
      std::vector<UpstreamLink*> members;
      for (auto& [name, link] : mLinks) {
        members.push_back(&link);
      }
      mSet.emplace(std::move(members));
    }
    mNow += Millis(1000);
    return mPlacement.Choose(*mSet, aPrefix, aCount, mUsable, mNow);
  }

  /** The place of each of many prefixes. */
  std::vector<UpstreamId> Homes()
  {
    std::vector<UpstreamId> homes;
    for (uint64_t prefix = 1; prefix <= 500; prefix++) {
      homes.push_back(Choose(prefix, 1).at(0)->mView.mName);
    }
    return homes;
  }

  double LargestCalls() const
  {
    int largest = 0;
    for (const auto& [name, link] : mLinks) {
      largest = std::max(largest, link.mCallsSinceReport);
    }
    return largest;
  }

  static inline const LinkFilter kAny = [](const UpstreamLink&) {
    return true;
  };

  std::map<UpstreamId, UpstreamLink> mLinks;
  std::optional<RankedSet> mSet;
  Placement mPlacement{ { .mDataCentre = "riga-1" } };
  LinkFilter mUsable = kAny;
  Millis mNow;
};

} // namespace

Test(placement, a_prefix_keeps_its_upstream_and_few_move_when_one_goes)
{
  Fleet fleet(12);
  const auto before = fleet.Homes();
  cr_assert(fleet.Homes() == before);
  cr_assert_eq(std::set(before.begin(), before.end()).size(), 12);
  fleet.mSet.reset();
  fleet.mLinks.erase("engine-5");
  const auto after = fleet.Homes();
  for (size_t i = 0; i < before.size(); i++) {
    cr_assert(before[i] == "engine-5" || before[i] == after[i]);
  }
}

Test(placement, one_prefix_cannot_crowd_its_upstream)
{
  Fleet fleet(12);
  constexpr int kRequests = 1200;
  for (int i = 0; i < kRequests; i++) {
    fleet.Choose(7, 1).at(0)->Count(1, kTokens);
  }
  const double mean = kRequests / 12.0;
  const double slackCalls = 0.1 * kRoom / kTokens;
  cr_assert_leq(fleet.LargestCalls(), 1.25 * mean + slackCalls + 1);
}

Test(placement, requests_without_a_prefix_spread_though_no_report_comes)
{
  Fleet fleet(910);
  constexpr int kRequests = 9100;
  for (int i = 0; i < kRequests; i++) {
    fleet.Choose(0, 1).at(0)->Count(1, kTokens);
  }
  cr_assert_leq(fleet.LargestCalls(), 20, "twice the mean");
}

Test(placement, the_busier_and_the_farther_are_not_taken)
{
  Fleet fleet(4);
  fleet.mLinks.at("engine-0")
    .SetLoad({ .mTokensInFlight = kRoom / 2, .mTokenCapacity = kRoom });
  fleet.mLinks.at("engine-1").mView.mDataCentre = "riga-2";
  fleet.mLinks.at("engine-2").mRoundTrip = Millis(40);
  for (int i = 0; i < 20; i++) {
    cr_assert(fleet.Choose(0, 1).at(0)->mView.mName == "engine-3");
  }
}

Test(placement, chosen_are_distinct_usable_and_found_if_there_are_any)
{
  const bool holds = rc::check(
    "chosen are distinct, usable, and found if there are any",
    [](uint8_t aSize, uint64_t aPrefix, std::set<uint8_t> aUsable) {
      Fleet fleet(aSize);
      fleet.mUsable = [&](const UpstreamLink& aLink) {
        const std::string& name = aLink.mView.mName;
        const auto number = std::stoul(name.substr(name.find('-') + 1));
        return aUsable.contains(static_cast<uint8_t>(number));
      };
      const size_t usable = static_cast<size_t>(
        std::count_if(aUsable.begin(), aUsable.end(), [&](uint8_t aNumber) {
          return aNumber < aSize;
        }));
      const auto chosen = fleet.Choose(aPrefix, 2);
      RC_ASSERT(chosen.size() == std::min<size_t>(usable, 2));
      RC_ASSERT(std::set(chosen.begin(), chosen.end()).size() == chosen.size());
      for (const UpstreamLink* link : chosen) {
        RC_ASSERT(fleet.mUsable(*link));
      }
    });
  cr_assert(holds);
}
