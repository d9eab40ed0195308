#include "trace.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace replay {

using trefoilarch::RequestClass;

namespace {

/** Length distribution of a class's requests: log-normal, with bounds. */
struct RequestLengths
{
  double mPrompt = 0; /**< median */
  double mOutput = 0; /**< median */
  double mSigma = 0.5;
  double mMaxPrompt = 8000;
  double mMaxOutput = 2000;
};

/** A request class and the lengths of its requests. */
struct TrafficStream
{
  RequestClass mClass;
  RequestLengths mLengths;
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
  RequestClass requestClass;
  requestClass.mName = aName;
  requestClass.mTier = aTier;
  requestClass.mFloor = aFloor;
  requestClass.mFirstTokenTarget = Millis(aFirst);
  requestClass.mBetweenTokenTarget = Millis(aBetween);
  requestClass.mDeadline = Millis(aDeadline);
  requestClass.mIdempotent = aIdempotent;
  return requestClass;
}

const TrafficStream kMidCall{ MakeClass("mid_call", 0, 0.1, 320, 59, 20000),
                              { 700, 90 } };
const TrafficStream kBooking{
  MakeClass("booking", 0, 0.1, 500, 59, 20000, false),
  { 400, 60 }
};
const TrafficStream kGuidance{ MakeClass("guidance", 1, 0.1, 600, 59, 30000),
                               { 500, 120 } };
const TrafficStream kDrafting{ MakeClass("drafting", 2, 0.05, 4000, 100, 90000),
                               { 3000, 400 } };
const TrafficStream kPublic{ MakeClass("public", 3, 0.05, 3000, 120, 30000),
                             { 300, 150 } };
const TrafficStream kGate{ MakeClass("gate", 0, 0.1, 500, 80, 20000),
                           { 900, 120 } };
const TrafficStream kChecklist{ MakeClass("checklist", 1, 0.1, 800, 80, 30000),
                                { 500, 200 } };
const TrafficStream kPricing{
  MakeClass("pricing", 2, 0.1, 2000, 100, 20000, false),
  { 300, 60 }
};

/** Generates a trace from one seed. */
class Generator
{
public:
  Generator(const char* aName, const char* aAbout, uint64_t aSeed)
    : mRandom(aSeed)
  {
    mTrace.mName = aName;
    mTrace.mDescription = aAbout;
    mTrace.mSeed = aSeed;
    mTrace.mBatch = ReplayBatch();
  }

  /**
   * Adds Poisson arrivals of the stream between aFrom and aTo, with work that
   * is aLoad times the capacity of all engines.
   */
  void AddArrivals(const TrafficStream& aStream,
                   double aLoad,
                   int64_t aFrom,
                   int64_t aTo)
  {
    const RequestLengths& lengths = aStream.mLengths;
    const double meanFactor = std::exp(lengths.mSigma * lengths.mSigma / 2);
    const double cost =
      MinCost(static_cast<uint32_t>(lengths.mPrompt * meanFactor),
              static_cast<uint32_t>(lengths.mOutput * meanFactor));
    const double engines = static_cast<double>(mTrace.mEngines);
    std::exponential_distribution<double> gap(aLoad * engines / cost);
    double at = static_cast<double>(aFrom) + gap(mRandom);
    for (; at < static_cast<double>(aTo); at += gap(mRandom)) {
      AddRequest(aStream, static_cast<int64_t>(at));
    }
  }

