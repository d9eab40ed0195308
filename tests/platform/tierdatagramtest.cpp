#include "libtrefoilgate/tierdatagram.h"
#include "libtrefoilgate/loaddatagram.h"
#include "libtrefoilgate/peerdatagram.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <string>
#include <vector>

using namespace trefoilarch;
using namespace trefoilgate;
using nlohmann::json;

namespace {

/** The reports of a service with three tiers. */
TierUpdate
SampleUpdate()
{
  TierUpdate update{ .mFrom = "gate-1",
                     .mProcess = UINT64_MAX,
                     .mSequence = 7 };
  for (uint8_t priority = 0; priority < 3; ++priority) {
    update.mReports.push_back({ .mService = "chat",
                                .mPriority = priority,
                                .mDemand = 480000,
                                .mLate = 12000,
                                .mRejected = 3,
                                .mAcceptedAge = Millis(120) });
  }
  return update;
}

json
SampleJson()
{
  return json::from_msgpack(EncodeTierUpdate(SampleUpdate()));
}

} // namespace

Test(tierdatagram, updates_are_decoded_as_sent)
{
  const auto bytes = EncodeTierUpdate(SampleUpdate());
  cr_expect(DecodeTierUpdate(bytes) == SampleUpdate());
  // The figure of the capacity page.
  cr_expect(bytes.size() <= 100, "%zu bytes", bytes.size());
}

/** Entries without tier updates ignore them, as they do any unknown one. */
Test(tierdatagram, no_other_update_is_taken_for_one)
{
  const auto bytes = EncodeTierUpdate(SampleUpdate());
  cr_expect(!DecodePeerUpdate(bytes));
  cr_expect(!DecodeLoadUpdate(bytes));
  cr_expect(!DecodeTierUpdate(EncodePeerUpdate({ .mFrom = "gate-1" })));
}

Test(tierdatagram, invalid_updates_are_ignored)
{
  const auto isDecoded = [](const json& aJson) {
    return DecodeTierUpdate(json::to_msgpack(aJson)).has_value();
  };
  cr_assert(isDecoded(SampleJson()));
  for (size_t element = 0; element < SampleJson().size(); ++element) {
    json changed = SampleJson();
    changed[element] = -1;
    cr_expect(!isDecoded(changed), "element %zu", element);
  }
  for (size_t field = 0; field < SampleJson()[4][0].size(); ++field) {
    json changed = SampleJson();
    changed[4][0][field] = -1;
    cr_expect(!isDecoded(changed), "field %zu", field);
  }
  json many = SampleJson();
  for (size_t each = 0; each < kMaxTierReports; ++each) {
    many[4].push_back(many[4][0]);
  }
  cr_expect(!isDecoded(many));
}

Test(tierdatagram, any_bytes_are_decoded_or_ignored)
{
  const bool holds = rc::check(
    "no bytes cause an error", [](size_t aAt, uint8_t aValue, size_t aSize) {
      auto bytes = EncodeTierUpdate(SampleUpdate());
      bytes[aAt % bytes.size()] = aValue;
      bytes.resize(aSize % (bytes.size() + 1));
      const auto decoded = DecodeTierUpdate(bytes);
      RC_ASSERT(!decoded || decoded->mReports.size() <= kMaxTierReports);
    });
  cr_assert(holds);
}

/** What is beyond the bounds is left out or limited, and the rest is sent. */
Test(tierdatagram, an_update_beyond_the_bounds_can_be_read)
{
  TierUpdate update = SampleUpdate();
  update.mReports[0].mService = std::string(300, 'x');
  update.mReports[1].mDemand = 1e300;
  update.mReports[2].mAcceptedAge = Millis(1000000);
  update.mReports.resize(kMaxTierReports + 10, update.mReports[2]);
  const auto decoded = DecodeTierUpdate(EncodeTierUpdate(update));
  cr_assert(decoded.has_value());
  cr_expect(decoded->mReports.size() == kMaxTierReports);
  cr_expect(decoded->mReports.front().mPriority == 1);
  cr_expect(decoded->mReports.back().mAcceptedAge == TierReport::kMaxAge);
  update.mFrom.clear();
  cr_expect(EncodeTierUpdate(update).empty());
}
