#include "dutymodel.h"

#include <algorithm>
#include <functional>
#include <utility>
#include <variant>
#include <xxhash.h>

namespace dutymodel {

using namespace trefoilarch;

namespace {

constexpr size_t kHosts = 3;
constexpr Millis kSecond{ 1000 };
constexpr Millis kLease{ 3000 };
constexpr uint64_t kLastPeriod = 3;

/** Checks what the receiver sees. */
class Receiver
{
public:
  void OnCall(const std::string& aHost,
              uint64_t aFencingToken,
              const DutyReport& aReport,
              Millis aNow)
  {
    if (aFencingToken < mHighest) {
      Break("a lower fencing token after a higher one");
    }
    mHighest = std::max(mHighest, aFencingToken);
    const auto owner = mOwners.emplace(aFencingToken, aHost).first;
    if (owner->second != aHost) {
      Break("two hosts with one fencing token");
    }
    const auto body = mBodies.emplace(aReport.mPeriod, aReport.mBody).first;
    if (body->second != aReport.mBody) {
      Break("two reports of one period");
    }
    CheckReturn(aHost, aNow);
    mActs.emplace_back(aHost, aNow);
  }

  const std::string& Violation() const { return mViolation; }
  size_t Periods() const { return mBodies.size(); }

  template<typename Digest>
  void AddTo(Digest& aDigest, Millis aNow) const
  {
    aDigest.Add(static_cast<int64_t>(mHighest));
    for (const auto& [period, body] : mBodies) {
      aDigest.Add(body);
    }
    for (const auto& [token, host] : mOwners) {
      aDigest.Add(static_cast<int64_t>(token));
      aDigest.Add(host);
    }
    for (const auto& [host, time] : mActs) {
      if (aNow - time < kLease) {
        aDigest.Add(host);
        aDigest.Add(time);
      }
    }
  }

private:
  void Break(const char* aWhat)
  {
    if (mViolation.empty()) {
      mViolation = aWhat;
    }
  }

  /** A host must not act again shortly after it acted before another one. */
  void CheckReturn(const std::string& aHost, Millis aNow)
  {
    bool otherAfter = false;
    for (auto act = mActs.rbegin(); act != mActs.rend(); ++act) {
      if (aNow - act->second >= kLease) {
        return;
      }
      if (act->first != aHost) {
        otherAfter = true;
      } else if (otherAfter) {
        Break("a host acts, another one, and the first again");
      }
    }
  }

  uint64_t mHighest = 0;
  std::map<uint64_t, std::string> mOwners;
  std::map<uint64_t, std::string> mBodies;
  std::vector<std::pair<std::string, Millis>> mActs;
  std::string mViolation;
};

/** The rows of the store; its clock is the model's time. */
struct Store
{
  uint64_t mVersion = 1;
  std::map<std::string, DutyRow> mRows;
};

/** A write whose reply never comes; it may still take effect. */
using LateWrite = WriteDutyRows;

struct Call
{
  CallReceiver mCall;
  /** When it was sent; empty while the connection is made. */
  std::optional<Millis> mSentAt;
  bool mArrived = false;
};

struct Host
{
  std::optional<SingletonDuty> mDuty;
  int mProcess = 0;
  bool mFrozen = false;
  std::optional<std::variant<ReadDutyRows, WriteDutyRows>> mStoreCall;
  std::optional<Call> mCall;
};

struct World
{
  Millis mNow;
  Store mStore;
  std::array<Host, kHosts> mHosts;
  std::vector<LateWrite> mLateWrites;
  Receiver mReceiver;
  int mCrashes = 0;
  int mFreezes = 0;
  int mLostReplies = 0;
  int mLateCount = 0;
  int mLostCalls = 0;
  int mStops = 0;
  uint64_t mTakeovers = 0;
};

std::string
NameOf(size_t aHost)
{
  return std::string(1, static_cast<char>('a' + aHost));
}

/** A hash over the parts of a state. */
class Digest
{
public:
  void Add(int64_t aNumber)
  {
    mHash = XXH3_64bits_withSeed(&aNumber, sizeof(aNumber), mHash);
  }
  void Add(Millis aTime) { Add(aTime.Count()); }
  void Add(const std::string& aText)
  {
    mHash = XXH3_64bits_withSeed(aText.data(), aText.size(), mHash);
  }
  void Add(const DutyReport& aReport)
  {
    Add(static_cast<int64_t>(aReport.mPeriod));
    Add(aReport.mBody);
    Add(aReport.mExpiresAt);
  }
  void Add(const DutyRecord& aRecord)
  {
    Add(aRecord.mHolder);
    Add(static_cast<int64_t>(aRecord.mFencingToken));
    Add(aRecord.mExpiresAt);
    Add(aRecord.mFixed);
    for (const PastHolder& past : aRecord.mPastHolders) {
      Add(past.mHost);
      Add(past.mUntil);
    }
  }
  void Add(const std::map<std::string, uint64_t>& aPeriods)
  {
    Add(static_cast<int64_t>(aPeriods.size()));
    for (const auto& [subject, period] : aPeriods) {
      Add(static_cast<int64_t>(period));
    }
  }
  void Add(const WriteDutyRows& aWrite)
  {
    Add(static_cast<int64_t>(aWrite.mRecordVersion));
    for (const DutyRow& row : aWrite.mRows) {
      Add(row.mText);
    }
    for (const std::string& key : aWrite.mRemoved) {
      Add(key);
    }
  }
  template<typename T>
  void Add(const std::optional<T>& aValue)
  {
    Add(static_cast<int64_t>(aValue.has_value()));
    if (aValue) {
      Add(*aValue);
    }
  }

