#include "virtualfleet.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <iostream>

using namespace trefoilarch;

namespace {

constexpr Millis kFaultsEnd{ 16000 };
constexpr Millis kMaxDeadline{ 20000 };
/**
 * Too short for some responses, and more than sidecars ever refuse in advance.
 */
constexpr Millis kShortDeadline{ 500 };
constexpr Millis kAmpleDeadline{ 10000 };
/** By now every silent channel has been found and replaced. */
constexpr Millis kRecoveredAt{ 40000 };
/** Longer than all deadlines and timeouts together. */
constexpr Millis kRunEnd{ 60000 };

/** Requests and faults drawn from one seed. */
class FaultScenario
{
public:
  FaultScenario(uint64_t aSeed, size_t aFaults, VirtualEngines aEngines)
    : mRandom(aSeed)
    , mFleet(aSeed, kSidecars, aEngines, AnyUpstream())
    , mMinDeadline(aFaults == 0 ? kAmpleDeadline : kShortDeadline)
  {
    for (size_t i = 0; i < kRequests; i++) {
      mFleet.At(Draw(kFaultsEnd), [this] { SendRequest(); });
    }
    for (size_t i = 0; i < aFaults; i++) {
      mFleet.At(Draw(kFaultsEnd), [this] { Fault(); });
    }
    mFleet.At(kRecoveredAt, [this] { SendAfterFaults(); });
  }

  VirtualFleet& Run()
  {
    mFleet.Run(kRunEnd);
    return mFleet;
  }

  /** Requests sent after all faults were over. */
  const std::vector<RequestId>& RequestsAfterFaults() const
  {
    return mRequestsAfterFaults;
  }

private:
  static constexpr size_t kSidecars = 3;
  static constexpr size_t kRequests = 40;

  Millis Draw(Millis aMax)
  {
    return Millis(
      std::uniform_int_distribution<int64_t>(0, aMax.Count())(mRandom));
  }

  void SendRequest()
  {
    const RequestId id =
      mFleet.SendRequest(mRandom() % 2 == 0, mMinDeadline + Draw(kMaxDeadline));
    if (mRandom() % 8 == 0) {
      mFleet.At(mFleet.Now() + Draw(Millis(800)),
                [this, id] { mFleet.Leave(id); });
    }
  }

  void SendAfterFaults()
  {
    mFleet.SetEngines({});
    for (size_t i = 0; i < kRequests; i++) {
      mRequestsAfterFaults.push_back(
        mFleet.SendRequest(i % 2 == 0, kAmpleDeadline * 2));
    }
  }

  void Fault()
  {
    const UpstreamId name = "engine-" + std::to_string(mRandom() % kSidecars);
    const Millis until = mFleet.Now() + Draw(Millis(8000));
    switch (mRandom() % 7) {
      case 0:
        return mFleet.Silence(name, true, false);
      case 1:
        return mFleet.Silence(name, false, true);
      case 2:
        return mFleet.Silence(name, true, true);
      case 3:
        return mFleet.Restart(name);
      case 4:
        return mFleet.Isolate(name, until);
      case 5:
        return mFleet.Freeze(name, until);
      default:
        return mFleet.Cut(name);
    }
  }

  std::mt19937_64 mRandom;
  VirtualFleet mFleet;
  Millis mMinDeadline;
  std::vector<RequestId> mRequestsAfterFaults;
};

void
CheckCaller(RequestId aId, const VirtualCaller& aCaller)
{
  const std::string truth = VirtualFleet::TrueAnswer(aId);
  RC_LOG() << aId.Text() << " got " << aCaller.mData << "\n";
  RC_ASSERT(aCaller.Ended() != aCaller.mDisconnected);
  RC_ASSERT(truth.starts_with(aCaller.mData));
  if (aCaller.mComplete) {
    RC_ASSERT(aCaller.mData == truth);
  }
  if (!aCaller.mIdempotent) {
    RC_ASSERT(aCaller.mRuns <= 1);
  }
  if (aCaller.mRefusal) {
    RC_ASSERT(aCaller.mRefusal->mKind != ErrorKind::CallerLeft);
  }
  if (!aCaller.mDisconnected) {
    RC_ASSERT(aCaller.mEndedAt <= aCaller.mDeadline);
  }
  if (aCaller.mRefusal && aCaller.mRefusal->mRan == Ran::No) {
    RC_ASSERT(aCaller.mRuns == 0);
    RC_ASSERT(!aCaller.mHead);
  }
  if (aCaller.mRefusal && AnswerFor(aCaller.mRefusal->mKind).mRetryable) {
    RC_ASSERT(aCaller.mRefusal->mRetryAfter > Millis());
  }
}

/** The error expected for a request whose sidecar was restarted. */
ErrorKind
ExpectedKindAfterRestart(const VirtualCaller& aCaller)
{
  if (aCaller.mHead) {
    return ErrorKind::AnswerCut;
  }
  return aCaller.mIdempotent ? ErrorKind::UpstreamFailed
                             : ErrorKind::OutcomeUnknown;
}

} // namespace

