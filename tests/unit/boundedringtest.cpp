#include "libtrefoilio/boundedring.h"

#include <criterion/criterion.h>

#include <string>
#include <thread>

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

Test(boundedring, items_without_bytes_pass_when_bytes_wait)
{
  BoundedRing<std::string> ring(3, 10, SizeOf);
  cr_expect(ring.TryPush(std::string(50, 'a')));
  cr_expect_not(ring.TryPush("b"));
  cr_expect(ring.TryPush(""));
  cr_expect(ring.TryPush(""));
  cr_expect_not(ring.TryPush(""), "beyond the capacity");
  cr_expect(ring.PopFor(Millis(0)) == std::string(50, 'a'));
  cr_expect(ring.TryPush("b"));
}

Test(boundedring, a_waiting_push_goes_on_when_bytes_are_taken)
{
  BoundedRing<std::string> ring(100, 10, SizeOf);
  ring.Push(std::string(10, 'a'));
  std::thread waiting([&] { ring.Push("b"); });
  cr_expect(ring.PopFor(Millis(0)) == std::string(10, 'a'));
  cr_expect(ring.PopFor(Millis(20000)) == "b");
  waiting.join();
}
