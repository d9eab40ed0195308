#include "libtrefoilarch/peerwork.h"

#include <criterion/criterion.h>

using namespace trefoilarch;

namespace {

PeerUpdate
Update(const char* aFrom, uint64_t aSequence, uint64_t aTokens)
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

Test(peerwork, pending_work_of_all_peers_is_added_up)
{
  PeerWork work;
  work.Take(Update("a", 1, 100), Millis(0));
  work.Take(Update("b", 1, 50), Millis(0));
  cr_expect(Pending(work) == 150);
  cr_expect(work.Peers() == 2);
  cr_expect(work.Pending("other").All() == 0);
}

Test(peerwork, each_message_replaces_the_previous_one_of_its_sender)
{
  PeerWork work;
  work.Take(Update("a", 1, 100), Millis(0));
  work.Take(Update("a", 3, 30), Millis(10));
  cr_expect(!work.Take(Update("a", 2, 70), Millis(20)), "it is outdated");
  cr_expect(Pending(work) == 30);
}

Test(peerwork, the_first_message_of_a_restarted_entry_is_accepted)
{
  PeerWork work;
  work.Take(Update("a", 900, 100), Millis(0));
  PeerUpdate fresh = Update("a", 1, 40);
  fresh.mProcess = 2;
  cr_expect(work.Take(fresh, Millis(10)));
  cr_expect(Pending(work) == 40);
}

Test(peerwork, the_work_of_a_silent_entry_is_forgotten)
{
  PeerWork work;
  work.Take(Update("a", 1, 100), Millis(0));
  work.Take(Update("b", 1, 50), Millis(1500));
  work.Expire(Millis(2000));
  cr_expect(Pending(work) == 50);
  cr_expect(work.Peers() == 1);
}

Test(pendingprefill, more_urgent_prompts_are_prefilled_first)
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
