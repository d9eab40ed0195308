#pragma once

#include "exitcode.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <string>
#include <vector>

namespace trefoilarchctl {

class CommandLine;

/** A kind of named policy object: class, workspace or selector. */
struct ObjectKind
{
  std::string mName;   /**< as in operations and commands, such as `class` */
  std::string mPlural; /**< the policy's JSON member, such as `classes` */
  std::vector<std::string> mColumns;
  std::function<std::vector<std::string>(const nlohmann::json&)> mRow;
};

/** `list`: prints the objects as a table or as JSON. */
ExitCode
ListObjects(const ObjectKind& aKind,
            const std::vector<std::string>& aArguments);

/** `remove NAME`. */
ExitCode
RemoveObject(const ObjectKind& aKind,
             const std::vector<std::string>& aArguments);

/**
 * `set NAME`: reads or creates the object, modifies it with aChange and
 * proposes it based on the version that was read, so that a concurrent change
 * by another operator is a conflict and is not overwritten.
 */
ExitCode
SetObject(const ObjectKind& aKind,
          const CommandLine& aLine,
          const std::string& aName,
          const std::function<void(nlohmann::json&)>& aChange);

/** Runs the subcommand list, set or remove; throws UsageError. */
ExitCode
RunObject(const ObjectKind& aKind,
          const std::vector<std::string>& aArguments,
          const std::function<ExitCode(const std::vector<std::string>&)>& aSet);

} // namespace trefoilarchctl
