#include "settings.h"

#include <tclap/CmdLine.h>

#include <algorithm>
#include <charconv>
#include <limits>
#include <memory>
#include <optional>
#include <sstream>
#include <stdexcept>

namespace trefoilio {

namespace {

constexpr std::string_view kVersion = "0.1.0";

std::string
VariableName(const std::string& aFlag)
{
  std::string name = "TREFOILARCH_";
  for (const char letter : aFlag) {
    const bool lower = letter >= 'a' && letter <= 'z';
    name += letter == '-' ? '_'
            : lower       ? static_cast<char>(letter - 'a' + 'A')
                          : letter;
  }
  return name;
}

std::string
HelpText(const std::string& aProgram,
         const std::string& aAbout,
         const std::vector<SettingSpec>& aSpecs)
{
  std::ostringstream text;
  text << aProgram << ": " << aAbout << "\n\n"
       << "Each setting is a flag or a variable; the flag wins.\n\n";
  for (const SettingSpec& spec : aSpecs) {
    text << "  --" << spec.mName << " VALUE   (" << VariableName(spec.mName)
         << ")\n      " << spec.mHelp;
    if (spec.mRequired) {
      text << " (required)";
    } else if (!spec.mDefault.empty()) {
      text << " (default " << spec.mDefault << ")";
    }
    text << "\n";
  }
  text << "  --check\n      validate the settings and exit\n"
       << "  --version\n      print the version and exit\n"
       << "  --help\n      print this and exit\n";
  return text.str();
}

/** Splits `--flag=value` into the two arguments that TCLAP expects. */
std::vector<std::string>
SplitAssignments(int aCount, const char* const* aArguments)
{
  std::vector<std::string> split;
  for (int i = 0; i < aCount; ++i) {
    const std::string text = aArguments[i];
    const size_t equals = text.find('=');
    if (i > 0 && text.starts_with("--") && equals != std::string::npos) {
      split.push_back(text.substr(0, equals));
      split.push_back(text.substr(equals + 1));
    } else {
      split.push_back(text);
    }
  }
  return split;
}

/** Parses the flags of one process with TCLAP. */
class FlagReader
{
public:
  FlagReader(const std::string& aAbout, const std::vector<SettingSpec>& aSpecs)
    : mCommandLine(aAbout, ' ', std::string(kVersion), false)
  {
    mCommandLine.setExceptionHandling(false);
    for (const SettingSpec& spec : aSpecs) {
      mFlags.push_back(std::make_unique<TCLAP::ValueArg<std::string>>(
        "", spec.mName, spec.mHelp, false, "", "value", mCommandLine));
    }
    mCommandLine.add(mUnknownArguments);
  }

  /** Adds an error for each flag that is repeated, unknown or has no value. */
  void Read(int aCount,
            const char* const* aArguments,
            std::vector<std::string>& aFaults)
  {
    std::vector<std::string> arguments = SplitAssignments(aCount, aArguments);
    try {
      mCommandLine.parse(arguments);
    } catch (const TCLAP::ArgException& fault) {
      aFaults.push_back(fault.argId() + " " + fault.error());
      mParseFailed = true;
    }
    for (const std::string& text : mUnknownArguments.getValue()) {
      aFaults.push_back("unknown argument " + text + "; see --help");
    }
  }

  std::optional<std::string> Value(size_t aIndex) const
  {
    const auto& flag = *mFlags[aIndex];
    return flag.isSet() ? std::optional(flag.getValue()) : std::nullopt;
  }

