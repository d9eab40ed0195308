#include "ownmemory.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <limits>
#include <tuple>

namespace trefoilarch {

namespace {

/** No prompt or answer is longer; sums of so many stay within 64 bits. */
constexpr uint32_t kMaxTokens = 1U << 24;

/** Shared segments of one request; those beyond count as unshared. */
constexpr size_t kMaxSharedSegments = 32;

/** Segments tracked at one engine; beyond these, unused ones are dropped at
 * once. */
constexpr size_t kMaxSegments = 1000;

/** Minimum time between two samples of the segments in use. */
constexpr Millis kSampleInterval{ 400 };

uint32_t
Clamped(uint32_t aTokens)
{
  return std::min(aTokens, kMaxTokens);
}

/** The use with figures that are safe to add up. */
MemoryUse
Bounded(MemoryUse aUse)
{
  uint64_t prompt = Clamped(aUse.mPromptTokens);
  while (aUse.mShared.size() > kMaxSharedSegments) {
    prompt += Clamped(aUse.mShared.back().mTokens);
    prompt = std::min<uint64_t>(prompt, kMaxTokens);
    aUse.mShared.pop_back();
  }
  aUse.mPromptTokens = static_cast<uint32_t>(prompt);
  for (PromptSegment& each : aUse.mShared) {
    each.mTokens = Clamped(each.mTokens);
  }
  return aUse;
}

uint32_t
ToReport(int64_t aTokens)
{
  return static_cast<uint32_t>(
    std::clamp<int64_t>(aTokens, 0, std::numeric_limits<uint32_t>::max()));
}

int64_t
Total(const EngineMemoryReport& aReport)
{
  return int64_t{ aReport.mTokens } + aReport.mExpectedTokens;
}

} // namespace

OwnMemory::OwnMemory(OwnMemoryOptions aOptions)
  : mOptions(aOptions)
{
}

void
OwnMemory::OnSent(const MemoryUse& aUse, Millis aNow)
{
  OnEnded(aUse.mUpstream, aUse.mAttempt, AnswerEnd::Cut, aNow);
  while (!mSent.empty() && mSent.size() >= mOptions.mMaxAttempts) {
    const Sent oldest = mSent.front();
    OnEnded(oldest.mUpstream, oldest.mAttempt, AnswerEnd::Cut, aNow);
  }
  Engine& engine = mEngines[aUse.mUpstream];
  Attempt& attempt = engine.mAttempts[aUse.mAttempt];
  attempt.mUse = Bounded(aUse);
  attempt.mSent = mSent.insert(
    mSent.end(),
    { .mAt = aNow, .mUpstream = aUse.mUpstream, .mAttempt = aUse.mAttempt });
  ++engine.mUse.mRequests;
  ++mSum.mRequests;
  AddTokens(engine, attempt.mUse.mPromptTokens);
  for (const PromptSegment& each : attempt.mUse.mShared) {
    AddSegment(engine, each);
  }
  Estimate(engine, attempt);
  engine.mSent =
    SentRecently(engine, aNow) +
    static_cast<double>(attempt.mUse.mPromptTokens + attempt.mExpected);
  engine.mSentAt = aNow;
}

double
OwnMemory::RateWindowMs() const
{
  return static_cast<double>(std::max<int64_t>(1, mUpdateInterval.Count()));
}

double
OwnMemory::SentRecently(const Engine& aEngine, Millis aNow) const
{
  const auto age = static_cast<double>((aNow - aEngine.mSentAt).Count());
  return aEngine.mSent * std::exp(-std::max(0.0, age) / RateWindowMs());
}

double
OwnMemory::SendingRate(const UpstreamId& aUpstream, Millis aNow) const
{
  const auto found = mEngines.find(aUpstream);
  return found == mEngines.end()
           ? 0
           : SentRecently(found->second, aNow) / RateWindowMs();
}

void
OwnMemory::OnOutput(const UpstreamId& aUpstream,
                    uint64_t aAttempt,
                    uint32_t aTokens)
{
  const auto engine = mEngines.find(aUpstream);
  if (engine == mEngines.end()) {
    return;
  }
  const auto attempt = engine->second.mAttempts.find(aAttempt);
  if (attempt == engine->second.mAttempts.end()) {
    return;
  }
  uint32_t& output = attempt->second.mOutput;
  const uint32_t added = std::min(aTokens, kMaxTokens - output);
  output += added;
  AddTokens(engine->second, added);
  Estimate(engine->second, attempt->second);
}

void
OwnMemory::OnEnded(const UpstreamId& aUpstream,
                   uint64_t aAttempt,
                   AnswerEnd aEnd,
                   Millis aNow)
{
  const auto found = mEngines.find(aUpstream);
  if (found == mEngines.end()) {
    return;
  }
  Engine& engine = found->second;
  const auto ended = engine.mAttempts.find(aAttempt);
  if (ended == engine.mAttempts.end()) {
    return;
  }
  const Attempt& attempt = ended->second;
  if (aEnd == AnswerEnd::Whole) {
    mLengths.OnWhole(attempt.mUse.mRoute, attempt.mOutput);
  }
  const int64_t tokens =
    int64_t{ attempt.mUse.mPromptTokens } + attempt.mOutput;
  mMix.OnEnded(tokens,
               static_cast<double>((aNow - attempt.mSent->mAt).Count()));
  AddTokens(engine, -tokens);
  for (OwnUse* each : { &engine.mUse, &mSum }) {
    --each->mRequests;
    each->mExpected -= attempt.mExpected;
    each->mVariance -= attempt.mVariance;
    each->mMilliError -= attempt.mMilliError;
  }
  for (const PromptSegment& each : attempt.mUse.mShared) {
    RemoveSegment(engine, each.mId, aNow);
  }
  mSent.erase(attempt.mSent);
  engine.mAttempts.erase(ended);
}

void
OwnMemory::OnEngineEnded(const UpstreamId& aUpstream, Millis aNow)
{
  const auto found = mEngines.find(aUpstream);
  if (found == mEngines.end()) {
    return;
  }
  Engine& engine = found->second;
  while (!engine.mAttempts.empty()) {
    const uint64_t attempt = engine.mAttempts.begin()->first;
    OnEnded(aUpstream, attempt, AnswerEnd::Cut, aNow);
  }
  engine.mSegments.clear();
  engine.mUse.mRecentShared = 0;
}

void
OwnMemory::AddTokens(Engine& aEngine, int64_t aTokens)
{
  aEngine.mUse.mTokens += aTokens;
  mSum.mTokens += aTokens;
}

void
OwnMemory::Estimate(Engine& aEngine, Attempt& aAttempt)
{
  const RemainingOutput remaining = mLengths.Remaining(
    aAttempt.mUse.mRoute, aAttempt.mUse.mExpectedOutput, aAttempt.mOutput);
  // Whole numbers, so that the sums return to exactly 0.
  const int64_t expected = std::llround(remaining.mMean);
  const int64_t variance = std::llround(remaining.mVariance);
  const int64_t error = std::llround(1000 * remaining.mError);
  for (OwnUse* each : { &aEngine.mUse, &mSum }) {
    each->mExpected += expected - aAttempt.mExpected;
    each->mVariance += variance - aAttempt.mVariance;
    each->mMilliError += error - aAttempt.mMilliError;
  }
  aAttempt.mExpected = expected;
  aAttempt.mVariance = variance;
  aAttempt.mMilliError = error;
}

void
OwnMemory::AddSegment(Engine& aEngine, const PromptSegment& aSegment)
{
  const auto [it, isNew] = aEngine.mSegments.try_emplace(
    aSegment.mId, Segment{ .mTokens = aSegment.mTokens });
  Segment& segment = it->second;
  if (segment.mRequests == 0) {
    aEngine.mUse.mShared += segment.mTokens;
    aEngine.mUse.mRecentShared -= isNew ? 0 : segment.mTokens;
  }
  ++segment.mRequests;
}

void
OwnMemory::RemoveSegment(Engine& aEngine, uint64_t aId, Millis aNow)
{
  const auto found = aEngine.mSegments.find(aId);
  Segment& segment = found->second;
  --segment.mRequests;
  if (segment.mRequests > 0) {
    return;
  }
  segment.mUnusedSince = aNow;
  aEngine.mUse.mShared -= segment.mTokens;
  if (aEngine.mSegments.size() > kMaxSegments) {
    aEngine.mSegments.erase(found);
    return;
  }
  aEngine.mUse.mRecentShared += segment.mTokens;
}

OwnUse
OwnMemory::At(const UpstreamId& aUpstream) const
{
  const auto found = mEngines.find(aUpstream);
  return found == mEngines.end() ? OwnUse() : found->second.mUse;
}

int64_t
OwnMemory::MissingTokens(const UpstreamId& aUpstream,
                         const std::vector<PromptSegment>& aShared,
                         bool aCountsRecent) const
{
  const auto engine = mEngines.find(aUpstream);
  const auto isCounted = [&](uint64_t aId) {
    if (engine == mEngines.end()) {
      return false;
    }
    const auto found = engine->second.mSegments.find(aId);
    return found != engine->second.mSegments.end() &&
           (aCountsRecent || found->second.mRequests > 0);
  };
  int64_t tokens = 0;
  for (const PromptSegment& each : aShared) {
    tokens += isCounted(each.mId) ? 0 : Clamped(each.mTokens);
  }
  return tokens;
}

RemainingOutput
OwnMemory::Expected(const std::string& aRoute, uint32_t aExpectedOutput) const
{
  return mLengths.Remaining(aRoute, aExpectedOutput, 0);
}

EngineMemoryReport
OwnMemory::ReportOf(const UpstreamId& aUpstream, const Engine& aEngine)
{
  return { .mUpstream = aUpstream,
           .mTokens = ToReport(aEngine.mUse.mTokens),
           .mExpectedTokens = ToReport(aEngine.mUse.mExpected) };
}

std::vector<EngineMemoryReport>
OwnMemory::TakeReports(size_t aMost, Millis aNow)
{
  struct Due
  {
    Engine* mEngine;
    EngineMemoryReport mReport;
    /** Those that would expire come first, by age; the others by change. */
    std::tuple<bool, int64_t> mRank;
  };
  std::vector<Due> due;
  for (auto& [upstream, engine] : mEngines) {
    const EngineMemoryReport report = ReportOf(upstream, engine);
    const int64_t change = std::abs(Total(report) - Total(engine.mReported));
    if (Total(report) == 0 && change == 0) {
      continue;
    }
    const Millis age = aNow - engine.mReportedAt;
    const bool expires = Total(engine.mReported) > 0 && Total(report) > 0 &&
                         age >= mOptions.mReportRepeat;
    due.push_back({ .mEngine = &engine,
                    .mReport = report,
                    .mRank = { expires, expires ? age.Count() : change } });
  }
  const size_t count = std::min(aMost, due.size());
  std::partial_sort(due.begin(),
                    due.begin() + static_cast<std::ptrdiff_t>(count),
                    due.end(),
                    [](const Due& aOne, const Due& aOther) {
                      return aOne.mRank > aOther.mRank;
                    });
  std::vector<EngineMemoryReport> reports;
  for (size_t each = 0; each < count; ++each) {
    due[each].mEngine->mReported = due[each].mReport;
    due[each].mEngine->mReportedAt = aNow;
    reports.push_back(due[each].mReport);
  }
  return reports;
}

void
OwnMemory::Expire(Millis aNow)
{
  while (!mSent.empty() && aNow - mSent.front().mAt > mOptions.mMaxAttemptAge) {
    const Sent oldest = mSent.front();
    OnEnded(oldest.mUpstream, oldest.mAttempt, AnswerEnd::Cut, aNow);
  }
  for (auto& [upstream, engine] : mEngines) {
    ExpireSegments(engine, aNow);
  }
  if (aNow - mSampledAt >= kSampleInterval) {
    mSampledAt = aNow;
    SampleMix();
  }
  std::erase_if(mEngines, [](const auto& aEntry) {
    const Engine& engine = aEntry.second;
    return engine.mAttempts.empty() && engine.mSegments.empty() &&
           Total(engine.mReported) == 0;
  });
}

void
OwnMemory::SampleMix()
{
  for (const auto& [upstream, engine] : mEngines) {
    for (const auto& [id, segment] : engine.mSegments) {
      if (segment.mRequests > 0) {
        mMix.OnSegmentInUse({ .mId = id, .mTokens = segment.mTokens },
                            segment.mRequests);
      }
    }
  }
  mMix.OnSampled(mSum.mTokens);
}

void
OwnMemory::ExpireSegments(Engine& aEngine, Millis aNow) const
{
  std::erase_if(aEngine.mSegments, [&](const auto& aEntry) {
    const Segment& segment = aEntry.second;
    const bool expired = segment.mRequests == 0 && aNow - segment.mUnusedSince >
                                                     mOptions.mSharedRetention;
    aEngine.mUse.mRecentShared -= expired ? segment.mTokens : 0;
    return expired;
  });
}

} // namespace trefoilarch
