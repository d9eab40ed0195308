#include "command.h"

#include "output.h"
#include "usageerror.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>
#include <set>
#include <sstream>

namespace trefoilarchctl {

namespace {

using nlohmann::json;

/** Margin around a request's lines within which other lines are related. */
constexpr int64_t kRelatedMarginMs = 5000;

std::vector<json>
ReadLines(const std::string& aText)
{
  std::vector<json> lines;
  std::istringstream text(aText);
  std::string line;
  while (std::getline(text, line)) {
    // Skips a prefix, such as the timestamp of a log collector.
    const size_t start = line.find('{');
    if (start == std::string::npos) {
      continue;
    }
    json parsed = json::parse(line.substr(start), nullptr, false);
    if (parsed.is_object() && parsed.contains("event")) {
      lines.push_back(std::move(parsed));
    }
  }
  return lines;
}

std::string
ToText(const json& aValue)
{
  return aValue.is_string() ? aValue.get<std::string>() : aValue.dump();
}

/** A request's log lines, and their upstreams, processes and time range. */
struct RequestTrace
{
  std::vector<json> mLines;
  std::set<std::string> mUpstreams;
  std::set<std::string> mProcesses;
  int64_t mStartMs = INT64_MAX;
  int64_t mEndMs = 0;
};

RequestTrace
TraceRequest(const std::vector<json>& aLines, const std::string& aId)
{
  RequestTrace trace;
  for (const json& line : aLines) {
    if (line.value("id", "") != aId) {
      continue;
    }
    trace.mLines.push_back(line);
    trace.mProcesses.insert(line.value("process", ""));
    const std::string upstream = line.value("upstream", "");
    if (!upstream.empty()) {
      trace.mUpstreams.insert(upstream);
    }
    const int64_t timeMs = line.value("t_ms", int64_t{ 0 });
    trace.mStartMs =
      std::min(trace.mStartMs, timeMs - line.value("took_ms", int64_t{ 0 }));
    trace.mEndMs = std::max(trace.mEndMs, timeMs);
  }
  return trace;
}

/**
 * Whether a line of the same process may explain the request's outcome: it is
 * about one of the upstreams, the store, the policy or the process itself.
 */
bool
IsRelated(const json& aLine, const RequestTrace& aTrace)
{
  const int64_t timeMs = aLine.value("t_ms", int64_t{ 0 });
  if (!aTrace.mProcesses.contains(aLine.value("process", "")) ||
      timeMs < aTrace.mStartMs - kRelatedMarginMs ||
      timeMs > aTrace.mEndMs + kRelatedMarginMs) {
    return false;
  }
  const std::string event = aLine.value("event", "");
  if (event.starts_with("upstream_") || event == "attempt_ended") {
    return aTrace.mUpstreams.contains(aLine.value("upstream", ""));
  }
  return event.starts_with("dependency_") || event == "stopping" ||
         event == "stopped" || event == "started" || event == "not_ready" ||
         event.starts_with("policy_");
}

void
PrintLine(const json& aLine, int64_t aStartMs)
{
  std::cout << "  " << aLine.value("t_ms", int64_t{ 0 }) - aStartMs << " ms  "
            << aLine.value("process", "") << "  " << aLine.value("event", "");
  for (const auto& [key, value] : aLine.items()) {
    if (key != "t_ms" && key != "process" && key != "event" && key != "id") {
      std::cout << " " << key << "=" << ToText(value);
    }
  }
  std::cout << "\n";
}

} // namespace

ExitCode
RunExplain(const std::vector<std::string>& aArguments)
{
  std::vector<std::string> arguments = aArguments;
  const bool asJson = std::erase(arguments, "--json") > 0;
  if (arguments.empty() || arguments.size() > 2) {
    throw UsageError("explain: expects ID [FILE]");
  }
  const std::string file = arguments.size() == 2 ? arguments[1] : "-";
  const std::vector<json> lines = ReadLines(ReadInput(file));
  const RequestTrace trace = TraceRequest(lines, arguments[0]);
  if (trace.mLines.empty()) {
    std::cerr << "no line of request " << arguments[0] << " among "
              << lines.size() << "\n";
    return ExitCode::Refused;
  }
  std::vector<json> related;
  for (const json& line : lines) {
    if (line.value("id", "") != arguments[0] && IsRelated(line, trace)) {
      related.push_back(line);
    }
  }
  if (asJson) {
    std::cout << json{ { "request", trace.mLines }, { "near", related } }.dump()
              << "\n";
    return ExitCode::Done;
  }
  std::cout << "request " << arguments[0] << "\n";
  for (const json& line : trace.mLines) {
    PrintLine(line, trace.mStartMs);
  }
  std::cout << (related.empty() ? "nothing else near it\n" : "near it\n");
  for (const json& line : related) {
    PrintLine(line, trace.mStartMs);
  }
  return ExitCode::Done;
}

} // namespace trefoilarchctl
