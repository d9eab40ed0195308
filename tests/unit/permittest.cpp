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
 * The model, in virtual time: entries that ask each other for permits to send
 * to one upstream with a rate limit, over datagrams that are late or lost;
 * entries are cut off from the others, stand still, end and start again, and
 * join. All want to send more than the limit, or one of them does.
 */
namespace {

constexpr Millis kWindow{ 4000 };
constexpr Millis kSettle{ 5000 };
constexpr Millis kEnd{ 45000 };

struct Setting
{
  size_t mEntries = 4;
  double mPerSecond = 1.6;
  /** The load comes in at one entry. */
  bool mAtOne = false;
  bool mTroubled = false;
};

class PermitModel
  : private ModelRandom
  , private ModelEvents
{
public:
  PermitModel(uint32_t aSeed, Setting aSetting)
    : ModelRandom(aSeed)
    , mSetting(aSetting)
    , mLoss(aSetting.mTroubled ? 5 : 1)
  {
  }

  void Play()
  {
    for (size_t each = 0; each < mSetting.mEntries; ++each) {
      Add(each);
    }
    for (size_t each = 0; each < mEntries.size(); ++each) {
      TellMembers(each);
    }
    const size_t callers = mSetting.mAtOne ? 1 : mEntries.size();
    for (size_t each = 0; each < callers; ++each) {
      After(Draw(1000), [this, each, callers] { Arrive(each, callers); });
    }
    if (mSetting.mTroubled) {
      After(2000, [this] { Disturb(); });
    }
    RunUntil(kEnd);
    const double seconds = static_cast<double>((kEnd - kSettle).Count()) / 1000;
    const bool used =
      static_cast<double>(mSettled) >= mSetting.mPerSecond * seconds / 2 - 1;
    RC_ASSERT(mSetting.mTroubled || used);
  }

private:
  struct Entry
  {
    std::string mAddress;
    std::unique_ptr<PermitRequester> mAsker;
    std::unique_ptr<PermitIssuer> mIssuer;
    uint64_t mProcess = 0;
    Millis mDownUntil;
    Millis mCutUntil;
    /** A request waits for a permit. */
    bool mWaits = false;
  };

  void Add(size_t aPlace)
  {
    mEntries.push_back({});
    mEntries.back().mAddress = "10.0.0." + std::to_string(aPlace) + ":7";
    Start(mEntries.back());
  }

  static void Start(Entry& aEntry)
  {
    aEntry.mAsker = std::make_unique<PermitRequester>();
    aEntry.mIssuer = std::make_unique<PermitIssuer>();
    aEntry.mProcess++;
    aEntry.mWaits = false;
  }

  void TellMembers(size_t aEntry)
  {
    std::vector<std::string> others;
    for (const Entry& each : mEntries) {
      if (&each != &mEntries[aEntry]) {
        others.push_back(each.mAddress);
      }
    }
    mEntries[aEntry].mAsker->SetEntries(mEntries[aEntry].mAddress, others);
  }

  bool Runs(const Entry& aEntry) const { return mNow >= aEntry.mDownUntil; }

  void Arrive(size_t aEntry, size_t aCallers)
  {
    Entry& entry = mEntries[aEntry];
    if (Runs(entry) && entry.mWaits) {
      entry.mAsker->NoteMissed("u");
    } else if (Runs(entry)) {
      Try(aEntry);
    }
    // Three times the limit in all.
    const double pause =
      1000.0 * static_cast<double>(aCallers) / (3 * mSetting.mPerSecond);
    const auto most = static_cast<uint32_t>(std::max(2.0, 2 * pause));
    After(1 + Draw(most),
          [this, aEntry, aCallers] { Arrive(aEntry, aCallers); });
  }

  void Try(size_t aEntry)
  {
    Entry& entry = mEntries[aEntry];
    const auto urgency = static_cast<uint8_t>(Draw(3));
    PermitState state = entry.mAsker->StateOf("u", urgency, mNow);
    if (state == PermitState::NotRequested) {
      Send(aEntry,
           entry.mAsker->MakeRequest(
             { .mUpstream = "u", .mPerSecond = mSetting.mPerSecond },
             urgency,
             mNow));
      state = entry.mAsker->StateOf("u", urgency, mNow);
    }
    if (state == PermitState::Granted) {
      entry.mAsker->Use("u");
      OnArrival();
    } else if (state == PermitState::Requested) {
      entry.mWaits = true;
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
      const PermitState state = entry.mAsker->StateOf("u", aUrgency, mNow);
      if (state == PermitState::Requested) {
        Await(aEntry, aUrgency);
        return;
      }
      entry.mWaits = false;
      if (state == PermitState::Granted) {
        entry.mAsker->Use("u");
        OnArrival();
      }
    });
  }

  bool Meet(const Entry& aLeft, const Entry& aRight) const
  {
    return &aLeft == &aRight ||
           (mNow >= aLeft.mCutUntil && mNow >= aRight.mCutUntil);
  }

