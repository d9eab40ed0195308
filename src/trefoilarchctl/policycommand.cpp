#include "command.h"

#include "commandline.h"
#include "operatorclient.h"
#include "output.h"
#include "usageerror.h"

#include <nlohmann/json.hpp>

#include <array>
#include <ctime>
#include <iostream>

namespace trefoilarchctl {

namespace {

using nlohmann::json;
using Arguments = std::vector<std::string>;

std::optional<uint64_t>
VersionOf(const json& aObject, const char* aMember)
{
  if (!aObject.is_object() || !aObject.contains(aMember) ||
      !aObject[aMember].is_number_unsigned()) {
    return std::nullopt;
  }
  return aObject[aMember].get<uint64_t>();
}

std::string
UtcTime(int64_t aUnixSeconds)
{
  const auto seconds = static_cast<time_t>(aUnixSeconds);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 32> text{};
  std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
  return text.data();
}

/** A short description of an operation. */
std::string
Summarise(const json& aOperation)
{
  std::string text = aOperation.value("op", "");
  for (const char* member : { "class", "workspace", "selector" }) {
    if (aOperation.contains(member)) {
      text += " " + aOperation[member].value("name", "");
    }
  }
  for (const char* member : { "name", "upstream", "id" }) {
    if (aOperation.contains(member)) {
      text += " " + aOperation.value(member, "");
    }
  }
  return text;
}

std::string
SummariseAll(const json& aOperations)
{
  std::string text;
  for (const json& operation : aOperations) {
    text += (text.empty() ? "" : ", ") + Summarise(operation);
  }
  return text;
}

ExitCode
Get(const Arguments& aArguments)
{
  CommandLine line("policy get");
  line.Parse(aArguments);
  OperatorClient client(line.Operators());
  std::cout << FetchPolicy(client).dump(line.Json() ? -1 : 2) << "\n";
  return ExitCode::Done;
}

ExitCode
Set(const Arguments& aArguments)
{
  CommandLine line("policy set");
  TCLAP::UnlabeledValueArg<std::string> file(
    "file", "the policy; - for standard input", true, "", "FILE", line.Line());
  TCLAP::SwitchArg force(
    "", "force", "overwrite what others changed meanwhile", line.Line());
  line.Parse(aArguments);
  json policy = ReadJson(file.getValue());
  const std::optional<uint64_t> version = VersionOf(policy, "version");
  const bool hasBase = version && *version > 0 && !force.getValue();
  OperatorClient client(line.Operators());
  json operation{ { "op", "replace_policy" }, { "policy", std::move(policy) } };
  return PrintReport(
    line,
    ProposeChange(client,
                  { .mAuthor = line.Author(),
                    .mOperations = json::array({ std::move(operation) }),
                    .mBaseVersion = hasBase ? version : std::nullopt }));
}

ExitCode
Edit(const Arguments& aArguments)
{
  CommandLine line("policy edit");
  TCLAP::UnlabeledValueArg<std::string> file(
    "file", "operations; - for standard input", true, "", "FILE", line.Line());
  TCLAP::ValueArg<uint64_t> base(
    "", "base", "version it was made from", false, 0, "VERSION", line.Line());
  line.Parse(aArguments);
  json input = ReadJson(file.getValue());
  std::optional<uint64_t> version = VersionOf(input, "base_version");
  if (base.isSet()) {
    version = base.getValue();
  }
  json operations =
    input.is_object() ? input.value("operations", json()) : std::move(input);
  if (!operations.is_array()) {
    throw UsageError("the file must contain a list of operations, or an object "
                     "with \"operations\"");
  }
  OperatorClient client(line.Operators());
  return PrintReport(line,
                     ProposeChange(client,
                                   { .mAuthor = line.Author(),
                                     .mOperations = std::move(operations),
                                     .mBaseVersion = version }));
}

ExitCode
History(const Arguments& aArguments)
{
  CommandLine line("policy history");
  TCLAP::ValueArg<uint64_t> after(
    "", "after", "only later versions", false, 0, "VERSION", line.Line());
  TCLAP::ValueArg<uint64_t> limit(
    "", "limit", "at most so many", false, 100, "COUNT", line.Line());
  line.Parse(aArguments);
  OperatorClient client(line.Operators());
  const Answer answer =
    client.Get("/v1/policy/changes?after=" + std::to_string(after.getValue()) +
               "&limit=" + std::to_string(limit.getValue()));
  const ExitCode code = CheckAnswer(answer);
  if (code != ExitCode::Done) {
    return code;
  }
  const json body = json::parse(answer.mBody, nullptr, false);
  if (line.Json() || !body.is_object()) {
    std::cout << answer.mBody << "\n";
    return code;
  }
  Table rows{ { "VERSION", "TIME", "AUTHOR", "ID", "CHANGE" } };
  for (const json& change : body.value("changes", json::array())) {
    rows.push_back({ std::to_string(change.value("version", uint64_t{ 0 })),
                     UtcTime(change.value("unix_seconds", int64_t{ 0 })),
                     change.value("author", ""),
                     change.value("id", ""),
                     SummariseAll(change.value("operations", json::array())) });
  }
  PrintTable(rows);
  return code;
}

ExitCode
QueryChangeOutcome(const Arguments& aArguments)
{
  CommandLine line("policy ask");
  TCLAP::UnlabeledValueArg<std::string> id(
    "id", "of the change", true, "", "ID", line.Line());
  line.Parse(aArguments);
  OperatorClient client(line.Operators());
  return PrintReport(line, QueryChange(client, id.getValue()));
}

} // namespace

ExitCode
RunPolicy(const Arguments& aArguments)
{
  const std::string verb = aArguments.empty() ? "" : aArguments.front();
  const Arguments rest(aArguments.begin() + (aArguments.empty() ? 0 : 1),
                       aArguments.end());
  if (verb == "get") {
    return Get(rest);
  }
  if (verb == "set") {
    return Set(rest);
  }
  if (verb == "edit") {
    return Edit(rest);
  }
  if (verb == "history") {
    return History(rest);
  }
  if (verb == "ask") {
    return QueryChangeOutcome(rest);
  }
  throw UsageError("policy takes get, set, edit, history or ask");
}

} // namespace trefoilarchctl
