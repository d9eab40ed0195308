#include "trace.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace replay {

using trefoilarch::RequestClass;

namespace {

/** Lengths of a class's requests; log-normal, with the tail cut off. */
struct Lengths
{
  double mPrompt = 0; /**< median */
  double mOutput = 0; /**< median */
  double mSpread = 0.5;
  double mMostPrompt = 8000;
  double mMaxOutput = 2000;
};

/** A class, how long its requests are, and how much of them comes. */
struct Stream
{
  RequestClass mClass;
  Lengths mLengths;
};

RequestClass
MakeClass(const char* aName,
          trefoilarch::Tier aTier,
          double aFloor,
          int64_t aFirst,
          int64_t aBetween,
          int64_t aDeadline,
          bool aIdempotent = true)
{
  RequestClass made;
  made.mName = aName;
  made.mTier = aTier;
  made.mFloor = aFloor;
  made.mFirstTokenTarget = Millis(aFirst);
  made.mBetweenTokenTarget = Millis(aBetween);
  made.mDeadline = Millis(aDeadline);
  made.mIdempotent = aIdempotent;
  return made;
}

const Stream kMidCall{ MakeClass("mid_call", 0, 0.1, 320, 59, 20000),
                       { 700, 90 } };
const Stream kBooking{ MakeClass("booking", 0, 0.1, 500, 59, 20000, false),
                       { 400, 60 } };
const Stream kGuidance{ MakeClass("guidance", 1, 0.1, 600, 59, 30000),
                        { 500, 120 } };
const Stream kDrafting{ MakeClass("drafting", 2, 0.05, 4000, 100, 90000),
                        { 3000, 400 } };
const Stream kPublic{ MakeClass("public", 3, 0.05, 3000, 120, 30000),
                      { 300, 150 } };
const Stream kGate{ MakeClass("gate", 0, 0.1, 500, 80, 20000), { 900, 120 } };
const Stream kChecklist{ MakeClass("checklist", 1, 0.1, 800, 80, 30000),
                         { 500, 200 } };
const Stream kPricing{ MakeClass("pricing", 2, 0.1, 2000, 100, 20000, false),
                       { 300, 60 } };

/** Draws a trace from one seed. */
class Generator
{
public:
  Generator(const char* aName, const char* aAbout, uint64_t aSeed)
    : mRandom(aSeed)
  {
    mTrace.mName = aName;
    mTrace.mAbout = aAbout;
    mTrace.mSeed = aSeed;
    mTrace.mBatch = ReplayBatch();
  }

  /**
   * Poisson arrivals of the stream in that span, whose work is aLoad of what
   * all engines can do at best.
   */
  void Add(const Stream& aStream, double aLoad, int64_t aFrom, int64_t aTo)
  {
    const Lengths& lengths = aStream.mLengths;
    const double stretch = std::exp(lengths.mSpread * lengths.mSpread / 2);
    const double cost =
      LeastCost(static_cast<uint32_t>(lengths.mPrompt * stretch),
                static_cast<uint32_t>(lengths.mOutput * stretch));
    const double engines = static_cast<double>(mTrace.mEngines);
    std::exponential_distribution<double> gap(aLoad * engines / cost);
    double at = static_cast<double>(aFrom) + gap(mRandom);
    for (; at < static_cast<double>(aTo); at += gap(mRandom)) {
      AddOne(aStream, static_cast<int64_t>(at));
    }
  }

  void AddOne(const Stream& aStream, int64_t aAt)
  {
    Know(aStream.mClass);
    const uint64_t workspace = Workspace();
    const Lengths& lengths = aStream.mLengths;
    const double prompt = Draw(lengths.mPrompt, lengths.mSpread);
    const double output = Draw(lengths.mOutput, lengths.mSpread);
    const auto promptTokens =
      static_cast<uint32_t>(std::clamp(prompt, 20.0, lengths.mMostPrompt));
    mTrace.mRequests.push_back(
      { .mAt = Millis(aAt),
        .mClass = aStream.mClass.mName,
        .mWorkspace = "w" + std::to_string(workspace),
        .mPrefix = workspace * 10 + aStream.mClass.mTier,
        .mPrefixTokens = promptTokens / 4,
        .mPromptTokens = promptTokens,
        .mOutputTokens =
          static_cast<uint32_t>(std::clamp(output, 5.0, lengths.mMaxOutput)),
        .mIdempotent = aStream.mClass.mIdempotent });
  }

