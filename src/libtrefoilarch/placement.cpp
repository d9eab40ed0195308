#include "placement.h"

#include <xxhash.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace trefoilarch {

namespace {

/** Kinds of traffic that are remembered; beyond it, all are looked up anew. */
constexpr size_t kMostSets = 4096;

/** How long a set's mean load is used before it is worked out again. */
constexpr Millis kMeanSpan{ 100 };

constexpr uint16_t kNobody = std::numeric_limits<uint16_t>::max();

/** Running and waiting calls that count as much as a full room of tokens. */
constexpr double kCallsInRoom = 256;

/**
 * A millisecond of distance as a share of a room: a room empties in about
 * the time of one answer, some seconds.
 */
constexpr double kDistanceShare = 0.0005;

/** What another data centre costs, so that the own one is taken on a par. */
constexpr double kOtherDataCentre = 0.02;

uint64_t
Hash(const std::string& aText)
{
  return XXH3_64bits(aText.data(), aText.size());
}

/** Mixes two hashes; the finalizer of MurmurHash3. */
uint64_t
Mix(uint64_t aLeft, uint64_t aRight)
{
  uint64_t mixed = aLeft ^ (aRight * 0x9e3779b97f4a7c15ULL);
  mixed = (mixed ^ (mixed >> 33)) * 0xff51afd7ed558ccdULL;
  mixed = (mixed ^ (mixed >> 33)) * 0xc4ceb9fe1a85ec53ULL;
  return mixed ^ (mixed >> 33);
}

} // namespace

EligibleSet::EligibleSet(std::vector<UpstreamLink*> aMembers)
  : mMembers(std::move(aMembers))
{
  for (const UpstreamLink* member : mMembers) {
    mNameHashes.push_back(Hash(member->mView.mName));
  }
}

const EligibleSet::Preferred&
EligibleSet::PreferredFor(uint64_t aPrefixHash)
{
  if (mSlots.empty()) {
    mSlots.resize(kSlots);
    mRanked.resize(kSlots);
  }
  const size_t slot = Mix(aPrefixHash, 0) % kSlots;
  if (!mRanked[slot]) {
    mSlots[slot] = Rank(slot);
    mRanked[slot] = true;
  }
  return mSlots[slot];
}

EligibleSet::Preferred
EligibleSet::Rank(uint64_t aSlot) const
{
  std::array<std::pair<uint64_t, uint16_t>, kPreferred> best;
  best.fill({ 0, kNobody });
  for (size_t i = 0; i < mNameHashes.size() && i < kNobody; i++) {
    std::pair<uint64_t, uint16_t> next{ Mix(mNameHashes[i], aSlot + 1),
                                        static_cast<uint16_t>(i) };
    for (auto& place : best) {
      if (place.second == kNobody || next.first > place.first) {
        std::swap(place, next);
      }
    }
  }
  Preferred ranked;
  for (size_t i = 0; i < kPreferred; i++) {
    ranked[i] = best[i].second;
  }
  return ranked;
}

size_t
Placement::LabelsHash::operator()(const Labels& aLabels) const
{
  uint64_t hash = 0;
  for (const auto& [key, value] : aLabels) {
    hash = Mix(Mix(hash, Hash(key)), Hash(value));
  }
  return hash;
}

Placement::Placement(PlacementOptions aOptions)
  : mOptions(std::move(aOptions))
  , mRandom(mOptions.mSeed)
{
}

void
Placement::Forget()
{
  mSets.clear();
  mShared.clear();
}

EligibleSet&
Placement::Eligible(const Labels& aTraffic,
                    std::map<UpstreamId, UpstreamLink>& aLinks,
                    const LinkFilter& aMayGo)
{
  const auto known = mSets.find(aTraffic);
  if (known != mSets.end()) {
    return *known->second;
  }
  if (mSets.size() >= kMostSets) {
    Forget();
  }
  std::vector<UpstreamLink*> members;
  for (auto& [name, link] : aLinks) {
    if (aMayGo(link)) {
      members.push_back(&link);
    }
  }
  std::shared_ptr<EligibleSet>& shared = mShared[members];
  if (!shared) {
    shared = std::make_shared<EligibleSet>(std::move(members));
  }
  mSets.emplace(aTraffic, shared);
  return *shared;
}

