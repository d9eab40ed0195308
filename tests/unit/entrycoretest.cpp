#include "libtrefoilarch/entrycore.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <map>

using namespace trefoilarch;

namespace {

const RequestId kRequest{ 1, 2 };

/** An entry with three welcomed upstreams, and what it did last. */
class Scene
{
public:
  explicit Scene(size_t aMostOpen = 100)
    : mCore({ .mEntry = "entry-1",
              .mDataCentre = "riga-1",
              .mOfferWidth = 1,
              .mMostOpen = aMostOpen })
  {
    auto policy = std::make_shared<Policy>();
    policy->mVersion = 1;
    policy->mSelectors["all"] = { .mName = "all",
                                  .mTraffic = {},
                                  .mUpstreams = {} };
    mCore.SetClassifier(std::make_shared<const Classifier>(std::move(policy)));
    std::vector<UpstreamView> views;
    for (const char* name : { "a", "b", "c" }) {
      views.push_back({ .mName = name, .mDataCentre = "", .mLabels = {} });
    }
    mCore.SetUpstreams(views, {}, Millis());
    for (const UpstreamView& view : views) {
      mCore.OnChannelUp(view.mName, Millis());
      Hear(view.mName, WelcomeOf(view.mName, 1));
    }
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
    mDone = mCore.OnRequest(request, mNow);
  }

  void Hear(const UpstreamId& aFrom, SidecarMessage aMessage)
  {
    mDone = mCore.OnMessage(aFrom, std::move(aMessage), mNow);
  }

  /** The messages of one type that were sent by the last event. */
  template<typename T>
  std::vector<std::pair<UpstreamId, T>> Sent() const
  {
    std::vector<std::pair<UpstreamId, T>> sent;
    for (const EntryAction& action : mDone) {
      const auto* send = std::get_if<SendToSidecar>(&action);
      const T* message = send ? std::get_if<T>(&send->mMessage) : nullptr;
      if (message) {
        sent.emplace_back(send->mUpstream, *message);
      }
    }
    return sent;
  }

  /** The answers' actions of one type that the last event gave. */
  template<typename T>
  std::vector<T> Given() const
  {
    std::vector<T> given;
    for (const EntryAction& action : mDone) {
      if (const T* known = std::get_if<T>(&action)) {
        given.push_back(*known);
      }
    }
    return given;
  }

  EntryCore mCore;
  EntryActions mDone;
  Millis mNow{ 10 };
};

} // namespace

Test(entrycore, first_grant_starts_and_the_other_offer_is_withdrawn)
{
  Scene scene;
  scene.Request();
  const auto offers = scene.Sent<Offer>();
  cr_assert_eq(offers.size(), 2);
  cr_assert(offers[0].second.mKey != offers[1].second.mKey);
  cr_assert(offers[0].second.mDeadline == Millis(60000));

  scene.Hear(offers[1].first, Grant{ offers[1].second.mKey, Millis(1000) });
  const auto starts = scene.Sent<Start>();
  cr_assert_eq(starts.size(), 1);
  cr_assert(starts[0].second.mCall.mBody == "question");
  const auto withdrawn = scene.Sent<Withdraw>();
  cr_assert_eq(withdrawn.size(), 1);
  cr_assert(withdrawn[0].second.mKey == offers[0].second.mKey);
}

Test(entrycore, chunks_become_the_answer_and_the_end_needs_them_all)
{
  Scene scene;
  scene.Request();
  const auto [upstream, offer] = scene.Sent<Offer>().front();
  const AttemptKey key = offer.mKey;
  scene.Hear(upstream, Grant{ key, Millis(1000) });
  scene.Hear(upstream, Chunk{ key, 0, "one", 1, 200, { { "a", "b" } } });
  cr_assert_eq(scene.Given<AnswerHead>().at(0).mStatus, 200);
  cr_assert(scene.Given<AnswerData>().at(0).mData == "one");
  scene.Hear(upstream, Finished{ key, 2, 3, 2 });
  cr_assert(scene.Given<AnswerEnd>().empty());
  scene.Hear(upstream, Chunk{ key, 1, " two", 1, 0, {} });
  cr_assert(scene.Given<AnswerData>().at(0).mData == " two");
  cr_assert_eq(scene.Given<AnswerEnd>().size(), 1);
  cr_assert(scene.Sent<Ack>().at(0).second.mNextChunk == 2);
  cr_assert_eq(scene.mCore.OpenRequests(), 0);
}

Test(entrycore, declined_everywhere_ends_with_the_soonest_time_to_return)
{
  Scene scene;
  scene.Request();
  const auto offers = scene.Sent<Offer>();
  scene.Hear(offers[0].first,
             Decline{ offers[0].second.mKey, ErrorKind::Shed, Millis(700) });
  scene.Hear(offers[1].first,
             Decline{ offers[1].second.mKey, ErrorKind::Shed, Millis(500) });
  const auto third = scene.Sent<Offer>();
  cr_assert_eq(third.size(), 1);
  scene.Hear(third[0].first,
             Decline{ third[0].second.mKey, ErrorKind::Shed, Millis(900) });
  const Refusal refusal = scene.Given<AnswerError>().at(0).mRefusal;
  cr_assert(refusal.mKind == ErrorKind::Shed);
  cr_assert(refusal.mRan == Ran::No);
  cr_assert(refusal.mRetryAfter == Millis(500));
}

