#include "output.h"

#include "commandline.h"
#include "operatorclient.h"
#include "unreachableerror.h"
#include "usageerror.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>

namespace trefoilarchctl {

namespace {

using nlohmann::json;

constexpr int kMinErrorStatus = 400;
constexpr int kMinServerErrorStatus = 500;

std::string
Pad(std::string aText, size_t aWidth)
{
  aText.resize(std::max(aWidth, aText.size()), ' ');
  return aText;
}

} // namespace

void
PrintTable(const Table& aRows)
{
  std::vector<size_t> widths(aRows.empty() ? 0 : aRows.front().size());
  for (const auto& row : aRows) {
    for (size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  for (const auto& row : aRows) {
    std::string line;
    for (size_t i = 0; i < row.size(); ++i) {
      const bool last = i + 1 == row.size();
      line += last ? row[i] : Pad(row[i], widths[i] + 2);
    }
    std::cout << line << "\n";
  }
}

ExitCode
PrintReport(const CommandLine& aLine, const ChangeReport& aReport)
{
  if (aLine.Json()) {
    std::cout << aReport.mJson.dump() << "\n";
    return aReport.mCode;
  }
  const bool done = aReport.mCode == ExitCode::Done;
  (done ? std::cout : std::cerr) << aReport.mText << "\n";
  return aReport.mCode;
}

ExitCode
CheckAnswer(const Answer& aAnswer)
{
  if (aAnswer.mKind != Answer::Kind::Complete) {
    std::cerr << "unreachable: no operator port answered\n";
    return ExitCode::Unreachable;
  }
  if (aAnswer.mStatus >= kMinErrorStatus) {
    std::cerr << "refused with status " << aAnswer.mStatus << ": "
              << aAnswer.mBody << "\n";
    return aAnswer.mStatus >= kMinServerErrorStatus ? ExitCode::Unreachable
                                                    : ExitCode::Refused;
  }
  return ExitCode::Done;
}

json
FetchPolicy(OperatorClient& aClient)
{
  const Answer answer = aClient.Get("/v1/policy");
  json policy = json::parse(answer.mBody, nullptr, false);
  if (answer.mKind != Answer::Kind::Complete ||
      answer.mStatus >= kMinErrorStatus || !policy.is_object()) {
    throw UnreachableError("no operator port returned the policy; use the "
                           "operator port of an entry");
  }
  return policy;
}

std::string
ReadInput(const std::string& aFile)
{
  std::ifstream file;
  if (aFile != "-") {
    file.open(aFile, std::ios::binary);
    if (!file) {
      throw UsageError("cannot read " + aFile);
    }
  }
  std::istream& stream = aFile == "-" ? std::cin : file;
  return { std::istreambuf_iterator<char>(stream),
           std::istreambuf_iterator<char>() };
}

json
ReadJson(const std::string& aFile)
{
  try {
    return json::parse(ReadInput(aFile));
  } catch (const json::parse_error& error) {
    throw UsageError(aFile + " is not JSON: " + error.what());
  }
}

} // namespace trefoilarchctl
