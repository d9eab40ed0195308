#include "libtrefoilarch/workplacement.h"
#include "libtrefoilarch/dedicatedpools.h"
#include "libtrefoilarch/sharedsegmentdetector.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <map>
#include <set>

using namespace trefoilarch;

namespace {

/** A service's engines with their work. */
struct Engines
{
  explicit Engines(size_t aCount)
    : mWork(aCount)
  {
    for (size_t each = 0; each < aCount; ++each) {
      mListed.push_back({ .mId = "e" + std::to_string(each),
                          .mService = "llm",
                          .mAddress = "a:1",
                          .mDataCentre = each % 2 == 0 ? "here" : "there",
                          .mSlots = 64 });
    }
  }

  std::vector<PlacementCandidate> Candidates() const
  {
    std::vector<PlacementCandidate> all;
    for (size_t each = 0; each < mListed.size(); ++each) {
      all.push_back({ .mListed = &mListed[each], .mWork = &mWork[each] });
    }
    return all;
  }

  std::vector<const ListedUpstream*> Listed() const
  {
    std::vector<const ListedUpstream*> all;
    for (const ListedUpstream& each : mListed) {
      all.push_back(&each);
    }
    return all;
  }

  std::vector<ListedUpstream> mListed;
  std::vector<UpstreamWork> mWork;
};

PromptShape
Session(uint64_t aSession, uint64_t aOwn)
{
  return PromptShape{ .mPromptTokens = 9000,
                      .mMaxOutput = 200,
                      .mSegments = { { .mId = 1, .mTokens = 2500 },
                                     { .mId = 100 + aSession, .mTokens = 3800 },
                                     { .mId = 100000 + aOwn,
                                       .mTokens = 2700 } },
                      .mSharedSegments = 2 };
}

/** What is known of engines that read 80 prompt tokens in a millisecond. */
constexpr EngineInfo kFacts{ .mPrefillPerMs = 80 };

PlacementChoice
Choose(WorkPlacement& aPlacement,
       const std::vector<PlacementCandidate>& aCandidates,
       const PromptShape& aPrompt,
       Millis aNow)
{
  return aPlacement.Choose(aCandidates, aPrompt, 0, kFacts, aNow);
}

/** An engine that holds the session is sent one more request of it. */
void
Send(WorkPlacement& aPlacement,
     const UpstreamId& aUpstream,
     const PromptShape& aPrompt,
     Millis aNow)
{
  aPlacement.PrefixCaches().OnSent(
    aUpstream, aPrompt.SharedIds(), aPrompt.mPromptTokens, aNow);
}

/** Nothing is known of pauses. */
const PoolPositions&
PositionsFor(DedicatedPools& aLanes,
             const Route& aRoute,
             const Engines& aEngines,
             Millis aNow,
             uint32_t aSlots = 0)
{
  static const PauseRecord kNone;
  return aLanes.PositionsFor(
    "llm",
    aRoute,
    aEngines.Listed(),
    { .mPauses = kNone, .mPrefillPerMs = 80, .mSlots = aSlots },
    aNow);
}

Millis
At(uint64_t aMillis)
{
  return Millis(static_cast<int64_t>(aMillis));
}

Route
MakeRoute(const char* aName, int64_t aGap)
{
  return Route{ .mName = aName, .mStream = true, .mGapTarget = Millis(aGap) };
}

/** The engines of the route's own lane. */
std::set<UpstreamId>
OwnLane(DedicatedPools& aLanes,
        const Route& aRoute,
        const Engines& aEngines,
        Millis aNow,
        uint32_t aSlots = 0)
{
  std::set<UpstreamId> own;
  for (const auto& [id, place] :
       PositionsFor(aLanes, aRoute, aEngines, aNow, aSlots)) {
    if (place.mDistance == 0) {
      own.insert(id);
    }
  }
  return own;
}

} // namespace

Test(workplacement, a_session_goes_to_the_same_engine_from_every_entry)
{
  const Engines engines(12);
  WorkPlacement one({ .mDataCentre = "here", .mSeed = 1 });
  WorkPlacement other({ .mDataCentre = "there", .mSeed = 2 });
  std::map<UpstreamId, int> counts;
  for (uint64_t session = 0; session < 200; ++session) {
    const auto first =
      Choose(one, engines.Candidates(), Session(session, session), Millis(0));
    const auto second = Choose(
      other, engines.Candidates(), Session(session, 9000 + session), Millis(0));
    cr_expect(first.mUpstream == second.mUpstream);
    counts[first.mUpstream]++;
  }
  cr_expect(counts.size() == 12);
}

