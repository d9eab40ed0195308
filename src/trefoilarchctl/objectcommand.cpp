#include "objectcommand.h"

#include "commandline.h"
#include "operatorclient.h"
#include "output.h"
#include "usageerror.h"

#include <iostream>

namespace trefoilarchctl {

namespace {

using nlohmann::json;
using Arguments = std::vector<std::string>;

json
FindOrCreate(const json& aObjects, const std::string& aName)
{
  for (const json& object : aObjects) {
    if (object.value("name", "") == aName) {
      return object;
    }
  }
  return { { "name", aName } };
}

} // namespace

ExitCode
ListObjects(const ObjectKind& aKind, const Arguments& aArguments)
{
  CommandLine line(aKind.mName + " list");
  line.Parse(aArguments);
  OperatorClient client(line.Operators());
  const json objects = FetchPolicy(client).value(aKind.mPlural, json::array());
  if (line.Json()) {
    std::cout << objects.dump() << "\n";
    return ExitCode::Done;
  }
  Table rows{ aKind.mColumns };
  for (const json& object : objects) {
    rows.push_back(aKind.mRow(object));
  }
  PrintTable(rows);
  return ExitCode::Done;
}

ExitCode
RemoveObject(const ObjectKind& aKind, const Arguments& aArguments)
{
  CommandLine line(aKind.mName + " remove");
  TCLAP::UnlabeledValueArg<std::string> name(
    "name", "which one", true, "", "NAME", line.Line());
  line.Parse(aArguments);
  OperatorClient client(line.Operators());
  json operation{ { "op", "remove_" + aKind.mName },
                  { "name", name.getValue() } };
  return PrintReport(
    line,
    ProposeChange(client,
                  { .mAuthor = line.Author(),
                    .mOperations = json::array({ std::move(operation) }) }));
}

ExitCode
SetObject(const ObjectKind& aKind,
          const CommandLine& aLine,
          const std::string& aName,
          const std::function<void(json&)>& aChange)
{
  OperatorClient client(aLine.Operators());
  const json policy = FetchPolicy(client);
  json object = FindOrCreate(policy.value(aKind.mPlural, json::array()), aName);
  aChange(object);
  json operation{ { "op", "set_" + aKind.mName },
                  { aKind.mName, std::move(object) } };
  return PrintReport(
    aLine,
    ProposeChange(client,
                  { .mAuthor = aLine.Author(),
                    .mOperations = json::array({ std::move(operation) }),
                    .mBaseVersion = policy.value("version", uint64_t{ 0 }) }));
}

ExitCode
RunObject(const ObjectKind& aKind,
          const Arguments& aArguments,
          const std::function<ExitCode(const Arguments&)>& aSet)
{
  const std::string verb = aArguments.empty() ? "" : aArguments.front();
  const Arguments rest(aArguments.begin() + (aArguments.empty() ? 0 : 1),
                       aArguments.end());
  if (verb == "list") {
    return ListObjects(aKind, rest);
  }
  if (verb == "remove") {
    return RemoveObject(aKind, rest);
  }
  if (verb == "set") {
    return aSet(rest);
  }
  throw UsageError(aKind.mName + " takes list, set or remove");
}

} // namespace trefoilarchctl