  bool Check() const { return mCheck.getValue(); }
  bool Version() const { return mVersion.getValue(); }
  bool Help() const { return mHelp.getValue(); }
  /** Parsing stopped early, so flags may be missing from the result. */
  bool ParseFailed() const { return mParseFailed; }

private:
  TCLAP::CmdLine mCommandLine;
  TCLAP::SwitchArg mCheck{ "", "check", "validate and exit", mCommandLine };
  TCLAP::SwitchArg mVersion{ "", "version", "print the version", mCommandLine };
  TCLAP::SwitchArg mHelp{ "h", "help", "print this", mCommandLine };
  std::vector<std::unique_ptr<TCLAP::ValueArg<std::string>>> mFlags;
  TCLAP::UnlabeledMultiArg<std::string> mUnknownArguments{ "rest",
                                                           "unknown ones",
                                                           false,
                                                           "text" };
  bool mParseFailed = false;
};

bool
ParseInteger(const std::string& aText, int64_t& aValue)
{
  const char* end = aText.data() + aText.size();
  const auto [parsedEnd, error] = std::from_chars(aText.data(), end, aValue);
  return error == std::errc() && parsedEnd == end;
}

/** Parses a decimal number; returns nothing for other text. */
std::optional<double>
ParseNumber(const std::string& aText)
{
  double value = 0;
  const char* end = aText.data() + aText.size();
  const auto [parsedEnd, error] = std::from_chars(aText.data(), end, value);
  const bool complete = error == std::errc() && parsedEnd == end;
  return complete ? std::optional(value) : std::nullopt;
}

bool
IsNumericAddress(std::string_view aText)
{
  constexpr std::string_view digits = "0123456789";
  constexpr std::string_view hexadecimal = "0123456789abcdefABCDEF:.";
  if (aText.starts_with('[') && aText.ends_with(']')) {
    const std::string_view inner = aText.substr(1, aText.size() - 2);
    return inner.find(':') != std::string_view::npos &&
           inner.find_first_not_of(hexadecimal) == std::string_view::npos;
  }
  int octetCount = 0;
  while (true) {
    const size_t dot = aText.find('.');
    const std::string octet(aText.substr(0, dot));
    int64_t value = -1;
    if (octet.find_first_not_of(digits) != std::string::npos ||
        !ParseInteger(octet, value) || value > 255) {
      return false;
    }
    ++octetCount;
    if (dot == std::string_view::npos) {
      return octetCount == 4;
    }
    aText.remove_prefix(dot + 1);
  }
}

bool
IsNumericEndpoint(std::string_view aText)
{
  const size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  int64_t port = -1;
  return IsNumericAddress(aText.substr(0, colon)) &&
         ParseInteger(std::string(aText.substr(colon + 1)), port) &&
         port >= 0 && port <= 65535;
}

bool
IsLabelList(std::string_view aText)
{
  while (!aText.empty()) {
    const size_t comma = aText.find(',');
    const std::string_view pair = aText.substr(0, comma);
    const size_t equals = pair.find('=');
    if (equals == 0 || equals == std::string_view::npos) {
      return false;
    }
    if (comma == std::string_view::npos) {
      return true;
    }
    aText.remove_prefix(comma + 1);
    if (aText.empty()) {
      return false;
    }
  }
  return true;
}

/** The value given for a setting, if any. */
struct SettingValue
{
  std::string mSource; /**< the flag, and the variable if it was used */
  std::optional<std::string> mValue{};
};

SettingValue
FindValue(const SettingSpec& aSpec,
          const std::optional<std::string>& aFlag,
          const std::function<const char*(const char*)>& aEnvironment)
{
  const std::string flag = "--" + aSpec.mName;
  if (aFlag) {
    return { .mSource = flag, .mValue = aFlag };
  }
  const std::string variable = VariableName(aSpec.mName);
  if (const char* value = aEnvironment(variable.c_str())) {
    return { .mSource = flag + " (" + variable + ")", .mValue = value };
  }
  return { .mSource = flag };
}

/** Returns an error message, or empty text if the setting is valid. */
std::string
Validate(const SettingSpec& aSpec, const SettingValue& aGiven)
{
  if (aSpec.mRequired && !aGiven.mValue) {
    return aGiven.mSource + " must be given: " + aSpec.mHelp;
  }
  const std::string value = aGiven.mValue.value_or(aSpec.mDefault);
  const std::string range = aSpec.mCheck ? aSpec.mCheck(value) : "";
  if (range.empty()) {
    return "";
  }
  std::ostringstream text;
  text << aGiven.mSource << " must be " << range << ", not \"" << value << '"';
  return text.str();
}

} // namespace

std::function<std::string(const std::string&)>
IntegerBetween(int64_t aMin, int64_t aMax)
{
  return [=](const std::string& aText) -> std::string {
    int64_t value = 0;
    if (ParseInteger(aText, value) && value >= aMin && value <= aMax) {
      return "";
    }
    return "an integer from " + std::to_string(aMin) + " to " +
           std::to_string(aMax);
  };
}

std::function<std::string(const std::string&)>
NumberBetween(double aMin, double aMax)
{
  return [=](const std::string& aText) -> std::string {
    // Infinity is out of range, and every comparison with NaN is false.
    const std::optional<double> value = ParseNumber(aText);
    if (value && *value >= aMin && *value <= aMax) {
      return "";
    }
    std::ostringstream range;
    range.precision(std::numeric_limits<double>::digits10);
    range << "a number from " << aMin << " to " << aMax;
    return range.str();
  };
}

std::function<std::string(const std::string&)>
OneOf(std::vector<std::string> aChoices)
{
  return [choices = std::move(aChoices)](const std::string& aText) {
    if (std::ranges::find(choices, aText) != choices.end()) {
      return std::string();
    }
    std::string text = "one of";
    for (const std::string& choice : choices) {
      text += " " + choice;
    }
    return text;
  };
}

std::function<std::string(const std::string&)>
NumericEndpoint()
{
  return [](const std::string& aText) -> std::string {
    return IsNumericEndpoint(aText)
             ? ""
             : "ADDRESS:PORT with a numeric IP and a port from 0 to 65535";
  };
}

std::function<std::string(const std::string&)>
HttpUrl()
{
  return [](const std::string& aText) -> std::string {
    constexpr std::string_view scheme = "http://";
    if (aText.starts_with(scheme)) {
      std::string endpoint = aText.substr(scheme.size());
      endpoint = endpoint.substr(0, endpoint.find('/'));
      if (IsNumericEndpoint(endpoint)) {
        return "";
      }
    }
    return "http://ADDRESS:PORT with a numeric IP, perhaps with a path";
  };
}

std::function<std::string(const std::string&)>
LabelList()
{
  return [](const std::string& aText) -> std::string {
    return IsLabelList(aText) ? "" : "key=value,... or nothing";
  };
}

std::function<std::string(const std::string&)>
NotEmpty()
{
  return [](const std::string& aText) -> std::string {
    return aText.empty() ? "any text but none" : "";
  };
}

std::string
Settings::Text(const std::string& aName) const
{
  return mValues.at(aName);
}

int64_t
Settings::Integer(const std::string& aName) const
{
  int64_t value = 0;
  if (!ParseInteger(mValues.at(aName), value)) {
    throw std::logic_error(aName + " is not checked to be an integer");
  }
  return value;
}

double
Settings::Number(const std::string& aName) const
{
  const std::optional<double> value = ParseNumber(mValues.at(aName));
  if (!value) {
    throw std::logic_error(aName + " is not checked to be a number");
  }
  return *value;
}

std::map<std::string, std::string>
Settings::LabelMap(const std::string& aName) const
{
  std::map<std::string, std::string> labels;
  std::istringstream text(mValues.at(aName));
  std::string pair;
  while (std::getline(text, pair, ',')) {
    const size_t equals = pair.find('=');
    labels[pair.substr(0, equals)] = pair.substr(equals + 1);
  }
  return labels;
}

SettingsReader::SettingsReader(std::string aProgram,
                               std::string aAbout,
                               std::vector<SettingSpec> aSpecs)
  : mProgram(std::move(aProgram))
  , mAbout(std::move(aAbout))
  , mSpecs(std::move(aSpecs))
{
}

SettingsOutcome
SettingsReader::Read(
  int aCount,
  const char* const* aArguments,
  const std::function<const char*(const char*)>& aEnvironment) const
{
  SettingsOutcome outcome;
  FlagReader flags(mAbout, mSpecs);
  flags.Read(aCount, aArguments, outcome.mFaults);
  if (flags.Help()) {
    outcome.mText = HelpText(mProgram, mAbout, mSpecs);
    return outcome;
  }
  if (flags.Version()) {
    outcome.mText = mProgram + " " + std::string(kVersion) + "\n";
    return outcome;
  }
  Settings settings;
  settings.mCheckOnly = flags.Check();
  for (size_t i = 0; i < mSpecs.size(); ++i) {
    const SettingValue given =
      FindValue(mSpecs[i], flags.Value(i), aEnvironment);
    const bool unparsed = !given.mValue && flags.ParseFailed();
    const std::string fault = unparsed ? "" : Validate(mSpecs[i], given);
    if (!fault.empty()) {
      outcome.mFaults.push_back(fault);
    }
    settings.mValues[mSpecs[i].mName] =
      given.mValue.value_or(mSpecs[i].mDefault);
  }
  if (outcome.mFaults.empty()) {
    outcome.mSettings = std::move(settings);
  }
  return outcome;
}

} // namespace trefoilio
