#include "libtrefoilgate/connectiondatagram.h"

#include <criterion/criterion.h>

#include <vector>

using namespace trefoilarch;
using namespace trefoilgate;

Test(connectiondatagram, a_report_is_read_as_it_was_written)
{
  const ConnectionUseUpdate update{ .mFrom = "entry",
                                    .mProcess = 7,
                                    .mSequence = 8,
                                    .mBusy = true,
                                    .mUses = { { "u1", 12 }, { "u2", 3 } } };
  const auto bytes = EncodeConnectionUse(update);
  cr_expect(DecodeConnectionUse(bytes) == update);
  for (size_t size = 0; size < bytes.size(); ++size) {
    const std::vector<uint8_t> cut(
      bytes.begin(), bytes.begin() + static_cast<std::ptrdiff_t>(size));
    cr_expect(!DecodeConnectionUse(cut));
  }
}
