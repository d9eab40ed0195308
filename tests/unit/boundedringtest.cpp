#include "libtrefoilio/boundedring.h"

#include <criterion/criterion.h>

#include <string>

using trefoilarch::Millis;
using trefoilio::BoundedRing;

namespace {

size_t
SizeOf(const std::string& aText)
{
  return aText.size();
}

} // namespace

// Thousands of blocks of an answer were as many items as the ring holds.
Test(boundedring, bytes_beyond_the_bound_wait)
{
  BoundedRing<std::string> ring(100, 10, SizeOf);
  cr_expect(ring.TryPush(std::string(8, 'a')));
  cr_expect(ring.TryPush(std::string(8, 'b')));
  cr_expect_not(ring.TryPush("c"));
  cr_expect(ring.PopFor(Millis(0)) == std::string(8, 'a'));
  cr_expect(ring.TryPush("c"));
  cr_expect(ring.PopFor(Millis(0)) == std::string(8, 'b'));
  cr_expect(ring.PopFor(Millis(0)) == "c");
  cr_expect(ring.Size() == 0);
}

Test(boundedring, an_item_beyond_the_bound_is_taken_by_an_empty_ring)
{
  BoundedRing<std::string> ring(100, 10, SizeOf);
  cr_expect(ring.TryPush(std::string(50, 'a')));
  cr_expect_not(ring.TryPush(""));
  cr_expect(ring.PopFor(Millis(0)).has_value());
  cr_expect(ring.TryPush(""));
}
