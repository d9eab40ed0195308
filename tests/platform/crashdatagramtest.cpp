#include "libtrefoilgate/crashdatagram.h"
#include "libtrefoilgate/peerdatagram.h"

#include <criterion/criterion.h>

#include <random>

using namespace trefoilarch;
using namespace trefoilgate;

namespace {

CrashUpdate
SomeNews()
{
  return {
    .mReports = { { .mIncarnation = { .mUpstream = "i-1", .mStartTime = 1700 },
                    .mSuspects = { { 1, 2 }, { UINT64_MAX, 0 } },
                    .mAge = Millis(12) },
                  { .mIncarnation = { .mUpstream = "i-2" } } },
    .mCleared = { { .mRequest = { 3, 4 }, .mAge = Millis(5) } },
    .mKeepaliveProbes = { { 5, 6 } },
    .mQuarantined = { { .mRequest = { 7, 8 },
                        .mSuspectFor = Millis(90),
                        .mIdleFor = Millis(30) } }
  };
}

} // namespace

Test(crashdatagram, is_read_back_as_it_was_written)
{
  const auto news = DecodeCrashUpdate(EncodeCrashUpdate(SomeNews()));
  cr_assert(news.has_value());
  cr_expect(*news == SomeNews());
}

/** Entries of two versions run side by side while a fleet is upgraded. */
Test(crashdatagram, is_nothing_else_to_an_entry_that_does_not_know_it)
{
  const auto bytes = EncodeCrashUpdate(SomeNews());
  cr_expect(!DecodePeerUpdate(bytes).has_value());
  cr_expect(!DecodeTableUpdate(bytes).has_value());
}

Test(crashdatagram, other_bytes_are_none)
{
  const auto bytes = EncodeCrashUpdate(SomeNews());
  std::mt19937 random(1);
  for (int each = 0; each < 20000; ++each) {
    auto wrong = bytes;
    wrong.resize(random() % (bytes.size() + 1));
    if (!wrong.empty()) {
      wrong[random() % wrong.size()] = static_cast<uint8_t>(random());
    }
    const auto news = DecodeCrashUpdate(wrong);
    if (news) {
      cr_expect(news->mReports.size() <= 256);
    }
  }
  cr_expect(!DecodeCrashUpdate({}).has_value());
}

/** The longest message that is made finds room in what is read. */
Test(crashdatagram, fits_a_datagram)
{
  CrashUpdate news;
  CrashReport report{ .mIncarnation = { .mUpstream = std::string(60, 'u'),
                                        .mStartTime = INT64_MAX },
                      .mAge = Millis(1000000) };
  for (uint64_t each = 0; each < 40; ++each) {
    report.mSuspects.push_back({ UINT64_MAX - each, UINT64_MAX });
  }
  news.mReports.push_back(report);
  cr_expect(EncodeCrashUpdate(news).size() < 1400);
}