  uint64_t Value() const { return mHash; }

private:
  uint64_t mHash = 0;
};

void
AddDuty(Digest& aDigest, const DutyState& aState, Millis aNow)
{
  // Times that have passed are all the same.
  const auto addLater = [&](Millis aTime) {
    aDigest.Add(std::max(aTime, aNow));
  };
  aDigest.Add(aState.mWanted);
  aDigest.Add(aState.mStoreBusy);
  addLater(aState.mNextStoreAt);
  aDigest.Add(aState.mClock ? aState.mClock->mSentAt : Millis(-1));
  aDigest.Add(aState.mRecord);
  aDigest.Add(static_cast<int64_t>(aState.mRecordVersion));
  aDigest.Add(static_cast<int64_t>(aState.mReadVersion));
  aDigest.Add(aState.mStoreBusy ? aState.mWrittenRecord : DutyRecord{});
  aDigest.Add(aState.mWrittenReport);
  aDigest.Add(aState.mNoRecordSince);
  aDigest.Add(aState.mHolding);
  addLater(aState.mHeldUntil);
  addLater(aState.mMayCallFrom);
  aDigest.Add(static_cast<int64_t>(aState.mHighestFencingToken));
  aDigest.Add(aState.mHighestFixed);
  aDigest.Add(aState.mAccepted);
  aDigest.Add(aState.mProposed);
  for (const DutyReport& each : aState.mUnaccepted) {
    aDigest.Add(each);
  }
  for (const std::string& each : aState.mRemovals) {
    aDigest.Add(each);
  }
  aDigest.Add(aState.mCalled);
  addLater(aState.mNextCallAt);
  aDigest.Add(aState.mCallBackoff);
}

void
AddHost(Digest& aDigest, const Host& aHost, Millis aNow)
{
  aDigest.Add(aHost.mProcess);
  aDigest.Add(aHost.mFrozen);
  if (aHost.mDuty) {
    AddDuty(aDigest, aHost.mDuty->State(), aNow);
  }
  aDigest.Add(aHost.mStoreCall.has_value());
  if (aHost.mStoreCall) {
    const auto* write = std::get_if<WriteDutyRows>(&*aHost.mStoreCall);
    aDigest.Add(write != nullptr ? std::optional(*write) : std::nullopt);
  }
  aDigest.Add(aHost.mCall.has_value());
  if (aHost.mCall) {
    aDigest.Add(static_cast<int64_t>(aHost.mCall->mCall.mFencingToken));
    aDigest.Add(aHost.mCall->mSentAt);
    aDigest.Add(aHost.mCall->mArrived);
  }
}

/** Equal for worlds with the same future. */
uint64_t
HashOf(const World& aWorld)
{
  Digest digest;
  digest.Add(aWorld.mNow);
  for (const int count : { aWorld.mCrashes,
                           aWorld.mFreezes,
                           aWorld.mLostReplies,
                           aWorld.mLateCount,
                           aWorld.mLostCalls,
                           aWorld.mStops }) {
    digest.Add(count);
  }
  for (const auto& [key, row] : aWorld.mStore.mRows) {
    digest.Add(key);
    digest.Add(row.mText);
    digest.Add(static_cast<int64_t>(row.mVersion));
  }
  for (const Host& host : aWorld.mHosts) {
    AddHost(digest, host, aWorld.mNow);
  }
  for (const LateWrite& write : aWorld.mLateWrites) {
    digest.Add(write);
  }
  aWorld.mReceiver.AddTo(digest, aWorld.mNow);
  return digest.Value();
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
    World world;
    world.mStore.mRows["duty"] = { .mKey = "duty",
                                   .mText = DutyRecordToText(DutyRecord{}),
                                   .mVersion = 1 };
    for (size_t host = 0; host < kHosts; ++host) {
      if (host < mOptions.mCompetitors) {
        Start(world, host);
      }
    }
    Visit(world, 0);
    return mResult;
  }

private:
  using Step = std::function<void(World&)>;

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
      .mReturnDelay = mOptions.mWaitsToReturn ? kLease : Millis(0) });
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
    if (aDepth >= mOptions.mDepth) {
      return;
    }
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
    const auto taken = *call;
    call.reset();
    return taken;
  }

  bool Apply(World& aWorld, const WriteDutyRows& aWrite) const
  {
    Store& store = aWorld.mStore;
    if (store.mRows["duty"].mVersion != aWrite.mRecordVersion) {
      return false;
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
                               .mVersion = aWorld.mStore.mVersion },
                             aWorld.mNow));
      Propose(aWorld, aHost);
      return;
    }
    DutyRowsRead read{ .mReached = true,
                       .mClock = clock,
                       .mVersion = aWorld.mStore.mVersion };
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
    if (period > kLastPeriod ||
        !host.mDuty->MayPropose("", period, aWorld.mNow)) {
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
};

} // namespace

Exploration
Explore(const ModelOptions& aOptions)
{
  return Explorer(aOptions).Run();
}

} // namespace dutymodel
