#include "modelevents.h"
#include "modelrandom.h"

#include "libtrefoilarch/permitissuer.h"
#include "libtrefoilarch/permitrequester.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace trefoilarch;

/**
 * The model, in virtual time: entries request permits from each other to send
 * to one upstream with a rate limit. Datagrams are delayed or lost; entries are
 * isolated, suspended, restarted and added. Callers of all entries, or of one,
 * send more than the limit.
 */
namespace {

constexpr Millis kWindow{ 4000 };
constexpr Millis kWarmUp{ 5000 };
constexpr Millis kEnd{ 45000 };

struct Scenario
{
  size_t mEntries = 4;
  double mPerSecond = 1.6;
  /** All load arrives at a single entry. */
  bool mSingleEntry = false;
  bool mHasFaults = false;
};

class PermitModel
  : private ModelRandom
  , private ModelEvents
{
public:
  PermitModel(uint32_t aSeed, Scenario aScenario)
    : ModelRandom(aSeed)
    , mScenario(aScenario)
    , mLoss(aScenario.mHasFaults ? 5 : 1)
  {
  }

  void Play()
  {
    for (size_t each = 0; each < mScenario.mEntries; ++each) {
      Add(each);
    }
    for (size_t each = 0; each < mEntries.size(); ++each) {
      SetMembers(each);
    }
    const size_t callers = mScenario.mSingleEntry ? 1 : mEntries.size();
    for (size_t each = 0; each < callers; ++each) {
      After(Draw(1000), [this, each, callers] { Arrive(each, callers); });
    }
    if (mScenario.mHasFaults) {
      After(2000, [this] { InjectFault(); });
    }
    RunUntil(kEnd);
    const double seconds = static_cast<double>((kEnd - kWarmUp).Count()) / 1000;
    const bool isUsed = static_cast<double>(mSentAfterWarmUp) >=
                        mScenario.mPerSecond * seconds / 2 - 1;
    RC_ASSERT(mScenario.mHasFaults || isUsed);
  }

private:
  struct Entry
  {
    std::string mAddress;
    std::unique_ptr<PermitRequester> mRequester;
    std::unique_ptr<PermitIssuer> mIssuer;
    uint64_t mProcess = 0;
    Millis mDownUntil;
    Millis mIsolatedUntil;
    /** Whether a request waits for a permit. */
    bool mIsWaiting = false;
  };

  void Add(size_t aIndex)
  {
    mEntries.push_back({});
    mEntries.back().mAddress = "10.0.0." + std::to_string(aIndex) + ":7";
    Start(mEntries.back());
  }

  static void Start(Entry& aEntry)
  {
    aEntry.mRequester = std::make_unique<PermitRequester>();
    aEntry.mIssuer = std::make_unique<PermitIssuer>();
    aEntry.mProcess++;
    aEntry.mIsWaiting = false;
  }

  void SetMembers(size_t aEntry)
  {
    std::vector<std::string> others;
    for (const Entry& each : mEntries) {
      if (&each != &mEntries[aEntry]) {
        others.push_back(each.mAddress);
      }
    }
    mEntries[aEntry].mRequester->SetEntries(mEntries[aEntry].mAddress, others);
  }

  bool Runs(const Entry& aEntry) const { return mNow >= aEntry.mDownUntil; }

  void Arrive(size_t aEntry, size_t aCallers)
  {
    Entry& entry = mEntries[aEntry];
    if (Runs(entry) && entry.mIsWaiting) {
      entry.mRequester->CountMissed("u");
    } else if (Runs(entry)) {
      TrySend(aEntry);
    }
    // Three times the limit in total.
    const double meanInterval =
      1000.0 * static_cast<double>(aCallers) / (3 * mScenario.mPerSecond);
    const auto maxDelay =
      static_cast<uint32_t>(std::max(2.0, 2 * meanInterval));
    After(1 + Draw(maxDelay),
          [this, aEntry, aCallers] { Arrive(aEntry, aCallers); });
  }

  void TrySend(size_t aEntry)
  {
    Entry& entry = mEntries[aEntry];
    const auto urgency = static_cast<uint8_t>(Draw(3));
    PermitState state = entry.mRequester->StateOf("u", urgency, mNow);
    if (state == PermitState::NotRequested) {
      Send(aEntry,
           entry.mRequester->MakeRequest(
             { .mUpstream = "u", .mPerSecond = mScenario.mPerSecond },
             urgency,
             mNow));
      state = entry.mRequester->StateOf("u", urgency, mNow);
    }
    if (state == PermitState::Granted) {
      entry.mRequester->Use("u");
      OnArrival();
    } else if (state == PermitState::Requested) {
      entry.mIsWaiting = true;
      Await(aEntry, urgency);
    }
  }

  void Await(size_t aEntry, uint8_t aUrgency)
  {
    After(2, [this, aEntry, aUrgency, process = mEntries[aEntry].mProcess] {
      Entry& entry = mEntries[aEntry];
      if (process != entry.mProcess) {
        return;
      }
      if (!Runs(entry)) {
        Await(aEntry, aUrgency);
        return;
      }
      const PermitState state = entry.mRequester->StateOf("u", aUrgency, mNow);
      if (state == PermitState::Requested) {
        Await(aEntry, aUrgency);
        return;
      }
      entry.mIsWaiting = false;
      if (state == PermitState::Granted) {
        entry.mRequester->Use("u");
        OnArrival();
      }
    });
  }

  bool AreConnected(const Entry& aLeft, const Entry& aRight) const
  {
    return &aLeft == &aRight ||
           (mNow >= aLeft.mIsolatedUntil && mNow >= aRight.mIsolatedUntil);
  }

  int64_t DrawDelay() { return Chance(mLoss) ? Draw(3000) : 1 + Draw(3); }

  void Send(size_t aFrom, const AddressedPermitRequest& aRequest)
  {
    const auto place =
      std::find_if(mEntries.begin(), mEntries.end(), [&](const Entry& aEntry) {
        return aEntry.mAddress == aRequest.mTo;
      });
    Entry& to = *place;
    if (&to == &mEntries[aFrom]) {
      HandleRequest(aFrom, to, aRequest.mRequest, true);
      return;
    }
    if (Chance(mLoss)) {
      return;
    }
    After(DrawDelay(), [this, aFrom, &to, request = aRequest.mRequest] {
      HandleRequest(aFrom, to, request, false);
    });
  }

  void HandleRequest(size_t aFrom,
                     Entry& aTo,
                     const PermitRequest& aRequest,
                     bool aSelf)
  {
    Entry& from = mEntries[aFrom];
    if (!Runs(aTo) || !AreConnected(from, aTo)) {
      return;
    }
    const auto reply = aTo.mIssuer->OnRequest(
      from.mAddress, aRequest, mScenario.mPerSecond, mNow);
    if (!reply) {
      return;
    }
    if (aSelf) {
      from.mRequester->OnReply(*reply, mNow);
      return;
    }
    if (Chance(mLoss)) {
      return;
    }
    After(DrawDelay(), [this, &from, &aTo, reply = *reply] {
      if (Runs(from) && AreConnected(from, aTo)) {
        from.mRequester->OnReply(reply, mNow);
      }
    });
  }

  void OnArrival()
  {
    mArrivals.push_back(mNow);
    while (mArrivals.front() <= mNow - kWindow) {
      mArrivals.pop_front();
    }
    if (mNow < kWarmUp) {
      return;
    }
    mSentAfterWarmUp++;
    constexpr double kOvershoot = 1.5 * 4;
    const double allowed = kOvershoot * mScenario.mPerSecond + 5;
    RC_ASSERT(static_cast<double>(mArrivals.size()) <= allowed);
  }

  void InjectFault()
  {
    const size_t place = Draw(mEntries.size());
    Entry& entry = mEntries[place];
    const Millis until = mNow + Millis(200 + Draw(8000));
    const uint32_t kind = Draw(3);
    if (kind == 0) {
      entry.mIsolatedUntil = until;
    } else if (kind == 1) {
      entry.mDownUntil = until; // suspended
    } else {
      Start(entry);
      SetMembers(place);
      entry.mDownUntil = mNow + Millis(Draw(2000));
      entry.mIssuer->Join(entry.mDownUntil);
    }
    After(500 + Draw(4000), [this] { InjectFault(); });
  }

  Scenario mScenario;
  uint32_t mLoss;
  std::deque<Entry> mEntries;
  std::deque<Millis> mArrivals;
  uint64_t mSentAfterWarmUp = 0;
};

Scenario
DrawScenario(uint32_t aSeed, bool aHasFaults)
{
  constexpr size_t kSizes[] = { 2, 3, 4, 8, 40, 103, 340 };
  constexpr double kLimits[] = { 0.3, 0.7, 1.6, 3, 8, 25, 70, 200 };
  return { .mEntries = kSizes[aSeed % std::size(kSizes)],
           .mPerSecond = kLimits[(aSeed / 7) % std::size(kLimits)],
           .mSingleEntry = (aSeed / 56) % 2 == 1,
           .mHasFaults = aHasFaults };
}

} // namespace