std::vector<UpstreamLink*>
Placement::Choose(EligibleSet& aSet,
                  uint64_t aPrefixHash,
                  size_t aCount,
                  const LinkFilter& aUsable,
                  Millis aNow)
{
  std::vector<UpstreamLink*> chosen;
  const LinkFilter usable = [&](const UpstreamLink& aLink) {
    return std::find(chosen.begin(), chosen.end(), &aLink) == chosen.end() &&
           aUsable(aLink);
  };
  if (aPrefixHash != 0 && aCount > 0) {
    UpstreamLink* link = ChoosePreferred(aSet, aPrefixHash, usable, aNow);
    if (link) {
      chosen.push_back(link);
    }
  }
  while (chosen.size() < aCount) {
    UpstreamLink* link = ChooseByLoad(aSet, usable);
    if (!link) {
      break;
    }
    chosen.push_back(link);
  }
  return chosen;
}

UpstreamLink*
Placement::ChoosePreferred(EligibleSet& aSet,
                           uint64_t aPrefixHash,
                           const LinkFilter& aUsable,
                           Millis aNow)
{
  const double most =
    MeanScore(aSet, aNow) * mOptions.mLoadBound + mOptions.mLoadSlack;
  for (const uint16_t index : aSet.PreferredFor(aPrefixHash)) {
    if (index == kNobody) {
      break;
    }
    UpstreamLink* link = aSet.mMembers[index];
    if (aUsable(*link) && Score(*link) <= most) {
      return link;
    }
  }
  return nullptr;
}

UpstreamLink*
Placement::ChooseByLoad(const EligibleSet& aSet, const LinkFilter& aUsable)
{
  const auto& members = aSet.mMembers;
  if (members.size() <= mOptions.mSamples) {
    return ChooseFromAll(aSet, aUsable);
  }
  UpstreamLink* best = nullptr;
  double bestScore = 0;
  for (size_t i = 0; i < mOptions.mSamples; i++) {
    UpstreamLink* link = members[AnyIndex(aSet)];
    if (!aUsable(*link)) {
      continue;
    }
    const double score = Score(*link);
    if (!best || score < bestScore) {
      best = link;
      bestScore = score;
    }
  }
  return best ? best : ChooseFromAll(aSet, aUsable);
}

UpstreamLink*
Placement::ChooseFromAll(const EligibleSet& aSet, const LinkFilter& aUsable)
{
  const auto& members = aSet.mMembers;
  if (members.empty()) {
    return nullptr;
  }
  UpstreamLink* best = nullptr;
  double bestScore = 0;
  const size_t first = AnyIndex(aSet);
  for (size_t i = 0; i < members.size(); i++) {
    UpstreamLink* link = members[(first + i) % members.size()];
    if (!aUsable(*link)) {
      continue;
    }
    const double score = Score(*link);
    if (!best || score < bestScore) {
      best = link;
      bestScore = score;
    }
  }
  return best;
}

size_t
Placement::AnyIndex(const EligibleSet& aSet)
{
  std::uniform_int_distribution<size_t> any(0, aSet.mMembers.size() - 1);
  return any(mRandom);
}

double
Placement::MeanScore(EligibleSet& aSet, Millis aNow) const
{
  if (aNow < aSet.mNextLook || aSet.mMembers.empty()) {
    return aSet.mMeanScore;
  }
  double sum = 0;
  size_t ready = 0;
  for (const UpstreamLink* link : aSet.mMembers) {
    if (link->Ready()) {
      sum += Score(*link);
      ready++;
    }
  }
  aSet.mMeanScore = ready == 0 ? 0 : sum / static_cast<double>(ready);
  aSet.mNextLook = aNow + kMeanSpan;
  return aSet.mMeanScore;
}

double
Placement::Score(const UpstreamLink& aLink) const
{
  const Load& load = aLink.mLoad;
  const auto room = static_cast<double>(std::max<uint64_t>(load.mTokenRoom, 1));
  const double tokens =
    static_cast<double>(load.mTokensInFlight + load.mTokensWaiting) +
    static_cast<double>(aLink.mTokensSince);
  const double calls =
    static_cast<double>(load.mRunning) + load.mWaiting + aLink.mCallsSince;
  const bool far = aLink.mView.mDataCentre != mOptions.mDataCentre;
  const auto distance = static_cast<double>(aLink.mRoundTrip.Count());
  return std::max(tokens / room, 0.0) + std::max(calls / kCallsInRoom, 0.0) +
         distance * kDistanceShare + (far ? kOtherDataCentre : 0);
}

} // namespace trefoilarch