namespace {

/** Candidates of which the first so many are the route's lane. */
std::vector<PlacementCandidate>
WithLane(const Engines& aEngines, size_t aLane)
{
  auto all = aEngines.Candidates();
  for (size_t each = 0; each < all.size(); ++each) {
    const bool inside = each < aLane;
    const size_t edge = inside ? aLane - each - 1 : each - aLane;
    all[each].mPoolPosition = { .mDistance = inside ? 0U : 1U,
                                .mBoundaryDistance =
                                  static_cast<uint32_t>(edge) };
  }
  return all;
}

} // namespace

/** Entries see different demand, and draw the boundary of a lane a few engines
 * apart: what one of them had read must be named by the other. */
Test(workplacement, a_session_is_fetched_from_where_other_entries_send_it)
{
  const Engines engines(42);
  WorkPlacement narrow({ .mDataCentre = "here", .mSeed = 1 });
  WorkPlacement wide({ .mDataCentre = "here", .mSeed = 2 });
  int differ = 0;
  int found = 0;
  for (uint64_t session = 0; session < 1000; ++session) {
    const PromptShape prompt = Session(session, session);
    const auto one = Choose(narrow, WithLane(engines, 25), prompt, Millis(0));
    const auto other = Choose(wide, WithLane(engines, 28), prompt, Millis(0));
    if (one.mUpstream == other.mUpstream) {
      continue;
    }
    differ++;
    found += one.mHolder == other.mUpstream ? 1 : 0;
    found += other.mHolder == one.mUpstream ? 1 : 0;
  }
  cr_expect(differ > 50, "%d", differ);
  cr_expect(found >= differ * 17 / 10, "%d of %d", found, 2 * differ);
}

/** The last engine of a session is the surest holder of its parts. */
Test(workplacement, a_session_is_fetched_from_where_this_entry_sent_it_last)
{
  const Engines engines(12);
  WorkPlacement placement({ .mDataCentre = "here" });
  const auto choose = [&](int64_t aNow) {
    return Choose(placement, engines.Candidates(), Session(5, 1), Millis(aNow));
  };
  const PlacementChoice usual = choose(0);
  cr_expect(usual.mHolder.empty(), "nobody else has it");
  const UpstreamId other = usual.mUpstream == "e3" ? "e4" : "e3";
  Send(placement, other, Session(5, 2), Millis(100));
  const PlacementChoice back = choose(2000);
  cr_expect(back.mUpstream == usual.mUpstream);
  cr_expect(back.mHolder == other);
  Send(placement, usual.mUpstream, Session(5, 3), Millis(3000));
  cr_expect(choose(3500).mHolder.empty(), "it is where it goes");
  cr_expect(choose(30000).mHolder.empty(), "long ago");
}

/** What can be fetched is no reason to wait behind others' prompts. */
Test(workplacement, a_session_that_can_be_fetched_leaves_a_busy_engine_sooner)
{
  for (const bool known : { false, true }) {
    Engines engines(12);
    WorkPlacement placement({ .mDataCentre = "here" });
    const auto usual =
      Choose(placement, engines.Candidates(), Session(5, 1), Millis(0));
    if (known) {
      Send(placement, usual.mUpstream, Session(5, 1), Millis(0));
    }
    const size_t busy = std::stoul(usual.mUpstream.substr(1));
    // Prompts of 240 ms of this entry wait there, and as much of others.
    engines.mWork[busy].OnSent({ .mPrefill = 19200 }, Millis(0));
    engines.mWork[busy].OnBytesReceived(Millis(100));
    const auto next =
      Choose(placement, engines.Candidates(), Session(5, 2), Millis(100));
    cr_expect((next.mUpstream != usual.mUpstream) == known);
    cr_expect(!known || next.mHolder == usual.mUpstream);
  }
}

Test(workplacement, a_prompt_shorter_than_its_parts_is_placed_like_others)
{
  Engines engines(12);
  WorkPlacement placement({ .mDataCentre = "here" });
  PromptShape prompt = Session(5, 1);
  prompt.mPromptTokens = 100;
  const auto usual = Choose(placement, engines.Candidates(), prompt, Millis(0));
  const size_t busy = std::stoul(usual.mUpstream.substr(1));
  for (int each = 0; each < 100; ++each) {
    engines.mWork[busy].OnSent({ .mPrefill = 9000 }, Millis(0));
  }
  const auto next =
    Choose(placement, engines.Candidates(), prompt, Millis(100));
  cr_expect(next.mUpstream != usual.mUpstream);
}

