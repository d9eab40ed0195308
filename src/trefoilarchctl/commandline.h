#pragma once

#include <tclap/CmdLine.h>

#include <optional>
#include <string>
#include <vector>

namespace trefoilarchctl {

/**
 * The arguments of one command: those common to all commands, and those that
 * the command adds to Line() before Parse().
 */
class CommandLine
{
public:
  explicit CommandLine(std::string aCommand);

  TCLAP::CmdLine& Line() { return mLine; }

  /** Throws UsageError, also if no operator port is configured. */
  void Parse(const std::vector<std::string>& aArguments);

  /** From --operator, else from TREFOILARCH_OPERATOR (comma-separated). */
  std::vector<std::string> Operators() const;
  std::string Author() const;
  bool Json() const { return mJson.getValue(); }

private:
  const std::string mCommand;
  TCLAP::CmdLine mLine;
  TCLAP::MultiArg<std::string> mOperators;
  TCLAP::ValueArg<std::string> mAuthor;
  TCLAP::SwitchArg mJson;
};

} // namespace trefoilarchctl
