#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace trefoilio {

/** One setting: a flag `--name` and a variable `TREFOILARCH_NAME`. */
struct SettingSpec
{
  std::string mName;      /**< with dashes, without the leading ones */
  std::string mHelp;      /**< one line, with the unit */
  std::string mDefault{}; /**< empty and mRequired: must be given */
  bool mRequired = false;
  /** Empty where the text is accepted, else the accepted range in words. */
  std::function<std::string(const std::string&)> mCheck{};
};

/** Ready checks for SettingSpec::mCheck. */
std::function<std::string(const std::string&)>
IntegerBetween(int64_t aLeast, int64_t aMost);
/** A finite decimal number, perhaps with a fraction. */
std::function<std::string(const std::string&)>
NumberBetween(double aLeast, double aMost);
std::function<std::string(const std::string&)>
OneOf(std::vector<std::string> aChoices);
/** `ADDRESS:PORT` with a numeric IP. */
std::function<std::string(const std::string&)>
NumericEndpoint();
/** `http://ADDRESS:PORT`, perhaps with a path. */
std::function<std::string(const std::string&)>
HttpUrl();
/** `key=value,...`, may be empty. */
std::function<std::string(const std::string&)>
LabelList();
std::function<std::string(const std::string&)>
NotEmpty();

/** The settings of a process, read and validated. */
class Settings
{
public:
  std::string Text(const std::string& aName) const;
  int64_t Integer(const std::string& aName) const;
  double Number(const std::string& aName) const;
  std::map<std::string, std::string> LabelMap(const std::string& aName) const;
  /** `--check` was given: report and exit. */
  bool CheckOnly() const { return mCheckOnly; }

private:
  friend class SettingsReader;
  std::map<std::string, std::string> mValues;
  bool mCheckOnly = false;
};

/** What reading the settings led to. */
struct SettingsOutcome
{
  std::optional<Settings> mSettings;
  /** Each fault names its flag and the accepted range; all are listed. */
  std::vector<std::string> mFaults;
  /** `--help` or `--version`: print this and exit with 0. */
  std::optional<std::string> mText;
};

/**
 * Reads flags by TCLAP and then the environment (the flag wins), and checks
 * every value. Knows `--check`, `--version` and `--help` besides.
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
