#include "logs.h"

#include <easylogging++.h>

#include <algorithm>

INITIALIZE_EASYLOGGINGPP

namespace trefoilio {

namespace {

constexpr const char* kLogger = "default";

std::string&
ProcessName()
{
  static std::string sName;
  return sName;
}

bool
NeedsQuotes(std::string_view aValue)
{
  const auto plain = [](char aLetter) {
    const auto code = static_cast<unsigned char>(aLetter);
    return code > 0x20 && code != 0x7f && code != '"' && code != '=' &&
           code != '\\';
  };
  return aValue.empty() || !std::ranges::all_of(aValue, plain);
}

void
AppendEscaped(std::string& aText, char aLetter)
{
  const auto code = static_cast<unsigned char>(aLetter);
  if (aLetter == '"' || aLetter == '\\') {
    aText += '\\';
    aText += aLetter;
  } else if (aLetter == '\n') {
    aText += "\\n";
  } else if (code < 0x20 || code == 0x7f) {
    aText += '?';
  } else {
    aText += aLetter;
  }
}

void
AppendField(std::string& aText, std::string_view aKey, std::string_view aValue)
{
  aText.append(aText.empty() ? "" : " ").append(aKey).append("=");
  if (!NeedsQuotes(aValue)) {
    aText.append(aValue);
    return;
  }
  aText += '"';
  for (const char letter : aValue) {
    AppendEscaped(aText, letter);
  }
  aText += '"';
}

std::string
LineFormat(std::string_view aLevel)
{
  return "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} level=" + std::string(aLevel) +
         " %msg";
}

} // namespace

void
ConfigureLogging(LogLevel aMinLevel, std::string aProcess)
{
  ProcessName() = std::move(aProcess);
  el::Configurations settings;
  settings.setToDefault();
  settings.setGlobally(el::ConfigurationType::ToFile, "false");
  settings.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  const auto set =
    [&](el::Level aLevel, LogLevel aLogLevel, const char* aName) {
      settings.set(aLevel, el::ConfigurationType::Format, LineFormat(aName));
      settings.set(aLevel,
                   el::ConfigurationType::Enabled,
                   aLogLevel >= aMinLevel ? "true" : "false");
    };
  set(el::Level::Debug, LogLevel::Debug, "debug");
  set(el::Level::Info, LogLevel::Info, "info");
  set(el::Level::Warning, LogLevel::Warning, "warning");
  set(el::Level::Error, LogLevel::Error, "error");
  el::Loggers::reconfigureLogger(kLogger, settings);
}

void
LogState(LogLevel aLevel,
         std::string_view aEvent,
         std::initializer_list<LogField> aFields)
{
  std::string line;
  AppendField(line, "process", ProcessName());
  AppendField(line, "event", aEvent);
  for (const LogField& field : aFields) {
    AppendField(line, field.mKey, field.mValue);
  }
  switch (aLevel) {
    case LogLevel::Debug:
      LOG(DEBUG) << line;
      break;
    case LogLevel::Info:
      LOG(INFO) << line;
      break;
    case LogLevel::Warning:
      LOG(WARNING) << line;
      break;
    case LogLevel::Error:
      LOG(ERROR) << line;
      break;
  }
}

} // namespace trefoilio