  int64_t Way() { return Chance(mLoss) ? Draw(3000) : 1 + Draw(3); }

  void Send(size_t aFrom, const AddressedPermitRequest& aAsk)
  {
    const auto place =
      std::find_if(mEntries.begin(), mEntries.end(), [&](const Entry& aEntry) {
        return aEntry.mAddress == aAsk.mTo;
      });
    Entry& to = *place;
    if (&to == &mEntries[aFrom]) {
      Answer(aFrom, to, aAsk.mRequest, true);
      return;
    }
    if (Chance(mLoss)) {
      return;
    }
    After(Way(), [this, aFrom, &to, ask = aAsk.mRequest] {
      Answer(aFrom, to, ask, false);
    });
  }

  void Answer(size_t aFrom, Entry& aTo, const PermitRequest& aAsk, bool aSelf)
  {
    Entry& from = mEntries[aFrom];
    if (!Runs(aTo) || !Meet(from, aTo)) {
      return;
    }
    const auto reply =
      aTo.mIssuer->OnRequest(from.mAddress, aAsk, mSetting.mPerSecond, mNow);
    if (!reply) {
      return;
    }
    if (aSelf) {
      from.mAsker->OnReply(*reply, mNow);
      return;
    }
    if (Chance(mLoss)) {
      return;
    }
    After(Way(), [this, &from, &aTo, reply = *reply] {
      if (Runs(from) && Meet(from, aTo)) {
        from.mAsker->OnReply(reply, mNow);
      }
    });
  }

  void OnArrival()
  {
    mArrivals.push_back(mNow);
    while (mArrivals.front() <= mNow - kWindow) {
      mArrivals.pop_front();
    }
    if (mNow < kSettle) {
      return;
    }
    mSettled++;
    constexpr double kOver = 1.5 * 4;
    const double allowed = kOver * mSetting.mPerSecond + 5;
    RC_ASSERT(static_cast<double>(mArrivals.size()) <= allowed);
  }

  void Disturb()
  {
    const size_t place = Draw(mEntries.size());
    Entry& entry = mEntries[place];
    const Millis until = mNow + Millis(200 + Draw(8000));
    const uint32_t kind = Draw(3);
    if (kind == 0) {
      entry.mCutUntil = until;
    } else if (kind == 1) {
      entry.mDownUntil = until; // stands still
    } else {
      Start(entry);
      TellMembers(place);
      entry.mDownUntil = mNow + Millis(Draw(2000));
      entry.mIssuer->Join(entry.mDownUntil);
    }
    After(500 + Draw(4000), [this] { Disturb(); });
  }

  Setting mSetting;
  uint32_t mLoss;
  std::deque<Entry> mEntries;
  std::deque<Millis> mArrivals;
  uint64_t mSettled = 0;
};

Setting
DrawSetting(uint32_t aSeed, bool aTroubled)
{
  constexpr size_t kSizes[] = { 2, 3, 4, 8, 40, 103, 340 };
  constexpr double kLimits[] = { 0.3, 0.7, 1.6, 3, 8, 25, 70, 200 };
  return { .mEntries = kSizes[aSeed % std::size(kSizes)],
           .mPerSecond = kLimits[(aSeed / 7) % std::size(kLimits)],
           .mAtOne = (aSeed / 56) % 2 == 1,
           .mTroubled = aTroubled };
}

} // namespace

Test(permit, the_sum_over_all_entries_holds_and_is_used, .timeout = 120)
{
  cr_assert(rc::check("calm", [](uint32_t aSeed) {
    PermitModel(aSeed, DrawSetting(aSeed, false)).Play();
  }));
}

Test(permit, the_sum_holds_in_trouble, .timeout = 120)
{
  cr_assert(rc::check("troubled", [](uint32_t aSeed) {
    PermitModel(aSeed, DrawSetting(aSeed, true)).Play();
  }));
}

namespace {

PermitRequest
AskWith(uint8_t aUrgency, uint32_t aRank = 0)
{
  return { .mNumber = 1,
           .mLimit = { .mUpstream = "u" },
           .mUrgency = aUrgency,
           .mRank = aRank };
}

bool
Grants(PermitIssuer& aIssuer, const PermitRequest& aAsk, Millis aNow)
{
  return aIssuer.OnRequest("e", aAsk, 1, aNow)->mGranted > 0;
}

} // namespace

Test(permit, the_more_urgent_go_first)
{
  PermitIssuer issuer;
  cr_expect(!Grants(issuer, AskWith(0), Millis(0)));
  cr_expect(!Grants(issuer, AskWith(2), Millis(900)), "none there yet");
  cr_expect(Grants(issuer, AskWith(0), Millis(1000)));
  cr_expect(!Grants(issuer, AskWith(0), Millis(1900)));
  const auto reply = issuer.OnRequest("e", AskWith(2), 1, Millis(2100));
  cr_expect(reply->mGranted == 0, "kept for the more urgent");
  cr_expect(reply->mFromUrgency == 2, "who may ask on");
  cr_expect(Grants(issuer, AskWith(0), Millis(2110)));
  cr_expect(Grants(issuer, AskWith(2), Millis(3200)), "nobody else wants it");
}

