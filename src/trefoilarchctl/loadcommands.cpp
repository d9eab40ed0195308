#include "command.h"

#include "commandline.h"
#include "operatorclient.h"
#include "output.h"

#include <nlohmann/json.hpp>

#include <iomanip>
#include <iostream>
#include <optional>
#include <sstream>

namespace trefoilarchctl {

namespace {

using nlohmann::json;

constexpr int kFactorDigits = 2;

std::optional<double>
NumberOf(const json& aObject, const char* aMember)
{
  const auto member = aObject.find(aMember);
  if (member == aObject.end() || !member->is_number()) {
    return std::nullopt;
  }
  return member->get<double>();
}

/** The member with that many decimals, or "-" if it is no number. */
std::string
FormatNumber(const json& aObject, const char* aMember, int aDecimals = 0)
{
  const auto number = NumberOf(aObject, aMember);
  if (!number) {
    return "-";
  }
  std::ostringstream text;
  text << std::fixed << std::setprecision(aDecimals) << *number;
  return text.str();
}

void
PrintSlow(const json& aSlow)
{
  Table rows{ { "UPSTREAM", "SERVICE", "FACTOR", "SINCE MS", "SOURCE" } };
  for (const json& each : aSlow.value("slow", json::array())) {
    rows.push_back({ each.value("upstream", ""),
                     each.value("service", ""),
                     FormatNumber(each, "factor", kFactorDigits),
                     FormatNumber(each, "since_ms"),
                     each.value("source", "") });
  }
  PrintTable(rows);
}

void
PrintShares(const json& aWorkspaces)
{
  Table rows{ { "WORKSPACE",
                "SERVICE",
                "TIER",
                "DEMAND",
                "SHARE",
                "BORROWED",
                "SHED",
                "OVER" } };
  for (const json& each : aWorkspaces.value("workspaces", json::array())) {
    const auto demand = NumberOf(each, "demand");
    const auto share = NumberOf(each, "share");
    const bool over = demand && share && *demand > *share;
    rows.push_back({ each.value("workspace", ""),
                     each.value("service", ""),
                     FormatNumber(each, "tier"),
                     FormatNumber(each, "demand"),
                     FormatNumber(each, "share"),
                     FormatNumber(each, "borrowed"),
                     FormatNumber(each, "shed"),
                     over ? "over" : "" });
  }
  PrintTable(rows);
}

/** Prints the response of a path, as a table unless JSON is requested. */
ExitCode
PrintResponse(const char* aCommand,
              const std::vector<std::string>& aArguments,
              const char* aPath,
              void (*aPrint)(const json&))
{
  CommandLine line(aCommand);
  line.Parse(aArguments);
  OperatorClient client(line.Operators());
  const Answer answer = client.Get(aPath);
  const ExitCode code = CheckAnswer(answer);
  if (code != ExitCode::Done) {
    return code;
  }
  const json response = json::parse(answer.mBody, nullptr, false);
  if (line.Json() || !response.is_object()) {
    std::cout << answer.mBody << "\n";
  } else {
    aPrint(response);
  }
  return code;
}

} // namespace

ExitCode
RunSlow(const std::vector<std::string>& aArguments)
{
  return PrintResponse("slow", aArguments, "/v1/upstreams/slow", PrintSlow);
}

ExitCode
RunShares(const std::vector<std::string>& aArguments)
{
  return PrintResponse("shares", aArguments, "/v1/workspaces", PrintShares);
}

} // namespace trefoilarchctl