Test(entrycore, a_caller_that_left_is_withdrawn_everywhere)
{
  Scene scene;
  scene.Request();
  scene.mDone = scene.mCore.OnCallerLeft(kRequest, scene.mNow);
  cr_assert_eq(scene.Sent<Withdraw>().size(), 2);
  cr_assert_eq(scene.mDone.size(), 2);
  cr_assert_eq(scene.mCore.OpenRequests(), 0);
}

Test(entrycore, silence_with_something_at_stake_reopens_the_channel)
{
  Scene scene;
  scene.Request();
  const auto offers = scene.Sent<Offer>();
  scene.mDone = scene.mCore.OnTick(Millis(1509));
  cr_assert(scene.Given<ReopenChannel>().empty());
  scene.mDone = scene.mCore.OnTick(Millis(1510));
  cr_assert_eq(scene.Given<ReopenChannel>().size(), 2);
}

Test(entrycore, late_crossed_and_duplicate_chunks_are_dropped)
{
  Scene scene;
  scene.Request();
  const auto offers = scene.Sent<Offer>();
  const auto& [upstream, offer] = offers[0];
  const AttemptKey key = offer.mKey;
  scene.Hear(upstream, Grant{ key, Millis(1000) });
  scene.Hear(upstream, Chunk{ key, 0, "one", 1, 200, {} });
  scene.Hear(upstream, Chunk{ key, 0, "one", 1, 200, {} });
  cr_assert(scene.mDone.empty(), "a duplicate");
  scene.Hear(offers[1].first, Chunk{ key, 1, "two", 1, 0, {} });
  cr_assert(scene.Given<AnswerData>().empty(), "from another upstream");
  scene.Hear(offers[1].first,
             Chunk{ offers[1].second.mKey, 1, "two", 1, 0, {} });
  cr_assert(scene.Given<AnswerData>().empty(), "of another attempt");
  scene.Hear(upstream, Chunk{ key, 2, "three", 1, 0, {} });
  cr_assert(scene.Given<AnswerData>().empty(), "after a gap");
  cr_assert_eq(scene.Sent<Resume>().at(0).second.mNextChunk, 1);
  cr_assert(scene.mCore.DumpState(scene.mNow).find("\"messages_dropped\":4") !=
            std::string::npos);
}

Test(entrycore, a_start_is_safe_again_once_the_same_incarnation_voids_it)
{
  for (const uint64_t incarnation : { 1, 2 }) {
    Scene scene;
    scene.Request(false);
    const auto [upstream, offer] = scene.Sent<Offer>().front();
    scene.Hear(upstream, Grant{ offer.mKey, Millis(1000) });
    scene.Hear(upstream, Voided{ offer.mKey, incarnation });
    cr_assert_eq(scene.Sent<Offer>().empty(), incarnation != 1);
    scene.mDone = scene.mCore.OnTick(Millis(60010));
    const Refusal refusal = scene.Given<AnswerError>().at(0).mRefusal;
    cr_assert(refusal.mKind == ErrorKind::DeadlineExceeded);
    cr_assert(refusal.mRan == (incarnation == 1 ? Ran::No : Ran::Maybe));
  }
}

Test(entrycore, a_full_entry_gives_up_the_lowest_tier_that_waits)
{
  const bool holds = rc::check(
    "a full entry gives up the lowest tier that waits",
    [](const std::vector<std::pair<uint8_t, bool>>& aRequests) {
      Scene scene(4);
      std::map<RequestId, Tier> waiting;
      RequestId id{ 1, 0 };
      for (const auto& [number, started] : aRequests) {
        const Tier tier = number % kTierCount;
        id.mLow++;
        scene.Request(true, id, tier);
        Tier lowest = tier;
        for (const auto& [other, otherTier] : waiting) {
          lowest = std::max(lowest, otherTier);
        }
        for (const AnswerError& refused : scene.Given<AnswerError>()) {
          const bool newcomer = refused.mId == id;
          RC_ASSERT((newcomer ? tier : waiting.at(refused.mId)) == lowest);
          RC_ASSERT(refused.mRefusal.mRan == Ran::No);
          RC_ASSERT(refused.mRefusal.mRetryAfter > Millis());
          waiting.erase(refused.mId);
        }
        const auto offers = scene.Sent<Offer>();
        if (!offers.empty()) {
          waiting[id] = tier;
        }
        if (!offers.empty() && started) {
          scene.Hear(offers[0].first,
                     Grant{ offers[0].second.mKey, Millis(1000) });
          waiting.erase(id);
        }
        RC_ASSERT(scene.mCore.OpenRequests() <= 4U);
      }
    });
  cr_assert(holds);
}
