#include "libtrefoilarch/lease.h"

#include "modelrandom.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <memory>

using namespace trefoilarch;

namespace {

constexpr size_t kProcesses = 3;
constexpr int kSteps = 1500;

struct PendingOperation
{
  size_t mProcess = 0;
  int mIncarnation = 0;
  LeaseAction mAction;
  bool mSlow = false;
  bool mExecuted = false;
  bool mReplyLost = false;
  LeaseFound mFound;
  LeaseWriteOutcome mResult = LeaseWriteOutcome::Unknown;
  int64_t mRevision = 0;
};

/** Processes with independent clocks contend for one lease. */
class LeaseContenders : private ModelRandom
{
public:
  explicit LeaseContenders(uint32_t aSeed)
    : ModelRandom(aSeed)
  {
    for (size_t index = 0; index < kProcesses; ++index) {
      mProcesses[index].mOffset = Draw(1000000);
      mProcesses[index].mRate = 980 + Draw(41);
      Boot(index);
    }
  }

  void Step()
  {
    switch (Draw(12)) {
      case 0:
        PauseOrResume(mProcesses[Draw(kProcesses)]);
        break;
      case 1:
        if (Fault(8)) {
          Boot(Draw(kProcesses));
        }
        break;
      case 2:
        mTableDown = Fault(30);
        break;
      case 3:
        if (Chance(8)) {
          SetWanted(Draw(kProcesses), Chance(60));
        }
        break;
      case 4:
      case 5:
        Advance(Draw(800));
        break;
      default:
        AdvancePending();
    }
    CheckOneHolder();
  }

  /** After the faults one process gets the lease and keeps it. */
  void EndFaults()
  {
    mTableDown = false;
    mFaultsEnded = true;
    for (size_t index = 0; index < kProcesses; ++index) {
      mProcesses[index].mPaused = false;
      SetWanted(index, true);
    }
    for (int round = 0; round < 3000; ++round) {
      for (int advances = 0; advances < 10; ++advances) {
        AdvancePending();
      }
      Advance(20);
      CheckOneHolder();
    }
    const size_t gains = mGains;
    RC_ASSERT(Holders() == 1U);
    for (int round = 0; round < 3000; ++round) {
      for (int advances = 0; advances < 10; ++advances) {
        AdvancePending();
      }
      Advance(20);
      RC_ASSERT(Holders() == 1U);
    }
    RC_ASSERT(mGains == gains);
  }

  size_t Gains() const { return mGains; }

private:
  struct Process
  {
    std::unique_ptr<Lease> mLease;
    int mIncarnation = 0;
    bool mPaused = false;
    int64_t mOffset = 0;
    int64_t mRate = 1000; /**< thousandths of the true rate */
  };

  Millis Now(const Process& aProcess) const
  {
    return Millis(aProcess.mOffset + mTime * aProcess.mRate / 1000);
  }

  void Boot(size_t aProcess)
  {
    Process& process = mProcesses[aProcess];
    ++process.mIncarnation;
    process.mLease = std::make_unique<Lease>(
      LeaseOptions{ .mHolder = std::to_string(aProcess) + "-" +
                               std::to_string(process.mIncarnation),
                    .mSeed = mRandom() });
    SetWanted(aProcess, true);
  }

  void SetWanted(size_t aProcess, bool aWanted)
  {
    Process& process = mProcesses[aProcess];
    if (!process.mPaused) {
      Perform(aProcess, process.mLease->SetWanted(aWanted, Now(process)));
    }
  }

  void PauseOrResume(Process& aProcess)
  {
    aProcess.mPaused = aProcess.mPaused ? Chance(80) : Fault(30);
  }

  size_t Holders() const
  {
    return std::count_if(
      mProcesses.begin(), mProcesses.end(), [this](const Process& aOne) {
        return aOne.mLease->IsHeld(Now(aOne));
      });
  }

  void CheckOneHolder() const { RC_ASSERT(Holders() <= 1U); }

  void Advance(int64_t aMillis)
  {
    mTime += aMillis;
    for (size_t index = 0; index < kProcesses; ++index) {
      Process& process = mProcesses[index];
      if (!process.mPaused && process.mLease->NextWake() <= Now(process)) {
        Perform(index, process.mLease->OnTick(Now(process)));
      }
    }
  }

  void Perform(size_t aProcess, LeaseActions aActions)
  {
    for (LeaseAction& action : aActions) {
      if (const auto* gained = std::get_if<LeaseGained>(&action)) {
        ++mGains;
        RC_ASSERT(gained->mFencingNumber >= mHighestNumber);
        const bool again = gained->mFencingNumber == mHighestNumber;
        RC_ASSERT(!again || mNumberOwner == Owner(aProcess));
        mHighestNumber = gained->mFencingNumber;
        mNumberOwner = Owner(aProcess);
      } else if (!std::holds_alternative<LeaseEnded>(action)) {
        PendingOperation& pending = mPending.emplace_back();
        pending.mProcess = aProcess;
        pending.mIncarnation = mProcesses[aProcess].mIncarnation;
        pending.mAction = std::move(action);
        pending.mSlow = Fault(10);
      }
    }
  }

  std::pair<size_t, int> Owner(size_t aProcess) const
  {
    return { aProcess, mProcesses[aProcess].mIncarnation };
  }

