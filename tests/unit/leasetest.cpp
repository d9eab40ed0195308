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

struct Pending
{
  size_t mProcess = 0;
  int mIncarnation = 0;
  LeaseAction mAction;
  bool mSlow = false;
  bool mExecuted = false;
  bool mForgotten = false;
  LeaseFound mFound;
  LeaseWriteOutcome mResult = LeaseWriteOutcome::Unknown;
  int64_t mRevision = 0;
};

/** Processes with clocks of their own contend for one lease. */
class Contenders : private ModelRandom
{
public:
  explicit Contenders(uint32_t aSeed)
    : ModelRandom(aSeed)
  {
    for (size_t each = 0; each < kProcesses; ++each) {
      mProcesses[each].mOffset = Draw(1000000);
      mProcesses[each].mRate = 980 + Draw(41);
      Boot(each);
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
        MovePending();
    }
    CheckOneHolder();
  }

  /** After the faults somebody gets it, and keeps it. */
  void Heal()
  {
    mTableDown = false;
    mHealed = true;
    for (size_t each = 0; each < kProcesses; ++each) {
      mProcesses[each].mPaused = false;
      SetWanted(each, true);
    }
    for (int round = 0; round < 3000; ++round) {
      for (int moves = 0; moves < 10; ++moves) {
        MovePending();
      }
      Advance(20);
      CheckOneHolder();
    }
    const size_t gains = mGains;
    RC_ASSERT(Holders() == 1U);
    for (int round = 0; round < 3000; ++round) {
      for (int moves = 0; moves < 10; ++moves) {
        MovePending();
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
    int64_t mRate = 1000; /**< thousandths of true time */
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
    for (size_t each = 0; each < kProcesses; ++each) {
      Process& process = mProcesses[each];
      if (!process.mPaused && process.mLease->NextWake() <= Now(process)) {
        Perform(each, process.mLease->OnTick(Now(process)));
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
        Pending& pending = mPending.emplace_back();
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

  void MovePending()
  {
    if (mPending.empty()) {
      return;
    }
    const size_t place = Draw(static_cast<uint32_t>(mPending.size()));
    Pending& one = mPending[place];
    const bool mayExecute =
      mHealed || ((!one.mSlow || Chance(2)) && !Fault(30));
    if (!one.mExecuted && mayExecute) {
      Execute(one);
    } else if (one.mForgotten) {
      if (one.mExecuted || Chance(one.mSlow ? 1 : 10)) {
        EraseAt(mPending, place);
      }
    } else if (!mProcesses[one.mProcess].mPaused) {
      Deliver(place, !one.mExecuted || (!mHealed && Fault(40)));
    }
  }

  void Execute(Pending& aOne)
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

  void Deliver(size_t aPlace, bool aLost)
  {
    const Pending one = mPending[aPlace];
    if (aLost && !one.mExecuted) {
      mPending[aPlace].mForgotten = true;
    } else {
      EraseAt(mPending, aPlace);
    }
    Process& process = mProcesses[one.mProcess];
    if (process.mIncarnation != one.mIncarnation || one.mForgotten) {
      return;
    }
    const Millis now = Now(process);
    Lease& lease = *process.mLease;
    Perform(
      one.mProcess,
      std::holds_alternative<ReadLease>(one.mAction)
        ? lease.OnRead(aLost ? LeaseFound() : one.mFound, now)
        : lease.OnWritten(aLost ? LeaseWriteOutcome::Unknown : one.mResult,
                          one.mRevision,
                          now));
  }

  int64_t mTime = 0;
  std::array<Process, kProcesses> mProcesses;
  std::vector<Pending> mPending;
  int64_t mRevision = 0;
  int64_t mLastRevision = 0;
  std::string mText;
  bool mTableDown = false;
  bool mHealed = false;
  size_t mGains = 0;
  uint64_t mHighestNumber = 0;
  std::pair<size_t, int> mNumberOwner;
};

} // namespace

Test(lease, two_never_hold_it_over_random_faults)
{
  size_t gains = 0;
  const bool holds = rc::check([&](uint32_t aSeed) {
    Contenders contenders(aSeed);
    for (int step = 0; step < kSteps; ++step) {
      contenders.Step();
    }
    contenders.Heal();
    gains += contenders.Gains();
  });
  cr_assert(holds);
  cr_assert(gains > 300, "%zu", gains);
}

Test(lease, a_holder_that_slept_finds_out_before_it_acts)
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

/** A repeat was sent later, but the row may be the first one's. */
Test(lease, a_late_write_is_not_taken_for_its_repeat)
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

Test(lease, given_back_it_goes_to_the_next_at_once)
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
