#include "libtrefoilarch/buffering/bufferbudget.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>

using namespace trefoilarch;

namespace {

constexpr size_t kRead = 8192;
constexpr size_t kMegabyte = 1048576;
/** A quarter of the memory of the smallest gate, 88 MB. */
constexpr size_t kSmallGate = 22 * kMegabyte;
constexpr uint8_t kUrgent = 0;
constexpr uint8_t kRelaxed = 2;

/** Reads for a caller that takes nothing for as long as the budget allows. */
void
Fill(BufferBudget& aBudget, StreamId aStream, uint8_t aTier, Millis aNow)
{
  while (aBudget.MayRead(aStream)) {
    aBudget.OnHeld(aStream, aTier, kRead, aNow);
  }
}

/** A budget for very few callers, so that a handful reaches the bound. */
BufferBudget
SmallBudget()
{
  return BufferBudget({ .mTotalBytes = 64 * kRead });
}

} // namespace

Test(bufferbudget, one_caller_is_never_held_more_than_its_bound)
{
  BufferBudget budget({ .mTotalBytes = kSmallGate });
  Fill(budget, 1, kUrgent, Millis(0));
  cr_expect(budget.HeldBytes(1) == 262144);
  budget.OnPaused(1);
  cr_expect(budget.TakeReadable().empty());
  budget.OnDrained(1, kRead - 1, Millis(1));
  cr_expect(budget.TakeReadable().empty());
  budget.OnDrained(1, 1, Millis(2));
  cr_expect(budget.TakeReadable() == std::vector<StreamId>{ 1 });
  cr_expect(budget.TakeReadable().empty(), "each pause ends once");
}

/** The load: a gate of 88 MB with 2000 callers that read nothing. */
Test(bufferbudget, callers_that_read_find_room_beside_thousands_that_do_not)
{
  BufferBudget budget({ .mTotalBytes = kSmallGate });
  for (size_t reads = 0; reads < 32; ++reads) {
    for (StreamId each = 1; each <= 2000; ++each) {
      if (budget.MayRead(each)) {
        budget.OnHeld(each, kRelaxed, kRead, Millis(0));
      }
    }
  }
  cr_expect(budget.TotalBytes() <= kSmallGate);
  cr_expect(budget.MayRead(9999));
  cr_expect(!budget.MayRead(1), "those that hold most are stopped first");
  cr_expect(budget.Victims(Millis(5000)).empty(), "the bound is not reached");
}

Test(bufferbudget, at_the_bound_the_least_urgent_then_the_oldest_stall_goes)
{
  BufferBudget budget = SmallBudget();
  budget.OnHeld(1, kUrgent, 20 * kRead, Millis(0));
  budget.OnHeld(2, kRelaxed, 8 * kRead, Millis(200));
  budget.OnHeld(3, kRelaxed, 8 * kRead, Millis(100));
  budget.OnHeld(4, kRelaxed, 20 * kRead, Millis(0));
  budget.OnDrained(4, kRead, Millis(950));
  cr_expect(budget.IsExhausted());
  cr_expect(!budget.MayRead(5));
  cr_expect(budget.Victims(Millis(1000)) == std::vector<StreamId>({ 3 }),
            "one is enough, and 4 has just read");
  budget.OnClosed(3);
  cr_expect(!budget.IsExhausted());
  budget.OnHeld(5, kUrgent, 20 * kRead, Millis(1000));
  cr_expect(budget.Victims(Millis(1000)) == std::vector<StreamId>({ 2, 1 }));
}

/** A burst is not a reason to cut off callers that take it. */
Test(bufferbudget, nobody_is_given_up_while_all_read)
{
  BufferBudget budget = SmallBudget();
  for (StreamId each = 1; each <= 8; ++each) {
    budget.OnHeld(each, kRelaxed, 8 * kRead, Millis(0));
    budget.OnDrained(each, 1, Millis(900));
  }
  cr_expect(budget.IsExhausted());
  cr_expect(budget.Victims(Millis(1000)).empty());
}

Test(bufferbudget, a_caller_that_reads_a_little_is_not_stalled)
{
  BufferBudget budget({ .mStallTimeout = Millis(10000) });
  budget.OnHeld(1, kUrgent, 5000, Millis(0));
  budget.OnHeld(2, kUrgent, 5000, Millis(0));
  budget.OnHeld(3, kUrgent, 5000, Millis(0));
  budget.OnDrained(2, 1, Millis(5000));
  budget.OnProgress(3, Millis(9000));
  // More bytes for a caller that reads none don't prolong its time.
  budget.OnHeld(1, kUrgent, 5000, Millis(9000));
  cr_expect(budget.Stalled(Millis(9999)).empty());
  cr_expect(budget.Stalled(Millis(10000)) == std::vector<StreamId>{ 1 });
  budget.OnClosed(1);
  cr_expect(budget.Stalled(Millis(10000)).empty());
  cr_expect(budget.TotalBytes() == 9999);
}

