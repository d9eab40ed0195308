#include "libtrefoilarch/pauserecord.h"
#include "libtrefoilarch/dedicatedpools.h"

#include <criterion/criterion.h>

using namespace trefoilarch;

namespace {

/** Streams of 50 parts; every tenth of the pauses of "long" is as given. */
void
Record(PauseRecord& aRecord, Millis aLongPause, int aStreams = 20)
{
  for (int stream = 0; stream < aStreams; ++stream) {
    const Millis now(stream * 50);
    for (int part = 0; part < 50; ++part) {
      aRecord.OnPause("strict", Millis(20), now);
      aRecord.OnPause("long", part % 10 == 0 ? aLongPause : Millis(20), now);
    }
    aRecord.OnStreamEnded("strict", now);
    aRecord.OnStreamEnded("long", now);
  }
}

/** Lanes of twelve engines, for strict streams and long prompts. */
size_t
EnginesInLanes(DedicatedPools& aLanes, const PauseRecord& aRecord)
{
  const Route strict{ .mName = "strict",
                      .mStream = true,
                      .mGapTarget = Millis(200) };
  const Route longer{ .mName = "long",
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
    aLanes.OnRequest("llm", strict, { .mPromptTokens = 700 }, now);
    aLanes.OnRequest("llm", longer, { .mPromptTokens = 9000 }, now);
  }
  return aLanes
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

Test(pauserecord, little_is_not_enough)
{
  PauseRecord record;
  cr_expect(!record.HasEnoughData("strict", "long"));
  Record(record, Millis(300), 1);
  cr_expect(!record.HasEnoughData("strict", "long"));
  Record(record, Millis(300), 5);
  cr_expect(record.HasEnoughData("strict", "long"));
}

/** Engines that read in short chunks hold nobody up: all of them may take
 * anything. Engines that read in long ones are divided. */
Test(lanes, engines_are_divided_where_their_pauses_call_for_it)
{
  for (const int64_t pause : { 80, 300 }) {
    PauseRecord record;
    Record(record, Millis(pause));
    DedicatedPools lanes;
    cr_expect(EnginesInLanes(lanes, record) == (pause > 200 ? 12U : 0U));
  }
}
