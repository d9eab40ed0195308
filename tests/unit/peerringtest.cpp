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
Tells(const std::string& aFrom,
      const std::string& aTo,
      const std::vector<std::string>& aNames)
{
  const PeerRing ring(aFrom, aNames);
  const auto& others = ring.Others();
  const size_t told = std::min(PeerRing::kMaxReceivers, others.size());
  const auto end = others.begin() + static_cast<std::ptrdiff_t>(told);
  return std::find(others.begin(), end, aTo) != end;
}

} // namespace

/** Whoever an entry waits to hear from does tell it, and nobody else. */
Test(peerring, those_that_are_waited_for_are_those_that_tell)
{
  for (const size_t count : { 2, 5, 41, 42, 100 }) {
    const auto names = Names(count);
    for (const std::string& own : names) {
      const auto tellers = PeerRing(own, names).Senders();
      cr_expect(tellers.size() == std::min(PeerRing::kMaxReceivers, count - 1));
      for (const std::string& other : names) {
        const bool waited =
          std::find(tellers.begin(), tellers.end(), other) != tellers.end();
        cr_expect(other == own || waited == Tells(other, own, names));
      }
    }
  }
}

/** Each entry is told of changes by three that ask the store, or all ask. */
Test(peerring, a_few_listen_for_all)
{
  for (const size_t count : { 1, 2, 3, 5, 18, 41, 42, 103, 340 }) {
    const auto names = Names(count);
    size_t listeners = 0;
    for (const std::string& own : names) {
      const PeerRing ring(own, names);
      listeners += ring.PollsStore() ? 1 : 0;
      size_t heard = ring.PollsStore() ? 1 : 0;
      for (const std::string& teller : ring.Senders()) {
        heard += PeerRing(teller, names).PollsStore() ? 1 : 0;
      }
      cr_expect(
        heard >= std::min<size_t>(3, count), "%zu of %zu", heard, count);
    }
    cr_expect(listeners <= 3 + count / 13, "%zu of %zu", listeners, count);
  }
  cr_expect(PeerRing("new", Names(50)).PollsStore(), "nobody tells it yet");
}

Test(peerring, one_that_is_not_listed_yet_has_its_place)
{
  const PeerRing ring("gate-1001x", Names(4));
  const std::vector<std::string> others = {
    "gate-1002", "gate-1003", "gate-1000", "gate-1001"
  };
  cr_expect(ring.Others() == others);
  cr_expect(PeerRing("gate", {}).Senders().empty());
}
