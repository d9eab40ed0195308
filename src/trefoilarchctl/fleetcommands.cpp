#include "command.h"

#include "commandline.h"
#include "operatorclient.h"
#include "output.h"
#include "usageerror.h"

#include <nlohmann/json.hpp>

#include <iostream>
#include <sstream>

namespace trefoilarchctl {

namespace {

using nlohmann::json;

/** Formats an object's members on one line, as `key=value`. */
std::string
FormatMembers(const json& aObject)
{
  std::string text;
  for (const auto& [key, value] : aObject.items()) {
    text += (text.empty() ? "" : " ") + key + "=" +
            (value.is_string() ? value.get<std::string>() : value.dump());
  }
  return text;
}

void
PrintStatus(const json& aStatus)
{
  std::cout << "entry " << aStatus.value("entry", "") << ", policy version "
            << aStatus.value("policy_version", uint64_t{ 0 })
            << ", open requests "
            << aStatus.value("open_requests", uint64_t{ 0 }) << "\n";
  Table rows{ { "UPSTREAM", "DATA CENTRE", "STATE", "LABELS", "LOAD" } };
  for (const json& upstream : aStatus.value("upstreams", json::array())) {
    rows.push_back({ upstream.value("name", ""),
                     upstream.value("data_centre", ""),
                     upstream.value("state", ""),
                     FormatMembers(upstream.value("labels", json::object())),
                     FormatMembers(upstream.value("load", json::object())) });
  }
  PrintTable(rows);
}

void
PrintMetrics(const std::string& aText, const std::string& aPrefix)
{
  std::istringstream text(aText);
  std::string line;
  while (std::getline(text, line)) {
    if (line.starts_with(aPrefix) || line.starts_with("# TYPE " + aPrefix)) {
      std::cout << line << "\n";
    }
  }
}

ExitCode
ReleaseQuarantined(OperatorClient& aClient, const std::string& aFingerprint)
{
  const Answer answer =
    aClient.Post("/v1/quarantine/release/" + aFingerprint, "");
  constexpr int kStatusNotFound = 404;
  if (answer.mKind == Answer::Kind::Complete &&
      answer.mStatus == kStatusNotFound) {
    std::cerr << "no such request is in quarantine\n";
    return ExitCode::Refused;
  }
  return CheckAnswer(answer);
}

void
PrintQuarantine(const json& aQuarantine)
{
  Table rows{ { "FINGERPRINT",
                "SEGMENT",
                "SUSPECT FOR MS",
                "LAST SENT MS AGO",
                "CRASHED" } };
  for (const json& request : aQuarantine.value("quarantined", json::array())) {
    std::string crashed;
    for (const json& crash : request.value("crashes", json::array())) {
      crashed += (crashed.empty() ? "" : " ") + crash.value("upstream", "");
    }
    rows.push_back(
      { request.value("fingerprint", ""),
        request.value("segment", ""),
        std::to_string(request.value("suspect_for_ms", int64_t{ 0 })),
        std::to_string(request.value("last_sent_ms_ago", int64_t{ 0 })),
        crashed });
  }
  PrintTable(rows);
}

} // namespace

ExitCode
RunQuarantine(const std::vector<std::string>& aArguments)
{
  CommandLine line("quarantine");
  TCLAP::UnlabeledValueArg<std::string> verb(
    "verb", "release", false, "", "release", line.Line());
  TCLAP::UnlabeledValueArg<std::string> fingerprint(
    "fingerprint", "which request", false, "", "FINGERPRINT", line.Line());
  line.Parse(aArguments);
  OperatorClient client(line.Operators());
  if (verb.getValue() == "release" && !fingerprint.getValue().empty()) {
    return ReleaseQuarantined(client, fingerprint.getValue());
  }
  if (!verb.getValue().empty()) {
    throw UsageError("quarantine takes no arguments, or release FINGERPRINT");
  }
  const Answer answer = client.Get("/v1/quarantine");
  const ExitCode code = CheckAnswer(answer);
  if (code != ExitCode::Done) {
    return code;
  }
  const json quarantine = json::parse(answer.mBody, nullptr, false);
  if (line.Json() || !quarantine.is_object()) {
    std::cout << answer.mBody << "\n";
  } else {
    PrintQuarantine(quarantine);
  }
  return code;
}

ExitCode
RunStatus(const std::vector<std::string>& aArguments)
{
  CommandLine line("status");
  line.Parse(aArguments);
  OperatorClient client(line.Operators());
  const Answer answer = client.Get("/v1/status");
  const ExitCode code = CheckAnswer(answer);
  if (code != ExitCode::Done) {
    return code;
  }
  const json status = json::parse(answer.mBody, nullptr, false);
  if (line.Json() || !status.is_object()) {
    std::cout << answer.mBody << "\n";
  } else {
    PrintStatus(status);
  }
  return code;
}

ExitCode
RunState(const std::vector<std::string>& aArguments)
{
  CommandLine line("state");
  line.Parse(aArguments);
  OperatorClient client(line.Operators());
  const Answer answer = client.Get("/state");
  const ExitCode code = CheckAnswer(answer);
  if (code != ExitCode::Done) {
    return code;
  }
  const json state = json::parse(answer.mBody, nullptr, false);
  const bool unformatted = line.Json() || state.is_discarded();
  std::cout << (unformatted ? answer.mBody : state.dump(2)) << "\n";
  return code;
}

ExitCode
RunMetrics(const std::vector<std::string>& aArguments)
{
  CommandLine line("metrics");
  TCLAP::UnlabeledValueArg<std::string> prefix(
    "prefix", "only names that begin so", false, "", "PREFIX", line.Line());
  line.Parse(aArguments);
  OperatorClient client(line.Operators());
  const Answer answer = client.Get("/metrics");
  const ExitCode code = CheckAnswer(answer);
  if (code == ExitCode::Done) {
    PrintMetrics(answer.mBody, prefix.getValue());
  }
  return code;
}

} // namespace trefoilarchctl
