#include "libtrefoilarch/upstreamdirectory.h"

#include <criterion/criterion.h>

using namespace trefoilarch;

namespace {

ListedUpstream
Make(const std::string& aId)
{
  return ListedUpstream{ .mId = aId, .mService = "svc", .mAddress = "a:1" };
}

size_t
Count(const UpstreamDirectory& aDirectory)
{
  return aDirectory.OfService("svc").size();
}

} // namespace

Test(upstreamdirectory, what_is_removed_from_a_sound_list_is_gone)
{
  UpstreamDirectory directory;
  directory.Put(Make("a"));
  directory.Put(Make("b"));
  directory.Remove("a", Millis(10));
  cr_expect(Count(directory) == 1);
  cr_expect(directory.Find("a") == nullptr);
}

namespace {

/** The store's clock, which the directory is told of. */
Millis
ReadingAt(Millis aNow)
{
  return Millis(500000) + aNow;
}

void
Answer(UpstreamDirectory& aDirectory, Millis aNow)
{
  aDirectory.OnStoreResponse(ReadingAt(aNow));
  aDirectory.OnListConfirmed(ReadingAt(aNow));
}

/** The store answers twice a second all that time. */
void
Serve(UpstreamDirectory& aDirectory, int64_t aFrom, int64_t aUntil)
{
  constexpr int64_t kPause = 500;
  for (int64_t now = aFrom; now < aUntil; now += kPause) {
    Answer(aDirectory, Millis(now));
  }
  Answer(aDirectory, Millis(aUntil));
}

} // namespace

Test(upstreamdirectory, what_is_removed_soon_after_the_start_is_gone)
{
  UpstreamDirectory directory;
  Serve(directory, 0, 0);
  directory.Put(Make("a"));
  directory.Remove("a", Millis(0));
  cr_expect(Count(directory) == 0);
}

Test(upstreamdirectory, what_lapses_while_the_store_is_away_is_kept)
{
  UpstreamDirectory directory;
  directory.Put(Make("a"));
  Serve(directory, -5000, 0);
  Serve(directory, 100000, 100000);
  directory.Remove("a", Millis(100000));
  Serve(directory, 100500, 101999);
  cr_expect(!directory.Expire());
  Serve(directory, 102000, 102000);
  cr_expect(directory.Expire());
  cr_expect(Count(directory) == 0);
}

Test(upstreamdirectory, what_is_told_as_gone_while_the_store_is_away_is_kept)
{
  UpstreamDirectory directory;
  directory.Put(Make("a"));
  Serve(directory, -5000, -5000);
  Serve(directory, 0, 0);
  directory.Remove("a", Millis(10));
  cr_expect(!directory.Expire());
  Serve(directory, 100000, 101999);
  cr_expect(!directory.Expire());
  Serve(directory, 102000, 102000);
  cr_expect(directory.Expire());
  cr_expect(Count(directory) == 0);
}

Test(upstreamdirectory, what_is_told_as_gone_soon_after_the_return_is_kept_too)
{
  UpstreamDirectory directory;
  directory.Put(Make("a"));
  directory.Put(Make("b"));
  Serve(directory, -1000, -1000);
  Serve(directory, 1000, 1000);
  directory.ReplaceAll({ Make("b") }, Millis(1000));
  cr_expect(Count(directory) == 2);
  Serve(directory, 1500, 2999);
  cr_expect(!directory.Expire());
  directory.Put(Make("a"));
  Serve(directory, 3000, 3000);
  cr_expect(!directory.Expire());
  directory.Remove("a", Millis(3001));
  cr_expect(Count(directory) == 1);
}

Test(upstreamdirectory, a_second_outage_begins_the_wait_anew)
{
  UpstreamDirectory directory;
  directory.Put(Make("a"));
  Serve(directory, -2000, -2000);
  Serve(directory, 0, 1000);
  directory.Remove("a", Millis(1000));
  cr_expect(!directory.Expire());
  Serve(directory, 10000, 11999);
  cr_expect(!directory.Expire());
  Serve(directory, 12000, 12000);
  cr_expect(directory.Expire());
}

Test(upstreamdirectory, a_list_lost_again_and_again_keeps_nothing_for_good)
{
  UpstreamDirectory directory;
  directory.Put(Make("a"));
  Serve(directory, -2000, -2000);
  Serve(directory, 100, 100);
  directory.Remove("a", Millis(100));
  int64_t gone = 0;
  // Answers every 1100 ms: moments without one between them are no outages.
  for (int64_t now = 1000; gone == 0 && now < 20000; now += 1100) {
    Serve(directory, now, now);
    gone = directory.Expire() ? now : 0;
  }
  cr_expect(gone > 0 && gone <= 3200, "gone at %d", static_cast<int>(gone));
}

Test(upstreamdirectory,
     a_store_that_is_away_again_and_again_keeps_nothing_for_good)
{
  UpstreamDirectory directory;
  directory.Put(Make("a"));
  Serve(directory, -5000, -5000);
  Serve(directory, 0, 0);
  directory.Remove("a", Millis(0));
  constexpr int64_t kUp = 1500;
  int64_t served = 0;
  for (int64_t now = 0; Count(directory) > 0 && now < 200000; now += 5000) {
    Serve(directory, now, now + kUp);
    served += kUp;
    directory.Expire();
  }
  cr_expect(served == 10500, "%d", static_cast<int>(served));
}

