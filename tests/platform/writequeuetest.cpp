#include "libtrefoilgate/writequeue.h"

#include <criterion/criterion.h>
#include <string>

using trefoilgate::WriteQueue;

/** Guards against writes of nothing and against bytes that change their order.
 */
Test(writequeue, front_is_never_empty_while_there_are_bytes)
{
  WriteQueue queue;
  std::string all;
  const auto append = [&](size_t aBytes, char aLetter) {
    queue.Append(std::string(aBytes, aLetter));
    all.append(aBytes, aLetter);
  };
  append(100000, 'a');
  append(10, 'b');
  append(70000, 'c');
  append(60000, 'd');
  std::string written;
  while (queue.Bytes() > 0 && written.size() < all.size()) {
    const std::string_view front = queue.Front();
    cr_assert(!front.empty());
    const size_t count = front.size() - front.size() / 2;
    written += front.substr(0, count);
    queue.Consume(count);
  }
  cr_expect(written == all);
  cr_expect(queue.Bytes() == 0 && queue.Front().empty());
}
