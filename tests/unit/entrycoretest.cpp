#include "libtrefoilarch/entrycore.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <map>

using namespace trefoilarch;

namespace {

const RequestId kRequest{ 1, 2 };

/** An entry with three welcomed upstreams, and its last actions. */
class EntryFixture
{
public:
  explicit EntryFixture(size_t aMaxOpen = 100, size_t aWidth = 1)
    : mCore({ .mEntry = "entry-1",
              .mDataCentre = "riga-1",
              .mOfferWidth = aWidth,
              .mMaxOpen = aMaxOpen })
  {
    SetDrained("");
    SetUpstreams({ "a", "b", "c" }, {});
    for (const char* name : { "a", "b", "c" }) {
      mCore.OnChannelUp(name, mNow);
      Receive(name, WelcomeOf(name, 1));
    }
  }

  void SetUpstreams(const std::vector<UpstreamId>& aNames,
                    const std::vector<UpstreamId>& aLeaving)
  {
    std::vector<UpstreamView> views;
    views.reserve(aNames.size());
    for (const UpstreamId& name : aNames) {
      views.push_back({ .mName = name, .mDataCentre = "", .mLabels = {} });
    }
    mActions = mCore.SetUpstreams(std::move(views), aLeaving, mNow);
  }

  /** Sets a policy that allows everything except one drained upstream. */
  void SetDrained(const UpstreamId& aName)
  {
    auto policy = std::make_shared<Policy>();
    policy->mVersion = 1;
    policy->mSelectors["all"] = { .mName = "all",
                                  .mTraffic = {},
                                  .mUpstreams = {} };
    policy->mUpstreams[aName] = { .mName = aName,
                                  .mLabels = {},
                                  .mDrained = true };
    mCore.SetClassifier(std::make_shared<const Classifier>(std::move(policy)));
  }

  static Welcome WelcomeOf(const UpstreamId& aName, uint64_t aIncarnation)
  {
    return { .mUpstream = aName,
             .mIncarnation = aIncarnation,
             .mDataCentre = "riga-1",
             .mLabels = { { "model", "base" } },
             .mPolicyVersion = 0,
             .mLoad = {} };
  }

  void Request(bool aIdempotent = true,
               RequestId aId = kRequest,
               Tier aTier = 0)
  {
    EntryRequest request;
    request.mId = aId;
    request.mClassified.mLevel.mTier = aTier;
    request.mClassified.mDeadline = Millis(60000);
    request.mClassified.mIdempotent = aIdempotent;
    request.mClassified.mTraffic = { { "model", "base" } };
    request.mCall.mBody = "question";
    mActions = mCore.OnRequest(request, mNow);
  }

  void Receive(const UpstreamId& aFrom, SidecarMessage aMessage)
  {
    mActions = mCore.OnMessage(aFrom, std::move(aMessage), mNow);
  }

  /** The messages of type T sent by the last event. */
  template<typename T>
  std::vector<std::pair<UpstreamId, T>> Sent() const
  {
    std::vector<std::pair<UpstreamId, T>> sent;
    for (const EntryAction& action : mActions) {
      const auto* send = std::get_if<SendToSidecar>(&action);
      const T* message = send ? std::get_if<T>(&send->mMessage) : nullptr;
      if (message) {
        sent.emplace_back(send->mUpstream, *message);
      }
    }
    return sent;
  }

  /** The actions of type T returned by the last event. */
  template<typename T>
  std::vector<T> ActionsOf() const
  {
    std::vector<T> actions;
    for (const EntryAction& action : mActions) {
      if (const T* typed = std::get_if<T>(&action)) {
        actions.push_back(*typed);
      }
    }
    return actions;
  }

  EntryCore mCore;
  EntryActions mActions;
  Millis mNow{ 1000000 };
};

} // namespace

