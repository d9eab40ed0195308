#include "command.h"

#include "commandline.h"
#include "operatorclient.h"
#include "output.h"
#include "usageerror.h"

#include <nlohmann/json.hpp>

namespace trefoilarchctl {

namespace {

using nlohmann::json;
using Arguments = std::vector<std::string>;

ExitCode
ProposeOperation(CommandLine& aLine, json aOperation)
{
  OperatorClient client(aLine.Operators());
  return PrintReport(
    aLine,
    ProposeChange(client,
                  { .mAuthor = aLine.Author(),
                    .mOperations = json::array({ std::move(aOperation) }) }));
}

ExitCode
SetDrained(const char* aOperation, const Arguments& aArguments)
{
  CommandLine line(aOperation);
  TCLAP::UnlabeledValueArg<std::string> upstream(
    "upstream", "its name", true, "", "UPSTREAM", line.Line());
  line.Parse(aArguments);
  return ProposeOperation(
    line, { { "op", aOperation }, { "upstream", upstream.getValue() } });
}

json
LabelsFromTexts(const Arguments& aTexts)
{
  json labels = json::object();
  for (const std::string& text : aTexts) {
    const size_t equals = text.find('=');
    if (equals != std::string::npos && equals > 0) {
      labels[text.substr(0, equals)] = text.substr(equals + 1);
    } else if (text.size() > 1 && text.ends_with('-')) {
      labels[text.substr(0, text.size() - 1)] = nullptr;
    } else {
      throw UsageError("a label is KEY=VALUE or KEY-, not \"" + text + "\"");
    }
  }
  return labels;
}

} // namespace

ExitCode
RunLabel(const Arguments& aArguments)
{
  CommandLine line("label");
  TCLAP::UnlabeledValueArg<std::string> upstream(
    "upstream", "its name", true, "", "UPSTREAM", line.Line());
  TCLAP::UnlabeledMultiArg<std::string> labels(
    "labels", "KEY=VALUE sets, KEY- removes", true, "LABEL", line.Line());
  line.Parse(aArguments);
  return ProposeOperation(line,
                          { { "op", "set_upstream_labels" },
                            { "upstream", upstream.getValue() },
                            { "labels", LabelsFromTexts(labels.getValue()) } });
}

ExitCode
RunDrain(const Arguments& aArguments)
{
  return SetDrained("drain", aArguments);
}

ExitCode
RunUndrain(const Arguments& aArguments)
{
  return SetDrained("undrain", aArguments);
}

} // namespace trefoilarchctl
