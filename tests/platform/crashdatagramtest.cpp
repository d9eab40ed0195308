#include "libtrefoilgate/crashdatagram.h"
#include "libtrefoilgate/peerdatagram.h"

#include <criterion/criterion.h>

#include <random>

using namespace trefoilarch;
using namespace trefoilgate;

namespace {

CrashUpdate
SampleUpdate()
{
  return {
    .mReports = { { .mIncarnation = { .mUpstream = "i-1", .mStartTime = 1700 },
                    .mSuspects = { { 1, 2 }, { UINT64_MAX, 0 } },
                    .mAge = Millis(12) },
                  { .mIncarnation = { .mUpstream = "i-2" } } },
    .mCleared = { { .mRequest = { 3, 4 }, .mAge = Millis(5) } },
    .mProbes = { { 5, 6 } },
    .mQuarantined = { { .mRequest = { 7, 8 },
                        .mSuspectFor = Millis(90),
                        .mIdleFor = Millis(30) } }
  };
}

} // namespace

Test(crashdatagram, survives_encoding)
{
  const auto update = DecodeCrashUpdate(EncodeCrashUpdate(SampleUpdate()));
  cr_assert(update.has_value());
  cr_expect(*update == SampleUpdate());
}

/** Entries of two versions run side by side while a fleet is upgraded. */
Test(crashdatagram, is_not_decoded_as_another_message)
{
  const auto bytes = EncodeCrashUpdate(SampleUpdate());
  cr_expect(!DecodePeerUpdate(bytes).has_value());
  cr_expect(!DecodeTableUpdate(bytes).has_value());
}

Test(crashdatagram, invalid_bytes_are_handled)
{
  const auto bytes = EncodeCrashUpdate(SampleUpdate());
  std::mt19937 random(1);
  for (int each = 0; each < 20000; ++each) {
    auto corrupted = bytes;
    corrupted.resize(random() % (bytes.size() + 1));
    if (!corrupted.empty()) {
      corrupted[random() % corrupted.size()] = static_cast<uint8_t>(random());
    }
    const auto update = DecodeCrashUpdate(corrupted);
    if (update) {
      cr_expect(update->mReports.size() <= 256);
    }
  }
  cr_expect(!DecodeCrashUpdate({}).has_value());
}

/** The longest update that is sent must fit the receive buffer. */
Test(crashdatagram, fits_a_datagram)
{
  CrashUpdate update;
  CrashReport report{ .mIncarnation = { .mUpstream = std::string(60, 'u'),
                                        .mStartTime = INT64_MAX },
                      .mAge = Millis(1000000) };
  for (uint64_t each = 0; each < 40; ++each) {
    report.mSuspects.push_back({ UINT64_MAX - each, UINT64_MAX });
  }
  update.mReports.push_back(report);
  cr_expect(EncodeCrashUpdate(update).size() < 1400);
}
