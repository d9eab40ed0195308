#include "fairsharemodel.h"

#include "libtrefoilarch/fairshare/fairshare.h"

#include <array>
#include <cmath>
#include <functional>
#include <map>
#include <unordered_map>
#include <vector>
#include <xxhash.h>

namespace fairsharemodel {

using namespace trefoilarch;

namespace {

constexpr size_t kEntries = 3;
constexpr Millis kPeriod{ 500 };
constexpr Millis kHeardLifetime{ 3000 };
/** Older updates count as lost. */
constexpr int64_t kMaxAge = 4;
/** Half seconds until entries agree after the last fault. */
constexpr int kPeriodsToAgree = 8;
/** Just enough for shares to apply. */
constexpr double kPressure = 0.65;
const std::string kFlood = "flood";
const std::string kModest = "modest";

struct Update
{
  size_t mFrom = 0;
  size_t mTo = 0;
  /** Increases over all processes of an entry. */
  int64_t mSequence = 0;
  std::vector<WorkspaceDemandReport> mReports;
  uint64_t mHash = 0;
};

/** What an entry received last from another one. */
struct Known
{
  int64_t mSequence = 0;
  Millis mHeardAt{ -10000 };
  /** The newest report that names the flood. */
  double mDemand = 0;
  Millis mDemandAt{ -10000 };
};

struct Entry
{
  FairShare mShare;
  /** Over all that it did and received, which its state follows from. */
  uint64_t mHistory = 0;
  bool mCutOff = false;
  std::map<size_t, Known> mKnown;
};

struct World
{
  Millis mNow{ 500 };
  std::array<Entry, kEntries> mEntries;
  std::vector<Update> mUnderWay;
  int mLosses = 0;
  int mDuplicates = 0;
  int mKills = 0;
  int mCuts = 0;
  bool mFloods = true;
  uint64_t mRefusals = 0;
  std::string mViolation;
};

uint64_t
Mix(uint64_t aHash, int64_t aNumber)
{
  return XXH3_64bits_withSeed(&aNumber, sizeof(aNumber), aHash);
}

uint64_t
HashOf(const World& aWorld)
{
  uint64_t hash = Mix(0, aWorld.mNow.Count());
  for (const Entry& entry : aWorld.mEntries) {
    hash = Mix(hash, static_cast<int64_t>(entry.mHistory));
    hash = Mix(hash, entry.mCutOff ? 1 : 0);
  }
  // The order of the updates under way doesn't matter.
  uint64_t updates = 0;
  for (const Update& update : aWorld.mUnderWay) {
    updates += Mix(update.mHash, static_cast<int64_t>(update.mTo));
  }
  hash = Mix(hash, static_cast<int64_t>(updates));
  for (const int count :
       { aWorld.mLosses, aWorld.mDuplicates, aWorld.mKills, aWorld.mCuts }) {
    hash = Mix(hash, count);
  }
  return hash;
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
    for (Entry& entry : world.mEntries) {
      entry = NewEntry();
    }
    // Contention is believed from the second second on.
    for (int period = 0; period < 4; ++period) {
      PassSettled(world);
    }
    Visit(world, 0);
    return mResult;
  }

private:
  using Step = std::function<void(World&)>;

  Entry NewEntry() const
  {
    FairShareOptions options;
    if (!mOptions.mLapses) {
      options.mGroup.mDemand.mHeardLifetime = Millis(60000);
    }
    Entry entry{ .mShare = FairShare(options) };
    entry.mShare.SetEntries(kEntries, kEntries - 1);
    return entry;
  }

  void Visit(const World& aWorld, int aDepth)
  {
    if (!mResult.mViolation.empty()) {
      return;
    }
    if (!aWorld.mViolation.empty()) {
      Report(aWorld);
      return;
    }
    const auto [seen, isNew] = mSeen.emplace(HashOf(aWorld), aDepth);
    if (!isNew && seen->second <= aDepth) {
      return;
    }
    seen->second = aDepth;
    mResult.mStates += isNew ? 1 : 0;
    mResult.mRefusals += isNew ? aWorld.mRefusals : 0;
    if (aDepth >= mOptions.mDepth) {
      VisitEnd(aWorld);
      return;
    }
    Take(aWorld, aDepth, "period", [](World& aNext) { Pass(aNext); });
    Take(aWorld, aDepth, "settled period", [this](World& aNext) {
      PassSettled(aNext);
    });
    for (size_t each = 0; each < aWorld.mUnderWay.size(); ++each) {
      VisitUpdate(aWorld, each, aDepth);
    }
    for (size_t entry = 0; entry < kEntries; ++entry) {
      VisitEntry(aWorld, entry, aDepth);
    }
  }

