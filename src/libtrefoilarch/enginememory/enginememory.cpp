#include "enginememory.h"

#include <algorithm>
#include <cmath>

namespace trefoilarch {

namespace {

/** Variance of further output per token of its mean, in tokens, while this
 * entry has no requests. It is that of answers of 256 tokens whose lengths vary
 * by half. */
constexpr double kDefaultVariancePerToken = 64;

/** Bounds and default of the time per output token, in milliseconds. */
constexpr double kMinTokenMs = 0.1;
constexpr double kMaxTokenMs = 1000;
constexpr double kDefaultTokenMs = 10;

/** Runs that still generate have on average half of their time left, so the
 * last ends after twice the mean. */
constexpr double kLastEndFactor = 2;

/** A request that waits is decided again after at least this time, in
 * milliseconds: about two steps of an engine. */
constexpr double kMinWaitMs = 20;

/** After a shorter delay the same requests would still run. */
constexpr double kMinReturnMs = 250;

/** How long a waiting request keeps its claim after the time at which it is to
 * be decided again. */
constexpr Millis kClaimGrace{ 100 };

Millis
Share(Millis aTime, double aShare)
{
  return Millis(static_cast<int64_t>(
    static_cast<double>(std::max<int64_t>(0, aTime.Count())) * aShare));
}

int64_t
FullTokens(const MemoryRequest& aRequest, double aOutput)
{
  int64_t tokens = std::llround(aOutput) + aRequest.mPromptTokens;
  for (const PromptSegment& each : aRequest.mShared) {
    tokens += each.mTokens;
  }
  return tokens;
}

bool
IsTooLarge(const std::vector<MemoryCandidate>& aCandidates, int64_t aTokens)
{
  return !aCandidates.empty() &&
         std::ranges::all_of(aCandidates, [&](const MemoryCandidate& aEach) {
           return aEach.mCapacityTokens != 0 &&
                  aTokens > int64_t{ aEach.mCapacityTokens };
         });
}

} // namespace

EngineMemory::EngineMemory(EngineMemoryOptions aOptions)
  : mOptions(aOptions)
  , mOwn(aOptions.mOwn)
  , mPeers(aOptions.mPeers)
  , mWaiters(aOptions.mMaxWaiters)
{
}

void
EngineMemory::SetEntries(size_t aAll, size_t aHeard, Millis aUpdateInterval)
{
  mOwn.SetUpdateInterval(aUpdateInterval);
  mPeers.SetUpdateInterval(aUpdateInterval);
  mEntries = aAll;
  mHeard = aHeard;
}

void
EngineMemory::OnSent(const MemoryUse& aUse, Millis aNow)
{
  mWaiters.Remove(aUse.mAttempt);
  mOwn.OnSent(aUse, aNow);
}

void
EngineMemory::OnOutput(const UpstreamId& aUpstream,
                       uint64_t aAttempt,
                       uint32_t aTokens)
{
  mOwn.OnOutput(aUpstream, aAttempt, aTokens);
}

void
EngineMemory::OnEnded(const UpstreamId& aUpstream,
                      uint64_t aAttempt,
                      Millis aNow,
                      AnswerEnd aEnd)
{
  mOwn.OnEnded(aUpstream, aAttempt, aEnd, aNow);
}

void
EngineMemory::OnEngineEnded(const UpstreamId& aUpstream, Millis aNow)
{
  mOwn.OnEngineEnded(aUpstream, aNow);
}

void
EngineMemory::OnGivenUp(uint64_t aAttempt)
{
  mWaiters.Remove(aAttempt);
}

std::vector<EngineMemoryReport>
EngineMemory::TakeReports(size_t aMost, Millis aNow)
{
  return mOwn.TakeReports(aMost, aNow);
}

void
EngineMemory::OnPeerReport(const std::string& aFrom,
                           const EngineMemoryReport& aReport,
                           Millis aNow)
{
  mPeers.OnReport(aFrom, aReport, aNow);
}

void
EngineMemory::Expire(Millis aNow)
{
  mOwn.Expire(aNow);
  mPeers.Expire(aNow);
  mWaiters.Expire(aNow);
}

bool
EngineMemory::IsCutOff() const
{
  return mEntries > 1 && mHeard == 0;
}

double
EngineMemory::PeerScale() const
{
  if (mHeard == 0 || mEntries <= mHeard + 1) {
    return 1;
  }
  return static_cast<double>(mEntries - 1) / static_cast<double>(mHeard);
}

double
EngineMemory::OutputVariance(const OwnUse& aOwn,
                             double aPeersExpected,
                             const RemainingOutput& aAdded) const
{
  const OwnUse& all = mOwn.Sum();
  double perToken = kDefaultVariancePerToken;
  double errorPerToken = 0;
  if (all.mExpected > 0) {
    const auto expected = static_cast<double>(all.mExpected);
    perToken = static_cast<double>(all.mVariance) / expected;
    errorPerToken = static_cast<double>(all.mMilliError) / 1000 / expected;
  }
  const double error = static_cast<double>(aOwn.mMilliError) / 1000 +
                       aPeersExpected * errorPerToken + aAdded.mError;
  return static_cast<double>(aOwn.mVariance) + aPeersExpected * perToken +
         aAdded.mVariance + error * error;
}

double
EngineMemory::SentSince(const UpstreamId& aUpstream,
                        const PeerUse& aPeers,
                        Millis aNow) const
{
  if (IsCutOff()) {
    return 0;
  }
  // Little's law: what is held is the rate of new tokens times their stay.
  const double turnover =
    (aPeers.mTokens + aPeers.mExpected) / mOwn.Mix().MeanTimeMs();
  const double heard = PeerScale() * std::max(turnover, aPeers.mRise);
  const auto others = static_cast<double>(std::max<size_t>(1, mEntries) - 1);
  const double likeOwn = others * mOwn.SendingRate(aUpstream, aNow);
  return aPeers.mAgeMs * std::max(heard, likeOwn);
}

int64_t
EngineMemory::SharedTokens(const OwnUse& aOwn, double aPeersTokens) const
{
  if (aPeersTokens <= 0) {
    return aOwn.mShared;
  }
  const double expected =
    mOwn.Mix().SharedTokens(aPeersTokens + static_cast<double>(aOwn.mTokens));
  return std::max<int64_t>(
    aOwn.mShared + aOwn.mRecentShared,
    std::llround(mOptions.mExpectedSharedWeight * expected));
}

MemoryRoom
EngineMemory::RoomWith(const UpstreamId& aUpstream,
                       uint32_t aCapacityTokens,
                       const RemainingOutput& aAdded,
                       Millis aNow) const
{
  const OwnUse own = mOwn.At(aUpstream);
  const PeerUse peers = mPeers.At(aUpstream, aNow);
  const double scale = PeerScale();
  const double sent = SentSince(aUpstream, peers, aNow);
  const double variance = OutputVariance(own, scale * peers.mExpected, aAdded) +
                          sent * mOwn.Mix().MeanTokens();
  const double margin = mOptions.mMarginDeviations * std::sqrt(variance) + sent;
  const int64_t capacity = int64_t{ aCapacityTokens } /
                           (IsCutOff() ? static_cast<int64_t>(mEntries) : 1);
  const double maxMargin =
    mOptions.mMaxMarginShare * static_cast<double>(capacity);
  MemoryRoom room{
    .mUsed = own.mTokens + SharedTokens(own, scale * peers.mTokens + sent) +
             std::llround(scale * peers.mTokens),
    .mExpected = own.mExpected + std::llround(scale * peers.mExpected),
    .mMargin = std::llround(std::min(margin, maxMargin)),
  };
  room.mFree = capacity - room.mUsed - room.mExpected - room.mMargin;
  return room;
}

MemoryRoom
EngineMemory::RoomAt(const UpstreamId& aUpstream,
                     uint32_t aCapacityTokens,
                     Millis aNow) const
{
  return RoomWith(aUpstream, aCapacityTokens, {}, aNow);
}

bool
EngineMemory::Fits(const UpstreamId& aUpstream,
                   uint32_t aCapacityTokens,
                   uint32_t aRequestTokens,
                   Millis aNow) const
{
  const MemoryRoom room = RoomAt(aUpstream, aCapacityTokens, aNow);
  const bool empty = !IsCutOff() && room.mUsed + room.mExpected == 0;
  return aRequestTokens <= (empty ? aCapacityTokens : room.mFree);
}

std::vector<EngineMemory::Option>
EngineMemory::OptionsOf(const std::vector<MemoryCandidate>& aCandidates,
                        const MemoryRequest& aRequest,
                        Millis aNow) const
{
  const RemainingOutput output =
    mOwn.Expected(aRequest.mRoute, aRequest.mExpectedOutput);
  const int64_t ahead = mWaiters.TokensAhead(aRequest.mService, aRequest.mTier);
  const int64_t unshared =
    int64_t{ aRequest.mPromptTokens } + std::llround(output.mMean);
  std::vector<Option> options;
  options.reserve(aCandidates.size());
  for (const MemoryCandidate& each : aCandidates) {
    Option option{ .mCandidate = &each };
    // Without others, SharedTokens() counts only segments that are in use.
    option.mRequestTokens =
      unshared +
      mOwn.MissingTokens(each.mUpstream, aRequest.mShared, mHeard > 0);
    option.mRoom = RoomWith(each.mUpstream, each.mCapacityTokens, output, aNow);
    option.mLeft = option.mRoom.mFree - option.mRequestTokens - ahead;
    // An empty engine needs no margin.
    const bool empty = !IsCutOff() && ahead == 0 &&
                       option.mRoom.mUsed + option.mRoom.mExpected == 0;
    option.mFits =
      each.mCapacityTokens == 0 || option.mLeft >= 0 ||
      (empty && option.mRequestTokens <= int64_t{ each.mCapacityTokens });
    options.push_back(option);
  }
  return options;
}

bool
EngineMemory::FitsAlone(const Option& aOption, int64_t aUnusedShare) const
{
  return IsCutOff() && mOwn.At(aOption.mCandidate->mUpstream).mRequests == 0 &&
         aOption.mRequestTokens <=
           int64_t{ aOption.mCandidate->mCapacityTokens } &&
         aOption.mRequestTokens <= aUnusedShare;
}

MemoryVerdict
EngineMemory::Decide(const std::vector<MemoryCandidate>& aCandidates,
                     const MemoryRequest& aRequest,
                     Millis aNow)
{
  mWaiters.Remove(aRequest.mAttempt);
  mPeers.Expire(aNow);
  mWaiters.Expire(aNow);
  const double output =
    mOwn.Expected(aRequest.mRoute, aRequest.mExpectedOutput).mMean;
  if (IsTooLarge(aCandidates, FullTokens(aRequest, output))) {
    return { .mKind = MemoryVerdict::Kind::TooLarge };
  }
  const std::vector<Option> options = OptionsOf(aCandidates, aRequest, aNow);
  int64_t unusedShare = 0;
  for (const Option& each : options) {
    unusedShare += each.mRoom.mFree;
  }
  MemoryVerdict verdict;
  for (const Option& each : options) {
    if (each.mFits || FitsAlone(each, unusedShare)) {
      verdict.mUpstreams.push_back(each.mCandidate->mUpstream);
    }
  }
  return verdict.mUpstreams.empty() ? DecideFull(options, aRequest, aNow)
                                    : verdict;
}

bool
EngineMemory::MayQueue(const Option& aOption, uint8_t aTier) const
{
  const double mostQueued =
    mOptions.mMaxQueueShare * aOption.mCandidate->mCapacityTokens;
  return aTier <= mOptions.mMaxQueueTier && !IsCutOff() &&
         static_cast<double>(-aOption.mLeft) <= mostQueued;
}

double
EngineMemory::ForecastMs(const Option& aOption) const
{
  const OwnUse here = mOwn.At(aOption.mCandidate->mUpstream);
  const OwnUse& sample = here.mRequests > 0 ? here : mOwn.Sum();
  const int64_t requests = std::max<int64_t>(1, sample.mRequests);
  const double meanRemaining =
    static_cast<double>(std::max<int64_t>(1, sample.mExpected)) /
    static_cast<double>(requests);
  const double stated = aOption.mCandidate->mTokenMs;
  const double tokenMs = std::isfinite(stated) && stated > 0
                           ? std::clamp(stated, kMinTokenMs, kMaxTokenMs)
                           : kDefaultTokenMs;
  // Runs end evenly over the time until the last one ends.
  const int64_t held =
    std::max<int64_t>(1, aOption.mRoom.mUsed + aOption.mRoom.mExpected);
  const double share = std::clamp(
    static_cast<double>(-aOption.mLeft) / static_cast<double>(held), 0.0, 1.0);
  return kLastEndFactor * meanRemaining * tokenMs * share;
}

MemoryVerdict
EngineMemory::DecideFull(const std::vector<Option>& aOptions,
                         const MemoryRequest& aRequest,
                         Millis aNow)
{
  const Millis latestReturn =
    Share(aRequest.mTimeLeft, mOptions.mMaxReturnShare);
  MemoryVerdict refusal{ .mKind = MemoryVerdict::Kind::Return,
                         .mRetryAfter = latestReturn };
  if (aOptions.empty()) {
    return refusal;
  }
  const Option& roomiest =
    *std::ranges::max_element(aOptions, {}, &Option::mLeft);
  if (MayQueue(roomiest, aRequest.mTier)) {
    return { .mKind = MemoryVerdict::Kind::Queue,
             .mUpstreams = { roomiest.mCandidate->mUpstream } };
  }
  double forecast = ForecastMs(aOptions.front());
  for (const Option& each : aOptions) {
    forecast = std::min(forecast, ForecastMs(each));
  }
  const Millis wait(static_cast<int64_t>(std::max(forecast, kMinWaitMs)));
  const Millis longestWait =
    Share(aRequest.mFirstTokenLeft, mOptions.mMaxWaitShare);
  const bool mayWait =
    aRequest.mTier <= mOptions.mMaxWaitTier && wait <= longestWait;
  if (mayWait && mWaiters.Add(aRequest.mAttempt,
                              { .mService = aRequest.mService,
                                .mTier = aRequest.mTier,
                                .mTokens = roomiest.mRequestTokens,
                                .mUntil = aNow + wait + kClaimGrace })) {
    return { .mKind = MemoryVerdict::Kind::Wait, .mUntil = aNow + wait };
  }
  const Millis delay(static_cast<int64_t>(std::max(forecast, kMinReturnMs)));
  refusal.mRetryAfter = std::min(delay, latestReturn);
  return refusal;
}

} // namespace trefoilarch
