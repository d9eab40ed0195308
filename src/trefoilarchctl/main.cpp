#include "command.h"
#include "unreachableerror.h"
#include "usageerror.h"

#include <algorithm>
#include <iostream>

namespace {

using namespace trefoilarchctl;

constexpr const char* kVersion = "trefoilarchctl 0.1.0\n";

constexpr const char* kCommonHelp =
  R"(Flags of every command:
  --operator URL   operator port, http://ADDRESS:PORT; may be given more than
                   once, they are tried in turn (TREFOILARCH_OPERATOR, with
                   commas between several)
  --author NAME    author of a change (TREFOILARCH_AUTHOR, else USER)
  --json           answer in JSON, for programs
  --help           help on a command, with examples

Exit codes: 0 done, 2 usage, 3 conflict (another change came first), 4 refused,
5 unreachable (nothing was applied), 6 outcome unknown (ask with the id).
)";

void
PrintHelp()
{
  std::cout << "trefoilarchctl COMMAND ...: drives a trefoilarch fleet\n\n";
  for (const Command& command : Commands()) {
    std::string name = command.mName;
    name.resize(12, ' ');
    std::cout << "  " << name << command.mSummary << "\n";
  }
  std::cout << "\n" << kCommonHelp;
}

bool
IsHelpFlag(const std::string& aText)
{
  return aText == "--help" || aText == "-h";
}

/** Moves the flags before the command behind it. */
std::vector<std::string>
MoveFlagsBehindCommand(std::vector<std::string> aArguments)
{
  size_t flags = 0;
  while (flags < aArguments.size()) {
    const std::string& text = aArguments[flags];
    if (text == "--operator" || text == "--author") {
      flags += 2;
    } else if (text == "--json" || text.starts_with("--operator=") ||
               text.starts_with("--author=")) {
      ++flags;
    } else {
      break;
    }
  }
  if (flags < aArguments.size()) {
    const auto command = aArguments.begin() + static_cast<ptrdiff_t>(flags);
    std::rotate(aArguments.begin(), command, aArguments.end());
  }
  return aArguments;
}

ExitCode
Run(const std::vector<std::string>& aArguments)
{
  if (aArguments.empty()) {
    throw UsageError("no command given; see trefoilarchctl --help");
  }
  const std::string& name = aArguments.front();
  if (IsHelpFlag(name) || name == "help") {
    PrintHelp();
    return ExitCode::Done;
  }
  if (name == "--version") {
    std::cout << kVersion;
    return ExitCode::Done;
  }
  for (const Command& command : Commands()) {
    if (command.mName != name) {
      continue;
    }
    if (std::ranges::any_of(aArguments, IsHelpFlag)) {
      std::cout << command.mHelp << "\n" << kCommonHelp;
      return ExitCode::Done;
    }
    return command.mRun({ aArguments.begin() + 1, aArguments.end() });
  }
  throw UsageError("unknown command: " + name);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  try {
    const std::vector<std::string> arguments(aArguments + 1,
                                             aArguments + aCount);
    return static_cast<int>(Run(MoveFlagsBehindCommand(arguments)));
  } catch (const UsageError& error) {
    std::cerr << "usage: " << error.what() << "\n";
    return static_cast<int>(ExitCode::Usage);
  } catch (const UnreachableError& error) {
    std::cerr << "unreachable: " << error.what() << "\n";
    return static_cast<int>(ExitCode::Unreachable);
  }
}