Test(entrycore, first_grant_starts_and_the_other_offer_is_withdrawn)
{
  EntryFixture fixture;
  fixture.Request();
  const auto offers = fixture.Sent<Offer>();
  cr_assert_eq(offers.size(), 2);
  cr_assert(offers[0].second.mKey != offers[1].second.mKey);
  cr_assert(offers[0].second.mDeadline == Millis(60000));

  fixture.Receive(offers[1].first,
                  Grant{ offers[1].second.mKey, Millis(1000) });
  const auto starts = fixture.Sent<Start>();
  cr_assert_eq(starts.size(), 1);
  cr_assert(starts[0].second.mCall.mBody == "question");
  const auto withdrawn = fixture.Sent<Withdraw>();
  cr_assert_eq(withdrawn.size(), 1);
  cr_assert(withdrawn[0].second.mKey == offers[0].second.mKey);
}

Test(entrycore, the_response_ends_only_after_all_chunks)
{
  EntryFixture fixture;
  fixture.Request();
  const auto [upstream, offer] = fixture.Sent<Offer>().front();
  const AttemptKey key = offer.mKey;
  fixture.Receive(upstream, Grant{ key, Millis(1000) });
  fixture.Receive(upstream, Chunk{ key, 0, "one", 1, 200, { { "a", "b" } } });
  cr_assert_eq(fixture.ActionsOf<AnswerHead>().at(0).mStatus, 200);
  cr_assert(fixture.ActionsOf<AnswerData>().at(0).mData == "one");
  fixture.Receive(upstream, Finished{ key, 2, 3, 2 });
  cr_assert(fixture.ActionsOf<AnswerEnd>().empty());
  fixture.Receive(upstream, Chunk{ key, 1, " two", 1, 0, {} });
  cr_assert(fixture.ActionsOf<AnswerData>().at(0).mData == " two");
  cr_assert_eq(fixture.ActionsOf<AnswerEnd>().size(), 1);
  cr_assert(fixture.Sent<Ack>().at(0).second.mNextChunk == 2);
  cr_assert_eq(fixture.mCore.OpenRequests(), 0);
}

// A sidecar of an earlier version forwards any status.
Test(entrycore, a_status_out_of_range_is_no_answer)
{
  for (const int status : { 0, 99, 100, 199, 600, 999 }) {
    EntryFixture fixture;
    fixture.Request();
    const auto [upstream, offer] = fixture.Sent<Offer>().front();
    fixture.Receive(upstream, Grant{ offer.mKey, Millis(1000) });
    fixture.Receive(upstream, Chunk{ offer.mKey, 0, "one", 1, status, {} });
    cr_expect(fixture.ActionsOf<AnswerHead>().empty(), "%d", status);
    const auto errors = fixture.ActionsOf<AnswerError>();
    cr_assert(errors.size() == 1, "%d", status);
    cr_expect(errors[0].mRefusal.mKind == ErrorKind::UpstreamFailed);
    cr_expect(errors[0].mRefusal.mRan == Ran::Maybe);
    cr_expect(fixture.Sent<Withdraw>().size() == 1, "%d", status);
  }
}

Test(entrycore, a_request_declined_everywhere_gets_the_earliest_retry_time)
{
  EntryFixture fixture;
  fixture.Request();
  const auto offers = fixture.Sent<Offer>();
  fixture.Receive(
    offers[0].first,
    Decline{ offers[0].second.mKey, ErrorKind::Shed, Millis(700) });
  fixture.Receive(
    offers[1].first,
    Decline{ offers[1].second.mKey, ErrorKind::Shed, Millis(500) });
  const auto third = fixture.Sent<Offer>();
  cr_assert_eq(third.size(), 1);
  fixture.Receive(
    third[0].first,
    Decline{ third[0].second.mKey, ErrorKind::Shed, Millis(900) });
  const Refusal refusal = fixture.ActionsOf<AnswerError>().at(0).mRefusal;
  cr_assert(refusal.mKind == ErrorKind::Shed);
  cr_assert(refusal.mRan == Ran::No);
  cr_assert(refusal.mRetryAfter == Millis(500));
}

