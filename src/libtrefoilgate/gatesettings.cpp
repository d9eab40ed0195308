#include "gatesettings.h"

#include <algorithm>
#include <cmath>

namespace trefoilgate {

using trefoilarch::Millis;
using trefoilarch::PartMode;
using trefoilio::NotEmpty;
using trefoilio::NumberBetween;
using trefoilio::NumericEndpoint;
using trefoilio::OneOf;
using trefoilio::SettingSpec;

namespace {

/** Subtracted from the time for which a revoked key may be honoured: covers the
 * way to the upstream, and a short pause of the host. */
constexpr Millis kRevocationMargin{ 500 };

/** Subtracted from the time in which a process has to stop. */
constexpr Millis kStopMargin{ 300 };

constexpr double kHundred = 100;

/** Factor on the allowed share of retries, as retries lost in transit count as
 * well. */
constexpr double kUsedRetryShare = 0.9;

constexpr double kBytesPerMb = 1048576;
constexpr double kMillisInSecond = 1000;

/** Callers' bodies may use the memory divided by this; the rest is for answers
 * buffered for slow callers and everything else. */
constexpr uint64_t kBodyMemoryDivisor = 3;

/** Answers that callers have not read may use the memory divided by this,
 * unless a setting states how much. */
constexpr double kAnswerMemoryDivisor = 4;

/** All that connections take may be the memory divided by this; the rest is for
 * what the process itself needs. */
constexpr uint64_t kConnectionMemoryDivisor = 2;

std::function<std::string(const std::string&)>
EmptyOrEndpoint()
{
  return [](const std::string& aText) -> std::string {
    return aText.empty() ? "" : NumericEndpoint()(aText);
  };
}

/** Rounds down, so that a duration, count or size never exceeds a fractional
 * setting. */
int64_t
Floor(double aValue)
{
  return static_cast<int64_t>(std::floor(aValue));
}

/** A setting that switches a part on or off; see PartMode. */
SettingSpec
PartSetting(const char* aName,
            const std::string& aEffect,
            const char* aDefault = "auto")
{
  return { .mName = aName,
           .mHelp = aEffect +
                    " (auto, on or off; auto: for services whose upstreams "
                    "state their contention)",
           .mDefault = aDefault,
           .mCheck = OneOf({ "auto", "on", "off" }) };
}

/** Requires a value that PartSetting() accepts. */
PartMode
PartModeOf(const std::string& aText)
{
  if (aText == "on") {
    return PartMode::On;
  }
  return aText == "off" ? PartMode::Off : PartMode::Auto;
}

/** In bytes. A quarter of the memory unless the setting states a size; never
 * more than the memory, and enough for a few reads. */
uint64_t
AnswerBufferBytes(double aMemory, double aSetting)
{
  const double bytes =
    aSetting > 0 ? aSetting * kBytesPerMb : aMemory / kAnswerMemoryDivisor;
  return static_cast<uint64_t>(
    Floor(std::clamp(bytes, kBytesPerMb, std::max(kBytesPerMb, aMemory))));
}

} // namespace

std::vector<SettingSpec>
GateSettingSpecs()
{
  constexpr double kMaxMillis = 3600.0 * 1000;
  return {
    { .mName = "name",
      .mHelp = "name of this process, for logs",
      .mRequired = true,
      .mCheck = NotEmpty() },
    { .mName = "data-centre",
      .mHelp = "data centre this process stands in",
      .mDefault = "local",
      .mCheck = NotEmpty() },
    { .mName = "listen",
      .mHelp = "callers' HTTP port (ADDRESS:PORT)",
      .mRequired = true,
      .mCheck = NumericEndpoint() },
    { .mName = "operator-listen",
      .mHelp = "port for readiness, metrics and the state dump (ADDRESS:PORT)",
      .mRequired = true,
      .mCheck = NumericEndpoint() },
    { .mName = "platform",
      .mHelp = "the platform's store (ADDRESS:PORT)",
      .mRequired = true,
      .mCheck = NumericEndpoint() },
    { .mName = "peer-listen",
      .mHelp = "UDP port for what entries tell each other (ADDRESS:PORT); "
               "empty: none",
      .mCheck = EmptyOrEndpoint() },
    { .mName = "revoke-ms",
      .mHelp = "a revoked key is honoured no longer than this (ms)",
      .mDefault = "5000",
      .mCheck = NumberBetween(1000, kMaxMillis) },
    { .mName = "apply-ms",
      .mHelp = "a policy is in force this long after it was put (ms)",
      .mDefault = "2000",
      .mCheck = NumberBetween(500, kMaxMillis) },
    { .mName = "drain-ms",
      .mHelp = "an upstream gets no request later than this after it said that "
               "it leaves (ms)",
      .mDefault = "2000",
      .mCheck = NumberBetween(500, kMaxMillis) },
    { .mName = "heartbeat-ms",
      .mHelp = "upstreams renew their entries in the store this often (ms)",
      .mDefault = "1200",
      .mCheck = NumberBetween(50, kMaxMillis) },
    { .mName = "retry-share",
      .mHelp = "retries that all entries together may make, as a share of "
               "requests (0 to 1)",
      .mDefault = "0.2",
      .mCheck = NumberBetween(0, 1) },
    { .mName = "retry-slack",
      .mHelp = "retries besides, of all entries together; of this one where no "
               "peer-listen is set (a number)",
      .mDefault = "50",
      .mCheck = NumberBetween(0, 100000) },
    { .mName = "duties",
      .mHelp = "duties that one entry performs for the fleet, separated by "
               "commas; those it does not know are left out" },
    { .mName = "duty-receiver",
      .mHelp = "receives the duties' calls (ADDRESS:PORT); empty: no duty is "
               "performed",
      .mCheck = EmptyOrEndpoint() },
    { .mName = "duty-lease-ms",
      .mHelp = "an entry that is lost is replaced in its duties after this "
               "time (ms)",
      .mDefault = "3000",
      .mCheck = NumberBetween(500, kMaxMillis) },
    { .mName = "usage-window-s",
      .mHelp = "length of a usage window (s)",
      .mDefault = "5",
      .mCheck = NumberBetween(1, 86400) },
    { .mName = "usage-late-s",
      .mHelp = "the usage of a window is reported within this time after its "
               "end (s)",
      .mDefault = "10",
      .mCheck = NumberBetween(1, 86400) },
    { .mName = "stop-seconds",
      .mHelp = "how long a planned stop may take (s)",
      .mDefault = "8",
      .mCheck = NumberBetween(1, 3600) },
    { .mName = "most-descriptors",
      .mHelp = "file descriptors that the process may use",
      .mDefault = "4096",
      .mCheck = NumberBetween(64, 1 << 20) },
    { .mName = "memory-mb",
      .mHelp = "memory that the process may use (MB)",
      .mDefault = "512",
      .mCheck = NumberBetween(32, 1 << 20) },
    PartSetting("upstream-performance",
                "choose upstreams by their measured speed"),
    PartSetting("engine-memory",
                "send engines only requests that fit their memory",
                "off"),
    PartSetting("fair-shares",
                "share overloaded services fairly among workspaces"),
    { .mName = "caller-stall-ms",
      .mHelp = "a caller that reads nothing for this long is cut off, and an "
               "upstream that reads nothing of a body is given up (ms)",
      .mDefault = "10000",
      .mCheck = NumberBetween(500, kMaxMillis) },
    { .mName = "answer-buffer-mb",
      .mHelp = "memory for answers that callers have not read yet (MB); 0: a "
               "quarter of memory-mb",
      .mDefault = "0",
      .mCheck = NumberBetween(0, 1 << 20) },
  };
}

std::vector<std::string>
ChangedNames(const GateSettings& aBefore, const GateSettings& aAfter)
{
  std::vector<std::string> names;
  const auto compare = [&](const char* aName, auto GateSettings::*aMember) {
    if (aBefore.*aMember != aAfter.*aMember) {
      names.emplace_back(aName);
    }
  };
  compare("name", &GateSettings::mName);
  compare("data-centre", &GateSettings::mDataCentre);
  compare("listen", &GateSettings::mListen);
  compare("operator-listen", &GateSettings::mOperatorListen);
  compare("platform", &GateSettings::mPlatform);
  compare("peer-listen", &GateSettings::mPeerListen);
  compare("revoke-ms", &GateSettings::mKeyPolicyMaxAge);
  compare("apply-ms", &GateSettings::mMaxApplyDelay);
  compare("drain-ms", &GateSettings::mMaxDrainDelay);
  compare("heartbeat-ms", &GateSettings::mHeartbeatInterval);
  compare("retry-share", &GateSettings::mRetryPercent);
  compare("retry-slack", &GateSettings::mRetrySlack);
  compare("duties", &GateSettings::mDuties);
  compare("duty-receiver", &GateSettings::mDutyReceiver);
  compare("duty-lease-ms", &GateSettings::mDutyLease);
  compare("usage-window-s", &GateSettings::mUsageWindow);
  compare("usage-late-s", &GateSettings::mUsageLateness);
  compare("stop-seconds", &GateSettings::mStopTimeout);
  compare("most-descriptors", &GateSettings::mMaxDescriptors);
  compare("memory-mb", &GateSettings::mMaxBodyBytes);
  compare("upstream-performance", &GateSettings::mUpstreamPerformance);
  compare("engine-memory", &GateSettings::mEngineMemory);
  compare("fair-shares", &GateSettings::mFairShares);
  compare("caller-stall-ms", &GateSettings::mCallerStall);
  compare("answer-buffer-mb", &GateSettings::mAnswerBufferBytes);
  return names;
}

GateSettings
ReadGateSettings(const trefoilio::Settings& aSettings)
{
  const double stopMillis = aSettings.Number("stop-seconds") * kMillisInSecond;
  const double usageWindowMillis =
    aSettings.Number("usage-window-s") * kMillisInSecond;
  const double usageLatenessMillis =
    aSettings.Number("usage-late-s") * kMillisInSecond;
  const double memory = aSettings.Number("memory-mb") * kBytesPerMb;
  return GateSettings{
    .mName = aSettings.Text("name"),
    .mDataCentre = aSettings.Text("data-centre"),
    .mListen = aSettings.Text("listen"),
    .mOperatorListen = aSettings.Text("operator-listen"),
    .mPlatform = aSettings.Text("platform"),
    .mPeerListen = aSettings.Text("peer-listen"),
    .mKeyPolicyMaxAge =
      Millis(Floor(aSettings.Number("revoke-ms"))) - kRevocationMargin,
    .mMaxApplyDelay = Millis(Floor(aSettings.Number("apply-ms"))),
    .mMaxDrainDelay = Millis(Floor(aSettings.Number("drain-ms"))),
    .mHeartbeatInterval = Millis(Floor(aSettings.Number("heartbeat-ms"))),
    .mRetryPercent =
      aSettings.Number("retry-share") * kUsedRetryShare * kHundred,
    .mRetrySlack = aSettings.Number("retry-slack"),
    .mStopTimeout = Millis(Floor(stopMillis)) - kStopMargin,
    .mMaxDescriptors =
      static_cast<uint32_t>(Floor(aSettings.Number("most-descriptors"))),
    .mDuties = aSettings.Text("duties"),
    .mDutyReceiver = aSettings.Text("duty-receiver"),
    .mUsageWindow = Millis(Floor(usageWindowMillis)),
    .mUsageLateness = Millis(Floor(usageLatenessMillis)),
    .mDutyLease = Millis(Floor(aSettings.Number("duty-lease-ms"))),
    .mMaxBodyBytes = static_cast<uint64_t>(Floor(memory)) / kBodyMemoryDivisor,
    .mUpstreamPerformance = PartModeOf(aSettings.Text("upstream-performance")),
    .mEngineMemory = PartModeOf(aSettings.Text("engine-memory")),
    .mFairShares = PartModeOf(aSettings.Text("fair-shares")),
    .mCallerStall = Millis(Floor(aSettings.Number("caller-stall-ms"))),
    .mAnswerBufferBytes =
      AnswerBufferBytes(memory, aSettings.Number("answer-buffer-mb")),
    .mConnectionBytes =
      static_cast<uint64_t>(Floor(memory)) / kConnectionMemoryDivisor
  };
}

} // namespace trefoilgate
