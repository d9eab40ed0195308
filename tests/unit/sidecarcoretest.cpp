#include "libtrefoilarch/sidecarcore.h"

#include <criterion/criterion.h>

#include <string>

using namespace trefoilarch;

namespace {

constexpr uint64_t kIncarnation = 7;

AttemptKey
KeyOf(uint64_t aNumber)
{
  return { .mRequest = { .mHigh = 1, .mLow = aNumber }, .mAttempt = 1 };
}

Offer
OfferOf(uint64_t aNumber, Tier aTier = 0)
{
  return { .mKey = KeyOf(aNumber),
           .mLevel = { .mClass = std::string(1, static_cast<char>('a' + aTier)),
                       .mWorkspace = "w",
                       .mTier = aTier },
           .mDeadline = Millis(60000),
           .mFirstTokenDue = Millis(1000),
           .mPromptTokens = 100,
           .mOutputTokens = 100,
           .mIdempotent = true };
}

/** A core with one entry, and a short way to look at its actions. */
class Bench
{
public:
  explicit Bench(SidecarOptions aOptions = {})
    : mCore(WithIncarnation(std::move(aOptions)))
  {
    Message(Hello{ .mEntry = "e", .mDataCentre = "d" });
  }

  void Message(EntryMessage aMessage, const EntryId& aEntry = "e")
  {
    mLast = mCore.OnMessage(aEntry, std::move(aMessage), mNow);
  }

  void Event(CallEvent aEvent)
  {
    mLast = mCore.OnCall(std::move(aEvent), mNow);
  }

  /** Lets time pass, at the end of which the entry still gives signs of life
   * or does not. */
  void Pass(int64_t aMillis, bool aAlive = true)
  {
    mNow += Millis(aMillis);
    SidecarActions heard;
    if (aAlive) {
      heard = mCore.OnMessage("e", EntryHeartbeat{}, mNow);
    }
    mLast = mCore.OnTick(mNow);
    mLast.insert(mLast.begin(), heard.begin(), heard.end());
  }

  void StartOne(uint64_t aNumber)
  {
    Message(OfferOf(aNumber));
    cr_assert_not_null(Sent<Grant>());
    Message(Start{ .mKey = KeyOf(aNumber), .mCall = {} });
    cr_assert_eq(Count<StartCall>(), 1);
  }

  /** The first message of that type among the last actions. */
  template<typename Message>
  const Message* Sent() const
  {
    for (const SidecarAction& action : mLast) {
      if (const auto* send = std::get_if<SendToEntry>(&action)) {
        if (const auto* found = std::get_if<Message>(&send->mMessage)) {
          return found;
        }
      }
    }
    return nullptr;
  }

  template<typename Action>
  int Count() const
  {
    int count = 0;
    for (const SidecarAction& action : mLast) {
      count += std::holds_alternative<Action>(action) ? 1 : 0;
    }
    return count;
  }

  /** Numbers of the chunks among the last actions. */
  std::vector<uint64_t> Chunks() const
  {
    std::vector<uint64_t> numbers;
    for (const SidecarAction& action : mLast) {
      if (const auto* send = std::get_if<SendToEntry>(&action)) {
        if (const auto* chunk = std::get_if<Chunk>(&send->mMessage)) {
          numbers.push_back(chunk->mNumber);
        }
      }
    }
    return numbers;
  }

  static SidecarOptions WithIncarnation(SidecarOptions aOptions)
  {
    aOptions.mIncarnation = kIncarnation;
    return aOptions;
  }

  SidecarCore mCore;
  Millis mNow{ 1000 };
  SidecarActions mLast;
};

} // namespace