Test(entrycore, draining_upstreams_do_not_hide_other_decline_reasons)
{
  EntryFixture fixture;
  fixture.Request();
  std::vector<std::pair<UpstreamId, Offer>> offers = fixture.Sent<Offer>();
  for (size_t i = 0; i < offers.size(); i++) {
    const bool drains = i % 2 == 0;
    fixture.Receive(
      offers[i].first,
      Decline{ offers[i].second.mKey,
               drains ? ErrorKind::ShuttingDown : ErrorKind::DeadlineUnmeetable,
               drains ? Millis() : Millis(800) });
    for (const auto& next : fixture.Sent<Offer>()) {
      offers.push_back(next);
    }
  }
  cr_assert_eq(offers.size(), 3);
  const Refusal refusal = fixture.ActionsOf<AnswerError>().at(0).mRefusal;
  cr_assert(refusal.mKind == ErrorKind::DeadlineUnmeetable);
  cr_assert(refusal.mRetryAfter == Millis(800));
}

Test(entrycore, a_deadline_exceeded_at_a_sidecar_ends_the_request)
{
  EntryFixture fixture;
  fixture.Request();
  const auto offers = fixture.Sent<Offer>();
  fixture.Receive(
    offers[0].first,
    Decline{ offers[0].second.mKey, ErrorKind::DeadlineExceeded, Millis(5) });
  cr_assert(fixture.ActionsOf<AnswerError>().at(0).mRefusal.mKind ==
            ErrorKind::DeadlineExceeded);
  cr_assert_eq(fixture.Sent<Withdraw>().size(), 1);
}

Test(entrycore, a_request_whose_caller_left_is_withdrawn_everywhere)
{
  EntryFixture fixture;
  fixture.Request();
  fixture.mActions = fixture.mCore.OnCallerLeft(kRequest, fixture.mNow);
  cr_assert_eq(fixture.Sent<Withdraw>().size(), 2);
  cr_assert_eq(fixture.mActions.size(), 2);
  cr_assert_eq(fixture.mCore.OpenRequests(), 0);
}

Test(entrycore, silence_while_a_reply_is_awaited_reopens_the_channel)
{
  EntryFixture fixture;
  fixture.Request();
  const auto offers = fixture.Sent<Offer>();
  fixture.mActions = fixture.mCore.OnTick(fixture.mNow + Millis(1499));
  cr_assert(fixture.ActionsOf<ReopenChannel>().empty());
  fixture.mActions = fixture.mCore.OnTick(fixture.mNow + Millis(1500));
  cr_assert_eq(fixture.ActionsOf<ReopenChannel>().size(), 2);
}

Test(entrycore, late_crossed_and_duplicate_chunks_are_dropped)
{
  EntryFixture fixture;
  fixture.Request();
  const auto offers = fixture.Sent<Offer>();
  const auto& [upstream, offer] = offers[0];
  const AttemptKey key = offer.mKey;
  fixture.Receive(upstream, Grant{ key, Millis(1000) });
  fixture.Receive(upstream, Chunk{ key, 0, "one", 1, 200, {} });
  fixture.Receive(upstream, Chunk{ key, 0, "one", 1, 200, {} });
  cr_assert(fixture.mActions.empty(), "a duplicate");
  fixture.Receive(offers[1].first, Chunk{ key, 1, "two", 1, 0, {} });
  cr_assert(fixture.ActionsOf<AnswerData>().empty(),
            "sent by another upstream");
  fixture.Receive(offers[1].first,
                  Chunk{ offers[1].second.mKey, 1, "two", 1, 0, {} });
  cr_assert(fixture.ActionsOf<AnswerData>().empty(),
            "belongs to another attempt");
  fixture.Receive(upstream, Chunk{ key, 2, "three", 1, 0, {} });
  cr_assert(fixture.ActionsOf<AnswerData>().empty(), "after a gap");
  cr_assert_eq(fixture.Sent<Resume>().at(0).second.mNextChunk, 1);
  cr_assert(
    fixture.mCore.DumpState(fixture.mNow).find("\"messages_dropped\":4") !=
    std::string::npos);
}

Test(entrycore, a_start_is_safe_again_once_the_same_incarnation_voids_it)
{
  for (const uint64_t incarnation : { 1, 2 }) {
    EntryFixture fixture;
    fixture.Request(false);
    const auto [upstream, offer] = fixture.Sent<Offer>().front();
    fixture.Receive(upstream, Grant{ offer.mKey, Millis(1000) });
    fixture.Receive(upstream, Voided{ offer.mKey, incarnation });
    cr_assert_eq(fixture.Sent<Offer>().empty(), incarnation != 1);
    fixture.mActions = fixture.mCore.OnTick(fixture.mNow + Millis(60000));
    const Refusal refusal = fixture.ActionsOf<AnswerError>().at(0).mRefusal;
    cr_assert(refusal.mKind == ErrorKind::DeadlineExceeded);
    cr_assert(refusal.mRan == (incarnation == 1 ? Ran::No : Ran::Maybe));
  }
}

