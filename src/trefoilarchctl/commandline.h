#pragma once

#include <tclap/CmdLine.h>

#include <optional>
#include <string>
#include <vector>

namespace trefoilarchctl {

/**
 * The arguments of one command: what every command takes, and what the
 * command adds to Line() before Parse().
 */
class CommandLine
{
public:
  explicit CommandLine(std::string aCommand);

  TCLAP::CmdLine& Line() { return mLine; }

  /** Throws UsageError; so it does where no operator port is known. */
  void Parse(const std::vector<std::string>& aArguments);

  /** From the flags, else from TREFOILARCH_OPERATOR (comma-separated). */
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