Test(upstreamdirectory, an_outage_is_no_time_in_which_the_store_served)
{
  UpstreamDirectory directory;
  directory.Put(Make("a"));
  Serve(directory, -5000, -5000);
  Serve(directory, 0, 1000);
  directory.Remove("a", Millis(1000));
  // The list is confirmed by the same answer that ends the outage, first.
  directory.OnListConfirmed(ReadingAt(Millis(20000)));
  directory.OnStoreResponse(ReadingAt(Millis(20000)));
  cr_expect(!directory.Expire());
  Serve(directory, 20500, 21999);
  cr_expect(!directory.Expire());
  Serve(directory, 22000, 22000);
  cr_expect(directory.Expire());
}

Test(upstreamdirectory, others_answers_show_that_the_store_was_not_away)
{
  UpstreamDirectory directory;
  directory.Put(Make("a"));
  Serve(directory, -5000, 0);
  Serve(directory, 8000, 8000);
  directory.Remove("a", Millis(8000));
  cr_expect(Count(directory) == 1);
  const StoreServingInterval others{ .mSince = ReadingAt(Millis(-3000)),
                                     .mUntil = ReadingAt(Millis(7900)) };
  directory.OnStoreReport(others);
  cr_expect(directory.Expire());
  cr_expect(Count(directory) == 0);
}

Test(upstreamdirectory, others_answers_do_not_tell_that_it_is_still_missing)
{
  UpstreamDirectory directory;
  directory.Put(Make("a"));
  Serve(directory, -5000, 0);
  Serve(directory, 8000, 8000);
  directory.Remove("a", Millis(8000));
  directory.OnStoreReport(
    { .mSince = ReadingAt(Millis(7800)), .mUntil = ReadingAt(Millis(11000)) });
  cr_expect(!directory.Expire(), "it may be listed again by now");
  Serve(directory, 11000, 11000);
  cr_expect(directory.Expire());
}

Test(upstreamdirectory, others_that_lost_the_store_as_well_prove_nothing)
{
  UpstreamDirectory directory;
  directory.Put(Make("a"));
  Serve(directory, -5000, 0);
  Serve(directory, 8000, 8000);
  directory.Remove("a", Millis(8000));
  const StoreServingInterval before{ .mSince = ReadingAt(Millis(-9000)),
                                     .mUntil = ReadingAt(Millis(200)) };
  const StoreServingInterval after{ .mSince = ReadingAt(Millis(7500)),
                                    .mUntil = ReadingAt(Millis(8000)) };
  directory.OnStoreReport(before);
  directory.OnStoreReport(after);
  Serve(directory, 8500, 9499);
  cr_expect(!directory.Expire());
  Serve(directory, 9500, 9500);
  cr_expect(directory.Expire(), "two seconds after its return");
}

Test(upstreamdirectory, an_upstream_that_changes_service_is_found_there)
{
  UpstreamDirectory directory;
  directory.Put(Make("a"));
  ListedUpstream moved = Make("a");
  moved.mService = "other";
  directory.Put(moved);
  cr_expect(Count(directory) == 0);
  cr_expect(directory.OfService("other").size() == 1);
}

namespace {

/** The life that the directory gives the entry. */
uint64_t
LifeAfter(UpstreamDirectory& aDirectory, ListedUpstream aUpstream)
{
  const UpstreamId id = aUpstream.mId;
  aDirectory.Put(std::move(aUpstream));
  return aDirectory.Find(id)->mIncarnationNumber;
}

ListedUpstream
Born(int64_t aBorn, uint64_t aSequence)
{
  ListedUpstream upstream = Make("a");
  upstream.mStartTime = aBorn;
  upstream.mSequence = aSequence;
  return upstream;
}

} // namespace

Test(upstreamdirectory, another_time_of_birth_is_another_start)
{
  UpstreamDirectory directory;
  const uint64_t first = LifeAfter(directory, Born(1000, 7));
  cr_expect(LifeAfter(directory, Born(1000, 8)) == first);
  ListedUpstream leaving = Born(1000, 9);
  leaving.mLeaving = true;
  cr_expect(LifeAfter(directory, leaving) == first, "the same process leaves");
  const uint64_t second = LifeAfter(directory, Born(5000, 1));
  cr_expect(second != first);
  cr_expect(LifeAfter(directory, Born(4000, 2)) != second, "its clock is back");
}

Test(upstreamdirectory, without_a_birth_a_count_that_begins_anew_is_a_start)
{
  UpstreamDirectory directory;
  ListedUpstream plain = Make("a");
  plain.mSequence = 40;
  const uint64_t first = LifeAfter(directory, plain);
  plain.mSequence = 41;
  cr_expect(LifeAfter(directory, plain) == first);
  plain.mSequence = 2;
  const uint64_t second = LifeAfter(directory, plain);
  cr_expect(second != first);
  // A birth that is told for the first time contradicts nothing.
  cr_expect(LifeAfter(directory, Born(9000, 3)) == second);
  // One that is left out is still known.
  plain.mSequence = 4;
  cr_expect(LifeAfter(directory, plain) == second);
  cr_expect(LifeAfter(directory, Born(9000, 5)) == second);
}

Test(upstreamdirectory, a_start_while_the_list_was_away_is_seen_on_its_return)
{
  UpstreamDirectory directory;
  const uint64_t first = LifeAfter(directory, Born(1000, 7));
  Serve(directory, -2000, 0);
  Serve(directory, 5000, 5000);
  directory.Remove("a", Millis(5000));
  cr_expect(directory.Find("a") != nullptr);
  directory.ReplaceAll({ Born(4000, 1) }, Millis(5000));
  cr_expect(directory.Find("a")->mIncarnationNumber != first);
  cr_expect(!directory.Expire());
}

Test(upstreamdirectory, one_that_comes_back_after_its_removal_is_another)
{
  UpstreamDirectory directory;
  const uint64_t first = LifeAfter(directory, Born(1000, 7));
  directory.Remove("a", Millis(10));
  cr_expect(LifeAfter(directory, Born(1000, 8)) != first);
}
