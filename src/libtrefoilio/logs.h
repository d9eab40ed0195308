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

/** One key=value of a line. */
struct LogField
{
  std::string_view mKey;
  std::string mValue;
};

/** Sets up easylogging++ for the process: standard error, one line each. */
void
SetUpLogs(LogLevel aLeast, std::string aProcess);

/**
 * Writes one line for a change of state: event=... key=value... Values are
 * quoted where they need it; never request text, tokens or keys.
 */
void
LogState(LogLevel aLevel,
         std::string_view aEvent,
         std::initializer_list<LogField> aFields = {});

} // namespace trefoilio