Test(workplacement, a_session_leaves_an_engine_that_is_far_too_busy)
{
  Engines engines(12);
  WorkPlacement placement({ .mDataCentre = "here" });
  const auto usual =
    Choose(placement, engines.Candidates(), Session(5, 1), Millis(0));
  for (size_t each = 0; each < engines.mListed.size(); ++each) {
    if (engines.mListed[each].mId == usual.mUpstream) {
      for (int request = 0; request < 20; ++request) {
        engines.mWork[each].OnSent({ .mPrefill = 3000 }, Millis(0));
      }
    }
  }
  const auto moved =
    Choose(placement, engines.Candidates(), Session(5, 2), Millis(0));
  cr_expect(moved.mUpstream != usual.mUpstream);
  cr_expect(moved.mHolder == usual.mUpstream);
}

Test(workplacement, a_silent_engine_is_avoided)
{
  Engines engines(2);
  WorkPlacement placement({ .mDataCentre = "here" });
  engines.mWork[0].OnSent({}, Millis(0));
  int avoided = 0;
  for (int each = 0; each < 50; ++each) {
    const PromptShape prompt{ .mPromptTokens = 500, .mMaxOutput = 100 };
    const auto placed =
      Choose(placement, engines.Candidates(), prompt, Millis(2000));
    avoided += placed.mUpstream == "e1" ? 1 : 0;
  }
  cr_expect(avoided == 50);
}

Test(workplacement, a_plain_call_stays_in_its_data_centre_while_that_has_room)
{
  Engines engines(2);
  WorkPlacement placement({ .mDataCentre = "there" });
  cr_expect(Choose(placement, engines.Candidates(), {}, Millis(0)).mUpstream ==
            "e1");
  engines.mWork[1].OnReport({ .mRunning = 64, .mSlots = 64 }, Millis(0));
  cr_expect(Choose(placement, engines.Candidates(), {}, Millis(0)).mUpstream ==
            "e0");
}

Test(workplacement, an_upstream_that_has_just_started_is_avoided)
{
  const Engines engines(2);
  WorkPlacement placement({ .mDataCentre = "here" });
  auto candidates = engines.Candidates();
  candidates[0].mCold = true;
  cr_expect(Choose(placement, candidates, {}, Millis(0)).mUpstream == "e1");
}

Test(lanes, long_prompts_and_strict_streams_share_no_engine)
{
  const Engines engines(12);
  DedicatedPools lanes;
  const Route strict = MakeRoute("strict", 200);
  const Route longer = MakeRoute("longer", 800);
  const PromptShape small{ .mPromptTokens = 700, .mMaxOutput = 900 };
  for (uint64_t each = 0; each < 300; ++each) {
    lanes.OnRequest("llm", longer, Session(each, each), At(each * 10));
    lanes.OnRequest("llm", strict, small, At(each * 10));
  }
  const auto first = OwnLane(lanes, longer, engines, Millis(3000));
  const auto second = OwnLane(lanes, strict, engines, Millis(3000));
  cr_expect(first.size() >= 3 && second.size() >= 3);
  cr_expect(first.size() + second.size() == 12);
  for (const UpstreamId& each : first) {
    cr_expect(!second.contains(each));
  }
}

Test(lanes, routes_between_have_a_lane_of_their_own)
{
  const Engines engines(24);
  DedicatedPools lanes;
  const Route strict = MakeRoute("strict", 200);
  const Route middle = MakeRoute("middle", 300);
  const Route longer = MakeRoute("longer", 800);
  const PromptShape small{ .mPromptTokens = 700, .mMaxOutput = 900 };
  const PromptShape medium{ .mPromptTokens = 2400, .mMaxOutput = 90 };
  for (uint64_t each = 0; each < 300; ++each) {
    lanes.OnRequest("llm", longer, Session(each, each), At(each * 10));
    lanes.OnRequest("llm", middle, medium, At(each * 10));
    lanes.OnRequest("llm", strict, small, At(each * 10));
  }
  const Millis now(3000);
  const size_t all = OwnLane(lanes, longer, engines, now).size() +
                     OwnLane(lanes, middle, engines, now).size() +
                     OwnLane(lanes, strict, engines, now).size();
  cr_expect(all == 24);
  uint32_t farthest = 0;
  for (const auto& [id, place] : PositionsFor(lanes, strict, engines, now)) {
    farthest = std::max(farthest, place.mDistance);
  }
  cr_expect(farthest == 2);
}

