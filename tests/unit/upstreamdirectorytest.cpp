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

Test(upstreamdirectory, an_upstream_removed_without_an_outage_is_gone)
{
  UpstreamDirectory directory;
  directory.Put(Make("a"));
  directory.Put(Make("b"));
  directory.Remove("a", Millis(10));
  cr_expect(Count(directory) == 1);
  cr_expect(directory.Find("a") == nullptr);
}

namespace {

/** The time of the store's clock at this local time. */
Millis
StoreTimeAt(Millis aNow)
{
  return Millis(500000) + aNow;
}

void
Respond(UpstreamDirectory& aDirectory, Millis aNow)
{
  aDirectory.OnStoreResponse(StoreTimeAt(aNow));
  aDirectory.OnListConfirmed(StoreTimeAt(aNow));
}

/** The store responds twice a second during that time. */
void
RespondDuring(UpstreamDirectory& aDirectory, int64_t aFrom, int64_t aUntil)
{
  constexpr int64_t kInterval = 500;
  for (int64_t now = aFrom; now < aUntil; now += kInterval) {
    Respond(aDirectory, Millis(now));
  }
  Respond(aDirectory, Millis(aUntil));
}

} // namespace

Test(upstreamdirectory, an_upstream_removed_soon_after_the_start_is_gone)
{
  UpstreamDirectory directory;
  RespondDuring(directory, 0, 0);
  directory.Put(Make("a"));
  directory.Remove("a", Millis(0));
  cr_expect(Count(directory) == 0);
}

Test(upstreamdirectory, an_entry_that_expires_in_an_outage_is_kept)
{
  UpstreamDirectory directory;
  directory.Put(Make("a"));
  RespondDuring(directory, -5000, 0);
  RespondDuring(directory, 100000, 100000);
  directory.Remove("a", Millis(100000));
  RespondDuring(directory, 100500, 101999);
  cr_expect(!directory.Expire());
  RespondDuring(directory, 102000, 102000);
  cr_expect(directory.Expire());
  cr_expect(Count(directory) == 0);
}

Test(upstreamdirectory, an_upstream_removed_just_before_an_outage_is_kept)
{
  UpstreamDirectory directory;
  directory.Put(Make("a"));
  RespondDuring(directory, -5000, -5000);
  RespondDuring(directory, 0, 0);
  directory.Remove("a", Millis(10));
  cr_expect(!directory.Expire());
  RespondDuring(directory, 100000, 101999);
  cr_expect(!directory.Expire());
  RespondDuring(directory, 102000, 102000);
  cr_expect(directory.Expire());
  cr_expect(Count(directory) == 0);
}

Test(upstreamdirectory, an_upstream_missing_soon_after_the_recovery_is_kept)
{
  UpstreamDirectory directory;
  directory.Put(Make("a"));
  directory.Put(Make("b"));
  RespondDuring(directory, -1000, -1000);
  RespondDuring(directory, 1000, 1000);
  directory.ReplaceAll({ Make("b") }, Millis(1000));
  cr_expect(Count(directory) == 2);
  RespondDuring(directory, 1500, 2999);
  cr_expect(!directory.Expire());
  directory.Put(Make("a"));
  RespondDuring(directory, 3000, 3000);
  cr_expect(!directory.Expire());
  directory.Remove("a", Millis(3001));
  cr_expect(Count(directory) == 1);
}

Test(upstreamdirectory, a_second_outage_restarts_the_wait)
{
  UpstreamDirectory directory;
  directory.Put(Make("a"));
  RespondDuring(directory, -2000, -2000);
  RespondDuring(directory, 0, 1000);
  directory.Remove("a", Millis(1000));
  cr_expect(!directory.Expire());
  RespondDuring(directory, 10000, 11999);
  cr_expect(!directory.Expire());
  RespondDuring(directory, 12000, 12000);
  cr_expect(directory.Expire());
}

Test(upstreamdirectory, repeated_short_losses_do_not_keep_an_upstream_forever)
{
  UpstreamDirectory directory;
  directory.Put(Make("a"));
  RespondDuring(directory, -2000, -2000);
  RespondDuring(directory, 100, 100);
  directory.Remove("a", Millis(100));
  int64_t gone = 0;
  // Responses every 1100 ms: the gaps between them are no outages.
  for (int64_t now = 1000; gone == 0 && now < 20000; now += 1100) {
    RespondDuring(directory, now, now);
    gone = directory.Expire() ? now : 0;
  }
  cr_expect(gone > 0 && gone <= 3200, "gone at %d", static_cast<int>(gone));
}

