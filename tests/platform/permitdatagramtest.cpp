#include "libtrefoilgate/permitdatagram.h"
#include "libtrefoilgate/crashdatagram.h"
#include "libtrefoilgate/peerdatagram.h"

#include <criterion/criterion.h>

#include <random>

using namespace trefoilarch;
using namespace trefoilgate;

namespace {

PermitRequest
SomeAsk()
{
  return {
    .mNumber = UINT64_MAX,
    .mLimit = { .mUpstream = "i-1", .mPerSecond = 0.7, .mAge = Millis(120) },
    .mCount = 3,
    .mUrgency = 2,
    .mRank = 1
  };
}

PermitReply
SomeReply()
{
  return { .mNumber = 12, .mWait = Millis(640), .mFromUrgency = 1 };
}

} // namespace

Test(permitdatagram, is_read_back_as_it_was_written)
{
  cr_expect(DecodePermitRequest(EncodePermitRequest(SomeAsk())) == SomeAsk());
  cr_expect(DecodePermitReply(EncodePermitReply(SomeReply())) == SomeReply());
  PermitRequest ended = SomeAsk();
  ended.mLimit.mPerSecond.reset();
  cr_expect(DecodePermitRequest(EncodePermitRequest(ended)) == ended);
}

Test(permitdatagram, is_nothing_else_to_an_entry_that_does_not_know_it)
{
  for (const auto& bytes :
       { EncodePermitRequest(SomeAsk()), EncodePermitReply(SomeReply()) }) {
    cr_expect(!DecodePeerUpdate(bytes).has_value());
    cr_expect(!DecodeTableUpdate(bytes).has_value());
    cr_expect(!DecodeCrashUpdate(bytes).has_value());
  }
  cr_expect(!DecodePermitReply(EncodePermitRequest(SomeAsk())).has_value());
}

Test(permitdatagram, other_bytes_are_none)
{
  std::mt19937 random(1);
  for (const auto& bytes :
       { EncodePermitRequest(SomeAsk()), EncodePermitReply(SomeReply()) }) {
    for (int each = 0; each < 20000; ++each) {
      auto wrong = bytes;
      wrong.resize(random() % (bytes.size() + 1));
      if (!wrong.empty()) {
        wrong[random() % wrong.size()] = static_cast<uint8_t>(random());
      }
      const auto ask = DecodePermitRequest(wrong);
      cr_expect(!ask || ask->mCount <= 1000);
      const auto reply = DecodePermitReply(wrong);
      cr_expect(!reply || reply->mGranted <= 1000);
    }
  }
  cr_expect(!DecodePermitRequest({}).has_value());
}