  void AddRequest(const TrafficStream& aStream, int64_t aAt)
  {
    AddClass(aStream.mClass);
    const uint64_t workspace = Workspace();
    const RequestLengths& lengths = aStream.mLengths;
    const double prompt = DrawLogNormal(lengths.mPrompt, lengths.mSigma);
    const double output = DrawLogNormal(lengths.mOutput, lengths.mSigma);
    const auto promptTokens =
      static_cast<uint32_t>(std::clamp(prompt, 20.0, lengths.mMaxPrompt));
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

  Generator& Expect(const char* aClass, double aAttainment, double aCompleted)
  {
    mTrace.mExpectations.push_back({ .mClass = aClass,
                                     .mMinAttainment = aAttainment,
                                     .mMinCompleted = aCompleted });
    return *this;
  }

  Trace Finish(double aMinGoodput, double aMaxWaste)
  {
    mTrace.mMinGoodput = aMinGoodput;
    mTrace.mMaxWaste = aMaxWaste;
    std::stable_sort(mTrace.mRequests.begin(),
                     mTrace.mRequests.end(),
                     [](const TraceRequest& aLeft, const TraceRequest& aRight) {
                       return aLeft.mAt < aRight.mAt;
                     });
    return std::move(mTrace);
  }

  Trace mTrace;

private:
  void AddClass(const RequestClass& aClass)
  {
    for (const RequestClass& known : mTrace.mClasses) {
      if (known.mName == aClass.mName) {
        return;
      }
    }
    mTrace.mClasses.push_back(aClass);
  }

  /** Draws one of 10 workspaces, a few of which get most requests. */
  uint64_t Workspace()
  {
    std::geometric_distribution<uint64_t> pick(0.3);
    return std::min<uint64_t>(pick(mRandom), 9);
  }

  double DrawLogNormal(double aMedian, double aSigma)
  {
    std::lognormal_distribution<double> draw(std::log(aMedian), aSigma);
    return draw(mRandom);
  }

  std::mt19937_64 mRandom;
};

Trace
MorningOfBookings()
{
  Generator generator(
    "morning_bookings",
    "Half load, from 10 s to 30 s twice what the engines can do, "
    "half load again.",
    101);
  const auto add = [&](double aLoad, int64_t aFrom, int64_t aTo) {
    generator.AddArrivals(kMidCall, aLoad * 0.22, aFrom, aTo);
    generator.AddArrivals(kBooking, aLoad * 0.05, aFrom, aTo);
    generator.AddArrivals(kGuidance, aLoad * 0.13, aFrom, aTo);
    generator.AddArrivals(kDrafting, aLoad * 0.35, aFrom, aTo);
    generator.AddArrivals(kPublic, aLoad * 0.25, aFrom, aTo);
  };
  add(0.5, 0, 10000);
  add(2.0, 10000, 30000);
  add(0.5, 30000, 40000);
  generator.Expect("mid_call", 0.99, 0.99)
    .Expect("booking", 0.99, 0.99)
    .Expect("guidance", 0.95, 0.97)
    .Expect("public", 0, 0.05);
  return generator.Finish(0.9, 0.02);
}

Trace
LineOfFlatbeds()
{
  Generator generator("line_of_flatbeds",
                      "Level yard work at 0.6, and from 10 s to 30 s every 2 s "
                      "twelve drivers at once.",
                      102);
  generator.AddArrivals(kChecklist, 0.25, 0, 40000);
  generator.AddArrivals(kPricing, 0.35, 0, 40000);
  for (int64_t at = 10000; at < 30000; at += 2000) {
    for (int driver = 0; driver < 12; ++driver) {
      generator.AddRequest(kGate, at);
    }
  }
  generator.Expect("gate", 0.95, 0.99)
    .Expect("checklist", 0.95, 0.99)
    .Expect("pricing", 0.95, 0.99);
  return generator.Finish(0.9, 0.02);
}

Trace
PublicFlood()
{
  Generator generator(
    "public_flood",
    "All classes level at 0.6; public pages at 3 times what the "
    "engines can do from 10 s to 30 s.",
    103);
  generator.AddArrivals(kMidCall, 0.2, 0, 40000);
  generator.AddArrivals(kGuidance, 0.15, 0, 40000);
  generator.AddArrivals(kDrafting, 0.2, 0, 40000);
  generator.AddArrivals(kPublic, 0.05, 0, 40000);
  generator.AddArrivals(kPublic, 3.0, 10000, 30000);
  generator.Expect("mid_call", 0.99, 0.99)
    .Expect("guidance", 0.97, 0.98)
    .Expect("drafting", 0.9, 0.95)
    .Expect("public", 0, 0.05);
  return generator.Finish(0.9, 0.02);
}

Trace
OneClassBursts()
{
  Generator generator(
    "one_class_bursts",
    "Four classes level at 0.2 each; guidance at four times its "
    "level from 10 s to 30 s.",
    104);
  generator.AddArrivals(kMidCall, 0.2, 0, 40000);
  generator.AddArrivals(kDrafting, 0.2, 0, 40000);
  generator.AddArrivals(kPublic, 0.2, 0, 40000);
  generator.AddArrivals(kGuidance, 0.2, 0, 10000);
  generator.AddArrivals(kGuidance, 0.8, 10000, 30000);
  generator.AddArrivals(kGuidance, 0.2, 30000, 40000);
  generator.Expect("mid_call", 0.99, 0.99)
    .Expect("guidance", 0.8, 0.9)
    .Expect("drafting", 0, 0.3)
    .Expect("public", 0, 0.1);
  return generator.Finish(0.9, 0.02);
}

Trace
SlowedEngine()
{
  Generator generator(
    "slowed_engine",
    "Load 0.6; one of four engines slowed 5 times from 10 s to "
    "30 s.",
    105);
  generator.AddArrivals(kMidCall, 0.2, 0, 40000);
  generator.AddArrivals(kGuidance, 0.15, 0, 40000);
  generator.AddArrivals(kDrafting, 0.1, 0, 40000);
  generator.AddArrivals(kPublic, 0.15, 0, 40000);
  generator.mTrace.mFaults = { { Millis(10000), 0, 5 },
                               { Millis(30000), 0, 1 } };
  generator.Expect("mid_call", 0.95, 0.99)
    .Expect("guidance", 0.93, 0.98)
    .Expect("public", 0.8, 0.95);
  return generator.Finish(0.9, 0.02);
}

Trace
HalfLost()
{
  Generator generator(
    "half_lost", "Load 0.6; two of four hosts are lost at 15 s for good.", 106);
  generator.AddArrivals(kMidCall, 0.2, 0, 40000);
  generator.AddArrivals(kGuidance, 0.1, 0, 40000);
  generator.AddArrivals(kDrafting, 0.15, 0, 40000);
  generator.AddArrivals(kPublic, 0.15, 0, 40000);
  generator.mTrace.mFaults = { { Millis(15000), 0, 0 },
                               { Millis(15000), 1, 0 } };
  generator.Expect("mid_call", 0.95, 0.95)
    .Expect("guidance", 0.9, 0.93)
    .Expect("public", 0, 0.05);
  return generator.Finish(0.8, 0.08);
}

Trace
HeavyTails()
{
  Generator generator(
    "heavy_tails", "Load 0.95, prompts and outputs with heavy tails.", 107);
  TrafficStream midCall = kMidCall;
  TrafficStream drafting = kDrafting;
  TrafficStream publicPages = kPublic;
  midCall.mLengths.mSigma = 0.8;
  drafting.mLengths.mSigma = 1.0;
  publicPages.mLengths.mSigma = 1.3;
  generator.AddArrivals(midCall, 0.25, 0, 40000);
  generator.AddArrivals(drafting, 0.4, 0, 40000);
  generator.AddArrivals(publicPages, 0.3, 0, 40000);
  generator.Expect("mid_call", 0.93, 0.99)
    .Expect("drafting", 0.6, 0.8)
    .Expect("public", 0, 0.5);
  return generator.Finish(0.85, 0.03);
}

Trace
RetryHappy()
{
  Generator generator(
    "retry_happy",
    "Load 0.4, public pages at 1.6 from 10 s to 30 s; refused "
    "callers ask again after 50 ms, up to 20 times.",
    108);
  generator.AddArrivals(kMidCall, 0.25, 0, 40000);
  generator.AddArrivals(kGuidance, 0.15, 0, 40000);
  generator.AddArrivals(kPublic, 1.6, 10000, 30000);
  generator.mTrace.mRetryDelay = Millis(50);
  generator.mTrace.mMaxRetries = 20;
  generator.Expect("mid_call", 0.99, 0.99)
    .Expect("guidance", 0.97, 0.98)
    .Expect("public", 0, 0.2);
  return generator.Finish(0.9, 0.02);
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
MinCost(uint32_t aPromptTokens, uint32_t aOutputTokens)
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