/** Answers that are kept to be repeated use the same memory. */
Test(bufferbudget, unoffered_bytes_count_but_do_not_stall)
{
  BufferBudget budget = SmallBudget();
  for (StreamId each = 1; each <= 7; ++each) {
    budget.SetUnoffered(each, 8 * kRead);
  }
  cr_expect(budget.TotalBytes() == 56 * kRead);
  cr_expect(!budget.MayRead(1) && !budget.MayRead(9));
  cr_expect(budget.Stalled(Millis(60000)).empty());
  cr_expect(budget.Victims(Millis(60000)).empty());
  budget.SetUnoffered(7, 40 * kRead);
  cr_expect(budget.Victims(Millis(0)) == std::vector<StreamId>{ 7 },
            "an event that is larger than what may be held for a caller");
  budget.OnClosed(7);
  cr_expect(budget.TotalBytes() == 48 * kRead);
  cr_expect(budget.MayRead(9));
  budget.SetUnoffered(1, 0);
  cr_expect(budget.TotalBytes() == 40 * kRead);
}

/** Figures that don't fit together must not wrap around. */
Test(bufferbudget, absurd_figures_are_clamped)
{
  BufferBudget budget({ .mTotalBytes = kSmallGate });
  budget.OnDrained(7, 100, Millis(0));
  budget.OnHeld(1, kUrgent, 10, Millis(0));
  budget.OnDrained(1, SIZE_MAX, Millis(0));
  budget.OnClosed(1);
  cr_expect(budget.TotalBytes() == 0);
  budget.OnSending(1, "i-1", 10, Millis(0));
  budget.OnSentBody(1, SIZE_MAX, Millis(0));
  budget.OnBodyEnded(1);
  cr_expect(budget.BytesTowards("i-1") == 0);
  cr_expect(!BufferBudget({ .mTotalBytes = 0 }).MayRead(1));
}

/** An entry's share among 340 gates is less than a largest body. */
Test(bufferbudget, an_upstream_that_does_not_read_gets_no_further_bodies)
{
  BufferBudget budget({ .mUpstreamBytes = 1000 });
  budget.OnSending(1, "i-1", 600, Millis(0));
  cr_expect(!budget.MaySend("i-1", 401));
  cr_expect(budget.MaySend("i-1", 400));
  cr_expect(budget.MaySend("i-2", 5000), "one body is always sent");
  budget.OnSentBody(1, 100, Millis(4000));
  cr_expect(budget.MaySend("i-1", 500));
  cr_expect(!budget.MaySend("i-1", SIZE_MAX));
  cr_expect(budget.StalledBodies(Millis(13999)).empty());
  cr_expect(budget.StalledBodies(Millis(14000)) == std::vector<StreamId>{ 1 });
  budget.OnBodyEnded(1);
  cr_expect(budget.BytesTowards("i-1") == 0);
  cr_expect(budget.StalledBodies(Millis(14000)).empty());
}

/** The load: any mix of callers that read well, in pieces or not at all, on a
 * gate whose bound they exceed many times over. */
Test(bufferbudget, the_sum_is_bounded_and_readers_are_never_given_up)
{
  const bool holds = rc::check([] {
    const BufferBudgetOptions options{ .mTotalBytes = 32 * kRead };
    BufferBudget budget(options);
    std::map<StreamId, size_t> held;
    std::map<StreamId, Millis> readAt;
    const auto callers = *rc::gen::inRange<StreamId>(2, 40);
    const auto steps =
      *rc::gen::container<std::vector<std::pair<StreamId, int>>>(rc::gen::pair(
        rc::gen::inRange<StreamId>(0, callers), rc::gen::inRange(0, 12)));
    Millis now(0);
    for (const auto& [id, action] : steps) {
      now += Millis(40);
      // Odd callers read well: they take everything at each step.
      for (auto& [caller, bytes] : held) {
        if (caller % 2 == 1 && bytes > 0) {
          budget.OnDrained(caller, std::exchange(bytes, 0), now);
          readAt[caller] = now;
        }
      }
      if (action < 9 && budget.MayRead(id)) {
        readAt[id] = held[id] == 0 ? now : readAt[id];
        held[id] += kRead;
        budget.OnHeld(id, static_cast<uint8_t>(id % 3), kRead, now);
      } else if (action < 9) {
        budget.OnPaused(id);
      } else if (action == 9) {
        budget.OnDrained(id, std::exchange(held[id], 0), now);
        readAt[id] = now;
      }
      size_t sum = 0;
      for (const auto& [caller, bytes] : held) {
        RC_ASSERT(bytes == budget.HeldBytes(caller));
        sum += bytes;
      }
      RC_ASSERT(sum == budget.TotalBytes());
      RC_ASSERT(sum <= options.mTotalBytes + kRead);
      const auto victims = budget.Victims(now);
      for (const StreamId victim : victims) {
        RC_ASSERT(held[victim] > 0);
        RC_ASSERT(now - readAt[victim] >= options.mVictimStall);
        held[victim] = 0;
        budget.OnClosed(victim);
      }
      const bool anyStalled = std::ranges::any_of(held, [&](const auto& aHeld) {
        return aHeld.second > 0 &&
               now - readAt[aHeld.first] >= options.mVictimStall;
      });
      RC_ASSERT(!budget.IsExhausted() || !anyStalled);
      for (const StreamId readable : budget.TakeReadable()) {
        RC_ASSERT(budget.MayRead(readable));
      }
    }
  });
  cr_expect(holds);
}