Test(sidecarcore, answer_goes_whole_and_numbered)
{
  Bench bench;
  bench.StartOne(1);
  bench.Event(
    CallHead{ .mKey = KeyOf(1), .mStatus = 200, .mHeaders = { { "a", "b" } } });
  bench.Event(CallData{ .mKey = KeyOf(1), .mData = "x", .mTokens = 1 });
  const Chunk first = *bench.Sent<Chunk>();
  cr_assert_eq(first.mNumber, 0);
  cr_assert_eq(first.mData, "x");
  cr_assert_eq(first.mStatus, 200);
  cr_assert(first.mHeaders == Headers({ { "a", "b" } }));
  bench.Event(CallData{ .mKey = KeyOf(1), .mData = "y", .mTokens = 1 });
  cr_assert_eq(bench.Sent<Chunk>()->mNumber, 1);
  bench.Event(CallDone{ .mKey = KeyOf(1), .mOutputTokens = 2 });
  cr_assert_eq(bench.Sent<Finished>()->mChunks, 2);
  bench.mCore.Drain(bench.mNow);
  cr_assert_not(bench.mCore.Idle());
  bench.Message(Ack{ .mKey = KeyOf(1), .mNextChunk = 2 });
  cr_assert(bench.mCore.Idle());
}

Test(sidecarcore, empty_answer_still_has_its_head)
{
  Bench bench;
  bench.StartOne(1);
  bench.Event(CallHead{ .mKey = KeyOf(1), .mStatus = 204, .mHeaders = {} });
  bench.Event(CallDone{ .mKey = KeyOf(1) });
  cr_assert_eq(bench.Sent<Chunk>()->mStatus, 204);
  cr_assert_eq(bench.Sent<Finished>()->mChunks, 1);
}

Test(sidecarcore, repeated_offer_and_start_change_nothing)
{
  Bench bench({ .mInitialTokenCapacity = 200 });
  bench.StartOne(1);
  bench.Message(Start{ .mKey = KeyOf(1), .mCall = {} });
  cr_assert(bench.mLast.empty());
  bench.Message(OfferOf(2));
  bench.Message(OfferOf(2));
  cr_assert(bench.mLast.empty());
  cr_assert_eq(bench.mCore.CurrentLoad().mWaiting, 1);
}

Test(sidecarcore, lapsed_grant_is_voided_for_good)
{
  Bench bench({ .mGrantTimeout = Millis(100) });
  bench.Message(OfferOf(1));
  bench.Pass(100);
  cr_assert_eq(bench.Sent<Voided>()->mIncarnation, kIncarnation);
  bench.Message(Start{ .mKey = KeyOf(1), .mCall = {} });
  cr_assert_not_null(bench.Sent<Voided>());
  cr_assert_eq(bench.Count<StartCall>(), 0);
  cr_assert_eq(bench.mCore.CurrentLoad().mRunning, 0);
}

Test(sidecarcore, start_late_by_the_clock_is_voided_before_any_tick)
{
  Bench bench({ .mGrantTimeout = Millis(100) });
  bench.Message(OfferOf(1));
  bench.mNow += Millis(100);
  bench.Message(Start{ .mKey = KeyOf(1), .mCall = {} });
  cr_assert_not_null(bench.Sent<Voided>());
  cr_assert_eq(bench.Count<StartCall>(), 0);
}

Test(sidecarcore, withdraw_voids_before_the_start_and_cancels_after_it)
{
  Bench bench;
  bench.Message(OfferOf(1));
  bench.Message(Withdraw{ .mKey = KeyOf(1) });
  cr_assert_not_null(bench.Sent<Voided>());
  bench.StartOne(2);
  bench.Message(Withdraw{ .mKey = KeyOf(2) });
  cr_assert_eq(bench.Count<CancelCall>(), 1);
  cr_assert_null(bench.Sent<Voided>());
  bench.Event(CallData{ .mKey = KeyOf(2), .mData = "late" });
  cr_assert(bench.mLast.empty());
}

Test(sidecarcore, void_or_report_tells_what_became_of_it)
{
  Bench bench;
  bench.StartOne(1);
  bench.Message(VoidOrReport{ .mKey = KeyOf(1) });
  cr_assert(bench.Sent<LedgerEntry>()->mState == AttemptState::Running);
  bench.Event(CallDone{ .mKey = KeyOf(1) });
  bench.Message(Ack{ .mKey = KeyOf(1), .mNextChunk = 0 });
  bench.Message(VoidOrReport{ .mKey = KeyOf(1) });
  cr_assert(bench.Sent<LedgerEntry>()->mState == AttemptState::Finished);
  bench.Message(VoidOrReport{ .mKey = KeyOf(2) });
  cr_assert_not_null(bench.Sent<Voided>());
  bench.Message(OfferOf(2));
  cr_assert_null(bench.Sent<Grant>());
  cr_assert_not_null(bench.Sent<Voided>());
}

