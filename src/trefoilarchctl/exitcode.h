#pragma once

namespace trefoilarchctl {

/** The program's exit codes, which --help documents for scripts. */
enum class ExitCode
{
  Done = 0,
  Usage = 2,
  Conflict = 3,    /**< another change was first; nothing was applied */
  Refused = 4,     /**< the change or the query was rejected */
  Unreachable = 5, /**< no operator port answered; nothing was applied */
  Unknown = 6,     /**< the change may have been applied; query its id */
};

} // namespace trefoilarchctl
