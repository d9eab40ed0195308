#include "libtrefoilgate/loaddatagram.h"
#include "libtrefoilgate/crashdatagram.h"
#include "libtrefoilgate/peerdatagram.h"
#include "libtrefoilgate/permitdatagram.h"
#include "libtrefoilgate/usagedatagram.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <iterator>
#include <limits>
#include <random>
#include <string>

using namespace trefoilarch;
using namespace trefoilgate;
using nlohmann::json;

namespace {

using Bytes = std::vector<uint8_t>;

LoadUpdate
SampleUpdate()
{
  return { .mFrom = "gate-1",
           .mProcess = UINT64_MAX,
           .mSequence = 7,
           .mPerformance = { { .mUpstream = "i-1",
                               .mStartTime = 1764794951000,
                               .mSpeedFactor = 1.6,
                               .mSamples = 255,
                               .mContention = 4.8,
                               .mContentionAge = Millis(120) },
                             { .mUpstream = "i-2" } },
           .mMemory = { { .mUpstream = "i-1",
                          .mTokens = 178962,
                          .mExpectedTokens = 67 } },
           .mDemands = { { .mService = "chat",
                           .mWorkspace = "r\xc3\xadga-desk",
                           .mTier = 2,
                           .mDemand = 9000,
                           .mServed = 4000 } } };
}

/** An update with this many reports of each kind, with ids as in deployment
 * K. */
LoadUpdate
UpdateWith(size_t aPerformance, size_t aMemory, size_t aDemands)
{
  LoadUpdate update{ .mFrom = "gate-1", .mProcess = UINT64_MAX };
  for (size_t each = 0; each < aPerformance; ++each) {
    update.mPerformance.push_back(
      { .mUpstream = "engine-" + std::to_string(each),
        .mStartTime = 1764794951000 + static_cast<int64_t>(each),
        .mSpeedFactor = 1.6,
        .mSamples = 255,
        .mContention = 2.5,
        .mContentionAge = Millis(300) });
  }
  for (size_t each = 0; each < aMemory; ++each) {
    update.mMemory.push_back({ .mUpstream = "engine-" + std::to_string(each),
                               .mTokens = 178962,
                               .mExpectedTokens = 1200 });
  }
  for (size_t each = 0; each < aDemands; ++each) {
    update.mDemands.push_back(
      { .mService = "quest-narration",
        .mWorkspace = "workspace-" + std::to_string(each),
        .mTier = 1,
        .mDemand = 90000,
        .mServed = 40000 });
  }
  return update;
}

/** Whether the sample is decoded with the value at the place, a JSON
 * pointer. */
bool
IsDecodedWith(const char* aPlace, const json& aValue)
{
  json message = json::from_msgpack(EncodeLoadUpdate(SampleUpdate()));
  message[json::json_pointer(aPlace)] = aValue;
  return DecodeLoadUpdate(json::to_msgpack(message)).has_value();
}

bool
IsWithinBounds(const LoadUpdate& aUpdate)
{
  bool valid = aUpdate.mPerformance.size() <= kMaxPerformanceReports &&
               aUpdate.mMemory.size() <= kMaxMemoryReports &&
               aUpdate.mDemands.size() <= kMaxWorkspaceDemands &&
               !aUpdate.mFrom.empty();
  for (const auto& each : aUpdate.mPerformance) {
    valid = valid && !each.mUpstream.empty() && each.mSpeedFactor > 0 &&
            each.mSpeedFactor <= 100 && each.mContention >= 0 &&
            each.mContention <= 1000 && each.mContentionAge >= Millis(0) &&
            each.mContentionAge <= Millis(60000) && each.mSamples <= 255;
  }
  for (const auto& each : aUpdate.mMemory) {
    valid = valid && !each.mUpstream.empty() && each.mTokens <= 1000000000 &&
            each.mExpectedTokens <= 1000000000;
  }
  for (const auto& each : aUpdate.mDemands) {
    valid = valid && each.mDemand >= 0 && each.mDemand <= 1e9 &&
            each.mServed >= 0 && each.mServed <= 1e9;
  }
  return valid;
}

bool
IsDroppedOrWithinBounds(const Bytes& aBytes)
{
  const auto update = DecodeLoadUpdate(aBytes);
  return !update || IsWithinBounds(*update);
}

/** A figure that a fault may produce. */
double
AnyFigure(std::mt19937_64& aRandom)
{
  constexpr double kInfinity = std::numeric_limits<double>::infinity();
  const double figures[] = { 0,
                             -1,
                             1.6,
                             1e300,
                             -1e300,
                             0.2,
                             1e-9,
                             -kInfinity,
                             1e8,
                             kInfinity,
                             std::numeric_limits<double>::quiet_NaN() };
  return figures[aRandom() % std::size(figures)];
}

std::string
AnyName(std::mt19937_64& aRandom)
{
  const std::string names[] = {
    "engine-1", "", "\xff\xfe", std::string(200, 'n'), std::string(201, 'n')
  };
  return names[aRandom() % std::size(names)];
}

LoadUpdate
AnyUpdate(std::mt19937_64& aRandom)
{
  LoadUpdate update =
    UpdateWith(aRandom() % 60, aRandom() % 60, aRandom() % 60);
  for (auto& each : update.mPerformance) {
    each = { .mUpstream = AnyName(aRandom),
             .mStartTime = static_cast<int64_t>(aRandom()),
             .mSpeedFactor = AnyFigure(aRandom),
             .mSamples = static_cast<uint32_t>(aRandom()),
             .mContention = AnyFigure(aRandom),
             .mContentionAge = Millis(static_cast<int64_t>(aRandom())) };
  }
  for (auto& each : update.mMemory) {
    each.mTokens = static_cast<uint32_t>(aRandom());
  }
  for (auto& each : update.mDemands) {
    each.mWorkspace = AnyName(aRandom);
    each.mDemand = AnyFigure(aRandom);
    each.mServed = AnyFigure(aRandom);
  }
  return update;
}

} // namespace