Test(upstreamdirectory, repeated_outages_do_not_keep_an_upstream_forever)
{
  UpstreamDirectory directory;
  directory.Put(Make("a"));
  RespondDuring(directory, -5000, -5000);
  RespondDuring(directory, 0, 0);
  directory.Remove("a", Millis(0));
  constexpr int64_t kUptime = 1500;
  int64_t served = 0;
  for (int64_t now = 0; Count(directory) > 0 && now < 200000; now += 5000) {
    RespondDuring(directory, now, now + kUptime);
    served += kUptime;
    directory.Expire();
  }
  cr_expect(served == 10500, "%d", static_cast<int>(served));
}

Test(upstreamdirectory, an_outage_does_not_count_as_serving_time)
{
  UpstreamDirectory directory;
  directory.Put(Make("a"));
  RespondDuring(directory, -5000, -5000);
  RespondDuring(directory, 0, 1000);
  directory.Remove("a", Millis(1000));
  // The list is confirmed first, by the response that ends the outage.
  directory.OnListConfirmed(StoreTimeAt(Millis(20000)));
  directory.OnStoreResponse(StoreTimeAt(Millis(20000)));
  cr_expect(!directory.Expire());
  RespondDuring(directory, 20500, 21999);
  cr_expect(!directory.Expire());
  RespondDuring(directory, 22000, 22000);
  cr_expect(directory.Expire());
}

Test(upstreamdirectory, responses_to_peers_can_disprove_an_outage)
{
  UpstreamDirectory directory;
  directory.Put(Make("a"));
  RespondDuring(directory, -5000, 0);
  RespondDuring(directory, 8000, 8000);
  directory.Remove("a", Millis(8000));
  cr_expect(Count(directory) == 1);
  const StoreServingInterval othersInterval{
    .mSince = StoreTimeAt(Millis(-3000)), .mUntil = StoreTimeAt(Millis(7900))
  };
  directory.OnStoreReport(othersInterval);
  cr_expect(directory.Expire());
  cr_expect(Count(directory) == 0);
}

Test(upstreamdirectory,
     responses_to_peers_do_not_show_that_an_upstream_is_missing)
{
  UpstreamDirectory directory;
  directory.Put(Make("a"));
  RespondDuring(directory, -5000, 0);
  RespondDuring(directory, 8000, 8000);
  directory.Remove("a", Millis(8000));
  directory.OnStoreReport({ .mSince = StoreTimeAt(Millis(7800)),
                            .mUntil = StoreTimeAt(Millis(11000)) });
  cr_expect(!directory.Expire(), "it may be listed again by now");
  RespondDuring(directory, 11000, 11000);
  cr_expect(directory.Expire());
}

Test(upstreamdirectory, peers_that_lost_the_store_too_prove_nothing)
{
  UpstreamDirectory directory;
  directory.Put(Make("a"));
  RespondDuring(directory, -5000, 0);
  RespondDuring(directory, 8000, 8000);
  directory.Remove("a", Millis(8000));
  const StoreServingInterval before{ .mSince = StoreTimeAt(Millis(-9000)),
                                     .mUntil = StoreTimeAt(Millis(200)) };
  const StoreServingInterval after{ .mSince = StoreTimeAt(Millis(7500)),
                                    .mUntil = StoreTimeAt(Millis(8000)) };
  directory.OnStoreReport(before);
  directory.OnStoreReport(after);
  RespondDuring(directory, 8500, 9499);
  cr_expect(!directory.Expire());
  RespondDuring(directory, 9500, 9500);
  cr_expect(directory.Expire(), "two seconds after its recovery");
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

/** Returns the incarnation number that the directory assigns. */
uint64_t
IncarnationAfterPut(UpstreamDirectory& aDirectory, ListedUpstream aUpstream)
{
  const UpstreamId id = aUpstream.mId;
  aDirectory.Put(std::move(aUpstream));
  return aDirectory.Find(id)->mIncarnationNumber;
}

ListedUpstream
MakeStartedAt(int64_t aStartTime, uint64_t aSequence)
{
  ListedUpstream upstream = Make("a");
  upstream.mStartTime = aStartTime;
  upstream.mSequence = aSequence;
  return upstream;
}

} // namespace