Test(lanes, engines_tell_how_far_they_are_from_the_boundary)
{
  const Engines engines(24);
  DedicatedPools lanes;
  const Route strict = MakeRoute("strict", 200);
  const Route longer = MakeRoute("longer", 800);
  const PromptShape small{ .mPromptTokens = 700, .mMaxOutput = 900 };
  for (uint64_t each = 0; each < 300; ++each) {
    lanes.OnRequest("llm", longer, Session(each, each), At(each * 10));
    lanes.OnRequest("llm", strict, small, At(each * 10));
  }
  std::multiset<uint32_t> inside;
  std::multiset<uint32_t> outside;
  for (const auto& [id, place] :
       PositionsFor(lanes, strict, engines, Millis(3000))) {
    (place.mDistance == 0 ? inside : outside).insert(place.mBoundaryDistance);
  }
  for (const auto& side : { inside, outside }) {
    uint32_t next = 0;
    for (const uint32_t edge : side) {
      cr_expect(edge == next++);
    }
    cr_expect(side.size() >= 2);
  }
}

Test(lanes, routes_that_are_alike_share_all_engines)
{
  const Engines engines(6);
  DedicatedPools lanes;
  const Route one = MakeRoute("one", 200);
  const Route other = MakeRoute("other", 300);
  for (uint64_t each = 0; each < 100; ++each) {
    lanes.OnRequest("llm", one, Session(each, each), At(each));
    lanes.OnRequest("llm", other, Session(each, each), At(each));
  }
  cr_expect(PositionsFor(lanes, one, engines, Millis(100)).empty());
}

Test(lanes, the_boundary_stays_while_demand_wavers)
{
  const Engines engines(12);
  DedicatedPools lanes;
  const Route strict = MakeRoute("strict", 200);
  const Route longer = MakeRoute("longer", 800);
  const PromptShape small{ .mPromptTokens = 700, .mMaxOutput = 900 };
  std::set<size_t> sizes;
  for (uint64_t each = 0; each < 2000; ++each) {
    if (each % 10 < 5 + (each / 400) % 2) {
      lanes.OnRequest("llm", longer, Session(each, each), At(each * 10));
    }
    lanes.OnRequest("llm", strict, small, At(each * 10));
    if (each > 200) {
      sizes.insert(OwnLane(lanes, longer, engines, At(each * 10)).size());
    }
  }
  cr_expect(sizes.size() <= 2);
}

Test(lanes, boundaries_move_for_all_routes_at_once)
{
  const Engines engines(24);
  DedicatedPools lanes;
  const Route strict = MakeRoute("strict", 200);
  const Route longer = MakeRoute("longer", 800);
  const PromptShape small{ .mPromptTokens = 700, .mMaxOutput = 900 };
  std::set<size_t> sizes;
  for (uint64_t each = 0; each < 3000; ++each) {
    // The demand for long prompts comes and goes.
    if (each % 10 < 1 + 8 * ((each / 700) % 2)) {
      lanes.OnRequest("llm", longer, Session(each, each), At(each * 10));
    }
    lanes.OnRequest("llm", strict, small, At(each * 10));
    // The routes are first asked for at different moments, so that what is
    // known of them is worked out anew at different moments too.
    if (each < 100) {
      continue;
    }
    const auto first = OwnLane(lanes, longer, engines, At(each * 10));
    if (each < 112) {
      continue;
    }
    const auto second = OwnLane(lanes, strict, engines, At(each * 10));
    const auto again = OwnLane(lanes, longer, engines, At(each * 10));
    cr_assert(again.size() + second.size() == 24,
              "%zu and %zu",
              again.size(),
              second.size());
    sizes.insert(first.size());
  }
  cr_expect(sizes.size() >= 3);
}

Test(sharedparts, the_last_part_of_one_off_prompts_is_their_own)
{
  SharedSegmentDetector parts;
  size_t shared = 0;
  for (uint64_t each = 0; each < 300; ++each) {
    shared = parts.OnPrompt("once", Session(each % 20, each));
  }
  cr_expect(shared == 2);
}

Test(sharedparts, a_last_part_that_comes_again_is_a_sessions)
{
  SharedSegmentDetector parts;
  size_t shared = 0;
  for (uint64_t each = 0; each < 300; ++each) {
    shared = parts.OnPrompt("turns", Session(each % 20, each % 20));
  }
  cr_expect(shared == 3);
}

namespace {

PromptShape
Small()
{
  return PromptShape{ .mPromptTokens = 700, .mMaxOutput = 900 };
}

} // namespace

/** Forty entries, each of which sees few requests, and one of them mostly
 * drafts, another mostly strict streams. */