  void VisitUpdate(const World& aWorld, size_t aUpdate, int aDepth)
  {
    const Update& update = aWorld.mUnderWay[aUpdate];
    const std::string name =
      std::to_string(update.mFrom) + " to " + std::to_string(update.mTo);
    Take(aWorld, aDepth, name, [this, aUpdate](World& aNext) {
      Receive(aNext, Remove(aNext, aUpdate));
    });
    if (aWorld.mLosses < mOptions.mLosses) {
      Take(aWorld, aDepth, name + " lost", [aUpdate](World& aNext) {
        aNext.mLosses++;
        Remove(aNext, aUpdate);
      });
    }
    if (aWorld.mDuplicates < mOptions.mDuplicates) {
      Take(aWorld, aDepth, name + " copied", [this, aUpdate](World& aNext) {
        aNext.mDuplicates++;
        Receive(aNext, aNext.mUnderWay[aUpdate]);
      });
    }
  }

  void VisitEntry(const World& aWorld, size_t aEntry, int aDepth)
  {
    const std::string name = std::to_string(aEntry);
    if (aWorld.mKills < mOptions.mKills) {
      Take(aWorld, aDepth, name + " killed", [this, aEntry](World& aNext) {
        aNext.mKills++;
        aNext.mEntries[aEntry] = NewEntry();
      });
    }
    const bool cut = aWorld.mEntries[aEntry].mCutOff;
    if (cut || aWorld.mCuts < mOptions.mCuts) {
      Take(aWorld, aDepth, name + " cut or back", [aEntry](World& aNext) {
        Entry& entry = aNext.mEntries[aEntry];
        entry.mCutOff = !entry.mCutOff;
        aNext.mCuts += entry.mCutOff ? 1 : 0;
      });
    }
  }

