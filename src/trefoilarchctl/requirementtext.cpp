#include "requirementtext.h"

#include "usageerror.h"

#include <nlohmann/json.hpp>

#include <sstream>

namespace trefoilarchctl {

namespace {

using nlohmann::json;

constexpr std::string_view kIn = " in ";
constexpr std::string_view kNotIn = " not in ";

std::string
Trim(const std::string& aText)
{
  const size_t first = aText.find_first_not_of(' ');
  if (first == std::string::npos) {
    return "";
  }
  return aText.substr(first, aText.find_last_not_of(' ') - first + 1);
}

json
MakeRequirement(const std::string& aKey, const char* aOperator, json aValues)
{
  const std::string key = Trim(aKey);
  if (key.empty() || key.find_first_of(" =!,") != std::string::npos) {
    throw UsageError("a requirement's key must not be empty or contain a "
                     "space, =, ! or a comma: \"" +
                     aKey + "\"");
  }
  return { { "key", key },
           { "op", aOperator },
           { "values", std::move(aValues) } };
}

json
ParseValues(const std::string& aText)
{
  json values = json::array();
  std::istringstream text(aText);
  std::string value;
  while (std::getline(text, value, ',')) {
    values.push_back(Trim(value));
  }
  if (values.empty()) {
    throw UsageError("\"in\" and \"not in\" require at least one value");
  }
  return values;
}

std::string
JoinValues(const json& aValues)
{
  std::string text;
  for (const json& value : aValues) {
    text += (text.empty() ? "" : ",") + value.get<std::string>();
  }
  return text;
}

} // namespace

json
RequirementFromText(const std::string& aText)
{
  const std::string text = Trim(aText);
  if (const size_t position = text.find(kNotIn);
      position != std::string::npos) {
    return MakeRequirement(text.substr(0, position),
                           "not_in",
                           ParseValues(text.substr(position + kNotIn.size())));
  }
  if (const size_t position = text.find(kIn); position != std::string::npos) {
    return MakeRequirement(text.substr(0, position),
                           "in",
                           ParseValues(text.substr(position + kIn.size())));
  }
  if (text.starts_with('!')) {
    return MakeRequirement(text.substr(1), "not_exists", json::array());
  }
  const size_t equals = text.find('=');
  if (equals == std::string::npos) {
    return MakeRequirement(text, "exists", json::array());
  }
  const bool negated = equals > 0 && text[equals - 1] == '!';
  return MakeRequirement(text.substr(0, negated ? equals - 1 : equals),
                         negated ? "not_equals" : "equals",
                         json::array({ Trim(text.substr(equals + 1)) }));
}

json
RequirementsFromTexts(const std::vector<std::string>& aTexts)
{
  json list = json::array();
  for (const std::string& text : aTexts) {
    list.push_back(RequirementFromText(text));
  }
  return list;
}

std::string
RequirementToText(const json& aRequirement)
{
  const std::string key = aRequirement.value("key", "");
  const std::string name = aRequirement.value("op", "");
  const std::string values = JoinValues(aRequirement.value("values", json()));
  if (name == "equals") {
    return key + "=" + values;
  }
  if (name == "not_equals") {
    return key + "!=" + values;
  }
  if (name == "in") {
    return key + std::string(kIn) + values;
  }
  if (name == "not_in") {
    return key + std::string(kNotIn) + values;
  }
  return name == "not_exists" ? "!" + key : key;
}

std::string
RequirementsToText(const json& aRequirements)
{
  std::string text;
  for (const json& requirement : aRequirements) {
    text += (text.empty() ? "" : " and ") + RequirementToText(requirement);
  }
  return text.empty() ? "any" : text;
}

} // namespace trefoilarchctl
