#include "libtrefoilarch/pauserecord.h"
#include "libtrefoilarch/dedicatedpools.h"

#include <criterion/criterion.h>

using namespace trefoilarch;

namespace {

/** Records streams of 50 events; every tenth pause of "long" is as given. */
void
Record(PauseRecord& aRecord, Millis aLongPause, int aStreams = 20)
{
  for (int stream = 0; stream < aStreams; ++stream) {
    const Millis now(stream * 50);
    for (int event = 0; event < 50; ++event) {
      aRecord.OnPause("strict", Millis(20), now);
      aRecord.OnPause("long", event % 10 == 0 ? aLongPause : Millis(20), now);
    }
    aRecord.OnStreamEnded("strict", now);
    aRecord.OnStreamEnded("long", now);
  }
}

/** Engines in pools, of twelve that serve strict streams and long prompts. */
size_t
EnginesInPools(DedicatedPools& aPools, const PauseRecord& aRecord)
{
  const Route strict{ .mName = "strict",
                      .mStream = true,
                      .mGapTarget = Millis(200) };
  const Route longPrompts{ .mName = "long",
                           .mStream = true,
                           .mGapTarget = Millis(800) };
  std::vector<ListedUpstream> listed(12);
  std::vector<const ListedUpstream*> all(listed.size());
  for (size_t each = 0; each < listed.size(); ++each) {
    listed[each].mId = "e" + std::to_string(each);
    all[each] = &listed[each];
  }
  for (int each = 0; each < 100; ++each) {
    const Millis now(each * 10);
    aPools.OnRequest("llm", strict, { .mPromptTokens = 700 }, now);
    aPools.OnRequest("llm", longPrompts, { .mPromptTokens = 9000 }, now);
  }
  return aPools
    .PositionsFor("llm",
                  strict,
                  all,
                  { .mPauses = aRecord, .mPrefillPerMs = 60 },
                  Millis(1000))
    .size();
}

} // namespace

Test(pauserecord, the_share_of_late_streams_follows_from_the_pauses)
{
  PauseRecord record;
  Record(record, Millis(300));
  cr_expect(record.LateShare("strict", "long", Millis(200)) > 0.9);
  cr_expect(record.LateShare("strict", "long", Millis(400)) < 0.01);
  cr_expect(record.LateShare("strict", "strict", Millis(200)) < 0.01);
}

Test(pauserecord, requires_enough_samples)
{
  PauseRecord record;
  cr_expect(!record.HasEnoughData("strict", "long"));
  Record(record, Millis(300), 1);
  cr_expect(!record.HasEnoughData("strict", "long"));
  Record(record, Millis(300), 5);
  cr_expect(record.HasEnoughData("strict", "long"));
}

/** Engines that prefill in short chunks delay nobody and take any request.
 * Engines that prefill in long ones are divided into pools. */
Test(dedicatedpools, engines_are_divided_only_if_pauses_are_long)
{
  for (const int64_t pause : { 80, 300 }) {
    PauseRecord record;
    Record(record, Millis(pause));
    DedicatedPools pools;
    cr_expect(EnginesInPools(pools, record) == (pause > 200 ? 12U : 0U));
  }
}