Test(sidecarcore, forgotten_attempt_is_never_said_not_to_have_run)
{
  Bench bench({ .mLedgerRetention = Millis(1000) });
  bench.StartOne(1);
  bench.Event(CallFailed{ .mKey = KeyOf(1) });
  bench.Pass(1001);
  bench.Message(VoidOrReport{ .mKey = KeyOf(1) });
  cr_assert_null(bench.Sent<Voided>());
  cr_assert(bench.Sent<LedgerEntry>()->mState == AttemptState::Unknown);
  bench.Message(Start{ .mKey = KeyOf(1), .mCall = {} });
  cr_assert_eq(bench.Count<StartCall>(), 0);
  cr_assert_null(bench.Sent<Voided>());
}

Test(sidecarcore, resume_sends_again_from_the_chunk_asked_for)
{
  Bench bench;
  bench.StartOne(1);
  for (int i = 0; i < 4; ++i) {
    bench.Event(CallData{ .mKey = KeyOf(1), .mData = "x", .mTokens = 1 });
  }
  bench.Message(Ack{ .mKey = KeyOf(1), .mNextChunk = 1 });
  bench.mCore.OnEntryDown("e", bench.mNow);
  bench.Event(CallData{ .mKey = KeyOf(1), .mData = "x", .mTokens = 1 });
  cr_assert(bench.mLast.empty());
  bench.Message(Hello{ .mEntry = "e", .mDataCentre = "d" });
  bench.Event(CallData{ .mKey = KeyOf(1), .mData = "x", .mTokens = 1 });
  cr_assert(bench.mLast.empty(), "nothing flows before Resume");
  bench.Message(Resume{ .mKey = KeyOf(1), .mNextChunk = 2 });
  cr_assert(bench.Chunks() == std::vector<uint64_t>({ 2, 3, 4, 5 }));
  bench.Event(CallDone{ .mKey = KeyOf(1) });
  cr_assert_eq(bench.Sent<Finished>()->mChunks, 6);
  bench.Message(Hello{ .mEntry = "e", .mDataCentre = "d" });
  bench.Message(Resume{ .mKey = KeyOf(1), .mNextChunk = 5 });
  cr_assert(bench.Chunks() == std::vector<uint64_t>({ 5 }));
  cr_assert_eq(bench.Sent<Finished>()->mChunks, 6);
}

Test(sidecarcore, lost_entry_voids_what_waits_and_orphans_what_runs)
{
  Bench bench({ .mOrphanTimeout = Millis(5000), .mInitialTokenCapacity = 200 });
  bench.StartOne(1);
  bench.Message(OfferOf(2));
  bench.mLast = bench.mCore.OnEntryDown("e", bench.mNow);
  cr_assert_eq(bench.mCore.CurrentLoad().mWaiting, 0);
  bench.Pass(4999);
  cr_assert_eq(bench.Count<CancelCall>(), 0);
  bench.Pass(1);
  cr_assert_eq(bench.Count<CancelCall>(), 1);
  cr_assert_eq(bench.mCore.CurrentLoad().mRunning, 0);
}

Test(sidecarcore, drain_declines_what_waits_and_finishes_what_runs)
{
  Bench bench({ .mInitialTokenCapacity = 200 });
  bench.StartOne(1);
  bench.Message(OfferOf(2));
  bench.mLast = bench.mCore.Drain(bench.mNow);
  cr_assert(bench.Sent<Decline>()->mKind == ErrorKind::ShuttingDown);
  cr_assert(bench.Sent<SidecarHeartbeat>()->mLoad.mDraining);
  cr_assert_not(bench.mCore.Idle());
  bench.Message(OfferOf(3));
  cr_assert(bench.Sent<Decline>()->mKind == ErrorKind::ShuttingDown);
  bench.Event(CallData{ .mKey = KeyOf(1), .mData = "x", .mTokens = 1 });
  bench.Event(CallDone{ .mKey = KeyOf(1) });
  bench.Message(Ack{ .mKey = KeyOf(1), .mNextChunk = 1 });
  cr_assert(bench.mCore.Idle());
  bench.mCore.Undrain(bench.mNow);
  bench.Message(OfferOf(4));
  cr_assert_not_null(bench.Sent<Grant>());
}

