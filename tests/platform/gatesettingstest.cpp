#include "platformfleet.h"

#include "libtrefoilgate/gatesettings.h"

#include <criterion/criterion.h>

#include <map>
#include <string>
#include <vector>

using namespace trefoilgate;
using platformtest::PlatformFleet;
using trefoilarch::Millis;

/** The settings that a platform fills in, with any numbers. */
namespace {

using Variables = std::map<std::string, std::string>;

/** The names are those in deploy/gate.env, the numbers are integers. */
Variables
DefaultVariables()
{
  return { { "TREFOILARCH_NAME", "gate-1" },
           { "TREFOILARCH_LISTEN", "10.0.0.3:8080" },
           { "TREFOILARCH_OPERATOR_LISTEN", "10.0.0.3:8081" },
           { "TREFOILARCH_PLATFORM", "10.0.0.2:8223" },
           { "TREFOILARCH_REVOKE_MS", "5000" },
           { "TREFOILARCH_APPLY_MS", "2000" },
           { "TREFOILARCH_DRAIN_MS", "2000" },
           { "TREFOILARCH_HEARTBEAT_MS", "1200" },
           { "TREFOILARCH_RETRY_SHARE", "0.2" },
           { "TREFOILARCH_RETRY_SLACK", "54" },
           { "TREFOILARCH_STOP_SECONDS", "8" },
           { "TREFOILARCH_MOST_DESCRIPTORS", "4100" },
           { "TREFOILARCH_MEMORY_MB", "110" },
           { "TREFOILARCH_DUTY_RECEIVER", "10.0.0.2:8424" },
           { "TREFOILARCH_DUTIES", "usage_report" },
           { "TREFOILARCH_DUTY_LEASE_MS", "3000" },
           { "TREFOILARCH_USAGE_WINDOW_S", "5" },
           { "TREFOILARCH_USAGE_LATE_S", "10" } };
}

trefoilio::SettingsOutcome
Read(const Variables& aVariables)
{
  const trefoilio::SettingsReader reader("gate", "a test", GateSettingSpecs());
  const std::vector<const char*> arguments = { "gate" };
  return reader.Read(static_cast<int>(arguments.size()),
                     arguments.data(),
                     [&](const char* aName) -> const char* {
                       const auto found = aVariables.find(aName);
                       return found == aVariables.end() ? nullptr
                                                        : found->second.c_str();
                     });
}

trefoilio::SettingsOutcome
ReadWith(const std::string& aName, const std::string& aText)
{
  Variables variables = DefaultVariables();
  variables[aName] = aText;
  return Read(variables);
}

/** The settings with one of them changed. */
GateSettings
SettingsWith(const std::string& aName, const std::string& aText)
{
  const auto outcome = ReadWith(aName, aText);
  cr_assert(
    outcome.mSettings, "%s=%s is rejected", aName.c_str(), aText.c_str());
  return ReadGateSettings(*outcome.mSettings);
}

/** Whether the value is rejected with one fault that names the flag and the
 * variable. */
bool
IsRejected(const std::string& aName,
           const std::string& aFlag,
           const std::string& aText)
{
  const auto outcome = ReadWith(aName, aText);
  return !outcome.mSettings && outcome.mFaults.size() == 1 &&
         outcome.mFaults.front().starts_with("--" + aFlag + " (" + aName + ")");
}

/** A number that the platform fills in, and values outside its range. */
struct NumericSetting
{
  std::string mName;
  std::string mFlag;
  std::string mWithFraction;
  std::string mTooSmall;
  std::string mTooLarge;
};

std::vector<NumericSetting>
NumericSettings()
{
  return {
    { "TREFOILARCH_REVOKE_MS", "revoke-ms", "5000.9", "0", "3600000.5" },
    { "TREFOILARCH_APPLY_MS", "apply-ms", "1999.5", "0", "3600000.5" },
    { "TREFOILARCH_DRAIN_MS", "drain-ms", "1999.5", "0", "3600000.5" },
    { "TREFOILARCH_HEARTBEAT_MS", "heartbeat-ms", "1199.5", "0", "3600000.5" },
    { "TREFOILARCH_RETRY_SHARE", "retry-share", "0.25", "-0.1", "1.1" },
    { "TREFOILARCH_RETRY_SLACK",
      "retry-slack",
      "36.1764705882353",
      "-1",
      "100000.5" },
    { "TREFOILARCH_STOP_SECONDS", "stop-seconds", "8.5", "0", "3600.1" },
    { "TREFOILARCH_MOST_DESCRIPTORS",
      "most-descriptors",
      "4100.5",
      "0",
      "1048577" },
    { "TREFOILARCH_MEMORY_MB", "memory-mb", "88.5", "0", "1048577" },
    { "TREFOILARCH_DUTY_LEASE_MS",
      "duty-lease-ms",
      "2999.5",
      "0",
      "3600000.5" },
    { "TREFOILARCH_USAGE_WINDOW_S", "usage-window-s", "2.5", "0", "86400.5" },
    { "TREFOILARCH_USAGE_LATE_S", "usage-late-s", "9.5", "0", "86400.5" },
    { "TREFOILARCH_CALLER_STALL_MS",
      "caller-stall-ms",
      "9999.5",
      "0",
      "3600000.5" },
    { "TREFOILARCH_ANSWER_BUFFER_MB",
      "answer-buffer-mb",
      "20.5",
      "-1",
      "1048577" }
  };
}

} // namespace

Test(gatesettings, each_number_may_have_a_fraction)
{
  for (const NumericSetting& each : NumericSettings()) {
    cr_expect(ReadWith(each.mName, each.mWithFraction).mSettings,
              "%s",
              each.mFlag.c_str());
  }
}

