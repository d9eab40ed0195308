#pragma once

#include "changesender.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace trefoilarchctl {

class CommandLine;
class OperatorClient;
struct Answer;

/** Rows of equal length, the first with the columns' names. */
using Table = std::vector<std::vector<std::string>>;

void
PrintTable(const Table& aRows);

/** Says what became of a change: faults to standard error. */
ExitCode
PrintReport(const CommandLine& aLine, const ChangeReport& aReport);

/**
 * Prints why a question has no good answer and gives the exit code for it;
 * Done where the answer is good.
 */
ExitCode
CheckAnswer(const Answer& aAnswer);

/** The policy as JSON; throws UnreachableError. */
nlohmann::json
FetchPolicy(OperatorClient& aClient);

/** Reads a whole file, or standard input for "-"; throws UsageError. */
std::string
ReadInput(const std::string& aFile);

/** Reads a whole JSON file the same way. */
nlohmann::json
ReadJson(const std::string& aFile);

} // namespace trefoilarchctl
