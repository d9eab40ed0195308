#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace trefoilio {

enum class LogLevel
{
  Debug,
  Info,
  Warning,
  Error,
};

/** One key=value pair of a log line. */
struct LogField
{
  std::string_view mKey;
  std::string mValue;
};

/** Configures easylogging++ to write single lines to standard error. */
void
ConfigureLogging(LogLevel aMinLevel, std::string aProcess);

/**
 * Logs a state change as one line: event=... key=value... Quotes values where
 * needed. Must not be given request text, tokens or keys.
 */
void
LogState(LogLevel aLevel,
         std::string_view aEvent,
         std::initializer_list<LogField> aFields = {});

} // namespace trefoilio
