#pragma once

namespace trefoilarchctl {

/** What the program's exit code says to scripts; documented in --help. */
enum class ExitCode
{
  Done = 0,
  Usage = 2,
  Conflict = 3,    /**< another change came first; nothing was applied */
  Refused = 4,     /**< the change or the question is not acceptable */
  Unreachable = 5, /**< nobody could be asked; nothing was applied */
  Unknown = 6,     /**< the change may have been applied: ask with its id */
};

} // namespace trefoilarchctl
