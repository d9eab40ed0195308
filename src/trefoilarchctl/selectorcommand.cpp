#include "command.h"

#include "commandline.h"
#include "objectcommand.h"
#include "requirementtext.h"

namespace trefoilarchctl {

namespace {

using nlohmann::json;

std::vector<std::string>
Row(const json& aSelector)
{
  return { aSelector.value("name", ""),
           RequirementsToText(aSelector.value("traffic", json::array())),
           RequirementsToText(aSelector.value("upstreams", json::array())) };
}

const ObjectKind&
Kind()
{
  static const ObjectKind kKind{
    .mName = "selector",
    .mPlural = "selectors",
    .mColumns = { "SELECTOR", "TRAFFIC", "UPSTREAMS" },
    .mRow = &Row,
  };
  return kKind;
}

ExitCode
Set(const std::vector<std::string>& aArguments)
{
  CommandLine line("selector set");
  TCLAP::UnlabeledValueArg<std::string> name(
    "name", "which selector", true, "", "NAME", line.Line());
  TCLAP::MultiArg<std::string> traffic(
    "", "traffic", "which traffic", false, "REQUIREMENT", line.Line());
  TCLAP::MultiArg<std::string> upstreams(
    "", "upstream", "may go where", false, "REQUIREMENT", line.Line());
  line.Parse(aArguments);
  return SetObject(Kind(), line, name.getValue(), [&](json& aSelector) {
    if (traffic.isSet()) {
      aSelector["traffic"] = RequirementsFromTexts(traffic.getValue());
    }
    if (upstreams.isSet()) {
      aSelector["upstreams"] = RequirementsFromTexts(upstreams.getValue());
    }
  });
}

} // namespace

ExitCode
RunSelector(const std::vector<std::string>& aArguments)
{
  return RunObject(Kind(), aArguments, &Set);
}

} // namespace trefoilarchctl