  void AdvancePending()
  {
    if (mPending.empty()) {
      return;
    }
    const size_t position = Draw(static_cast<uint32_t>(mPending.size()));
    PendingOperation& operation = mPending[position];
    const bool mayExecute =
      mFaultsEnded || ((!operation.mSlow || Chance(2)) && !Fault(30));
    if (!operation.mExecuted && mayExecute) {
      Execute(operation);
    } else if (operation.mReplyLost) {
      if (operation.mExecuted || Chance(operation.mSlow ? 1 : 10)) {
        EraseAt(mPending, position);
      }
    } else if (!mProcesses[operation.mProcess].mPaused) {
      Deliver(position, !operation.mExecuted || (!mFaultsEnded && Fault(40)));
    }
  }

  void Execute(PendingOperation& aOne)
  {
    aOne.mExecuted = true;
    if (mTableDown) {
      return;
    }
    if (std::holds_alternative<ReadLease>(aOne.mAction)) {
      aOne.mFound = { true, mRevision, mText };
      return;
    }
    const auto& write = std::get<WriteLease>(aOne.mAction);
    aOne.mResult = LeaseWriteOutcome::Refused;
    if (write.mRevision == mRevision) {
      mText = write.mText;
      mRevision = ++mLastRevision;
      aOne.mResult = LeaseWriteOutcome::Done;
      aOne.mRevision = mRevision;
    }
  }

  void Deliver(size_t aPosition, bool aLost)
  {
    const PendingOperation operation = mPending[aPosition];
    if (aLost && !operation.mExecuted) {
      mPending[aPosition].mReplyLost = true;
    } else {
      EraseAt(mPending, aPosition);
    }
    Process& process = mProcesses[operation.mProcess];
    if (process.mIncarnation != operation.mIncarnation ||
        operation.mReplyLost) {
      return;
    }
    const Millis now = Now(process);
    Lease& lease = *process.mLease;
    Perform(operation.mProcess,
            std::holds_alternative<ReadLease>(operation.mAction)
              ? lease.OnRead(aLost ? LeaseFound() : operation.mFound, now)
              : lease.OnWritten(aLost ? LeaseWriteOutcome::Unknown
                                      : operation.mResult,
                                operation.mRevision,
                                now));
  }

  int64_t mTime = 0;
  std::array<Process, kProcesses> mProcesses;
  std::vector<PendingOperation> mPending;
  int64_t mRevision = 0;
  int64_t mLastRevision = 0;
  std::string mText;
  bool mTableDown = false;
  bool mFaultsEnded = false;
  size_t mGains = 0;
  uint64_t mHighestNumber = 0;
  std::pair<size_t, int> mNumberOwner;
};

} // namespace

Test(lease, the_lease_never_has_two_holders_under_random_faults)
{
  size_t gains = 0;
  const bool holds = rc::check([&](uint32_t aSeed) {
    LeaseContenders contenders(aSeed);
    for (int step = 0; step < kSteps; ++step) {
      contenders.Step();
    }
    contenders.EndFaults();
    gains += contenders.Gains();
  });
  cr_assert(holds);
  cr_assert(gains > 300, "%zu", gains);
}

Test(lease, a_holder_that_slept_no_longer_holds_the_lease)
{
  Lease lease({ .mHolder = "a" });
  lease.SetWanted(true, Millis(0));
  lease.OnRead({ true, 0, "" }, Millis(10));
  lease.OnWritten(LeaseWriteOutcome::Done, 1, Millis(20));
  cr_assert(lease.IsHeld(Millis(20)));
  cr_assert(lease.IsHeld(Millis(20), Millis(9000)));
  cr_assert(!lease.IsHeld(Millis(20), Millis(9490)));
  cr_assert(!lease.IsHeld(Millis(9600)));
}

/** A repeat was sent later, but the row may be the first write's. */
Test(lease, a_late_write_is_not_mistaken_for_its_repeat)
{
  Lease lease({ .mHolder = "a" });
  lease.SetWanted(true, Millis(0));
  const auto first = lease.OnRead({ true, 0, "" }, Millis(0));
  lease.OnWritten(LeaseWriteOutcome::Unknown, 0, Millis(2000));
  lease.OnTick(Millis(3000));
  const auto second = lease.OnRead({ true, 0, "" }, Millis(9000));
  cr_assert(std::get<WriteLease>(second.at(0)).mRevision == 0);
  lease.OnWritten(LeaseWriteOutcome::Unknown, 0, Millis(9100));
  lease.OnTick(Millis(9500));
  const std::string row = std::get<WriteLease>(first.at(0)).mText;
  lease.OnRead({ true, 1, row }, Millis(9600));
  cr_assert(!lease.IsHeld(Millis(9600)));
  lease.OnWritten(LeaseWriteOutcome::Done, 2, Millis(9700));
  cr_assert(lease.IsHeld(Millis(9700)));
  cr_assert(lease.FencingNumber() == 1);
}

Test(lease, a_released_lease_goes_to_the_next_process_at_once)
{
  Lease first({ .mHolder = "a" });
  first.SetWanted(true, Millis(0));
  first.OnRead({ true, 0, "" }, Millis(10));
  first.OnWritten(LeaseWriteOutcome::Done, 1, Millis(20));
  LeaseActions out = first.SetWanted(false, Millis(30));
  cr_assert(!first.IsHeld(Millis(30)));
  const auto write = std::get<WriteLease>(out.back());
  cr_assert(write.mRevision == 1);
  Lease second({ .mHolder = "b" });
  second.SetWanted(true, Millis(0));
  out = second.OnRead({ true, 2, write.mText }, Millis(40));
  cr_assert(std::get<WriteLease>(out.at(0)).mRevision == 2);
  out = second.OnWritten(LeaseWriteOutcome::Done, 3, Millis(50));
  cr_assert(std::get<LeaseGained>(out.at(0)).mFencingNumber == 2);
}
