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
  directory.OnListLost();
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
  directory.OnListLost();
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
  directory.OnListLost();
  directory.Remove("a", Millis(0));
  directory.OnListBack(Millis(1000));
  directory.OnListLost();
  cr_expect(!directory.Expire(Millis(9000)));
  directory.OnListBack(Millis(10000));
  cr_expect(!directory.Expire(Millis(11999)));
  cr_expect(directory.Expire(Millis(12000)));
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
