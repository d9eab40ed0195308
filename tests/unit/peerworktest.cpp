#include "libtrefoilarch/peerwork.h"

#include <criterion/criterion.h>

using namespace trefoilarch;

namespace {

PeerUpdate
Notes(const char* aFrom, uint64_t aSequence, uint64_t aTokens)
{
  PendingPrefill reads;
  reads.Add(1, aTokens);
  return { .mFrom = aFrom,
           .mProcess = 1,
           .mSequence = aSequence,
           .mPending = { { .mUpstream = "e", .mPendingPrefill = reads } } };
}

uint64_t
Pending(const PeerWork& aWork)
{
  return aWork.Pending("e").All();
}

} // namespace

Test(peerwork, what_all_others_tell_is_added_up)
{
  PeerWork work;
  work.Take(Notes("a", 1, 100), Millis(0));
  work.Take(Notes("b", 1, 50), Millis(0));
  cr_expect(Pending(work) == 150);
  cr_expect(work.Peers() == 2);
  cr_expect(work.Pending("other").All() == 0);
}

Test(peerwork, each_message_replaces_what_its_sender_told_before)
{
  PeerWork work;
  work.Take(Notes("a", 1, 100), Millis(0));
  work.Take(Notes("a", 3, 30), Millis(10));
  cr_expect(!work.Take(Notes("a", 2, 70), Millis(20)), "it came late");
  cr_expect(Pending(work) == 30);
}

Test(peerwork, an_entry_that_starts_again_is_heard_from_its_first_message)
{
  PeerWork work;
  work.Take(Notes("a", 900, 100), Millis(0));
  PeerUpdate fresh = Notes("a", 1, 40);
  fresh.mProcess = 2;
  cr_expect(work.Take(fresh, Millis(10)));
  cr_expect(Pending(work) == 40);
}

Test(peerwork, the_work_of_a_silent_entry_is_forgotten)
{
  PeerWork work;
  work.Take(Notes("a", 1, 100), Millis(0));
  work.Take(Notes("b", 1, 50), Millis(1500));
  work.Expire(Millis(2000));
  cr_expect(Pending(work) == 50);
  cr_expect(work.Peers() == 1);
}

Test(pendingreads, more_urgent_prompts_are_read_first)
{
  PendingPrefill reads;
  reads.Add(0, 10);
  reads.Add(1, 200);
  reads.Add(9, 3000);
  cr_expect(reads.Ahead(0) == 10 && reads.Behind(0) == 3200);
  cr_expect(reads.Ahead(1) == 210 && reads.Behind(1) == 3000);
  cr_expect(reads.Ahead(2) == 3210 && reads.Behind(2) == 0);
  reads.Subtract(9, 5000);
  cr_expect(reads.All() == 210, "never below nothing");
}