Test(entrycore, a_full_entry_sheds_the_lowest_waiting_tier)
{
  const bool holds = rc::check(
    "a full entry sheds the lowest waiting tier",
    [](const std::vector<std::pair<uint8_t, bool>>& aRequests) {
      EntryFixture fixture(4);
      std::map<RequestId, Tier> waiting;
      RequestId id{ 1, 0 };
      for (const auto& [number, started] : aRequests) {
        const Tier tier = number % kTierCount;
        id.mLow++;
        fixture.Request(true, id, tier);
        Tier lowest = tier;
        for (const auto& [other, otherTier] : waiting) {
          lowest = std::max(lowest, otherTier);
        }
        for (const AnswerError& refused : fixture.ActionsOf<AnswerError>()) {
          const bool isArrival = refused.mId == id;
          RC_ASSERT((isArrival ? tier : waiting.at(refused.mId)) == lowest);
          RC_ASSERT(refused.mRefusal.mRan == Ran::No);
          RC_ASSERT(refused.mRefusal.mRetryAfter > Millis());
          waiting.erase(refused.mId);
        }
        const auto offers = fixture.Sent<Offer>();
        if (!offers.empty()) {
          waiting[id] = tier;
        }
        if (!offers.empty() && started) {
          fixture.Receive(offers[0].first,
                          Grant{ offers[0].second.mKey, Millis(1000) });
          waiting.erase(id);
        }
        RC_ASSERT(fixture.mCore.OpenRequests() <= 4U);
      }
    });
  cr_assert(holds);
}

Test(entrycore, a_leaving_upstream_gets_no_new_work_and_finishes_its_own)
{
  const std::vector<UpstreamId> all = { "a", "b", "c" };
  for (int source = 0; source < 4; source++) {
    EntryFixture fixture(100, 2);
    fixture.Request();
    const auto started = fixture.Sent<Offer>();
    const UpstreamId leaving = started[0].first;
    fixture.Receive(leaving, Grant{ started[0].second.mKey, Millis(1000) });
    const RequestId second{ 3, 4 };
    fixture.Request(true, second);
    const auto waiting = fixture.Sent<Offer>();
    cr_assert_eq(waiting.size(), 3);

    if (source == 0) {
      fixture.SetUpstreams(all, { leaving });
    } else if (source == 1) {
      fixture.SetUpstreams({ "a", "b", "c", "d" }, { leaving, "d" });
    } else if (source == 2) {
      fixture.Receive(leaving, SidecarHeartbeat{ { .mDraining = true }, 1 });
    } else {
      fixture.SetDrained(leaving);
    }
    for (const auto& [upstream, offer] : waiting) {
      if (upstream == leaving) {
        fixture.Receive(upstream, Grant{ offer.mKey, Millis(1000) });
        cr_assert(fixture.Sent<Start>().empty());
      }
    }
    for (uint64_t i = 10; i < 40; i++) {
      fixture.Request(true, { i, i });
      for (const auto& [upstream, offer] : fixture.Sent<Offer>()) {
        cr_assert(upstream != leaving);
      }
    }
    cr_assert(fixture.mCore.NeedsChannel(leaving));
    const AttemptKey key = started[0].second.mKey;
    fixture.Receive(leaving, Chunk{ key, 0, "one", 1, 200, {} });
    fixture.Receive(leaving, Finished{ key, 1, 1, 1 });
    cr_assert_eq(fixture.ActionsOf<AnswerEnd>().size(), 1);
    cr_assert_not(fixture.mCore.NeedsChannel(leaving));
  }
}