Test(upstreamdirectory, another_start_time_is_another_incarnation)
{
  UpstreamDirectory directory;
  const uint64_t first = IncarnationAfterPut(directory, MakeStartedAt(1000, 7));
  cr_expect(IncarnationAfterPut(directory, MakeStartedAt(1000, 8)) == first);
  ListedUpstream leaving = MakeStartedAt(1000, 9);
  leaving.mLeaving = true;
  cr_expect(IncarnationAfterPut(directory, leaving) == first,
            "the same process leaves");
  const uint64_t second =
    IncarnationAfterPut(directory, MakeStartedAt(5000, 1));
  cr_expect(second != first);
  cr_expect(IncarnationAfterPut(directory, MakeStartedAt(4000, 2)) != second,
            "its clock was set back");
}

Test(upstreamdirectory,
     without_a_start_time_a_restarted_sequence_is_an_incarnation)
{
  UpstreamDirectory directory;
  ListedUpstream plain = Make("a");
  plain.mSequence = 40;
  const uint64_t first = IncarnationAfterPut(directory, plain);
  plain.mSequence = 41;
  cr_expect(IncarnationAfterPut(directory, plain) == first);
  plain.mSequence = 2;
  const uint64_t second = IncarnationAfterPut(directory, plain);
  cr_expect(second != first);
  // A start time that is reported for the first time contradicts nothing.
  cr_expect(IncarnationAfterPut(directory, MakeStartedAt(9000, 3)) == second);
  // A start time that is left out is still known.
  plain.mSequence = 4;
  cr_expect(IncarnationAfterPut(directory, plain) == second);
  cr_expect(IncarnationAfterPut(directory, MakeStartedAt(9000, 5)) == second);
}

Test(upstreamdirectory, a_restart_during_an_outage_is_detected_afterwards)
{
  UpstreamDirectory directory;
  const uint64_t first = IncarnationAfterPut(directory, MakeStartedAt(1000, 7));
  RespondDuring(directory, -2000, 0);
  RespondDuring(directory, 5000, 5000);
  directory.Remove("a", Millis(5000));
  cr_expect(directory.Find("a") != nullptr);
  directory.ReplaceAll({ MakeStartedAt(4000, 1) }, Millis(5000));
  cr_expect(directory.Find("a")->mIncarnationNumber != first);
  cr_expect(!directory.Expire());
}

Test(upstreamdirectory,
     an_upstream_listed_again_after_removal_is_another_incarnation)
{
  UpstreamDirectory directory;
  const uint64_t first = IncarnationAfterPut(directory, MakeStartedAt(1000, 7));
  directory.Remove("a", Millis(10));
  cr_expect(IncarnationAfterPut(directory, MakeStartedAt(1000, 8)) != first);
}

Test(upstreamdirectory, a_restored_entry_does_not_undo_what_was_newer)
{
  const auto make = [](const char* aId, uint64_t aSequence, bool aLeaving) {
    ListedUpstream upstream = Make(aId);
    upstream.mStartTime = 1000;
    upstream.mSequence = aSequence;
    upstream.mLeaving = aLeaving;
    return upstream;
  };
  UpstreamDirectory directory;
  RespondDuring(directory, 0, 0);
  directory.ReplaceAll({ make("gone", 3, false),
                         make("leaves", 3, false),
                         make("stays", 3, false) },
                       Millis(0));
  directory.Put(make("leaves", 5, true));
  directory.Remove("gone", Millis(10));
  cr_assert(Count(directory) == 2);

  const auto outdated = directory.Restore({ make("gone", 3, false),
                                            make("leaves", 4, false),
                                            make("new", 1, false),
                                            make("stays", 3, false) },
                                          Millis(5000));
  cr_expect(outdated == std::vector<UpstreamId>({ "gone", "leaves" }));
  cr_expect(directory.Find("gone") == nullptr);
  cr_expect(directory.Find("leaves")->mLeaving);
  cr_expect(directory.Find("new") != nullptr);

  // What a process writes later counts.
  directory.Put(make("gone", 4, false));
  cr_expect(directory.Find("gone") != nullptr);
}