Test(permit, the_limit_over_all_entries_is_kept_and_used, .timeout = 120)
{
  cr_assert(rc::check("without faults", [](uint32_t aSeed) {
    PermitModel(aSeed, DrawScenario(aSeed, false)).Play();
  }));
}

Test(permit, the_limit_is_kept_despite_faults, .timeout = 120)
{
  cr_assert(rc::check("with faults", [](uint32_t aSeed) {
    PermitModel(aSeed, DrawScenario(aSeed, true)).Play();
  }));
}

namespace {

PermitRequest
RequestWith(uint8_t aUrgency, uint32_t aRank = 0)
{
  return { .mNumber = 1,
           .mLimit = { .mUpstream = "u" },
           .mUrgency = aUrgency,
           .mRank = aRank };
}

bool
Grants(PermitIssuer& aIssuer, const PermitRequest& aRequest, Millis aNow)
{
  return aIssuer.OnRequest("e", aRequest, 1, aNow)->mGranted > 0;
}

} // namespace

Test(permit, the_more_urgent_go_first)
{
  PermitIssuer issuer;
  cr_expect(!Grants(issuer, RequestWith(0), Millis(0)));
  cr_expect(!Grants(issuer, RequestWith(2), Millis(900)), "no permit yet");
  cr_expect(Grants(issuer, RequestWith(0), Millis(1000)));
  cr_expect(!Grants(issuer, RequestWith(0), Millis(1900)));
  const auto reply = issuer.OnRequest("e", RequestWith(2), 1, Millis(2100));
  cr_expect(reply->mGranted == 0, "reserved for the more urgent");
  cr_expect(reply->mFromUrgency == 2, "urgencies of the denial");
  cr_expect(Grants(issuer, RequestWith(0), Millis(2110)));
  cr_expect(Grants(issuer, RequestWith(2), Millis(3200)),
            "no other request waits");
}