Test(entryfaults, responses_are_complete_unique_and_correct_under_faults)
{
  std::map<std::string, int> endings;
  const bool holds =
    rc::check("responses are complete, unique and correct under faults",
              [&](uint64_t aSeed) {
                const size_t faults = aSeed % 25;
                FaultScenario scenario(
                  aSeed, faults, { .mCrash = 0.02, .mRefuse = 0.05 });
                VirtualFleet& fleet = scenario.Run();
                RC_ASSERT(fleet.Entry().OpenRequests() == 0U);
                RC_ASSERT(fleet.DrainedAtOnce());
                for (const RequestId& id : scenario.RequestsAfterFaults()) {
                  RC_ASSERT(fleet.Callers().at(id).mComplete);
                }
                for (const auto& [id, caller] : fleet.Callers()) {
                  CheckCaller(id, caller);
                  endings[caller.mComplete ? "whole"
                          : caller.mDisconnected
                            ? "left"
                            : std::string(Name(caller.mRefusal->mKind)) + " " +
                                std::string(Name(caller.mRefusal->mRan))]++;
                }
              });
  for (const auto& [ending, count] : endings) {
    std::cout << ending << ": " << count << "\n";
  }
  cr_assert(holds);
}

Test(entryfaults, without_faults_every_response_completes_on_the_first_attempt)
{
  const bool holds =
    rc::check("without faults every response completes on the first attempt",
              [](uint64_t aSeed) {
                FaultScenario scenario(aSeed, 0, {});
                VirtualFleet& fleet = scenario.Run();
                RC_ASSERT(fleet.Reopened().empty());
                for (const auto& [id, caller] : fleet.Callers()) {
                  RC_ASSERT(caller.mComplete || caller.mDisconnected);
                  RC_ASSERT(caller.mRuns <= 1);
                }
              });
  cr_assert(holds);
}

Test(entryfaults, silent_channels_alone_lose_no_response)
{
  const bool holds =
    rc::check("silent channels alone lose no response", [](uint64_t aSeed) {
      std::mt19937_64 random(aSeed);
      VirtualFleet fleet(aSeed, 2, {}, AnyUpstream());
      for (int i = 0; i < 20; i++) {
        std::uniform_int_distribution<int64_t> time(1, 10000);
        const Millis cutAt(time(random));
        fleet.At(cutAt,
                 [&] { fleet.SendRequest(random() % 2 == 0, Millis(20000)); });
        fleet.At(cutAt + Millis(time(random) / 25), [&] {
          fleet.Silence(random() % 2 == 0 ? "engine-0" : "engine-1",
                        random() % 3 != 0,
                        random() % 3 != 0);
        });
      }
      fleet.Run(kRunEnd);
      for (const auto& [id, caller] : fleet.Callers()) {
        CheckCaller(id, caller);
        RC_ASSERT(caller.mComplete);
      }
    });
  cr_assert(holds);
}

Test(entryfaults, requests_lost_in_a_restart_are_reported_or_rerun_at_once)
{
  VirtualFleet fleet(3, 1, { .mMaxPause = Millis(1000) }, AnyUpstream());
  fleet.Run(Millis(2000));
  for (int i = 0; i < 40; i++) {
    fleet.SendRequest(i % 2 == 0, Millis(60000));
  }
  fleet.Run(Millis(2500));
  fleet.Restart("engine-0");
  fleet.Run(Millis(4000));
  int refused = 0;
  for (const auto& [id, caller] : fleet.Callers()) {
    if (caller.mRefusal) {
      refused++;
      cr_assert(caller.mRefusal->mRan == Ran::Maybe);
      cr_assert(caller.mRefusal->mKind == ExpectedKindAfterRestart(caller));
    } else if (!caller.mIdempotent) {
      cr_assert(caller.mComplete);
    }
  }
  cr_assert_gt(refused, 20);
  fleet.Run(kRunEnd);
  for (const auto& [id, caller] : fleet.Callers()) {
    cr_assert(caller.mComplete || (caller.mRefusal && caller.mRuns == 1));
  }
}

Test(entryfaults, a_busy_upstream_is_not_mistaken_for_a_silent_channel)
{
  VirtualFleet fleet(1, 1, { .mMaxPause = Millis(6000) }, AnyUpstream());
  for (int i = 1; i <= 20; i++) {
    fleet.At(Millis(20000) * i,
             [&fleet] { fleet.SendRequest(true, Millis(120000)); });
  }
  fleet.Run(Millis(600000));
  cr_assert(fleet.Reopened().empty());
  for (const auto& [id, caller] : fleet.Callers()) {
    cr_assert(caller.mComplete);
  }
}

Test(entryfaults, silence_in_either_direction_is_found_within_two_seconds)
{
  for (const bool up : { true, false }) {
    for (int64_t pause = 0; pause < 1000; pause += 50) {
      VirtualFleet fleet(1, 1, {}, AnyUpstream());
      fleet.Run(Millis(7000) + Millis(pause));
      fleet.Silence("engine-0", up, !up);
      const RequestId id = fleet.SendRequest(true, Millis(20000));
      const Millis sentAt = fleet.Now();
      fleet.Run(sentAt + Millis(10000));
      cr_assert_eq(fleet.Reopened().size(), 1);
      cr_assert(fleet.Reopened().at("engine-0") - sentAt <= Millis(2000));
      cr_assert(fleet.Callers().at(id).mComplete);
    }
  }
}