Test(loaddatagram, survives_encoding)
{
  const auto update = DecodeLoadUpdate(EncodeLoadUpdate(SampleUpdate()));
  cr_assert(update.has_value());
  cr_expect(*update == SampleUpdate());
  cr_expect(DecodeLoadUpdate(EncodeLoadUpdate({ .mFrom = "g" })) ==
            LoadUpdate{ .mFrom = "g" });
}

/** Entries of two versions run side by side while a fleet is upgraded: the old
 * ones try the other decoders only. */
Test(loaddatagram, is_not_decoded_as_another_message)
{
  const auto bytes = EncodeLoadUpdate(SampleUpdate());
  cr_expect(!DecodePeerUpdate(bytes).has_value());
  cr_expect(!DecodeTableUpdate(bytes).has_value());
  cr_expect(!DecodeCrashUpdate(bytes).has_value());
  cr_expect(!DecodePermitRequest(bytes).has_value());
  cr_expect(!DecodePermitReply(bytes).has_value());
  cr_expect(!DecodeUsageUpdate(bytes).has_value());
  cr_expect(!DecodeUsageReply(bytes).has_value());
}

/** An update that is too long must lose its last reports, not be lost. */
Test(loaddatagram, fits_a_datagram_and_keeps_the_first_reports)
{
  const Bytes typical = EncodeLoadUpdate(UpdateWith(8, 8, 8));
  const LoadUpdate full = UpdateWith(60, 60, 60);
  const Bytes bytes = EncodeLoadUpdate(full);
  const auto sent = DecodeLoadUpdate(bytes);
  cr_assert(sent.has_value());
  printf("typical: %zu bytes; full: %zu bytes with %zu performance reports, "
         "%zu memory reports and %zu demands\n",
         typical.size(),
         bytes.size(),
         sent->mPerformance.size(),
         sent->mMemory.size(),
         sent->mDemands.size());
  cr_expect(typical.size() <= 600);
  cr_expect(bytes.size() <= kMaxLoadDatagramBytes);
  cr_expect(bytes.size() >= kMaxLoadDatagramBytes - 40);
  cr_expect(sent->mDemands.size() == kMaxWorkspaceDemands);
  for (size_t each = 0; each < sent->mMemory.size(); ++each) {
    cr_expect(sent->mMemory[each] == full.mMemory[each]);
  }
  const auto onlyPerformance =
    DecodeLoadUpdate(EncodeLoadUpdate(UpdateWith(60, 0, 0)));
  cr_expect(onlyPerformance->mPerformance.size() == kMaxPerformanceReports);
}

/** An invalid report must not cost the datagram; an invalid sender does. */
Test(loaddatagram, reports_that_cannot_be_sent_are_left_out)
{
  LoadUpdate update = SampleUpdate();
  update.mPerformance[0].mSpeedFactor = std::nan("");
  update.mPerformance[1].mContention = 1e9;
  update.mMemory[0].mUpstream = std::string(201, 'x');
  update.mDemands[0].mWorkspace = "\xff";
  const auto sent = DecodeLoadUpdate(EncodeLoadUpdate(update));
  cr_assert(sent.has_value());
  cr_assert(sent->mPerformance.size() == 1);
  cr_expect(sent->mPerformance[0].mContention == 1000);
  cr_expect(sent->mMemory.empty() && sent->mDemands.empty());
  update.mFrom = "";
  cr_expect(EncodeLoadUpdate(update).empty());
}