Test(permit, a_permit_is_available_after_the_delay_of_a_denial)
{
  PermitIssuer issuer;
  const auto reply = issuer.OnRequest("e", RequestWith(0), 1, Millis(0));
  cr_expect(reply->mGranted == 0 && reply->mWait > Millis(900));
  cr_expect(Grants(issuer, RequestWith(0), reply->mWait));
}

Test(permit, a_replacement_issuer_issues_a_share)
{
  PermitIssuer issuer;
  size_t granted = 0;
  for (int64_t now = 0; now < 40000; now += 50) {
    granted += Grants(issuer, RequestWith(0, 1), Millis(now)) ? 1 : 0;
  }
  cr_expect(granted >= 9 && granted <= 10, "a quarter of 40");
}

Test(permit, a_new_issuer_does_not_reply)
{
  PermitIssuer issuer;
  issuer.Join(Millis(100));
  cr_expect(!issuer.OnRequest("e", RequestWith(0), 1, Millis(4000)));
  cr_expect(issuer.OnRequest("e", RequestWith(0), 1, Millis(4100)).has_value());
}

Test(permit, an_issuer_that_does_not_reply_is_bypassed)
{
  PermitRequester requester;
  requester.SetEntries("a", { "b", "c" });
  const LimitReport limit{ .mUpstream = "u", .mPerSecond = 1 };
  const AddressedPermitRequest first =
    requester.MakeRequest(limit, 0, Millis(0));
  cr_expect(first.mRequest.mRank == 0);
  cr_expect(requester.StateOf("u", 0, Millis(39)) == PermitState::Requested);
  cr_expect(requester.StateOf("u", 0, Millis(40)) == PermitState::Denied);
  cr_expect(requester.StateOf("u", 0, Millis(140)) ==
            PermitState::NotRequested);
  cr_expect(requester.MakeRequest(limit, 0, Millis(140)).mTo == first.mTo,
            "once is not enough");
  cr_expect(requester.StateOf("u", 0, Millis(180)) == PermitState::Denied);
  const AddressedPermitRequest next =
    requester.MakeRequest(limit, 0, Millis(300));
  cr_expect(next.mTo != first.mTo && next.mRequest.mRank == 1);
  cr_expect(requester.MakeRequest(limit, 0, Millis(2300)).mTo == first.mTo,
            "tried again");
}

