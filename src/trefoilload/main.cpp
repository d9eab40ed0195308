#include "classtargets.h"
#include "executions.h"
#include "replayer.h"
#include "report.h"
#include "trace.h"
#include "tracegenerator.h"

#include "../libtrefoilio/settings.h"
#include "../libtrefoilio/systemclock.h"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

using namespace trefoilload;
using trefoilio::IntegerBetween;
using trefoilio::LabelList;
using trefoilio::NotEmpty;
using trefoilio::OneOf;
using trefoilio::Settings;
using trefoilio::SettingSpec;
using trefoilio::SettingsReader;

namespace {

/** Exit codes. */
constexpr int kSuccess = 0;
constexpr int kFailure = 1;
constexpr int kUsageError = 2;

constexpr const char* kUsage =
  "usage: trefoilload generate --seed N --out FILE [--seconds S]\n"
  "       trefoilload run --trace FILE --entries URL,URL [--policy FILE]\n"
  "                   [--executions URL,URL] [--tokens WORKSPACE=TOKEN,...]\n"
  "                   [--expect CLASS=SHARE,...] [--json true]\n"
  "`trefoilload generate --help` and `trefoilload run --help` say more.\n";

std::vector<std::string>
SplitList(const std::string& aText)
{
  std::vector<std::string> items;
  std::istringstream stream(aText);
  for (std::string item; std::getline(stream, item, ',');) {
    items.push_back(item);
  }
  return items;
}

SettingsReader
GenerateSettings()
{
  return SettingsReader("trefoilload generate",
                        "Writes a trace generated from the brief's workloads.",
                        { { .mName = "seed",
                            .mHelp = "seed of the random arrivals and lengths",
                            .mDefault = "1",
                            .mCheck = IntegerBetween(0, INT64_MAX) },
                          { .mName = "seconds",
                            .mHelp = "length of the trace, seconds",
                            .mDefault = "20",
                            .mCheck = IntegerBetween(1, 86400) },
                          { .mName = "rate-percent",
                            .mHelp = "factor on every class's rate, percent",
                            .mDefault = "100",
                            .mCheck = IntegerBetween(1, 100000) },
                          { .mName = "out",
                            .mHelp = "file to write",
                            .mDefault = "",
                            .mRequired = true,
                            .mCheck = NotEmpty() } });
}

SettingsReader
RunSettings()
{
  return SettingsReader(
    "trefoilload run",
    "Sends a trace to entries, checks each answer byte for byte, and reports.",
    { { .mName = "trace",
        .mHelp = "trace file",
        .mDefault = "",
        .mRequired = true,
        .mCheck = NotEmpty() },
      { .mName = "entries",
        .mHelp = "URLs of entries, taken in turn",
        .mDefault = "",
        .mRequired = true,
        .mCheck = NotEmpty() },
      { .mName = "policy",
        .mHelp = "policy file, for the classes' targets",
        .mDefault = "",
        .mCheck = nullptr },
      { .mName = "executions",
        .mHelp = "URLs of upstream stand-ins' lists of executions",
        .mDefault = "",
        .mCheck = nullptr },
      { .mName = "tokens",
        .mHelp = "bearer tokens, workspace=token,...",
        .mDefault = "",
        .mCheck = LabelList() },
      { .mName = "expect",
        .mHelp = "least attainment, class=share,...",
        .mDefault = "",
        .mCheck = LabelList() },
      { .mName = "speed-percent",
        .mHelp = "speed of the replay, percent",
        .mDefault = "100",
        .mCheck = IntegerBetween(1, 100000) },
      { .mName = "patience-ms",
        .mHelp = "wait for answers after the last request, milliseconds",
        .mDefault = "60000",
        .mCheck = IntegerBetween(0, 3600000) },
      { .mName = "json",
        .mHelp = "print the report as JSON: true or false",
        .mDefault = "false",
        .mCheck = OneOf({ "true", "false" }) } });
}

int
Generate(const Settings& aSettings)
{
  constexpr double kPercent = 100;
  const Trace trace = GenerateTrace(
    { .mSeed = static_cast<uint64_t>(aSettings.Integer("seed")),
      .mSeconds = aSettings.Integer("seconds"),
      .mRateFactor =
        static_cast<double>(aSettings.Integer("rate-percent")) / kPercent });
  std::ofstream out(aSettings.Text("out"));
  WriteTrace(out, trace);
  if (!out.flush()) {
    std::cerr << "cannot write " << aSettings.Text("out") << '\n';
    return kUsageError;
  }
  std::cout << trace.mRequests.size() << " requests, " << trace.mAbout << '\n';
  return kSuccess;
}

Trace
LoadTrace(const std::string& aFile)
{
  std::ifstream in(aFile);
  if (!in) {
    throw std::runtime_error("cannot read " + aFile);
  }
  return ReadTrace(in);
}

std::vector<ExecutionSource>
ReadExecutionSources(const Settings& aSettings)
{
  std::vector<ExecutionSource> sources;
  for (const std::string& url : SplitList(aSettings.Text("executions"))) {
    sources.push_back({ .mUrl = url });
  }
  return sources;
}

ReplayOptions
ReadReplayOptions(const Settings& aSettings, int64_t aStart)
{
  constexpr double kPercent = 100;
  return { .mEntries = SplitList(aSettings.Text("entries")),
           .mTokens = aSettings.LabelMap("tokens"),
           .mRunId = "run" + std::to_string(aStart),
           .mSpeed =
             static_cast<double>(aSettings.Integer("speed-percent")) / kPercent,
           .mDrainTimeout = aSettings.Integer("patience-ms") };
}

int
RunTrace(const Settings& aSettings)
{
  const Trace trace = LoadTrace(aSettings.Text("trace"));
  const std::string policy = aSettings.Text("policy");
  const ClassTargets targets =
    policy.empty() ? ClassTargets() : ReadClassTargets(policy);
  const int64_t start = trefoilio::MonotonicNow().Count();
  const std::vector<CallRecord> records =
    Replay(trace, ReadReplayOptions(aSettings, start));
  RunReport report = MakeReport(trace, records, targets);
  const std::vector<ExecutionSource> sources = ReadExecutionSources(aSettings);
  if (!sources.empty()) {
    report.mExecutions =
      EvaluateExecutions(trace, records, FetchExecutions(sources, start));
  }
  if (aSettings.Text("json") == "true") {
    std::cout << ReportToJson(report).dump(2) << '\n';
  } else {
    std::cout << "trace: " << trace.mAbout << '\n' << FormatTable(report);
  }
  const std::vector<std::string> missed =
    MissedExpectations(report, aSettings.LabelMap("expect"));
  for (const std::string& line : missed) {
    std::cerr << "missed: " << line << '\n';
  }
  return report.Passed() && missed.empty() ? kSuccess : kFailure;
}

int
RunCommand(const SettingsReader& aReader,
           int (*aCommand)(const Settings&),
           int aCount,
           const char* const* aArguments)
{
  const auto environment = [](const char* aName) -> const char* {
    return std::getenv(aName);
  };
  const trefoilio::SettingsOutcome outcome =
    aReader.Read(aCount, aArguments, environment);
  if (outcome.mText) {
    std::cout << *outcome.mText << '\n';
    return kSuccess;
  }
  for (const std::string& fault : outcome.mFaults) {
    std::cerr << fault << '\n';
  }
  if (!outcome.mSettings) {
    return kUsageError;
  }
  if (outcome.mSettings->CheckOnly()) {
    return kSuccess;
  }
  try {
    return aCommand(*outcome.mSettings);
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return kUsageError;
  }
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const std::string command = aCount > 1 ? aArguments[1] : "";
  if (command == "generate") {
    return RunCommand(GenerateSettings(), Generate, aCount - 1, aArguments + 1);
  }
  if (command == "run") {
    return RunCommand(RunSettings(), RunTrace, aCount - 1, aArguments + 1);
  }
  std::cerr << kUsage;
  return kUsageError;
}
