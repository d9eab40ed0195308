#include "libtrefoilgate/permitdatagram.h"
#include "libtrefoilgate/crashdatagram.h"
#include "libtrefoilgate/peerdatagram.h"

#include <criterion/criterion.h>

#include <random>

using namespace trefoilarch;
using namespace trefoilgate;

namespace {

PermitRequest
SampleRequest()
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
SampleReply()
{
  return { .mNumber = 12, .mWait = Millis(640), .mFromUrgency = 1 };
}

} // namespace

Test(permitdatagram, survives_encoding)
{
  cr_expect(DecodePermitRequest(EncodePermitRequest(SampleRequest())) ==
            SampleRequest());
  cr_expect(DecodePermitReply(EncodePermitReply(SampleReply())) ==
            SampleReply());
  PermitRequest ended = SampleRequest();
  ended.mLimit.mPerSecond.reset();
  cr_expect(DecodePermitRequest(EncodePermitRequest(ended)) == ended);
}

Test(permitdatagram, is_not_decoded_as_another_message)
{
  for (const auto& bytes : { EncodePermitRequest(SampleRequest()),
                             EncodePermitReply(SampleReply()) }) {
    cr_expect(!DecodePeerUpdate(bytes).has_value());
    cr_expect(!DecodeTableUpdate(bytes).has_value());
    cr_expect(!DecodeCrashUpdate(bytes).has_value());
  }
  cr_expect(
    !DecodePermitReply(EncodePermitRequest(SampleRequest())).has_value());
}

Test(permitdatagram, invalid_bytes_are_handled)
{
  std::mt19937 random(1);
  for (const auto& bytes : { EncodePermitRequest(SampleRequest()),
                             EncodePermitReply(SampleReply()) }) {
    for (int each = 0; each < 20000; ++each) {
      auto corrupted = bytes;
      corrupted.resize(random() % (bytes.size() + 1));
      if (!corrupted.empty()) {
        corrupted[random() % corrupted.size()] = static_cast<uint8_t>(random());
      }
      const auto request = DecodePermitRequest(corrupted);
      cr_expect(!request || request->mCount <= 1000);
      const auto reply = DecodePermitReply(corrupted);
      cr_expect(!reply || reply->mGranted <= 1000);
    }
  }
  cr_expect(!DecodePermitRequest({}).has_value());
}
