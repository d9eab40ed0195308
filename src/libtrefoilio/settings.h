#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace trefoilio {

/** One setting: a flag `--name` or a variable `TREFOILARCH_NAME`. */
struct SettingSpec
{
  std::string mName;      /**< in kebab case, without leading dashes */
  std::string mHelp;      /**< one line, with the unit */
  std::string mDefault{}; /**< for a setting that is not given */
  bool mRequired = false;
  /** Returns empty text for a valid value, else the accepted range. */
  std::function<std::string(const std::string&)> mCheck{};
};

/** Checks for SettingSpec::mCheck. */
std::function<std::string(const std::string&)>
IntegerBetween(int64_t aMin, int64_t aMax);
/** A finite decimal number, optionally with a fraction. */
std::function<std::string(const std::string&)>
NumberBetween(double aMin, double aMax);
std::function<std::string(const std::string&)>
OneOf(std::vector<std::string> aChoices);
/** `ADDRESS:PORT` with a numeric IP. */
std::function<std::string(const std::string&)>
NumericEndpoint();
/** `http://ADDRESS:PORT`, optionally with a path. */
std::function<std::string(const std::string&)>
HttpUrl();
/** `key=value,...` or empty text. */
std::function<std::string(const std::string&)>
LabelList();
std::function<std::string(const std::string&)>
NotEmpty();

/** Validated settings of a process. */
class Settings
{
public:
  std::string Text(const std::string& aName) const;
  int64_t Integer(const std::string& aName) const;
  double Number(const std::string& aName) const;
  std::map<std::string, std::string> LabelMap(const std::string& aName) const;
  /** True if `--check` was given: validate and exit. */
  bool CheckOnly() const { return mCheckOnly; }

private:
  friend class SettingsReader;
  std::map<std::string, std::string> mValues;
  bool mCheckOnly = false;
};

/** Result of reading the settings. */
struct SettingsOutcome
{
  std::optional<Settings> mSettings;
  /** All errors, each with its flag and the accepted range. */
  std::vector<std::string> mFaults;
  /** `--help` or `--version`: print this and exit with 0. */
  std::optional<std::string> mText;
};

/**
 * Reads settings from flags (with TCLAP) and the environment, and validates
 * them. Flags take precedence. Also handles `--check`, `--version`, `--help`.
 */
class SettingsReader
{
public:
  SettingsReader(std::string aProgram,
                 std::string aAbout,
                 std::vector<SettingSpec> aSpecs);

  SettingsOutcome Read(
    int aCount,
    const char* const* aArguments,
    const std::function<const char*(const char*)>& aEnvironment) const;

private:
  std::string mProgram;
  std::string mAbout;
  std::vector<SettingSpec> mSpecs;
};

} // namespace trefoilio