Test(sidecarcore, passed_deadline_frees_its_place_at_once)
{
  Bench bench({ .mInitialTokenCapacity = 200 });
  bench.StartOne(1);
  Offer late = OfferOf(2);
  late.mDeadline = Millis(2000);
  bench.Message(late);
  bench.Pass(2000);
  cr_assert(bench.Sent<Decline>()->mKind == ErrorKind::DeadlineExceeded);
  cr_assert_gt(bench.Sent<Decline>()->mRetryAfter.Count(), 0);
  bench.Pass(58000);
  cr_assert_eq(bench.Count<CancelCall>(), 1);
  cr_assert(bench.Sent<Failed>()->mKind == ErrorKind::DeadlineExceeded);
  cr_assert(bench.Sent<Failed>()->mRan == Ran::Maybe);
}

Test(sidecarcore, another_entry_cannot_touch_an_attempt)
{
  Bench bench;
  bench.StartOne(1);
  bench.Message(Hello{ .mEntry = "f", .mDataCentre = "d" }, "f");
  bench.Message(Withdraw{ .mKey = KeyOf(1) }, "f");
  cr_assert(bench.mLast.empty());
  bench.Message(Resume{ .mKey = KeyOf(1), .mNextChunk = 0 }, "f");
  cr_assert(bench.mLast.empty());
  bench.Message(VoidOrReport{ .mKey = KeyOf(1) }, "f");
  cr_assert(bench.Sent<LedgerEntry>()->mState == AttemptState::Running);
}

/**
 * A request of a higher tier that is about to miss its first token takes the
 * room of a lower tier's work that can be rerun without a trace, of nothing
 * else, and not before it is needed.
 */
Test(sidecarcore, preempts_only_what_can_be_rerun_without_a_trace)
{
  const auto run = [](bool aIdempotent, bool aBegun, Tier aTier) {
    Bench bench({ .mInitialTokenCapacity = 200, .mMaxTokenCapacity = 200 });
    Offer lower = OfferOf(1, aTier);
    lower.mIdempotent = aIdempotent;
    bench.Message(lower);
    bench.Message(Start{ .mKey = KeyOf(1), .mCall = {} });
    if (aBegun) {
      bench.Event(CallData{ .mKey = KeyOf(1), .mData = "x", .mTokens = 1 });
    }
    bench.Message(OfferOf(2, 0));
    cr_assert_null(bench.Sent<Grant>());
    bench.Pass(740);
    cr_assert_null(bench.Sent<Failed>(), "too early");
    bench.Pass(20);
    const Failed* failed = bench.Sent<Failed>();
    cr_assert_eq(failed != nullptr, bench.Sent<Grant>() != nullptr);
    cr_assert_eq(bench.Count<CancelCall>(), failed ? 1 : 0);
    if (failed) {
      cr_assert(failed->mKind == ErrorKind::Shed);
      cr_assert(failed->mRan == Ran::Maybe);
      cr_assert_eq(failed->mChunks, 0);
    }
    return failed != nullptr;
  };
  cr_assert(run(true, false, 3));
  cr_assert_not(run(false, false, 3));
  cr_assert_not(run(true, true, 3));
  cr_assert_not(run(true, false, 0));
}

/** What is preempted must make the room that is needed: here a prompt that
 * may not be preempted holds up the higher tier as well. */
Test(sidecarcore, preempts_nothing_in_vain)
{
  Bench bench({ .mMaxRunning = 2 });
  const auto start = [&](uint64_t aNumber, uint32_t aPrompt, bool aIdempotent) {
    Offer offer = OfferOf(aNumber, 3);
    offer.mPromptTokens = aPrompt;
    offer.mIdempotent = aIdempotent;
    bench.Message(offer);
    bench.Message(Start{ .mKey = KeyOf(aNumber), .mCall = {} });
    cr_assert_eq(bench.Count<StartCall>(), 1);
  };
  start(1, 3000, false);
  start(2, 500, true);
  Offer higher = OfferOf(3, 0);
  higher.mPromptTokens = 3000;
  bench.Message(higher);
  bench.Pass(760);
  cr_assert_eq(bench.Count<CancelCall>(), 0);
  bench.Event(CallData{ .mKey = KeyOf(1), .mData = "x", .mTokens = 1 });
  cr_assert_eq(bench.Count<CancelCall>(), 1);
  cr_assert_not_null(bench.Sent<Grant>());
}