Test(permit, a_late_reply_grants_nothing)
{
  PermitRequester requester;
  requester.SetEntries("a", { "b" });
  const AddressedPermitRequest request =
    requester.MakeRequest({ .mUpstream = "u" }, 0, Millis(0));
  requester.OnReply({ .mNumber = request.mRequest.mNumber, .mGranted = 1 },
                    Millis(50));
  cr_expect(requester.StateOf("u", 0, Millis(50)) != PermitState::Granted);
}

Test(permit, the_next_permit_request_covers_missed_requests)
{
  PermitRequester requester;
  const LimitReport limit{ .mUpstream = "u", .mPerSecond = 100 };
  cr_expect(requester.MakeRequest(limit, 0, Millis(0)).mRequest.mCount == 1);
  requester.CountMissed("u");
  requester.CountMissed("u");
  const AddressedPermitRequest next =
    requester.MakeRequest(limit, 0, Millis(1));
  cr_expect(next.mRequest.mCount == 3);
  requester.OnReply({ .mNumber = next.mRequest.mNumber, .mGranted = 2 },
                    Millis(2));
  requester.Use("u");
  cr_expect(requester.StateOf("u", 0, Millis(3)) == PermitState::Granted);
  requester.Use("u");
  cr_expect(requester.StateOf("u", 0, Millis(3)) == PermitState::NotRequested);
  cr_expect(requester.Used("u") == 2);
}

Test(permit, a_denial_applies_to_the_urgencies_that_it_names)
{
  PermitRequester requester;
  const AddressedPermitRequest request =
    requester.MakeRequest({ .mUpstream = "u" }, 2, Millis(0));
  requester.OnReply({ .mNumber = request.mRequest.mNumber,
                      .mWait = Millis(500),
                      .mFromUrgency = 2 },
                    Millis(1));
  cr_expect(requester.StateOf("u", 2, Millis(100)) == PermitState::Denied);
  cr_expect(requester.StateOf("u", 0, Millis(100)) ==
            PermitState::NotRequested);
  cr_expect(requester.WaitFor("u", 2, Millis(101)) == Millis(400));
  cr_expect(requester.StateOf("u", 2, Millis(501)) ==
            PermitState::NotRequested);
}
