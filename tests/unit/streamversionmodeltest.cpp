#include "modelevents.h"
#include "modelrandom.h"

#include "libtrefoilarch/requestplan.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace trefoilarch;

/**
 * The model, in virtual time: upstreams of several software versions serve one
 * service and are replaced while streams run. Streams break off at an upstream
 * or on the way to their caller, who takes them up at any entry. Entries read
 * the list with a lag; their datagrams are delayed or lost; they are isolated,
 * suspended and restarted.
 */
namespace {

constexpr Millis kEnd{ 60000 };
constexpr Millis kRouteTimeout{ 5000 };
constexpr Millis kReadInterval{ 250 };

/** An entry counts only so long after a fault of its own. */
constexpr Millis kRecovery{ 3000 };

struct Scenario
{
  size_t mEntries = 4;
  bool mHasFaults = false;
  bool mNamesVersions = true;
};

class VersionModel
  : private ModelRandom
  , private ModelEvents
{
public:
  VersionModel(uint32_t aSeed, Scenario aScenario)
    : ModelRandom(aSeed)
    , mScenario(aScenario)
    , mLossPercent(aScenario.mHasFaults ? 5 : 1)
  {
    mRoutePolicy = std::make_shared<const RoutePolicy>(
      RoutePolicy{ .mVersion = 1,
                   .mRoutes = { { .mName = "resume",
                                  .mHost = "h",
                                  .mPathPrefix = "/",
                                  .mRetryMode = RetryMode::Resumable,
                                  .mStream = true,
                                  .mTimeout = kRouteTimeout,
                                  .mTargets = { { .mService = "svc" } },
                                  .mMaxAttempts = 3,
                                  .mPublic = true } } });
  }

  void Play()
  {
    for (int each = 0; each < 6; ++each) {
      AddUpstream(0);
    }
    mEntries.resize(mScenario.mEntries);
    for (size_t each = 0; each < mEntries.size(); ++each) {
      Start(each);
    }
    After(2000, [this] { ChangeUpstreams(); });
    After(1000, [this] { BeginStream(); });
    if (mScenario.mHasFaults) {
      After(2000, [this] { InjectFault(); });
    }
    RunUntil(kEnd);
    RC_ASSERT(mTakenUp < 12 || mContinued * 2 >= mTakenUp);
  }

private:
  struct Entry
  {
    std::unique_ptr<DirectRouter> mRouter;
    uint64_t mProcess = 0;
    bool mHasList = false;
    Millis mDownUntil;
    Millis mIsolatedUntil;
    Millis mLastFault{ -100000 };
  };

  struct Upstream
  {
    std::string mVersion;
    bool mLeaving = false;
    bool mListed = true;
    Millis mChangedAt;
  };

  /** A stream as its caller sees it. */
  struct Stream
  {
    std::string mFirstId;
    /** Of the upstream that brought its first event; empty before. */
    std::optional<std::string> mVersion;
    int mTries = 0;
  };

  /** One try of a caller at one entry. */
  struct Try
  {
    std::shared_ptr<Stream> mStream;
    std::string mId;
    size_t mEntry = 0;
    uint64_t mProcess = 0;
    std::unique_ptr<RequestPlan> mPlan;
    std::optional<PlacedAttempt> mAttempt;
    bool mAnswerBegun = false;
    /** Counts for the share of streams that go on. */
    bool mCounts = false;
  };

  std::string AddressOf(size_t aEntry) const
  {
    return "10.0.0." + std::to_string(aEntry) + ":7";
  }

  bool Runs(const Entry& aEntry) const { return mNow >= aEntry.mDownUntil; }
  bool Reaches(const Entry& aEntry) const
  {
    return Runs(aEntry) && mNow >= aEntry.mIsolatedUntil;
  }

  void Start(size_t aIndex)
  {
    Entry& entry = mEntries[aIndex];
    entry.mProcess++;
    entry.mHasList = false;
    entry.mRouter = std::make_unique<DirectRouter>(DirectRouterOptions{
      .mRetries = { .mPercent = 100, .mInitial = 1000, .mMax = 1000 },
      .mName = "entry-" + std::to_string(aIndex),
      .mOnStreamRecord =
        [this](const AddressedStreamRecord& aRecord) {
          Deliver(aRecord.mTo, [this, aRecord](DirectRouter& aRouter) {
            aRouter.OnStreamRecord(aRecord.mRecord, mNow);
          });
        },
      .mOnStreamQuery =
        [this, aIndex](const AddressedStreamQuery& aQuery) {
          Deliver(aQuery.mTo, [this, aIndex, aQuery](DirectRouter& aRouter) {
            if (const auto record =
                  aRouter.OnStreamQuery(aQuery.mStream, mNow)) {
              Deliver(AddressOf(aIndex), [this, record](DirectRouter& aAsker) {
                aAsker.OnStreamRecord(*record, mNow);
              });
            }
          });
        },
      .mOnListConfirmationWanted =
        [this, aIndex](Millis) {
          After(5, [this, aIndex] { ReadList(aIndex); });
        },
      .mSeed = mRandom() });
    entry.mRouter->SetPolicy(mRoutePolicy);
    std::vector<std::string> others;
    for (size_t each = 0; each < mEntries.size(); ++each) {
      if (each != aIndex) {
        others.push_back(AddressOf(each));
      }
    }
    entry.mRouter->SetPermitEntries(AddressOf(aIndex), others);
    Follow(aIndex, entry.mProcess);
  }

  void Follow(size_t aIndex, uint64_t aProcess)
  {
    if (mEntries[aIndex].mProcess != aProcess) {
      return;
    }
    ReadList(aIndex);
    After(kReadInterval.Count() / 2 + Draw(kReadInterval.Count()),
          [this, aIndex, aProcess] { Follow(aIndex, aProcess); });
  }

  void ReadList(size_t aIndex)
  {
    Entry& entry = mEntries[aIndex];
    if (!Reaches(entry)) {
      return;
    }
    std::vector<ListedUpstream> listed;
    for (const auto& [id, upstream] : mUpstreams) {
      if (upstream.mListed) {
        listed.push_back({ .mId = id,
                           .mService = "svc",
                           .mAddress = "a:" + id,
                           .mVersion = upstream.mVersion,
                           .mLeaving = upstream.mLeaving });
      }
    }
    UpstreamDirectory& directory = entry.mRouter->Directory();
    if (!entry.mHasList) {
      directory.ReplaceAll(listed, mNow);
      entry.mHasList = true;
    } else {
      for (const auto& [id, upstream] : mUpstreams) {
        if (!upstream.mListed) {
          directory.Remove(id, mNow);
        }
      }
      for (ListedUpstream& each : listed) {
        directory.Put(std::move(each));
      }
    }
    entry.mRouter->OnDirectoryChanged(mNow);
    entry.mRouter->ConfirmList(mNow);
  }

  void Deliver(const std::string& aAddress,
               std::function<void(DirectRouter&)> aHandle)
  {
    if (Chance(mLossPercent)) {
      return;
    }
    for (size_t each = 0; each < mEntries.size(); ++each) {
      if (AddressOf(each) == aAddress) {
        After(1 + Draw(4), [this, each, handle = std::move(aHandle)] {
          if (Reaches(mEntries[each])) {
            handle(*mEntries[each].mRouter);
          }
        });
        return;
      }
    }
  }

  void AddUpstream(int aVersion)
  {
    const std::string id = "u" + std::to_string(mLastUpstream++);
    mUpstreams[id] = { .mVersion = mScenario.mNamesVersions
                                     ? "v" + std::to_string(aVersion)
                                     : "",
                       .mChangedAt = mNow };
  }

  /** Starts an upstream of a version, or lets one leave and go. */
  void ChangeUpstreams()
  {
    mVersion += Chance(10) ? 1 : 0;
    if (mUpstreams.size() < 9) {
      AddUpstream(Chance(70) ? mVersion : std::max(0, mVersion - 1));
    }
    auto it = mUpstreams.begin();
    std::advance(it, Draw(static_cast<uint32_t>(mUpstreams.size())));
    if (mUpstreams.size() > 4 && !it->second.mLeaving) {
      it->second.mLeaving = true;
      it->second.mChangedAt = mNow;
      After(2500, [this, id = it->first] {
        mUpstreams[id].mListed = false;
        After(3000, [this, id] { mUpstreams.erase(id); });
      });
    }
    After(300 + Draw(1500), [this] { ChangeUpstreams(); });
  }

  /** Whether two upstreams of the version have served for a while. */
  bool HasTwo(const std::string& aVersion) const
  {
    int serving = 0;
    for (const auto& [id, upstream] : mUpstreams) {
      const bool steady = mNow - upstream.mChangedAt > Millis(1000);
      serving +=
        upstream.mVersion == aVersion && !upstream.mLeaving && steady ? 1 : 0;
    }
    return serving >= 2;
  }

  void BeginStream()
  {
    Ask(std::make_shared<Stream>());
    After(20 + Draw(60), [this] { BeginStream(); });
  }

  void Ask(const std::shared_ptr<Stream>& aStream)
  {
    const size_t place = Draw(static_cast<uint32_t>(mEntries.size()));
    Entry& entry = mEntries[place];
    if (!Runs(entry) || !entry.mHasList) {
      return;
    }
    const auto tryOut =
      std::make_shared<Try>(Try{ .mStream = aStream,
                                 .mId = "r" + std::to_string(mLastRequest++),
                                 .mEntry = place,
                                 .mProcess = entry.mProcess });
    const bool resumes = aStream->mVersion.has_value();
    const bool inTouch = mNow - entry.mLastFault > kRecovery;
    tryOut->mCounts = resumes && inTouch && HasTwo(*aStream->mVersion);
    mTakenUp += tryOut->mCounts ? 1 : 0;
    BoundRequest bound;
    const bool isBound = boost::leaf::try_handle_all(
      [&]() -> Result<bool> {
        BOOST_LEAF_ASSIGN(
          bound,
          entry.mRouter->Bind({ .mHost = "h",
                                .mPath = "/x",
                                .mArrivedAt = mNow,
                                .mRequestId = tryOut->mId,
                                .mResumedRequestId = aStream->mFirstId,
                                .mResumes = resumes },
                              mNow));
        return true;
      },
      [] { return false; });
    if (isBound) {
      tryOut->mPlan =
        std::make_unique<RequestPlan>(*entry.mRouter, std::move(bound));
      Apply(tryOut, tryOut->mPlan->Begin(mNow));
    }
  }

  bool IsAlive(const Try& aTry) const
  {
    return mEntries[aTry.mEntry].mProcess == aTry.mProcess;
  }

  void Apply(const std::shared_ptr<Try>& aTry, PlanStep aStep)
  {
    if (const auto* hold = std::get_if<HoldRequest>(&aStep)) {
      After(std::max<int64_t>(1, hold->mDelay.Count()), [this, aTry] {
        if (IsAlive(*aTry)) {
          Apply(aTry, aTry->mPlan->OnHoldElapsed(mNow));
        }
      });
    } else if (auto* send = std::get_if<SendRequest>(&aStep)) {
      aTry->mAttempt = std::move(send->mAttempt);
      After(5 + Draw(100), [this, aTry] { Run(aTry); });
    } else {
      TakeUp(aTry->mStream);
    }
  }

  void Run(const std::shared_ptr<Try>& aTry)
  {
    if (!IsAlive(*aTry)) {
      return;
    }
    const auto upstream = mUpstreams.find(aTry->mAttempt->mUpstream);
    if (upstream == mUpstreams.end()) {
      Break(aTry);
      return;
    }
    aTry->mPlan->OnSending();
    aTry->mPlan->OnHead(200, mNow);
    if (Chance(5)) {
      Break(aTry);
      return;
    }
    if (!aTry->mAnswerBegun) {
      aTry->mAnswerBegun = true;
      aTry->mPlan->OnAnswerBegun(mNow);
    }
    OnEvent(aTry, upstream->second.mVersion);
    if (Chance(20)) {
      // The way to the caller breaks, or the entry loses it.
      After(Draw(300), [this, aTry] { Leave(aTry); });
    } else if (Chance(30)) {
      After(Draw(300), [this, aTry] {
        if (IsAlive(*aTry)) {
          Break(aTry);
        }
      });
    } else {
      After(Draw(300), [this, aTry] { End(aTry, AttemptOutcome::Good); });
    }
  }

  void OnEvent(const std::shared_ptr<Try>& aTry, const std::string& aVersion)
  {
    Stream& stream = *aTry->mStream;
    if (!stream.mVersion) {
      stream.mVersion = aVersion;
      stream.mFirstId = aTry->mId;
    }
    RC_ASSERT(*stream.mVersion == aVersion);
    mContinued += std::exchange(aTry->mCounts, false) ? 1 : 0;
  }

  void End(const std::shared_ptr<Try>& aTry, AttemptOutcome aOutcome)
  {
    if (IsAlive(*aTry) && aTry->mAttempt) {
      mEntries[aTry->mEntry].mRouter->OnEnded(*aTry->mAttempt, aOutcome, mNow);
      aTry->mAttempt.reset();
    }
  }

  void Break(const std::shared_ptr<Try>& aTry)
  {
    End(aTry, AttemptOutcome::Broken);
    Apply(aTry, aTry->mPlan->OnBroken(true, mNow));
  }

  void Leave(const std::shared_ptr<Try>& aTry)
  {
    End(aTry, AttemptOutcome::Withdrawn);
    TakeUp(aTry->mStream);
  }

  void TakeUp(const std::shared_ptr<Stream>& aStream)
  {
    if (aStream->mVersion && aStream->mTries++ < 3) {
      After(2 + Draw(500), [this, aStream] { Ask(aStream); });
    }
  }

  void InjectFault()
  {
    const size_t place = Draw(static_cast<uint32_t>(mEntries.size()));
    Entry& entry = mEntries[place];
    const Millis until = mNow + Millis(200 + Draw(6000));
    const uint32_t kind = Draw(4);
    if (kind == 0) {
      entry.mIsolatedUntil = until;
    } else if (kind == 1) {
      entry.mDownUntil = until;
    } else {
      entry.mDownUntil = mNow + Millis(Draw(1500));
      Start(place);
    }
    entry.mLastFault = std::max(
      entry.mLastFault, std::max(entry.mDownUntil, entry.mIsolatedUntil));
    After(300 + Draw(3000), [this] { InjectFault(); });
  }

  Scenario mScenario;
  uint32_t mLossPercent;
  std::shared_ptr<const RoutePolicy> mRoutePolicy;
  std::deque<Entry> mEntries;
  std::map<std::string, Upstream> mUpstreams;
  int mVersion = 0;
  int mLastUpstream = 0;
  int mLastRequest = 0;
  uint32_t mTakenUp = 0;
  uint32_t mContinued = 0;
};

constexpr size_t kSizes[] = { 1, 2, 4, 5, 12, 40 };

void
CheckModel(const char* aName, bool aHasFaults, bool aNamesVersions)
{
  cr_assert(rc::check(aName, [&](uint32_t aSeed) {
    VersionModel(aSeed,
                 { .mEntries = kSizes[aSeed % std::size(kSizes)],
                   .mHasFaults = aHasFaults,
                   .mNamesVersions = aNamesVersions })
      .Play();
  }));
}

} // namespace

Test(streamversionmodel, streams_go_on_at_their_version, .timeout = 120)
{
  CheckModel("without faults", false, true);
}

Test(streamversionmodel,
     streams_go_on_at_no_other_version_despite_faults,
     .timeout = 120)
{
  CheckModel("with faults", true, true);
}

Test(streamversionmodel,
     streams_of_upstreams_without_versions_go_on,
     .timeout = 120)
{
  CheckModel("without versions", true, false);
}
