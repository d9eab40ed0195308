#pragma once

#include "exitcode.h"

#include <string>
#include <vector>

namespace trefoilarchctl {

/** A command of the program, such as `policy` or `drain`. */
struct Command
{
  std::string mName;
  std::string mSummary;
  /** Usage and examples for `--help`. */
  std::string mHelp;
  /** Takes the arguments after the command's name; throws UsageError. */
  ExitCode (*mRun)(const std::vector<std::string>& aArguments);
};

/** All commands, in the order of the help text. */
const std::vector<Command>&
Commands();

ExitCode
RunPolicy(const std::vector<std::string>& aArguments);
ExitCode
RunClass(const std::vector<std::string>& aArguments);
ExitCode
RunWorkspace(const std::vector<std::string>& aArguments);
ExitCode
RunSelector(const std::vector<std::string>& aArguments);
ExitCode
RunLabel(const std::vector<std::string>& aArguments);
ExitCode
RunDrain(const std::vector<std::string>& aArguments);
ExitCode
RunUndrain(const std::vector<std::string>& aArguments);
ExitCode
RunStatus(const std::vector<std::string>& aArguments);
ExitCode
RunState(const std::vector<std::string>& aArguments);
ExitCode
RunMetrics(const std::vector<std::string>& aArguments);
ExitCode
RunQuarantine(const std::vector<std::string>& aArguments);
ExitCode
RunSlow(const std::vector<std::string>& aArguments);
ExitCode
RunShares(const std::vector<std::string>& aArguments);
ExitCode
RunExplain(const std::vector<std::string>& aArguments);

} // namespace trefoilarchctl
