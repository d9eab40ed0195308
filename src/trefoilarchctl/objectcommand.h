#pragma once

#include "exitcode.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <string>
#include <vector>

namespace trefoilarchctl {

class CommandLine;

/** A kind of named object in the policy: classes, workspaces, selectors. */
struct ObjectKind
{
  std::string mName;   /**< in operations and commands, such as `class` */
  std::string mPlural; /**< the policy's member, such as `classes` */
  std::vector<std::string> mColumns;
  std::function<std::vector<std::string>(const nlohmann::json&)> mRow;
};

/** `list`: a table, or the objects as JSON. */
ExitCode
ListObjects(const ObjectKind& aKind,
            const std::vector<std::string>& aArguments);

/** `remove NAME`. */
ExitCode
RemoveObject(const ObjectKind& aKind,
             const std::vector<std::string>& aArguments);

/**
 * `set NAME`: reads the object as it is, or starts a new one, lets aChange
 * alter it, and proposes it on the version that was read, so that a change
 * by another operator in between is a conflict and not undone.
 */
ExitCode
SetObject(const ObjectKind& aKind,
          const CommandLine& aLine,
          const std::string& aName,
          const std::function<void(nlohmann::json&)>& aChange);

/** Splits off the verb and calls the one that fits; throws UsageError. */
ExitCode
RunObject(const ObjectKind& aKind,
          const std::vector<std::string>& aArguments,
          const std::function<ExitCode(const std::vector<std::string>&)>& aSet);

} // namespace trefoilarchctl