  Generator& Promise(const char* aClass, double aAttainment, double aCompleted)
  {
    mTrace.mPromises.push_back({ .mClass = aClass,
                                 .mLeastAttainment = aAttainment,
                                 .mLeastCompleted = aCompleted });
    return *this;
  }

  Trace Finish(double aLeastGoodput, double aMostWaste)
  {
    mTrace.mLeastGoodput = aLeastGoodput;
    mTrace.mMostWaste = aMostWaste;
    std::stable_sort(mTrace.mRequests.begin(),
                     mTrace.mRequests.end(),
                     [](const TraceRequest& aLeft, const TraceRequest& aRight) {
                       return aLeft.mAt < aRight.mAt;
                     });
    return std::move(mTrace);
  }

  Trace mTrace;

private:
  void Know(const RequestClass& aClass)
  {
    for (const RequestClass& known : mTrace.mClasses) {
      if (known.mName == aClass.mName) {
        return;
      }
    }
    mTrace.mClasses.push_back(aClass);
  }

  /** About 10 workspaces, a few large. */
  uint64_t Workspace()
  {
    std::geometric_distribution<uint64_t> pick(0.3);
    return std::min<uint64_t>(pick(mRandom), 9);
  }

  double Draw(double aMedian, double aSpread)
  {
    std::lognormal_distribution<double> draw(std::log(aMedian), aSpread);
    return draw(mRandom);
  }

