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

/** Engines that prefill 80 prompt tokens in a millisecond. */
const EngineInfo kEngineInfo{ .mPrefillPerMs = 80 };

PlacementChoice
Choose(WorkPlacement& aPlacement,
       const std::vector<PlacementCandidate>& aCandidates,
       const PromptShape& aPrompt,
       Millis aNow)
{
  return aPlacement.Choose(aCandidates, aPrompt, 0, kEngineInfo, aNow);
}

/** Records that an engine was sent a request of the session. */
void
Send(WorkPlacement& aPlacement,
     const UpstreamId& aUpstream,
     const PromptShape& aPrompt,
     Millis aNow)
{
  aPlacement.PrefixCaches().OnSent(
    aUpstream, aPrompt.SharedIds(), aPrompt.mPromptTokens, aNow);
}

/** The positions without any samples of pauses. */
const PoolPositions&
PositionsFor(DedicatedPools& aPools,
             const Route& aRoute,
             const Engines& aEngines,
             Millis aNow,
             uint32_t aSlots = 0)
{
  static const PauseRecord kNone;
  return aPools.PositionsFor(
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

/** The engines of the route's own pool. */
std::set<UpstreamId>
OwnPool(DedicatedPools& aPools,
        const Route& aRoute,
        const Engines& aEngines,
        Millis aNow,
        uint32_t aSlots = 0)
{
  std::set<UpstreamId> own;
  for (const auto& [id, position] :
       PositionsFor(aPools, aRoute, aEngines, aNow, aSlots)) {
    if (position.mDistance == 0) {
      own.insert(id);
    }
  }
  return own;
}

} // namespace

/** Guards against rounding that changes which plain upstreams are tied: a busy
 * slot of 50 costs as much as a cold start of 1 ms. */
Test(workplacement, the_usual_speed_does_not_change_the_cost_of_load)
{
  WorkPlacement busy({ .mDataCentre = "here" });
  WorkPlacement cold({ .mDataCentre = "here", .mColdMs = 1 });
  const ListedUpstream listed{ .mId = "a",
                               .mDataCentre = "here",
                               .mSlots = 50 };
  ListedUpstream other = listed;
  other.mId = "b";
  const UpstreamWork idle;
  UpstreamWork one;
  one.OnSent({}, Millis(0));
  for (size_t each = 0; each < 50; ++each) {
    const std::vector<PlacementCandidate> withBusy{
      { .mListed = &listed, .mWork = &idle },
      { .mListed = &other, .mWork = &one },
      { .mListed = &other, .mWork = &idle }
    };
    const std::vector<PlacementCandidate> withCold{
      { .mListed = &listed, .mWork = &idle },
      { .mListed = &other, .mWork = &idle, .mCold = true },
      { .mListed = &other, .mWork = &idle }
    };
    cr_expect(busy.Choose(withBusy, {}, 0, {}, Millis(0)).mUpstream ==
              cold.Choose(withCold, {}, 0, {}, Millis(0)).mUpstream);
  }
}

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

/** Candidates of which the first aPoolSize are the route's pool. */
std::vector<PlacementCandidate>
WithPool(const Engines& aEngines, size_t aPoolSize)
{
  auto all = aEngines.Candidates();
  for (size_t each = 0; each < all.size(); ++each) {
    const bool inside = each < aPoolSize;
    const size_t distance = inside ? aPoolSize - each - 1 : each - aPoolSize;
    all[each].mPoolPosition = { .mDistance = inside ? 0U : 1U,
                                .mBoundaryDistance =
                                  static_cast<uint32_t>(distance) };
  }
  return all;
}

} // namespace

/** Entries with different demand have pool boundaries that differ by a few
 * engines. The engine at which another entry has cached a session must be
 * found. */
