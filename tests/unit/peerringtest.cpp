#include "libtrefoilarch/peerring.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace trefoilarch;

namespace {

std::vector<std::string>
Names(size_t aCount)
{
  std::vector<std::string> names;
  names.reserve(aCount);
  for (size_t each = 0; each < aCount; ++each) {
    names.push_back("gate-" + std::to_string(1000 + each));
  }
  return names;
}

bool
SendsTo(const std::string& aFrom,
        const std::string& aTo,
        const std::vector<std::string>& aNames)
{
  const PeerRing ring(aFrom, aNames);
  const auto& others = ring.Others();
  const size_t receivers = std::min(PeerRing::kMaxReceivers, others.size());
  const auto end = others.begin() + static_cast<std::ptrdiff_t>(receivers);
  return std::find(others.begin(), end, aTo) != end;
}

} // namespace

/** The senders that an entry expects are exactly those that send to it. */
Test(peerring, expected_senders_are_the_actual_senders)
{
  for (const size_t count : { 2, 5, 41, 42, 100 }) {
    const auto names = Names(count);
    for (const std::string& own : names) {
      const auto senders = PeerRing(own, names).Senders();
      cr_expect(senders.size() == std::min(PeerRing::kMaxReceivers, count - 1));
      for (const std::string& other : names) {
        const bool isSender =
          std::find(senders.begin(), senders.end(), other) != senders.end();
        cr_expect(other == own || isSender == SendsTo(other, own, names));
      }
    }
  }
}

/** Each entry receives changes from three that poll the store, or all poll. */
Test(peerring, each_entry_receives_changes_from_enough_pollers)
{
  for (const size_t count : { 1, 2, 3, 5, 18, 41, 42, 103, 340 }) {
    const auto names = Names(count);
    size_t pollers = 0;
    for (const std::string& own : names) {
      const PeerRing ring(own, names);
      pollers += ring.PollsStore() ? 1 : 0;
      size_t sources = ring.PollsStore() ? 1 : 0;
      for (const std::string& sender : ring.Senders()) {
        sources += PeerRing(sender, names).PollsStore() ? 1 : 0;
      }
      cr_expect(
        sources >= std::min<size_t>(3, count), "%zu of %zu", sources, count);
    }
    cr_expect(pollers <= 3 + count / 13, "%zu of %zu", pollers, count);
  }
  cr_expect(PeerRing("new", Names(50)).PollsStore(),
            "it receives no updates yet");
}

Test(peerring, an_unlisted_entry_has_its_position)
{
  const PeerRing ring("gate-1001x", Names(4));
  const std::vector<std::string> others = {
    "gate-1002", "gate-1003", "gate-1000", "gate-1001"
  };
  cr_expect(ring.Others() == others);
  cr_expect(PeerRing("gate", {}).Senders().empty());
}

Test(peerring, few_coordinators_change_if_an_entry_is_added)
{
  for (const size_t count : { 1, 2, 3, 4, 32, 340 }) {
    const auto before = PeerRing("x", Names(count)).Coordinators();
    const auto after = PeerRing("x", Names(count + 1)).Coordinators();
    cr_expect(before.size() == std::min(count, PeerRing::kCoordinators));
    const auto kept =
      std::count_if(before.begin(), before.end(), [&](const auto& aName) {
        return std::find(after.begin(), after.end(), aName) != after.end();
      });
    cr_expect(static_cast<size_t>(kept) + 1 >= before.size());
  }
}

Test(peerring, all_entries_agree_on_the_coordinators)
{
  const auto names = Names(32);
  const auto expected = PeerRing(names.front(), names).Coordinators();
  for (const std::string& own : names) {
    cr_expect(PeerRing(own, names).Coordinators() == expected);
  }
}
