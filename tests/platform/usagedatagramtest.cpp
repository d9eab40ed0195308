#include "libtrefoilgate/usagedatagram.h"

#include "libtrefoilgate/crashdatagram.h"
#include "libtrefoilgate/peerdatagram.h"

#include <criterion/criterion.h>

#include <random>
#include <string>

using namespace trefoilarch;
using namespace trefoilgate;

namespace {

UsageUpdate
SampleUpdate()
{
  return { .mEntry = "entry-1",
           .mProcess = UINT64_MAX,
           .mWallTime = Millis(1767225600000),
           .mWindow = 353445120,
           .mTotal = 7,
           .mClosed = true,
           .mCounts = { { "desk", 5 }, { "line \"2\"", 2 } } };
}

} // namespace

Test(usagedatagram, survives_encoding)
{
  cr_expect(DecodeUsageUpdate(EncodeUsageUpdate(SampleUpdate())) ==
            SampleUpdate());
  const UsageReply reply{ .mFencingToken = 12,
                          .mUnixTime = Millis(34),
                          .mFixedWindow = 56 };
  cr_expect(DecodeUsageReply(EncodeUsageReply(reply)) == reply);
}

/** Entries of two versions run side by side while a fleet is upgraded. */
Test(usagedatagram, is_not_decoded_as_another_message)
{
  const auto bytes = EncodeUsageUpdate(SampleUpdate());
  cr_expect(!DecodePeerUpdate(bytes).has_value());
  cr_expect(!DecodeTableUpdate(bytes).has_value());
  cr_expect(!DecodeCrashUpdate(bytes).has_value());
  cr_expect(!DecodeUsageReply(bytes).has_value());
}

Test(usagedatagram, invalid_bytes_are_handled)
{
  const auto bytes = EncodeUsageUpdate(SampleUpdate());
  std::mt19937 random(1);
  for (int each = 0; each < 20000; ++each) {
    auto corrupted = bytes;
    corrupted.resize(random() % (bytes.size() + 1));
    if (!corrupted.empty()) {
      corrupted[random() % corrupted.size()] = static_cast<uint8_t>(random());
    }
    if (const auto update = DecodeUsageUpdate(corrupted)) {
      cr_expect(update->mCounts.size() <= 256);
      cr_expect(update->mEntry.size() <= 200);
    }
    DecodeUsageReply(corrupted);
  }
  cr_expect(!DecodeUsageUpdate({}).has_value());
}

/** The longest update that is sent must fit the receive buffer. */
Test(usagedatagram, fits_a_datagram)
{
  UsageUpdate update = SampleUpdate();
  update.mCounts.assign(
    64, { .mWorkspace = std::string(50, 'w'), .mCount = 1000000 });
  cr_expect(EncodeUsageUpdate(update).size() <= kMaxDatagramBytes);
}