Test(lanes, entries_that_tell_their_demand_have_the_same_boundaries)
{
  const Engines engines(160);
  const Route strict = MakeRoute("strict", 200);
  const Route longer = MakeRoute("longer", 800);
  std::vector<DedicatedPools> entries(40);
  for (uint64_t each = 0; each < entries.size(); ++each) {
    for (uint64_t request = 0; request < 20; ++request) {
      const Millis now = At(request * 100);
      if (request % 20 < each % 20 + 1) {
        entries[each].OnRequest("llm", longer, Session(each, request), now);
      }
      entries[each].OnRequest("llm", strict, Small(), now);
    }
  }
  const Millis now(2000);
  for (uint64_t from = 0; from < entries.size(); ++from) {
    for (uint64_t to = 0; to < entries.size(); ++to) {
      if (from != to) {
        entries[to].OnPeerDemands(
          "entry-" + std::to_string(from), entries[from].Demands(now), now);
      }
    }
  }
  const auto first = OwnLane(entries[0], strict, engines, now);
  cr_expect(first.size() > 19 && first.size() < 120);
  for (DedicatedPools& each : entries) {
    cr_expect(OwnLane(each, strict, engines, now) == first);
  }
}

/** Drafts for three times the engines that there are, beside strict streams
 * that hold 600 slots of 16 an engine. */
Test(lanes, the_most_urgent_have_engines_enough_where_there_are_too_few)
{
  const Engines engines(160);
  DedicatedPools lanes;
  Route strict = MakeRoute("strict", 200);
  strict.mPriority = 0;
  Route longer = MakeRoute("longer", 800);
  longer.mPriority = 2;
  constexpr double kHeld = 600;
  for (uint64_t each = 0; each < 24000; ++each) {
    lanes.OnRequest("llm", longer, Session(each, each), At(each / 4), 900);
    if (each % 10 == 0) {
      lanes.OnRequest("llm", strict, Small(), At(each / 4), kHeld);
    }
  }
  const auto own = OwnLane(lanes, strict, engines, Millis(6000), 16);
  cr_expect(static_cast<double>(own.size()) * 16 * 0.8 >= kHeld,
            "%zu engines",
            own.size());
  cr_expect(own.size() < 80, "%zu engines", own.size());
}

/** A hundred entries hear late, all the same, that one engine has a slot left
 * and the others none: not all may send there. */
Test(workplacement,
     entries_with_the_same_old_news_do_not_all_send_to_one_engine)
{
  Engines engines(20);
  for (size_t each = 0; each < engines.mWork.size(); ++each) {
    engines.mListed[each].mSlots = 16;
    engines.mListed[each].mDataCentre = "here";
    const uint32_t waiting = each == 7 ? 0 : 2;
    engines.mWork[each].OnReport(
      { .mRunning = 15, .mWaiting = waiting, .mSlots = 16 }, Millis(0));
  }
  const EngineInfo facts{ .mPrefillPerMs = 80,
                          .mAnswerMs = 1000,
                          .mPeersReporting = true,
                          .mUnreportedPerMs = 0.02 };
  const PromptShape plain{ .mPromptTokens = 700, .mMaxOutput = 500 };
  std::map<UpstreamId, int> counts;
  for (uint64_t entry = 0; entry < 100; ++entry) {
    WorkPlacement placement({ .mDataCentre = "here", .mSeed = entry });
    counts[placement.Choose(engines.Candidates(), plain, 0, facts, Millis(600))
             .mUpstream]++;
  }
  cr_expect(counts["e7"] >= 5, "the news says something");
  for (const auto& [id, count] : counts) {
    cr_expect(count <= 32, "%s: %d", id.c_str(), count);
  }
}

/** Entries that tell each other quickly all know where there is room. */
Test(workplacement, the_same_news_decides_while_it_is_fresh)
{
  Engines engines(20);
  for (size_t each = 0; each < engines.mWork.size(); ++each) {
    engines.mListed[each].mSlots = 16;
    engines.mListed[each].mDataCentre = "here";
    engines.mWork[each].OnReport(
      { .mRunning = 16, .mWaiting = each == 7 ? 0U : 20U }, Millis(0));
  }
  const EngineInfo facts{ .mPrefillPerMs = 80,
                          .mAnswerMs = 1000,
                          .mPeersReporting = true,
                          .mReportedPerMs = 0.02,
                          .mReportIntervalMs = 20 };
  const PromptShape plain{ .mPromptTokens = 700, .mMaxOutput = 500 };
  for (uint64_t entry = 0; entry < 100; ++entry) {
    WorkPlacement placement({ .mDataCentre = "here", .mSeed = entry });
    cr_expect(
      placement.Choose(engines.Candidates(), plain, 0, facts, Millis(20))
        .mUpstream == "e7");
  }
}
