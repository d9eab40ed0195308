#include "libtrefoilarch/placement.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <optional>
#include <set>

using namespace trefoilarch;

namespace {

constexpr uint64_t kCapacity = 16384;
constexpr uint32_t kTokens = 512;

/** Upstreams that are all connected, idle and identical. */
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
    link.SetLoad({ .mTokenCapacity = kCapacity });
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

  /** Of 500 prefixes. */
  std::vector<UpstreamId> PreferredUpstreams()
  {
    std::vector<UpstreamId> preferred;
    for (uint64_t prefix = 1; prefix <= 500; prefix++) {
      preferred.push_back(Choose(prefix, 1).at(0)->mView.mName);
    }
    return preferred;
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

Test(placement, a_prefix_keeps_its_upstream_when_another_leaves)
{
  Fleet fleet(12);
  const auto before = fleet.PreferredUpstreams();
  cr_assert(fleet.PreferredUpstreams() == before);
  cr_assert_eq(std::set(before.begin(), before.end()).size(), 12);
  fleet.mSet.reset();
  fleet.mLinks.erase("engine-5");
  const auto after = fleet.PreferredUpstreams();
  for (size_t i = 0; i < before.size(); i++) {
    cr_assert(before[i] == "engine-5" || before[i] == after[i]);
  }
}

Test(placement, one_prefix_cannot_overload_its_upstream)
{
  Fleet fleet(12);
  constexpr int kRequests = 1200;
  for (int i = 0; i < kRequests; i++) {
    fleet.Choose(7, 1).at(0)->Count(1, kTokens);
  }
  const double mean = kRequests / 12.0;
  const double slackCalls = 0.1 * kCapacity / kTokens;
  cr_assert_leq(fleet.LargestCalls(), 1.25 * mean + slackCalls + 1);
}

Test(placement, requests_without_a_prefix_spread_without_reports)
{
  Fleet fleet(910);
  constexpr int kRequests = 9100;
  for (int i = 0; i < kRequests; i++) {
    fleet.Choose(0, 1).at(0)->Count(1, kTokens);
  }
  cr_assert_leq(fleet.LargestCalls(), 20, "twice the mean");
}

Test(placement, busy_and_distant_upstreams_are_avoided)
{
  Fleet fleet(4);
  fleet.mLinks.at("engine-0")
    .SetLoad({ .mTokensInFlight = kCapacity / 2, .mTokenCapacity = kCapacity });
  fleet.mLinks.at("engine-1").mView.mDataCentre = "riga-2";
  fleet.mLinks.at("engine-2").mRoundTrip = Millis(40);
  for (int i = 0; i < 20; i++) {
    cr_assert(fleet.Choose(0, 1).at(0)->mView.mName == "engine-3");
  }
}

Test(placement, chosen_upstreams_are_distinct_and_usable)
{
  const bool holds = rc::check(
    "chosen upstreams are distinct and usable",
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
