#pragma once

#include "changesender.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace trefoilarchctl {

class CommandLine;
class OperatorClient;
struct Answer;

/** Rows of equal length; the first contains the column names. */
using Table = std::vector<std::vector<std::string>>;

void
PrintTable(const Table& aRows);

/** Prints the outcome of a change; errors go to standard error. */
ExitCode
PrintReport(const CommandLine& aLine, const ChangeReport& aReport);

/**
 * Prints the error of a failed call and returns its exit code; Done if the call
 * succeeded.
 */
ExitCode
CheckAnswer(const Answer& aAnswer);

/** The policy as JSON; throws UnreachableError. */
nlohmann::json
FetchPolicy(OperatorClient& aClient);

/** Reads a file, or standard input for "-"; throws UsageError. */
std::string
ReadInput(const std::string& aFile);

/** Reads a JSON file, or standard input for "-"; throws UsageError. */
nlohmann::json
ReadJson(const std::string& aFile);

} // namespace trefoilarchctl