Test(workplacement, a_session_is_fetched_from_where_other_entries_send_it)
{
  const Engines engines(42);
  WorkPlacement narrow({ .mDataCentre = "here", .mSeed = 1 });
  WorkPlacement wide({ .mDataCentre = "here", .mSeed = 2 });
  int differ = 0;
  int found = 0;
  for (uint64_t session = 0; session < 1000; ++session) {
    const PromptShape prompt = Session(session, session);
    const auto one = Choose(narrow, WithPool(engines, 25), prompt, Millis(0));
    const auto other = Choose(wide, WithPool(engines, 28), prompt, Millis(0));
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

/** The last engine of a session is its most likely holder. */
Test(workplacement, a_session_is_fetched_from_where_this_entry_sent_it_last)
{
  const Engines engines(12);
  WorkPlacement placement({ .mDataCentre = "here" });
  const auto choose = [&](int64_t aNow) {
    return Choose(placement, engines.Candidates(), Session(5, 1), Millis(aNow));
  };
  const PlacementChoice preferred = choose(0);
  cr_expect(preferred.mHolder.empty(), "no other engine has it cached");
  const UpstreamId other = preferred.mUpstream == "e3" ? "e4" : "e3";
  Send(placement, other, Session(5, 2), Millis(100));
  const PlacementChoice back = choose(2000);
  cr_expect(back.mUpstream == preferred.mUpstream);
  cr_expect(back.mHolder == other);
  Send(placement, preferred.mUpstream, Session(5, 3), Millis(3000));
  cr_expect(choose(3500).mHolder.empty(), "it is cached at the chosen engine");
  cr_expect(choose(30000).mHolder.empty(), "the retention has passed");
}

/** A session that can be fetched doesn't wait behind other prompts. */
Test(workplacement, a_session_that_can_be_fetched_leaves_a_busy_engine_sooner)
{
  for (const bool cached : { false, true }) {
    Engines engines(12);
    WorkPlacement placement({ .mDataCentre = "here" });
    const auto preferred =
      Choose(placement, engines.Candidates(), Session(5, 1), Millis(0));
    if (cached) {
      Send(placement, preferred.mUpstream, Session(5, 1), Millis(0));
    }
    const size_t busy = std::stoul(preferred.mUpstream.substr(1));
    // 240 ms of this entry's prefill are pending there, and as much of others.
    engines.mWork[busy].OnSent({ .mPrefill = 19200 }, Millis(0));
    engines.mWork[busy].OnBytesReceived(Millis(100));
    const auto next =
      Choose(placement, engines.Candidates(), Session(5, 2), Millis(100));
    cr_expect((next.mUpstream != preferred.mUpstream) == cached);
    cr_expect(!cached || next.mHolder == preferred.mUpstream);
  }
}

Test(workplacement, a_prompt_shorter_than_its_segments_is_placed_like_others)
{
  Engines engines(12);
  WorkPlacement placement({ .mDataCentre = "here" });
  PromptShape prompt = Session(5, 1);
  prompt.mPromptTokens = 100;
  const auto preferred =
    Choose(placement, engines.Candidates(), prompt, Millis(0));
  const size_t busy = std::stoul(preferred.mUpstream.substr(1));
  for (int each = 0; each < 100; ++each) {
    engines.mWork[busy].OnSent({ .mPrefill = 9000 }, Millis(0));
  }
  const auto next =
    Choose(placement, engines.Candidates(), prompt, Millis(100));
  cr_expect(next.mUpstream != preferred.mUpstream);
}

Test(workplacement, a_session_leaves_an_overloaded_engine)
{
  Engines engines(12);
  WorkPlacement placement({ .mDataCentre = "here" });
  const auto preferred =
    Choose(placement, engines.Candidates(), Session(5, 1), Millis(0));
  for (size_t each = 0; each < engines.mListed.size(); ++each) {
    if (engines.mListed[each].mId == preferred.mUpstream) {
      for (int request = 0; request < 20; ++request) {
        engines.mWork[each].OnSent({ .mPrefill = 3000 }, Millis(0));
      }
    }
  }
  const auto moved =
    Choose(placement, engines.Candidates(), Session(5, 2), Millis(0));
  cr_expect(moved.mUpstream != preferred.mUpstream);
  cr_expect(moved.mHolder == preferred.mUpstream);
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

Test(workplacement,
     a_plain_call_stays_in_its_data_centre_while_that_has_capacity)
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

Test(dedicatedpools, long_prompts_and_strict_streams_share_no_engine)
{
  const Engines engines(12);
  DedicatedPools pools;
  const Route strict = MakeRoute("strict", 200);
  const Route longPrompts = MakeRoute("longer", 800);
  const PromptShape small{ .mPromptTokens = 700, .mMaxOutput = 900 };
  for (uint64_t each = 0; each < 300; ++each) {
    pools.OnRequest("llm", longPrompts, Session(each, each), At(each * 10));
    pools.OnRequest("llm", strict, small, At(each * 10));
  }
  const auto first = OwnPool(pools, longPrompts, engines, Millis(3000));
  const auto second = OwnPool(pools, strict, engines, Millis(3000));
  cr_expect(first.size() >= 3 && second.size() >= 3);
  cr_expect(first.size() + second.size() == 12);
  for (const UpstreamId& each : first) {
    cr_expect(!second.contains(each));
  }
}

Test(dedicatedpools, intermediate_routes_have_a_pool_of_their_own)
{
  const Engines engines(24);
  DedicatedPools pools;
  const Route strict = MakeRoute("strict", 200);
  const Route middle = MakeRoute("middle", 300);
  const Route longPrompts = MakeRoute("longer", 800);
  const PromptShape small{ .mPromptTokens = 700, .mMaxOutput = 900 };
  const PromptShape medium{ .mPromptTokens = 2400, .mMaxOutput = 90 };
  for (uint64_t each = 0; each < 300; ++each) {
    pools.OnRequest("llm", longPrompts, Session(each, each), At(each * 10));
    pools.OnRequest("llm", middle, medium, At(each * 10));
    pools.OnRequest("llm", strict, small, At(each * 10));
  }
  const Millis now(3000);
  const size_t all = OwnPool(pools, longPrompts, engines, now).size() +
                     OwnPool(pools, middle, engines, now).size() +
                     OwnPool(pools, strict, engines, now).size();
  cr_expect(all == 24);
  uint32_t farthest = 0;
  for (const auto& [id, position] : PositionsFor(pools, strict, engines, now)) {
    farthest = std::max(farthest, position.mDistance);
  }
  cr_expect(farthest == 2);
}

Test(dedicatedpools, positions_have_the_distance_to_the_boundary)
{
  const Engines engines(24);
  DedicatedPools pools;
  const Route strict = MakeRoute("strict", 200);
  const Route longPrompts = MakeRoute("longer", 800);
  const PromptShape small{ .mPromptTokens = 700, .mMaxOutput = 900 };
  for (uint64_t each = 0; each < 300; ++each) {
    pools.OnRequest("llm", longPrompts, Session(each, each), At(each * 10));
    pools.OnRequest("llm", strict, small, At(each * 10));
  }
  std::multiset<uint32_t> inside;
  std::multiset<uint32_t> outside;
  for (const auto& [id, position] :
       PositionsFor(pools, strict, engines, Millis(3000))) {
    (position.mDistance == 0 ? inside : outside)
      .insert(position.mBoundaryDistance);
  }
  for (const auto& side : { inside, outside }) {
    uint32_t next = 0;
    for (const uint32_t distance : side) {
      cr_expect(distance == next++);
    }
    cr_expect(side.size() >= 2);
  }
}

Test(dedicatedpools, similar_routes_share_all_engines)
{
  const Engines engines(6);
  DedicatedPools pools;
  const Route one = MakeRoute("one", 200);
  const Route other = MakeRoute("other", 300);
  for (uint64_t each = 0; each < 100; ++each) {
    pools.OnRequest("llm", one, Session(each, each), At(each));
    pools.OnRequest("llm", other, Session(each, each), At(each));
  }
  cr_expect(PositionsFor(pools, one, engines, Millis(100)).empty());
}

Test(dedicatedpools, the_boundary_is_stable_while_demand_varies)
{
  const Engines engines(12);
  DedicatedPools pools;
  const Route strict = MakeRoute("strict", 200);
  const Route longPrompts = MakeRoute("longer", 800);
  const PromptShape small{ .mPromptTokens = 700, .mMaxOutput = 900 };
  std::set<size_t> sizes;
  for (uint64_t each = 0; each < 2000; ++each) {
    if (each % 10 < 5 + (each / 400) % 2) {
      pools.OnRequest("llm", longPrompts, Session(each, each), At(each * 10));
    }
    pools.OnRequest("llm", strict, small, At(each * 10));
    if (each > 200) {
      sizes.insert(OwnPool(pools, longPrompts, engines, At(each * 10)).size());
    }
  }
  cr_expect(sizes.size() <= 2);
}

Test(dedicatedpools, boundaries_move_for_all_routes_at_once)
{
  const Engines engines(24);
  DedicatedPools pools;
  const Route strict = MakeRoute("strict", 200);
  const Route longPrompts = MakeRoute("longer", 800);
  const PromptShape small{ .mPromptTokens = 700, .mMaxOutput = 900 };
  std::set<size_t> sizes;
  for (uint64_t each = 0; each < 3000; ++each) {
    // The demand for long prompts varies.
    if (each % 10 < 1 + 8 * ((each / 700) % 2)) {
      pools.OnRequest("llm", longPrompts, Session(each, each), At(each * 10));
    }
    pools.OnRequest("llm", strict, small, At(each * 10));
    // The routes are first queried at different times, so that their positions
    // expire at different times too.
    if (each < 100) {
      continue;
    }
    const auto first = OwnPool(pools, longPrompts, engines, At(each * 10));
    if (each < 112) {
      continue;
    }
    const auto second = OwnPool(pools, strict, engines, At(each * 10));
    const auto again = OwnPool(pools, longPrompts, engines, At(each * 10));
    cr_assert(again.size() + second.size() == 24,
              "%zu and %zu",
              again.size(),
              second.size());
    sizes.insert(first.size());
  }
  cr_expect(sizes.size() >= 3);
}

Test(sharedsegmentdetector, the_last_segment_of_single_prompts_is_not_shared)
{
  SharedSegmentDetector detector;
  size_t shared = 0;
  for (uint64_t each = 0; each < 300; ++each) {
    shared = detector.OnPrompt("once", Session(each % 20, each));
  }
  cr_expect(shared == 2);
}

Test(sharedsegmentdetector, a_repeated_last_segment_belongs_to_a_session)
{
  SharedSegmentDetector detector;
  size_t shared = 0;
  for (uint64_t each = 0; each < 300; ++each) {
    shared = detector.OnPrompt("turns", Session(each % 20, each % 20));
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

/** Forty entries that each see few requests, one of them mostly long prompts,
 * another mostly strict streams. */
Test(dedicatedpools, entries_that_exchange_demand_have_the_same_boundaries)
{
  const Engines engines(160);
  const Route strict = MakeRoute("strict", 200);
  const Route longPrompts = MakeRoute("longer", 800);
  std::vector<DedicatedPools> entries(40);
  for (uint64_t each = 0; each < entries.size(); ++each) {
    for (uint64_t request = 0; request < 20; ++request) {
      const Millis now = At(request * 100);
      if (request % 20 < each % 20 + 1) {
        entries[each].OnRequest(
          "llm", longPrompts, Session(each, request), now);
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
  const auto first = OwnPool(entries[0], strict, engines, now);
  cr_expect(first.size() > 19 && first.size() < 120);
  for (DedicatedPools& each : entries) {
    cr_expect(OwnPool(each, strict, engines, now) == first);
  }
}

/** Long prompts for three times the available engines, beside strict streams
 * that hold 600 slots of 16 per engine. */
Test(dedicatedpools, the_most_urgent_pool_has_enough_engines_under_overload)
{
  const Engines engines(160);
  DedicatedPools pools;
  Route strict = MakeRoute("strict", 200);
  strict.mPriority = 0;
  Route longPrompts = MakeRoute("longer", 800);
  longPrompts.mPriority = 2;
  constexpr double kHeldSlots = 600;
  for (uint64_t each = 0; each < 24000; ++each) {
    pools.OnRequest("llm", longPrompts, Session(each, each), At(each / 4), 900);
    if (each % 10 == 0) {
      pools.OnRequest("llm", strict, Small(), At(each / 4), kHeldSlots);
    }
  }
  const auto own = OwnPool(pools, strict, engines, Millis(6000), 16);
  cr_expect(static_cast<double>(own.size()) * 16 * 0.8 >= kHeldSlots,
            "%zu engines",
            own.size());
  cr_expect(own.size() < 80, "%zu engines", own.size());
}

/** A hundred entries get the same late reports that one engine has a free slot
 * and the others have none. They must not all send there. */
Test(workplacement,
     entries_with_the_same_old_reports_do_not_all_send_to_one_engine)
{
  Engines engines(20);
  for (size_t each = 0; each < engines.mWork.size(); ++each) {
    engines.mListed[each].mSlots = 16;
    engines.mListed[each].mDataCentre = "here";
    const uint32_t waiting = each == 7 ? 0 : 2;
    engines.mWork[each].OnReport(
      { .mRunning = 15, .mWaiting = waiting, .mSlots = 16 }, Millis(0));
  }
  const EngineInfo info{ .mPrefillPerMs = 80,
                         .mAnswerMs = 1000,
                         .mPeersReporting = true,
                         .mUnreportedPerMs = 0.02 };
  const PromptShape plain{ .mPromptTokens = 700, .mMaxOutput = 500 };
  std::map<UpstreamId, int> counts;
  for (uint64_t entry = 0; entry < 100; ++entry) {
    WorkPlacement placement({ .mDataCentre = "here", .mSeed = entry });
    counts[placement.Choose(engines.Candidates(), plain, 0, info, Millis(600))
             .mUpstream]++;
  }
  cr_expect(counts["e7"] >= 5, "the report is used");
  for (const auto& [id, count] : counts) {
    cr_expect(count <= 32, "%s: %d", id.c_str(), count);
  }
}

/** Entries that exchange updates quickly all know where there is capacity. */
Test(workplacement, recent_reports_decide)
{
  Engines engines(20);
  for (size_t each = 0; each < engines.mWork.size(); ++each) {
    engines.mListed[each].mSlots = 16;
    engines.mListed[each].mDataCentre = "here";
    engines.mWork[each].OnReport(
      { .mRunning = 16, .mWaiting = each == 7 ? 0U : 20U }, Millis(0));
  }
  const EngineInfo info{ .mPrefillPerMs = 80,
                         .mAnswerMs = 1000,
                         .mPeersReporting = true,
                         .mReportedPerMs = 0.02,
                         .mReportIntervalMs = 20 };
  const PromptShape plain{ .mPromptTokens = 700, .mMaxOutput = 500 };
  for (uint64_t entry = 0; entry < 100; ++entry) {
    WorkPlacement placement({ .mDataCentre = "here", .mSeed = entry });
    cr_expect(placement.Choose(engines.Candidates(), plain, 0, info, Millis(20))
                .mUpstream == "e7");
  }
}