Test(loaddatagram, malformed_datagrams_are_dropped_whole)
{
  const std::string longName(201, 'x');
  const json performance = { 0, 0, 100, 1, 0, 0 };
  const json memory = { 0, 1, 1 };
  const json demand = { 0, 0, 1, 1, 1 };
  const struct
  {
    const char* mFault;
    const char* mPlace;
    json mValue;
  } cases[] = { { "another version", "/0", "trefoil-load-2" },
                { "another type", "/0", "trefoil-crash-1" },
                { "one element more", "/8", 1 },
                { "no sender", "/1", "" },
                { "long sender", "/1", longName },
                { "sender is a number", "/1", 1 },
                { "negative process", "/2", -1 },
                { "fractional sequence", "/3", 1.5 },
                { "empty name", "/4/0", "" },
                { "long name", "/4/0", longName },
                { "name is not UTF-8", "/4/0", "\xff" },
                { "truncated UTF-8", "/4/0", "\xc3" },
                { "too many names", "/4", json(81, "x") },
                { "too long", "/4", json(9, std::string(150, 'x')) },
                { "name out of range", "/5/0/0", 4 },
                { "name out of range in memory", "/6/0/0", 99 },
                { "workspace out of range", "/7/0/1", UINT64_MAX },
                { "negative start", "/5/0/1", -5 },
                { "start in a far future", "/5/0/1", uint64_t{ 1 } << 60 },
                { "speed of zero", "/5/0/2", 0 },
                { "absurd speed", "/5/0/2", 10001 },
                { "speed is infinite", "/5/0/2", INFINITY },
                { "speed is not a number", "/5/0/2", NAN },
                { "too many samples", "/5/0/3", 256 },
                { "negative contention", "/5/0/4", -1 },
                { "absurd contention", "/5/0/4", 100001 },
                { "absurd age", "/5/0/5", 60001 },
                { "report of five fields", "/5/0", { 0, 0, 100, 1, 0 } },
                { "report is no list", "/5/0", 3 },
                { "25 performance reports", "/5", json(25, performance) },
                { "absurd tokens", "/6/0/1", 1000000001 },
                { "negative output", "/6/0/2", -1 },
                { "25 memory reports", "/6", json(25, memory) },
                { "absurd tier", "/7/0/2", 256 },
                { "negative demand", "/7/0/3", -1 },
                { "absurd demand", "/7/0/3", 1000000001 },
                { "absurd served", "/7/0/4", UINT64_MAX },
                { "17 demands", "/7", json(17, demand) } };
  // The largest lists are valid, so that only their lengths are tested above.
  cr_expect(IsDecodedWith("/5", json(24, performance)));
  cr_expect(IsDecodedWith("/6", json(24, memory)));
  cr_expect(IsDecodedWith("/7", json(16, demand)));
  for (const auto& [fault, place, value] : cases) {
    cr_expect(!IsDecodedWith(place, value), "%s", fault);
  }
  Bytes bytes = EncodeLoadUpdate(SampleUpdate());
  for (size_t size = 0; size < bytes.size(); ++size) {
    cr_expect(
      !DecodeLoadUpdate(
         { bytes.begin(), bytes.begin() + static_cast<std::ptrdiff_t>(size) })
         .has_value(),
      "truncated to %zu",
      size);
  }
  bytes.push_back(0);
  cr_expect(!DecodeLoadUpdate(bytes).has_value(), "bytes after the end");
}

/** 100 runs of 100 inputs each. */
Test(loaddatagram, no_bytes_crash_the_decoder_or_pass_its_bounds)
{
  const bool holds = rc::check([](const Bytes& aRandomBytes, uint32_t aSeed) {
    std::mt19937_64 random(aSeed);
    const Bytes valid = EncodeLoadUpdate(UpdateWith(3, 3, 3));
    RC_ASSERT(!DecodeLoadUpdate(aRandomBytes).has_value());
    Bytes typeOnly = valid;
    typeOnly.resize(16);
    std::ranges::copy(aRandomBytes, std::back_inserter(typeOnly));
    RC_ASSERT(IsDroppedOrWithinBounds(typeOnly));
    for (int each = 0; each < 100; ++each) {
      Bytes mutated = valid;
      for (size_t change = random() % 4 + 1; change > 0; --change) {
        mutated[random() % mutated.size()] = static_cast<uint8_t>(random());
      }
      RC_ASSERT(IsDroppedOrWithinBounds(mutated));
    }
  });
  cr_expect(holds);
}

/** An entry with absurd figures must not send what all others drop. */
Test(loaddatagram, whatever_is_encoded_can_be_decoded)
{
  const bool holds = rc::check([](uint32_t aSeed) {
    std::mt19937_64 random(aSeed);
    const Bytes bytes = EncodeLoadUpdate(AnyUpdate(random));
    RC_ASSERT(bytes.size() <= kMaxLoadDatagramBytes);
    const auto update = DecodeLoadUpdate(bytes);
    RC_ASSERT(update.has_value());
    RC_ASSERT(IsWithinBounds(*update));
  });
  cr_expect(holds);
}