  std::mt19937_64 mRandom;
};

Trace
MorningOfBookings()
{
  Generator made("morning_bookings",
                 "Half load, from 10 s to 30 s twice what the engines can do, "
                 "half load again.",
                 101);
  const auto add = [&](double aLoad, int64_t aFrom, int64_t aTo) {
    made.Add(kMidCall, aLoad * 0.22, aFrom, aTo);
    made.Add(kBooking, aLoad * 0.05, aFrom, aTo);
    made.Add(kGuidance, aLoad * 0.13, aFrom, aTo);
    made.Add(kDrafting, aLoad * 0.35, aFrom, aTo);
    made.Add(kPublic, aLoad * 0.25, aFrom, aTo);
  };
  add(0.5, 0, 10000);
  add(2.0, 10000, 30000);
  add(0.5, 30000, 40000);
  made.Promise("mid_call", 0.99, 0.99)
    .Promise("booking", 0.99, 0.99)
    .Promise("guidance", 0.95, 0.97)
    .Promise("public", 0, 0.05);
  return made.Finish(0.9, 0.02);
}

Trace
LineOfFlatbeds()
{
  Generator made("line_of_flatbeds",
                 "Level yard work at 0.6, and from 10 s to 30 s every 2 s "
                 "twelve drivers at once.",
                 102);
  made.Add(kChecklist, 0.25, 0, 40000);
  made.Add(kPricing, 0.35, 0, 40000);
  for (int64_t at = 10000; at < 30000; at += 2000) {
    for (int driver = 0; driver < 12; ++driver) {
      made.AddOne(kGate, at);
    }
  }
  made.Promise("gate", 0.95, 0.99)
    .Promise("checklist", 0.95, 0.99)
    .Promise("pricing", 0.95, 0.99);
  return made.Finish(0.9, 0.02);
}

Trace
PublicFlood()
{
  Generator made("public_flood",
                 "All classes level at 0.6; public pages at 3 times what the "
                 "engines can do from 10 s to 30 s.",
                 103);
  made.Add(kMidCall, 0.2, 0, 40000);
  made.Add(kGuidance, 0.15, 0, 40000);
  made.Add(kDrafting, 0.2, 0, 40000);
  made.Add(kPublic, 0.05, 0, 40000);
  made.Add(kPublic, 3.0, 10000, 30000);
  made.Promise("mid_call", 0.99, 0.99)
    .Promise("guidance", 0.97, 0.98)
    .Promise("drafting", 0.9, 0.95)
    .Promise("public", 0, 0.05);
  return made.Finish(0.9, 0.02);
}

Trace
OneClassBursts()
{
  Generator made("one_class_bursts",
                 "Four classes level at 0.2 each; guidance at four times its "
                 "level from 10 s to 30 s.",
                 104);
  made.Add(kMidCall, 0.2, 0, 40000);
  made.Add(kDrafting, 0.2, 0, 40000);
  made.Add(kPublic, 0.2, 0, 40000);
  made.Add(kGuidance, 0.2, 0, 10000);
  made.Add(kGuidance, 0.8, 10000, 30000);
  made.Add(kGuidance, 0.2, 30000, 40000);
  made.Promise("mid_call", 0.99, 0.99)
    .Promise("guidance", 0.8, 0.9)
    .Promise("drafting", 0, 0.3)
    .Promise("public", 0, 0.1);
  return made.Finish(0.9, 0.02);
}

Trace
SlowedEngine()
{
  Generator made("slowed_engine",
                 "Load 0.6; one of four engines slowed 5 times from 10 s to "
                 "30 s.",
                 105);
  made.Add(kMidCall, 0.2, 0, 40000);
  made.Add(kGuidance, 0.15, 0, 40000);
  made.Add(kDrafting, 0.1, 0, 40000);
  made.Add(kPublic, 0.15, 0, 40000);
  made.mTrace.mFaults = { { Millis(10000), 0, 5 }, { Millis(30000), 0, 1 } };
  made.Promise("mid_call", 0.95, 0.99)
    .Promise("guidance", 0.93, 0.98)
    .Promise("public", 0.8, 0.95);
  return made.Finish(0.9, 0.02);
}

Trace
HalfLost()
{
  Generator made(
    "half_lost", "Load 0.6; two of four hosts are lost at 15 s for good.", 106);
  made.Add(kMidCall, 0.2, 0, 40000);
  made.Add(kGuidance, 0.1, 0, 40000);
  made.Add(kDrafting, 0.15, 0, 40000);
  made.Add(kPublic, 0.15, 0, 40000);
  made.mTrace.mFaults = { { Millis(15000), 0, 0 }, { Millis(15000), 1, 0 } };
  made.Promise("mid_call", 0.95, 0.95)
    .Promise("guidance", 0.9, 0.93)
    .Promise("public", 0, 0.05);
  return made.Finish(0.8, 0.08);
}

Trace
HeavyTails()
{
  Generator made(
    "heavy_tails", "Load 0.95, prompts and outputs with heavy tails.", 107);
  Stream midCall = kMidCall;
  Stream drafting = kDrafting;
  Stream publicPages = kPublic;
  midCall.mLengths.mSpread = 0.8;
  drafting.mLengths.mSpread = 1.0;
  publicPages.mLengths.mSpread = 1.3;
  made.Add(midCall, 0.25, 0, 40000);
  made.Add(drafting, 0.4, 0, 40000);
  made.Add(publicPages, 0.3, 0, 40000);
  made.Promise("mid_call", 0.93, 0.99)
    .Promise("drafting", 0.6, 0.8)
    .Promise("public", 0, 0.5);
  return made.Finish(0.85, 0.03);
}

Trace
RetryHappy()
{
  Generator made("retry_happy",
                 "Load 0.4, public pages at 1.6 from 10 s to 30 s; refused "
                 "callers ask again after 50 ms, up to 20 times.",
                 108);
  made.Add(kMidCall, 0.25, 0, 40000);
  made.Add(kGuidance, 0.15, 0, 40000);
  made.Add(kPublic, 1.6, 10000, 30000);
  made.mTrace.mRepeatAfter = Millis(50);
  made.mTrace.mRepeats = 20;
  made.Promise("mid_call", 0.99, 0.99)
    .Promise("guidance", 0.97, 0.98)
    .Promise("public", 0, 0.2);
  return made.Finish(0.9, 0.02);
}

} // namespace

standin::BatchOptions
ReplayBatch()
{
  return { .mMaxRunning = 64,
           .mMemoryTokens = 65536,
           .mCacheBlocks = 4096,
           .mPrefillBudget = 2048,
           .mStepMillis = 18,
           .mSequenceMillis = 0.3,
           .mPrefillMillis = 0.04 };
}

double
LeastCost(uint32_t aPromptTokens, uint32_t aOutputTokens)
{
  const standin::BatchOptions batch = ReplayBatch();
  const double share =
    batch.mSequenceMillis +
    batch.mStepMillis / static_cast<double>(batch.mMaxRunning);
  return batch.mPrefillMillis * aPromptTokens + share * aOutputTokens;
}

std::vector<Trace>
GenerateTraces()
{
  return { MorningOfBookings(), LineOfFlatbeds(), PublicFlood(),
           OneClassBursts(),    SlowedEngine(),   HalfLost(),
           HeavyTails(),        RetryHappy() };
}

} // namespace replay