Test(gatesettings, an_invalid_number_is_rejected_with_its_flag)
{
  for (const NumericSetting& each : NumericSettings()) {
    for (const std::string& text : { each.mTooSmall,
                                     each.mTooLarge,
                                     std::string("nan"),
                                     std::string("inf"),
                                     std::string("five"),
                                     std::string("8 "),
                                     std::string() }) {
      cr_expect(IsRejected(each.mName, each.mFlag, text),
                "%s=%s",
                each.mFlag.c_str(),
                text.c_str());
    }
  }
}

Test(gatesettings, zero_retries_are_allowed)
{
  cr_expect(SettingsWith("TREFOILARCH_RETRY_SLACK", "0").mRetrySlack == 0);
  cr_expect(SettingsWith("TREFOILARCH_RETRY_SHARE", "0").mRetryPercent == 0);
}

Test(gatesettings, integers_are_rounded_down)
{
  const GateSettings plain = SettingsWith("TREFOILARCH_REVOKE_MS", "5000");
  cr_expect(SettingsWith("TREFOILARCH_REVOKE_MS", "5000.9") == plain,
            "a revoked key is honoured no longer");
  cr_expect(SettingsWith("TREFOILARCH_DRAIN_MS", "2000.9") == plain,
            "a leaving upstream gets no request later");
  cr_expect(SettingsWith("TREFOILARCH_HEARTBEAT_MS", "1200.9") == plain,
            "an outage is seen no later");
  cr_expect(SettingsWith("TREFOILARCH_MOST_DESCRIPTORS", "4100.9") == plain,
            "no more descriptors");
  cr_expect(SettingsWith("TREFOILARCH_STOP_SECONDS", "8.0009").mStopTimeout ==
            plain.mStopTimeout);
  cr_expect(SettingsWith("TREFOILARCH_STOP_SECONDS", "8.5").mStopTimeout ==
            plain.mStopTimeout + Millis(500));
  cr_expect(SettingsWith("TREFOILARCH_MEMORY_MB", "110.5").mMaxBodyBytes >
            plain.mMaxBodyBytes);
}

Test(gatesettings, an_invalid_duty_receiver_is_rejected_with_its_flag)
{
  cr_expect(
    IsRejected("TREFOILARCH_DUTY_RECEIVER", "duty-receiver", "10.0.0.2"));
  cr_expect(
    SettingsWith("TREFOILARCH_DUTY_RECEIVER", "").mDutyReceiver.empty());
}

/** A mistyped value must not switch a part on or off silently. */
Test(gatesettings,
     a_part_has_its_default_unless_it_is_set_and_takes_no_other_value)
{
  using trefoilarch::PartMode;
  const struct
  {
    std::string mName;
    std::string mFlag;
    PartMode GateSettings::*mMember;
    PartMode mDefault;
    std::string mDefaultText;
  } parts[] = { { "TREFOILARCH_UPSTREAM_PERFORMANCE",
                  "upstream-performance",
                  &GateSettings::mUpstreamPerformance,
                  PartMode::Auto,
                  "auto" },
                { "TREFOILARCH_ENGINE_MEMORY",
                  "engine-memory",
                  &GateSettings::mEngineMemory,
                  PartMode::Off,
                  "off" },
                { "TREFOILARCH_FAIR_SHARES",
                  "fair-shares",
                  &GateSettings::mFairShares,
                  PartMode::Auto,
                  "auto" } };
  const GateSettings plain =
    ReadGateSettings(*Read(DefaultVariables()).mSettings);
  for (const auto& [name, flag, member, usual, text] : parts) {
    cr_expect(plain.*member == usual);
    cr_expect(SettingsWith(name, text) == plain);
    cr_expect(SettingsWith(name, "auto").*member == PartMode::Auto);
    cr_expect(SettingsWith(name, "off").*member == PartMode::Off);
    const GateSettings on = SettingsWith(name, "on");
    cr_expect(on.*member == PartMode::On);
    cr_expect(ChangedNames(plain, on) == std::vector<std::string>{ flag });
    for (const char* invalid : { "", "On", "true", "1" }) {
      cr_expect(IsRejected(name, flag, invalid), "%s", invalid);
    }
    const std::string fault = ReadWith(name, "yes").mFaults.at(0);
    cr_expect(fault.find("one of auto on off") != std::string::npos,
              "%s",
              fault.c_str());
  }
}

Test(gatesettings, answers_may_use_a_quarter_of_the_memory_by_default)
{
  constexpr uint64_t kMb = 1048576;
  const std::string name = "TREFOILARCH_ANSWER_BUFFER_MB";
  cr_expect(SettingsWith("TREFOILARCH_MEMORY_MB", "88").mAnswerBufferBytes ==
            22 * kMb);
  cr_expect(SettingsWith(name, "0").mAnswerBufferBytes == 110 * kMb / 4);
  cr_expect(SettingsWith(name, "20.5").mAnswerBufferBytes == 41 * kMb / 2);
  cr_expect(SettingsWith(name, "111").mAnswerBufferBytes == 110 * kMb,
            "no more than the memory");
  cr_expect(SettingsWith(name, "0.001").mAnswerBufferBytes == kMb,
            "room for a few reads");
}

Test(gatesettings, a_gate_starts_and_serves_with_fractions, .timeout = 30)
{
  PlatformFleet fleet({ .mRetrySlack = 36.1764705882353, .mMemoryMb = 88.5 });
  cr_expect(fleet.Call({}).mStatus == 200);
}