Test(permit, one_that_is_told_when_to_ask_finds_a_permit_then)
{
  PermitIssuer issuer;
  const auto reply = issuer.OnRequest("e", AskWith(0), 1, Millis(0));
  cr_expect(reply->mGranted == 0 && reply->mWait > Millis(900));
  cr_expect(Grants(issuer, AskWith(0), reply->mWait));
}

Test(permit, who_is_asked_in_anothers_place_issues_a_part)
{
  PermitIssuer issuer;
  size_t granted = 0;
  for (int64_t now = 0; now < 40000; now += 50) {
    granted += Grants(issuer, AskWith(0, 1), Millis(now)) ? 1 : 0;
  }
  cr_expect(granted >= 9 && granted <= 10, "a quarter of 40");
}

Test(permit, one_that_has_just_joined_gives_no_answer)
{
  PermitIssuer issuer;
  issuer.Join(Millis(100));
  cr_expect(!issuer.OnRequest("e", AskWith(0), 1, Millis(4000)));
  cr_expect(issuer.OnRequest("e", AskWith(0), 1, Millis(4100)).has_value());
}

Test(permit, an_issuer_that_gives_no_answer_is_passed_over)
{
  PermitRequester asker;
  asker.SetEntries("a", { "b", "c" });
  const LimitReport limit{ .mUpstream = "u", .mPerSecond = 1 };
  const AddressedPermitRequest first = asker.MakeRequest(limit, 0, Millis(0));
  cr_expect(first.mRequest.mRank == 0);
  cr_expect(asker.StateOf("u", 0, Millis(39)) == PermitState::Requested);
  cr_expect(asker.StateOf("u", 0, Millis(40)) == PermitState::Denied);
  cr_expect(asker.StateOf("u", 0, Millis(140)) == PermitState::NotRequested);
  cr_expect(asker.MakeRequest(limit, 0, Millis(140)).mTo == first.mTo,
            "once is chance");
  cr_expect(asker.StateOf("u", 0, Millis(180)) == PermitState::Denied);
  const AddressedPermitRequest next = asker.MakeRequest(limit, 0, Millis(300));
  cr_expect(next.mTo != first.mTo && next.mRequest.mRank == 1);
  cr_expect(asker.MakeRequest(limit, 0, Millis(2300)).mTo == first.mTo,
            "tried again");
}

Test(permit, an_answer_that_comes_late_grants_nothing)
{
  PermitRequester asker;
  asker.SetEntries("a", { "b" });
  const AddressedPermitRequest ask =
    asker.MakeRequest({ .mUpstream = "u" }, 0, Millis(0));
  asker.OnReply({ .mNumber = ask.mRequest.mNumber, .mGranted = 1 }, Millis(50));
  cr_expect(asker.StateOf("u", 0, Millis(50)) != PermitState::Granted);
}

Test(permit, requests_that_went_elsewhere_meanwhile_are_asked_for_next)
{
  PermitRequester asker;
  const LimitReport limit{ .mUpstream = "u", .mPerSecond = 100 };
  cr_expect(asker.MakeRequest(limit, 0, Millis(0)).mRequest.mCount == 1);
  asker.NoteMissed("u");
  asker.NoteMissed("u");
  const AddressedPermitRequest next = asker.MakeRequest(limit, 0, Millis(1));
  cr_expect(next.mRequest.mCount == 3);
  asker.OnReply({ .mNumber = next.mRequest.mNumber, .mGranted = 2 }, Millis(2));
  asker.Use("u");
  cr_expect(asker.StateOf("u", 0, Millis(3)) == PermitState::Granted);
  asker.Use("u");
  cr_expect(asker.StateOf("u", 0, Millis(3)) == PermitState::NotRequested);
  cr_expect(asker.Used("u") == 2);
}

Test(permit, a_denial_holds_for_those_that_it_names)
{
  PermitRequester asker;
  const AddressedPermitRequest ask =
    asker.MakeRequest({ .mUpstream = "u" }, 2, Millis(0));
  asker.OnReply({ .mNumber = ask.mRequest.mNumber,
                  .mWait = Millis(500),
                  .mFromUrgency = 2 },
                Millis(1));
  cr_expect(asker.StateOf("u", 2, Millis(100)) == PermitState::Denied);
  cr_expect(asker.StateOf("u", 0, Millis(100)) == PermitState::NotRequested);
  cr_expect(asker.WaitFor("u", 2, Millis(101)) == Millis(400));
  cr_expect(asker.StateOf("u", 2, Millis(501)) == PermitState::NotRequested);
}