  /** Faults end, and then the flood. */
  void VisitEnd(const World& aWorld)
  {
    World world = aWorld;
    for (Entry& entry : world.mEntries) {
      entry.mCutOff = false;
    }
    for (int period = 0; period < kPeriodsToAgree; ++period) {
      PassSettled(world);
    }
    CheckAgreement(world);
    world.mFloods = false;
    for (int period = 0; period < kPeriodsToAgree; ++period) {
      PassSettled(world);
    }
    for (Entry& entry : world.mEntries) {
      if (!Ask(entry, kFlood, world.mNow)) {
        world.mViolation = "locked out after its flood";
      }
    }
    if (!world.mViolation.empty()) {
      Report(world);
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

  static Update Remove(World& aWorld, size_t aUpdate)
  {
    Update update = aWorld.mUnderWay[aUpdate];
    aWorld.mUnderWay.erase(aWorld.mUnderWay.begin() +
                           static_cast<std::ptrdiff_t>(aUpdate));
    return update;
  }

  void PassSettled(World& aWorld) const
  {
    Pass(aWorld);
    while (!aWorld.mUnderWay.empty()) {
      Receive(aWorld, Remove(aWorld, 0));
    }
  }

  static void Pass(World& aWorld)
  {
    aWorld.mNow += kPeriod;
    const int64_t sequence = aWorld.mNow.Count() / kPeriod.Count();
    std::erase_if(aWorld.mUnderWay, [sequence](const Update& aUpdate) {
      return sequence - aUpdate.mSequence > kMaxAge;
    });
    for (size_t each = 0; each < kEntries; ++each) {
      Entry& entry = aWorld.mEntries[each];
      entry.mHistory = Mix(entry.mHistory, aWorld.mNow.Count());
      const Update update{ .mFrom = each,
                           .mSequence = sequence,
                           .mReports =
                             entry.mShare.TakeReports(16, aWorld.mNow),
                           .mHash = Mix(entry.mHistory, 1) };
      for (size_t to = 0; to < kEntries; ++to) {
        if (to != each) {
          aWorld.mUnderWay.push_back(update);
          aWorld.mUnderWay.back().mTo = to;
        }
      }
      Load(aWorld, entry, each);
      Check(aWorld, entry, DemandIn(update.mReports));
    }
  }

  /** Most of the flood comes through the first entry. */
  static void Load(World& aWorld, Entry& aEntry, size_t aNumber)
  {
    if (!Ask(aEntry, kModest, aWorld.mNow)) {
      aWorld.mViolation = "modest workspace refused";
    }
    const int requests = aWorld.mFloods ? (aNumber == 0 ? 12 : 4) : 0;
    for (int request = 0; request < requests; ++request) {
      aWorld.mRefusals += Ask(aEntry, kFlood, aWorld.mNow) ? 0 : 1;
    }
  }

  static bool Ask(Entry& aEntry, const std::string& aWorkspace, Millis aNow)
  {
    Contention contention;
    contention.mPressure.fill(kPressure);
    return aEntry.mShare
      .Admit({ .mService = "svc",
               .mWorkspace = aWorkspace,
               .mCostMs = 100,
               .mCallerTime = Millis(9000) },
             contention,
             aNow)
      .mAdmitted;
  }

  void Receive(World& aWorld, const Update& aUpdate) const
  {
    Entry& entry = aWorld.mEntries[aUpdate.mTo];
    if (entry.mCutOff || aWorld.mEntries[aUpdate.mFrom].mCutOff) {
      return;
    }
    Known& known = entry.mKnown[aUpdate.mFrom];
    const bool isOlder = aUpdate.mSequence < known.mSequence;
    if (isOlder && mOptions.mDropsOlder) {
      return;
    }
    if (!isOlder) {
      Note(known, aUpdate, aWorld.mNow);
    }
    entry.mHistory =
      Mix(entry.mHistory, static_cast<int64_t>(aUpdate.mHash) + 2);
    for (const WorkspaceDemandReport& report : aUpdate.mReports) {
      entry.mShare.OnPeerReport(
        std::to_string(aUpdate.mFrom), report, aWorld.mNow);
    }
  }

  static void Note(Known& aKnown, const Update& aUpdate, Millis aNow)
  {
    aKnown.mSequence = aUpdate.mSequence;
    for (const WorkspaceDemandReport& report : aUpdate.mReports) {
      aKnown.mHeardAt = aNow;
      if (report.mWorkspace == kFlood) {
        aKnown.mDemand = report.mDemand;
        aKnown.mDemandAt = aNow;
      }
    }
  }

  static double DemandIn(const std::vector<WorkspaceDemandReport>& aReports)
  {
    double demand = 0;
    for (const WorkspaceDemandReport& report : aReports) {
      demand += report.mWorkspace == kFlood ? report.mDemand : 0;
    }
    return demand;
  }

  static double ViewOf(const Entry& aEntry, Millis aNow)
  {
    for (const WorkspaceShare& share : aEntry.mShare.Shares(aNow)) {
      if (share.mWorkspace == kFlood) {
        return share.mDemand;
      }
    }
    return 0;
  }

  /** aOwn: the demand of the flood here before the period's requests. */
  static void Check(World& aWorld, const Entry& aEntry, double aOwn)
  {
    double heard = 0;
    double entries = 0;
    for (const auto& [from, known] : aEntry.mKnown) {
      const bool counts = aWorld.mNow - known.mDemandAt <= kHeardLifetime;
      heard += counts ? known.mDemand : 0;
      entries += aWorld.mNow - known.mHeardAt <= kHeardLifetime ? 1 : 0;
    }
    const double expected =
      entries == 0 ? aOwn * kEntries : aOwn + heard * (kEntries - 1) / entries;
    if (std::abs(ViewOf(aEntry, aWorld.mNow) - expected) > 1 + expected / 100) {
      aWorld.mViolation = "demand isn't that of the newest reports";
    }
    const double capacity = aEntry.mShare.Capacity("svc", 0);
    double shares = 0;
    double demands = 0;
    for (const WorkspaceShare& share : aEntry.mShare.Shares(aWorld.mNow)) {
      shares += share.mShare;
      demands += share.mDemand;
    }
    if (shares < demands - 1 && shares > capacity * 1.001) {
      aWorld.mViolation = "shares exceed the capacity";
    }
  }

  static void CheckAgreement(World& aWorld)
  {
    const double first = ViewOf(aWorld.mEntries[0], aWorld.mNow);
    for (const Entry& entry : aWorld.mEntries) {
      // Reports are half a second old, and each entry knows its own.
      if (std::abs(ViewOf(entry, aWorld.mNow) - first) > first / 20) {
        aWorld.mViolation = "entries disagree after faults have ended";
      }
    }
  }

  void Report(const World& aWorld)
  {
    mResult.mViolation = aWorld.mViolation + ":";
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

} // namespace fairsharemodel
