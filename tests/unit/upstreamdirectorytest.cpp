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

Test(upstreamdirectory, what_lapses_while_the_list_is_away_is_kept)
{
  UpstreamDirectory directory;
  directory.Put(Make("a"));
  directory.OnListLost(Millis(0));
  directory.Remove("a", Millis(10));
  cr_expect(!directory.Expire(Millis(100000)));
  directory.OnListBack(Millis(100000));
  cr_expect(!directory.Expire(Millis(101999)));
  cr_expect(directory.Expire(Millis(102000)));
  cr_expect(Count(directory) == 0);
}

Test(upstreamdirectory, what_is_told_as_gone_soon_after_the_return_is_kept_too)
{
  UpstreamDirectory directory;
  directory.Put(Make("a"));
  directory.Put(Make("b"));
  directory.OnListLost(Millis(0));
  directory.OnListBack(Millis(1000));
  directory.ReplaceAll({ Make("b") }, Millis(1000));
  cr_expect(Count(directory) == 2);
  cr_expect(directory.NextExpiry() == Millis(3000));
  directory.Put(Make("a"));
  cr_expect(!directory.Expire(Millis(3000)));
  directory.Remove("a", Millis(3001));
  cr_expect(Count(directory) == 1);
}

Test(upstreamdirectory, a_second_outage_begins_the_wait_anew)
{
  UpstreamDirectory directory;
  directory.Put(Make("a"));
  directory.OnListLost(Millis(0));
  directory.Remove("a", Millis(0));
  directory.OnListBack(Millis(1000));
  directory.OnListLost(Millis(1000));
  cr_expect(!directory.Expire(Millis(9000)));
  directory.OnListBack(Millis(10000));
  cr_expect(!directory.Expire(Millis(11999)));
  cr_expect(directory.Expire(Millis(12000)));
}

Test(upstreamdirectory, a_list_lost_again_and_again_keeps_nothing_for_good)
{
  UpstreamDirectory directory;
  directory.Put(Make("a"));
  directory.OnListLost(Millis(0));
  directory.OnListBack(Millis(100));
  directory.Remove("a", Millis(100));
  int64_t gone = 0;
  for (int64_t now = 1000; gone == 0 && now < 20000; now += 1000) {
    directory.OnListLost(Millis(now));
    cr_expect(!directory.Expire(Millis(now + 50)));
    directory.OnListBack(Millis(now + 100));
    gone = directory.Expire(Millis(now + 100)) ? now : 0;
  }
  cr_expect(gone == 3000, "gone at %d", static_cast<int>(gone));
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
  return aDirectory.Find(id)->mLife;
}

ListedUpstream
Born(int64_t aBorn, uint64_t aSequence)
{
  ListedUpstream upstream = Make("a");
  upstream.mBorn = aBorn;
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
  directory.OnListLost(Millis(0));
  directory.Remove("a", Millis(10));
  directory.OnListBack(Millis(5000));
  directory.ReplaceAll({ Born(4000, 1) }, Millis(5000));
  cr_expect(directory.Find("a")->mLife != first);
  cr_expect(!directory.Expire(Millis(9000)));
}

Test(upstreamdirectory, one_that_comes_back_after_its_removal_is_another)
{
  UpstreamDirectory directory;
  const uint64_t first = LifeAfter(directory, Born(1000, 7));
  directory.Remove("a", Millis(10));
  cr_expect(LifeAfter(directory, Born(1000, 8)) != first);
}
