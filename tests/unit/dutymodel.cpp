#include "dutymodel.h"

#include "dutymodelworld.h"

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace dutymodel {

using namespace trefoilarch;

namespace {

/** Reports up to this period are proposed, without and with restores. */
constexpr uint64_t kLastPeriod = 3;
constexpr uint64_t kLastEndedPeriod = 12;

/** In a model with restores. */
constexpr Millis kPeriodLength{ 2000 };

/** The last period that has ended; the first has at the start. */
uint64_t
LastEnded(Millis aNow)
{
  return static_cast<uint64_t>(aNow.Count() / kPeriodLength.Count()) + 1;
}

/** Explores depth first; a state that is reached again by no shorter path is
 * not explored again. */
class Explorer
{
public:
  explicit Explorer(const ModelOptions& aOptions)
    : mOptions(aOptions)
  {
  }

  Exploration Run()
  {
    Visit(FirstWorld(), 0);
    return mResult;
  }

  Exploration RunWalks(uint32_t aSeed, int aHistories)
  {
    mRandom.seed(aSeed);
    mIsWalking = true;
    for (int each = 0; each < aHistories && mResult.mViolation.empty();
         ++each) {
      WalkOnce();
    }
    return mResult;
  }

private:
  using Step = std::function<void(World&)>;

  void WalkOnce()
  {
    World world = FirstWorld();
    mPath.clear();
    mWeights.clear();
    for (int step = 0; step < mOptions.mDepth; ++step) {
      mEnabled.clear();
      VisitSteps(world, 0);
      if (mEnabled.empty()) {
        break;
      }
      const auto& [name, apply] = DrawStep();
      mPath.push_back(name);
      apply(world);
      mResult.mStates++;
      if (!world.mReceiver.Violation().empty()) {
        Report(world);
        return;
      }
    }
    mResult.mAccepted += world.mReceiver.Periods();
    mResult.mTakeovers += world.mTakeovers;
  }

  /** Some hosts, and the passing of time, are much slower than others, so that
   * what one of them has begun meets what others do later. */
  const std::pair<std::string, Step>& DrawStep()
  {
    std::vector<uint32_t> weights;
    for (const auto& [name, step] : mEnabled) {
      const auto drawn =
        mWeights.emplace(name.front(), 1U << (2 * (mRandom() % 4)));
      weights.push_back(drawn.first->second);
    }
    return mEnabled[std::discrete_distribution<size_t>(weights.begin(),
                                                       weights.end())(mRandom)];
  }

  World FirstWorld()
  {
    World world;
    const DutyRecord first{ .mEra = ToldEra(world) };
    world.mStore.mRows["duty"] = { .mKey = "duty",
                                   .mText = DutyRecordToText(first),
                                   .mVersion = 1 };
    for (size_t host = 0; host < kHosts; ++host) {
      if (host < mOptions.mCompetitors) {
        Start(world, host);
      }
    }
    return world;
  }

  void Start(World& aWorld, size_t aHost)
  {
    Host& host = aWorld.mHosts[aHost];
    host = Host{ .mProcess = host.mProcess + 1 };
    host.mDuty.emplace(DutyOptions{
      .mHost = NameOf(aHost),
      .mHolder = NameOf(aHost) + std::to_string(host.mProcess),
      .mLeaseDuration = kLease,
      .mMargin = Millis(300),
      .mRenewInterval = kSecond,
      .mRetryInterval = Millis(300),
      .mCallTimeout = Millis(700),
      .mReturnDelay = mOptions.mWaitsToReturn ? kLease : Millis(0),
      .mLastBefore =
        [this](const DutyRecord&, const StoreClockReading&, Millis aAt) {
          return mOptions.mSkipsUnknown
                   ? PeriodsBySubject{ { "", LastEnded(aAt) } }
                   : PeriodsBySubject{};
        } });
    Perform(aWorld, aHost, host.mDuty->SetWanted(true, aWorld.mNow));
  }

  void Perform(World& aWorld, size_t aHost, const DutyActions& aActions)
  {
    Host& host = aWorld.mHosts[aHost];
    for (const DutyAction& action : aActions) {
      if (std::holds_alternative<ReadDutyRows>(action)) {
        host.mStoreCall = ReadDutyRows{};
      } else if (const auto* write = std::get_if<WriteDutyRows>(&action)) {
        host.mStoreCall = *write;
      } else if (const auto* call = std::get_if<CallReceiver>(&action)) {
        host.mCall = Call{ .mCall = *call, .mSentAt = {} };
      } else if (std::get<DutyEvent>(action).mKind == DutyEventKind::Gained) {
        aWorld.mTakeovers++;
      }
    }
  }

  void Visit(const World& aWorld, int aDepth)
  {
    if (!mResult.mViolation.empty()) {
      return;
    }
    if (!aWorld.mReceiver.Violation().empty()) {
      Report(aWorld);
      return;
    }
    const auto [seen, isNew] = mSeen.emplace(HashOf(aWorld), aDepth);
    if (!isNew && seen->second <= aDepth) {
      return;
    }
    seen->second = aDepth;
    mResult.mStates += isNew ? 1 : 0;
    mResult.mAccepted =
      std::max<uint64_t>(mResult.mAccepted, aWorld.mReceiver.Periods());
    mResult.mTakeovers = std::max(mResult.mTakeovers, aWorld.mTakeovers);
    if (aDepth < mOptions.mDepth) {
      VisitSteps(aWorld, aDepth);
    }
  }

  void VisitSteps(const World& aWorld, int aDepth)
  {
    for (size_t host = 0; host < kHosts; ++host) {
      VisitHost(aWorld, host, aDepth);
    }
    for (size_t late = 0; late < aWorld.mLateWrites.size(); ++late) {
      Take(aWorld, aDepth, "late write", [this, late](World& aNext) {
        const LateWrite write = aNext.mLateWrites[late];
        aNext.mLateWrites.erase(aNext.mLateWrites.begin() +
                                static_cast<std::ptrdiff_t>(late));
        Apply(aNext, write);
      });
    }
    if (aWorld.mRestores < mOptions.mRestores) {
      Take(aWorld, aDepth, "copy", [](World& aNext) {
        aNext.mCopy = aNext.mStore;
      });
    }
    if (aWorld.mRestores < mOptions.mRestores && aWorld.mCopy) {
      Take(aWorld, aDepth, "restore", [](World& aNext) {
        const uint64_t era = aNext.mStore.mEra + 1;
        aNext.mStore = *aNext.mCopy;
        aNext.mStore.mEra = era;
        aNext.mRestores++;
      });
    }
    if (aWorld.mNow < kSecond * mOptions.mSeconds) {
      Take(aWorld, aDepth, "second", [this](World& aNext) { Pass(aNext); });
    }
  }

  void VisitHost(const World& aWorld, size_t aHost, int aDepth)
  {
    const Host& host = aWorld.mHosts[aHost];
    const std::string name = NameOf(aHost) + " ";
    if (host.mFrozen) {
      Take(aWorld, aDepth, name + "thaws", [this, aHost](World& aNext) {
        aNext.mHosts[aHost].mFrozen = false;
        Tick(aNext, aHost);
      });
      return;
    }
    if (!host.mDuty) {
      return;
    }
    VisitStoreCall(aWorld, aHost, aDepth);
    VisitCall(aWorld, aHost, aDepth);
    if (aWorld.mCrashes < mOptions.mCrashes) {
      Take(aWorld, aDepth, name + "crashes", [this, aHost](World& aNext) {
        aNext.mCrashes++;
        Detach(aNext, aHost);
        Start(aNext, aHost);
      });
    }
    if (aWorld.mStops < mOptions.mStops && host.mDuty->Wanted()) {
      Take(aWorld, aDepth, name + "stops", [this, aHost](World& aNext) {
        aNext.mStops++;
        Perform(aNext,
                aHost,
                aNext.mHosts[aHost].mDuty->SetWanted(false, aNext.mNow));
      });
    }
    if (aWorld.mFreezes < mOptions.mFreezes) {
      Take(aWorld, aDepth, name + "freezes", [aHost](World& aNext) {
        aNext.mFreezes++;
        aNext.mHosts[aHost].mFrozen = true;
      });
    }
  }

  void VisitStoreCall(const World& aWorld, size_t aHost, int aDepth)
  {
    const auto& call = aWorld.mHosts[aHost].mStoreCall;
    if (!call) {
      return;
    }
    const std::string name = NameOf(aHost) + " ";
    const bool isWrite = std::holds_alternative<WriteDutyRows>(*call);
    Take(aWorld,
         aDepth,
         name + (isWrite ? "writes" : "reads"),
         [this, aHost](World& aNext) { AnswerStoreCall(aNext, aHost); });
    if (isWrite && aWorld.mLostReplies < mOptions.mLostReplies) {
      Take(aWorld, aDepth, name + "reply lost", [this, aHost](World& aNext) {
        aNext.mLostReplies++;
        Apply(aNext, std::get<WriteDutyRows>(TakeStoreCall(aNext, aHost)));
        Unanswered(aNext, aHost);
      });
    }
    if (isWrite && aWorld.mLateCount < mOptions.mLateWrites) {
      Take(aWorld, aDepth, name + "write late", [this, aHost](World& aNext) {
        aNext.mLateCount++;
        aNext.mLateWrites.push_back(
          std::get<WriteDutyRows>(TakeStoreCall(aNext, aHost)));
        Unanswered(aNext, aHost);
      });
    }
  }

  void VisitCall(const World& aWorld, size_t aHost, int aDepth)
  {
    const auto& call = aWorld.mHosts[aHost].mCall;
    if (!call) {
      return;
    }
    const std::string name = NameOf(aHost) + " ";
    if (!call->mSentAt) {
      Take(aWorld, aDepth, name + "sends", [this, aHost](World& aNext) {
        Send(aNext, aHost);
      });
      return;
    }
    if (!call->mArrived) {
      Take(aWorld, aDepth, name + "call arrives", [aHost](World& aNext) {
        Arrive(aNext, aHost);
      });
    } else {
      Take(aWorld, aDepth, name + "accepted", [this, aHost](World& aNext) {
        EndCall(aNext, aHost, DutyCallOutcome::Accepted);
      });
    }
    if (aWorld.mLostCalls < mOptions.mLostCalls) {
      Take(aWorld, aDepth, name + "call lost", [this, aHost](World& aNext) {
        aNext.mLostCalls++;
        EndCall(aNext, aHost, DutyCallOutcome::Failed);
      });
    }
  }

  void Take(const World& aWorld,
            int aDepth,
            const std::string& aName,
            const Step& aStep)
  {
    if (mIsWalking) {
      mEnabled.emplace_back(aName, aStep);
      return;
    }
    World next = aWorld;
    aStep(next);
    mPath.push_back(aName);
    Visit(next, aDepth + 1);
    mPath.pop_back();
  }

  /** What a crashed process has sent may still arrive. */
  static void Detach(World& aWorld, size_t aHost)
  {
    Host& host = aWorld.mHosts[aHost];
    if (host.mStoreCall &&
        std::holds_alternative<WriteDutyRows>(*host.mStoreCall)) {
      aWorld.mLateWrites.push_back(std::get<WriteDutyRows>(*host.mStoreCall));
    }
  }

  static std::variant<ReadDutyRows, WriteDutyRows> TakeStoreCall(World& aWorld,
                                                                 size_t aHost)
  {
    auto& call = aWorld.mHosts[aHost].mStoreCall;
    auto taken = *call;
    call.reset();
    return taken;
  }

  static uint64_t VersionOf(const Store& aStore, const std::string& aKey)
  {
    const auto row = aStore.mRows.find(aKey);
    return row == aStore.mRows.end() ? 0 : row->second.mVersion;
  }

  uint64_t ToldEra(const World& aWorld) const
  {
    const bool told = mOptions.mTellsEra && mOptions.mRestores > 0;
    return told ? aWorld.mStore.mEra : 0;
  }

  bool Apply(World& aWorld, const WriteDutyRows& aWrite) const
  {
    Store& store = aWorld.mStore;
    if (VersionOf(store, "duty") != aWrite.mRecordVersion) {
      return false;
    }
    for (const ExpectedRow& each : aWrite.mExpected) {
      if (VersionOf(store, each.mKey) != each.mVersion) {
        return false;
      }
    }
    store.mVersion++;
    for (DutyRow row : aWrite.mRows) {
      if (!mOptions.mKeepsReports && row.mKey != "duty") {
        continue;
      }
      if (!mOptions.mKeepsReports) {
        DutyRecord record = *DutyRecordFromText(row.mText);
        record.mFixed.clear();
        row.mText = DutyRecordToText(record);
      }
      row.mVersion = store.mVersion;
      store.mRows[row.mKey] = row;
    }
    for (const std::string& key : aWrite.mRemoved) {
      store.mRows.erase(key);
    }
    return true;
  }

  void AnswerStoreCall(World& aWorld, size_t aHost)
  {
    const auto call = TakeStoreCall(aWorld, aHost);
    const StoreClockReading clock{ .mSentAt = aWorld.mNow,
                                   .mReceivedAt = aWorld.mNow,
                                   .mStoreTime = aWorld.mNow };
    SingletonDuty& duty = *aWorld.mHosts[aHost].mDuty;
    if (const auto* write = std::get_if<WriteDutyRows>(&call)) {
      const bool done = Apply(aWorld, *write);
      Perform(aWorld,
              aHost,
              duty.OnWritten({ .mOutcome = done ? DutyWriteOutcome::Done
                                                : DutyWriteOutcome::Refused,
                               .mVersion = aWorld.mStore.mVersion,
                               .mEra = ToldEra(aWorld) },
                             aWorld.mNow));
      Propose(aWorld, aHost);
      return;
    }
    DutyRowsRead read{ .mReached = true,
                       .mClock = clock,
                       .mVersion = aWorld.mStore.mVersion,
                       .mEra = ToldEra(aWorld) };
    for (const auto& [key, row] : aWorld.mStore.mRows) {
      read.mRows.push_back(row);
    }
    Perform(aWorld, aHost, duty.OnRead(read, aWorld.mNow));
  }

  void Unanswered(World& aWorld, size_t aHost)
  {
    Perform(aWorld,
            aHost,
            aWorld.mHosts[aHost].mDuty->OnWritten(
              { .mOutcome = DutyWriteOutcome::Unknown }, aWorld.mNow));
  }

  void Send(World& aWorld, size_t aHost)
  {
    Host& host = aWorld.mHosts[aHost];
    const bool may = host.mDuty->MayCall(host.mCall->mCall, aWorld.mNow);
    if (mOptions.mChecksLease && !may) {
      EndCall(aWorld, aHost, DutyCallOutcome::Failed);
      return;
    }
    host.mCall->mSentAt = aWorld.mNow;
  }

  static void Arrive(World& aWorld, size_t aHost)
  {
    Call& call = *aWorld.mHosts[aHost].mCall;
    call.mArrived = true;
    aWorld.mReceiver.OnCall(
      NameOf(aHost), call.mCall.mFencingToken, call.mCall.mReport, aWorld.mNow);
  }

  void EndCall(World& aWorld, size_t aHost, DutyCallOutcome aOutcome)
  {
    Host& host = aWorld.mHosts[aHost];
    host.mCall.reset();
    Perform(aWorld, aHost, host.mDuty->OnCallEnded(aOutcome, "", aWorld.mNow));
  }

  /** A second passes; calls that were sent before it have ended. */
  void Pass(World& aWorld)
  {
    aWorld.mNow += kSecond;
    for (size_t each = 0; each < kHosts; ++each) {
      Host& host = aWorld.mHosts[each];
      if (host.mDuty && !host.mFrozen) {
        Tick(aWorld, each);
      } else if (host.mCall && host.mCall->mSentAt) {
        // What a frozen host has sent is lost; it is told after its thaw.
        host.mCall->mArrived = true;
      }
    }
  }

  void Tick(World& aWorld, size_t aHost)
  {
    Host& host = aWorld.mHosts[aHost];
    if (host.mCall && host.mCall->mSentAt &&
        aWorld.mNow - *host.mCall->mSentAt >= host.mCall->mCall.mTimeout) {
      EndCall(aWorld, aHost, DutyCallOutcome::Failed);
    }
    Perform(aWorld, aHost, host.mDuty->OnTick(aWorld.mNow));
    Propose(aWorld, aHost);
  }

  /** Each process and each second has a report of its own. */
  void Propose(World& aWorld, size_t aHost)
  {
    Host& host = aWorld.mHosts[aHost];
    const uint64_t period = host.mDuty->LastFixed("") + 1;
    const uint64_t last = mOptions.mRestores > 0
                            ? std::min(LastEnded(aWorld.mNow), kLastEndedPeriod)
                            : kLastPeriod;
    if (period > last || !host.mDuty->MayPropose("", period, aWorld.mNow)) {
      return;
    }
    const std::string body = NameOf(aHost) + std::to_string(host.mProcess) +
                             "@" + std::to_string(aWorld.mNow.Count());
    Perform(aWorld,
            aHost,
            host.mDuty->Propose({ .mSubject = "",
                                  .mPeriod = period,
                                  .mBody = body,
                                  .mExpiresAt = Millis(60000) },
                                aWorld.mNow));
  }

  void Report(const World& aWorld)
  {
    mResult.mViolation = aWorld.mReceiver.Violation() + ":";
    for (const std::string& step : mPath) {
      mResult.mViolation += " " + step + ",";
    }
  }

  ModelOptions mOptions;
  Exploration mResult;
  std::unordered_map<uint64_t, int> mSeen;
  std::vector<std::string> mPath;
  /** In a walk: the steps that may be taken next. */
  bool mIsWalking = false;
  std::vector<std::pair<std::string, Step>> mEnabled;
  std::mt19937 mRandom;
  /** Of steps, by the first letter of their names, a host's in most. */
  std::map<char, uint32_t> mWeights;
};

} // namespace

Exploration
Explore(const ModelOptions& aOptions)
{
  return Explorer(aOptions).Run();
}

Exploration
Walk(const ModelOptions& aOptions, uint32_t aSeed, int aHistories)
{
  return Explorer(aOptions).RunWalks(aSeed, aHistories);
}

} // namespace dutymodel
