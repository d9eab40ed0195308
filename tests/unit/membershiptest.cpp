#include "libtrefoilarch/membershipview.h"
#include "libtrefoilarch/subset.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <random>

using namespace trefoilarch;

namespace {

SidecarMember
Sidecar(size_t aNumber, const std::string& aGroup = "", bool aLeaving = false)
{
  const std::string name = std::to_string(aNumber);
  return { "engine-" + name, "10.0.0." + name, "riga-1", aLeaving, aGroup };
}

std::vector<SidecarMember>
Sidecars(size_t aCount, size_t aGroups = 1)
{
  std::vector<SidecarMember> all;
  for (size_t each = 0; each < aCount; ++each) {
    all.push_back(Sidecar(each, "model-" + std::to_string(each % aGroups)));
  }
  std::sort(all.begin(), all.end());
  return all;
}

bool
Has(const std::vector<SidecarMember>& aAll, const std::string& aUpstream)
{
  return std::any_of(aAll.begin(), aAll.end(), [&](const auto& aMember) {
    return aMember.mUpstream == aUpstream;
  });
}

/** Number of members of aOld that are not in aNew. */
size_t
CountMissing(const std::vector<SidecarMember>& aOld,
             const std::vector<SidecarMember>& aNew)
{
  return std::count_if(aOld.begin(), aOld.end(), [&](const auto& aMember) {
    return !Has(aNew, aMember.mUpstream);
  });
}

Membership
Listed(const std::vector<SidecarMember>& aSidecars)
{
  return { aSidecars, {} };
}

} // namespace

Test(subset, a_change_replaces_at_most_one_member)
{
  const bool holds = rc::check([](uint32_t aSeed) {
    std::mt19937 random(aSeed);
    const size_t count = 1 + random() % 60;
    const size_t size = 1 + random() % 20;
    const std::string entry = "entry-" + std::to_string(random() % 100);
    const auto all = Sidecars(count);
    const auto before = ChooseSubset(entry, all, size);
    RC_ASSERT(before.size() == std::min(count, size));

    auto fewer = all;
    const size_t place = random() % count;
    const std::string gone = fewer[place].mUpstream;
    fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(place));
    const auto after = ChooseSubset(entry, fewer, size);
    RC_ASSERT(CountMissing(before, after) == (Has(before, gone) ? 1U : 0U));

    auto leaving = all;
    leaving[place].mLeaving = true;
    const auto during = ChooseSubset(entry, leaving, size);
    RC_ASSERT(CountMissing(before, during) == 0U);
    RC_ASSERT(CountMissing(after, during) == 0U);
  });
  cr_assert(holds);
}

/** With 340 entries and 910 sidecars of 8 models, 24 of each per entry. */
Test(subset, load_is_even_with_340_entries_and_910_sidecars)
{
  constexpr size_t kEntries = 340;
  constexpr size_t kSidecars = 910;
  constexpr size_t kModels = 8;
  constexpr size_t kSize = 24;
  const auto all = Sidecars(kSidecars, kModels);
  std::map<std::string, size_t> channels;
  for (size_t entry = 0; entry < kEntries; ++entry) {
    const auto chosen =
      ChooseSubset("entry-" + std::to_string(entry), all, kSize);
    cr_assert(chosen.size() == kModels * kSize);
    for (const SidecarMember& member : chosen) {
      ++channels[member.mUpstream];
    }
  }
  const double mean =
    double(kEntries) * kModels * kSize / static_cast<double>(kSidecars);
  size_t maxChannels = 0;
  size_t minChannels = kEntries;
  for (const SidecarMember& member : all) {
    maxChannels = std::max(maxChannels, channels[member.mUpstream]);
    minChannels = std::min(minChannels, channels[member.mUpstream]);
  }
  cr_log_info("channels of a sidecar: %zu to %zu, mean %.1f",
              minChannels,
              maxChannels,
              mean);
  cr_assert(maxChannels < 1.4 * mean, "%zu of %f", maxChannels, mean);
  cr_assert(minChannels > 0.6 * mean, "%zu of %f", minChannels, mean);
}

Test(membershipview, leaving_takes_effect_at_once)
{
  MembershipView view({});
  view.OnList(Listed({ Sidecar(1) }), Millis(0));
  const auto& now = view.OnList(Listed({ Sidecar(1, "", true) }), Millis(1));
  cr_assert(now.mSidecars.size() == 1 && now.mSidecars[0].mLeaving);
}

Test(membershipview, a_host_missing_from_one_read_is_kept)
{
  MembershipView view({});
  const Membership both = Listed({ Sidecar(1), Sidecar(2) });
  view.OnList(both, Millis(0));
  const Membership member = Listed({ Sidecar(1) });
  cr_assert(view.OnList(member, Millis(1000)) == both);
  cr_assert(view.OnList(both, Millis(2000)) == both);
  cr_assert(view.OnList(member, Millis(3000)) == both);
  cr_assert(view.OnList(member, Millis(4000)) == member);
  cr_assert(view.Missing() == 0);
}

Test(membershipview, a_fleet_that_vanishes_at_once_is_kept_for_a_while)
{
  MembershipView view({});
  const Membership all = Listed(Sidecars(12));
  view.OnList(all, Millis(0));
  cr_assert(view.OnList({}, Millis(1000)) == all);
  cr_assert(view.OnList({}, Millis(20000)) == all);
  cr_assert(view.OnList({}, Millis(31000)).mSidecars.empty());
  cr_assert(view.OnList(all, Millis(32000)) == all);
}
