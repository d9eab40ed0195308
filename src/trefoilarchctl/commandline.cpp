#include "commandline.h"

#include "usageerror.h"

#include "libtrefoilio/settings.h"

#include <cstdlib>
#include <sstream>

namespace trefoilarchctl {

namespace {

std::string
EnvironmentVariable(const char* aName)
{
  const char* value = std::getenv(aName);
  return value ? value : "";
}

/** Splits `--flag=value` into the two arguments that TCLAP expects. */
std::vector<std::string>
SplitFlags(const std::vector<std::string>& aArguments)
{
  std::vector<std::string> separated;
  for (const std::string& text : aArguments) {
    const size_t equals = text.find('=');
    if (text.starts_with("--") && equals != std::string::npos) {
      separated.push_back(text.substr(0, equals));
      separated.push_back(text.substr(equals + 1));
    } else {
      separated.push_back(text);
    }
  }
  return separated;
}

} // namespace

CommandLine::CommandLine(std::string aCommand)
  : mCommand(std::move(aCommand))
  , mLine(mCommand, ' ', "", false)
  , mOperators("", "operator", "operator port", false, "URL", mLine)
  , mAuthor("", "author", "author of a change", false, "", "NAME", mLine)
  , mJson("", "json", "answer in JSON", mLine)
{
  mLine.setExceptionHandling(false);
}

void
CommandLine::Parse(const std::vector<std::string>& aArguments)
{
  std::vector<std::string> arguments = SplitFlags(aArguments);
  arguments.insert(arguments.begin(), "trefoilarchctl " + mCommand);
  try {
    mLine.parse(arguments);
  } catch (const TCLAP::ArgException& exception) {
    throw UsageError(exception.argId() + " " + exception.error());
  }
  const std::vector<std::string> operators = Operators();
  if (operators.empty()) {
    throw UsageError("no operator port: give --operator http://ADDRESS:PORT "
                     "or set TREFOILARCH_OPERATOR");
  }
  const auto check = trefoilio::HttpUrl();
  for (const std::string& url : operators) {
    const std::string range = check(url);
    if (!range.empty()) {
      std::string text = "--operator must be " + range;
      throw UsageError(text.append(", not ").append(url));
    }
  }
}

std::vector<std::string>
CommandLine::Operators() const
{
  std::vector<std::string> urls = mOperators.getValue();
  if (urls.empty()) {
    std::istringstream list(EnvironmentVariable("TREFOILARCH_OPERATOR"));
    std::string url;
    while (std::getline(list, url, ',')) {
      urls.push_back(url);
    }
  }
  for (std::string& url : urls) {
    while (url.ends_with('/')) {
      url.pop_back();
    }
  }
  return urls;
}

std::string
CommandLine::Author() const
{
  if (!mAuthor.getValue().empty()) {
    return mAuthor.getValue();
  }
  for (const char* name : { "TREFOILARCH_AUTHOR", "USER" }) {
    std::string value = EnvironmentVariable(name);
    if (!value.empty()) {
      return value;
    }
  }
  return "operator";
}

} // namespace trefoilarchctl