/** An upstream too slow for a class leaves its requests to others for a
 * moment, and not for good: the others may be as slow. */
Test(sidecarcore, slow_upstream_holds_a_turn_back_for_a_moment)
{
  Bench bench;
  bench.StartOne(1);
  for (int i = 0; i < 3; ++i) {
    bench.Pass(200);
    bench.Event(CallData{ .mKey = KeyOf(1), .mData = "x", .mTokens = 1 });
  }
  bench.Message(OfferOf(2));
  cr_assert_null(bench.Sent<Grant>());
  bench.Pass(50);
  cr_assert_not_null(bench.Sent<Grant>());
  bench.Pass(3000);
  bench.Message(OfferOf(3));
  cr_assert_not_null(bench.Sent<Grant>(), "an old measurement says nothing");
}

/** A plain service has no tokens; its room is a number of calls. */
Test(sidecarcore, service_is_counted_in_calls)
{
  Bench bench({ .mTokenStream = false, .mMaxRunning = 2 });
  bench.StartOne(1);
  bench.StartOne(2);
  bench.Message(OfferOf(3));
  cr_assert_null(bench.Sent<Grant>());
  bench.Event(CallHead{ .mKey = KeyOf(1), .mStatus = 200, .mHeaders = {} });
  bench.Event(CallData{ .mKey = KeyOf(1), .mData = "{}" });
  bench.Event(CallDone{ .mKey = KeyOf(1) });
  cr_assert_not_null(bench.Sent<Finished>());
  cr_assert_not_null(bench.Sent<Grant>());
}

/** Nobody acknowledges a failure, so nothing may wait for that: the entry has
 * closed the attempt and gives few signs of life. The ledger answers for it. */
Test(sidecarcore, failed_attempt_is_over_at_once)
{
  Bench bench;
  bench.StartOne(1);
  bench.Event(CallData{ .mKey = KeyOf(1), .mData = "x", .mTokens = 1 });
  bench.Message(Withdraw{ .mKey = KeyOf(1) });
  cr_assert_eq(bench.Count<CancelCall>(), 1);
  for (int beat = 0; beat < 6; ++beat) {
    bench.Pass(500, false);
  }
  bench.Message(OfferOf(2));
  cr_assert_not_null(bench.Sent<Grant>());
  bench.Message(Resume{ .mKey = KeyOf(1), .mNextChunk = 0 });
  cr_assert(bench.Sent<Failed>()->mKind == ErrorKind::CallerLeft);
  cr_assert_eq(bench.Sent<Failed>()->mChunks, 1);
}

/** Sidecar to entry alone works: the sidecar goes silent too, so that the
 * entry replaces the channel. */
Test(sidecarcore, entry_that_falls_silent_must_say_hello_again)
{
  Bench bench({ .mEntrySilenceTimeout = Millis(2000) });
  bench.StartOne(1);
  for (int beat = 0; beat < 8; ++beat) {
    bench.Pass(500, false);
    cr_assert_eq(bench.Sent<SidecarHeartbeat>() != nullptr, beat < 3);
  }
  bench.Event(CallData{ .mKey = KeyOf(1), .mData = "x", .mTokens = 1 });
  bench.Message(EntryHeartbeat{});
  bench.Message(OfferOf(2));
  cr_assert(bench.mLast.empty());
  bench.Message(Hello{ .mEntry = "e", .mDataCentre = "d" });
  cr_assert_not_null(bench.Sent<Welcome>());
  bench.Message(Resume{ .mKey = KeyOf(1), .mNextChunk = 0 });
  cr_assert(bench.Chunks() == std::vector<uint64_t>({ 0 }));
}

/** An entry that watches for silence must hear of its open requests. */
Test(sidecarcore, first_open_attempt_hastens_the_heartbeat)
{
  Bench bench({ .mInitialTokenCapacity = 200, .mMaxTokenCapacity = 200 });
  bench.Pass(500);
  bench.StartOne(1);
  bench.Pass(500);
  cr_assert_not_null(bench.Sent<SidecarHeartbeat>());
}