Test(entrycore, a_caller_that_left_stops_its_running_call_and_gets_no_more_data)
{
  EntryFixture fixture;
  fixture.Request();
  const auto [upstream, offer] = fixture.Sent<Offer>().front();
  fixture.Receive(upstream, Grant{ offer.mKey, Millis(1000) });
  fixture.mActions = fixture.mCore.OnCallerLeft(kRequest, fixture.mNow);
  cr_assert(fixture.Sent<Withdraw>().at(0).second.mKey == offer.mKey);
  fixture.Receive(upstream, Chunk{ offer.mKey, 0, "one", 1, 200, {} });
  cr_assert(fixture.ActionsOf<AnswerData>().empty());
  fixture.Receive(upstream, Finished{ offer.mKey, 1, 1, 1 });
  cr_assert(fixture.mActions.empty());
}

Test(entrycore, a_dump_has_no_request_text)
{
  EntryFixture fixture;
  fixture.Request();
  const std::string dump = fixture.mCore.DumpState(fixture.mNow);
  cr_assert(dump.find("open_requests\":1") != std::string::npos);
  cr_assert(dump.find("question") == std::string::npos);
}

Test(entrycore, a_request_waits_briefly_for_a_connecting_upstream)
{
  for (const bool connects : { true, false }) {
    EntryFixture fixture;
    fixture.SetUpstreams({ "d" }, {});
    fixture.Request();
    cr_assert(fixture.mActions.empty());
    if (connects) {
      fixture.mCore.OnChannelUp("d", fixture.mNow);
      fixture.Receive("d", EntryFixture::WelcomeOf("d", 1));
      cr_assert_eq(fixture.Sent<Offer>().size(), 1);
      continue;
    }
    fixture.mActions = fixture.mCore.OnTick(fixture.mNow + Millis(2000));
    const Refusal refusal = fixture.ActionsOf<AnswerError>().at(0).mRefusal;
    cr_assert(refusal.mKind == ErrorKind::NotReady);
    cr_assert(refusal.mRan == Ran::No);
    fixture.mNow += Millis(5000);
    fixture.Request();
    cr_assert_eq(
      fixture.ActionsOf<AnswerError>().size(), 1, "unreachable for too long");
  }
}

Test(entrycore, requests_no_upstream_serves_are_refused_at_once_with_a_reason)
{
  EntryFixture fixture;
  fixture.SetUpstreams({}, {});
  fixture.Request();
  cr_assert(fixture.ActionsOf<AnswerError>().at(0).mRefusal.mKind ==
            ErrorKind::UnknownModel);
  EntryFixture draining;
  draining.SetUpstreams({ "a", "b", "c" }, { "a", "b", "c" });
  draining.Request();
  const Refusal refusal = draining.ActionsOf<AnswerError>().at(0).mRefusal;
  cr_assert(refusal.mKind == ErrorKind::NoEligibleUpstream);
  cr_assert(refusal.mRetryAfter > Millis());
}

Test(entrycore, an_offer_closed_in_the_ledger_is_placed_again)
{
  EntryFixture fixture;
  fixture.Request();
  const auto offers = fixture.Sent<Offer>();
  for (const auto& [upstream, offer] : offers) {
    fixture.Receive(upstream,
                    LedgerEntry{ offer.mKey, AttemptState::Unknown, 1 });
  }
  const auto again = fixture.Sent<Offer>();
  cr_assert_not(again.empty());
  fixture.Receive(again[0].first, Grant{ again[0].second.mKey, Millis(1000) });
  cr_assert_eq(fixture.Sent<Start>().size(), 1);
}

Test(entrycore, preempted_requests_are_rerun_without_charge)
{
  EntryFixture fixture;
  for (uint64_t i = 1; i <= 6; ++i) {
    fixture.Request(true, RequestId{ 9, i }, 3);
    const auto offer = fixture.Sent<Offer>().front();
    fixture.Receive(offer.first, Grant{ offer.second.mKey, Millis(1000) });
    fixture.Receive(offer.first,
                    Failed{ .mKey = offer.second.mKey,
                            .mKind = ErrorKind::Shed,
                            .mRan = Ran::Maybe });
    cr_assert(fixture.ActionsOf<AnswerError>().empty(), "request %lu", i);
  }
  cr_assert(fixture.mCore.OpenRequests() == 6);
}
