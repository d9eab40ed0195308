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

/** How far from the request's own lines an upstream's news may bear on it. */
constexpr int64_t kNearMs = 5000;

std::vector<json>
ReadLines(const std::string& aText)
{
  std::vector<json> lines;
  std::istringstream text(aText);
  std::string line;
  while (std::getline(text, line)) {
    // What stands before the object, such as a collector's time, is skipped.
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
TextOf(const json& aValue)
{
  return aValue.is_string() ? aValue.get<std::string>() : aValue.dump();
}

/** Upstreams that the request's lines name, and the span of those lines. */
struct Trail
{
  std::vector<json> mLines;
  std::set<std::string> mUpstreams;
  std::set<std::string> mProcesses;
  int64_t mFirst = INT64_MAX;
  int64_t mLast = 0;
};

Trail
Follow(const std::vector<json>& aAll, const std::string& aId)
{
  Trail trail;
  for (const json& line : aAll) {
    if (line.value("id", "") != aId) {
      continue;
    }
    trail.mLines.push_back(line);
    trail.mProcesses.insert(line.value("process", ""));
    const std::string upstream = line.value("upstream", "");
    if (!upstream.empty()) {
      trail.mUpstreams.insert(upstream);
    }
    const int64_t at = line.value("t_ms", int64_t{ 0 });
    trail.mFirst =
      std::min(trail.mFirst, at - line.value("took_ms", int64_t{ 0 }));
    trail.mLast = std::max(trail.mLast, at);
  }
  return trail;
}

/** A line of the same process that may tell why: about one of the upstreams,
 * the store or the process itself. */
bool
Bears(const json& aLine, const Trail& aTrail)
{
  const int64_t at = aLine.value("t_ms", int64_t{ 0 });
  if (!aTrail.mProcesses.contains(aLine.value("process", "")) ||
      at < aTrail.mFirst - kNearMs || at > aTrail.mLast + kNearMs) {
    return false;
  }
  const std::string event = aLine.value("event", "");
  if (event.starts_with("upstream_") || event == "attempt_ended") {
    return aTrail.mUpstreams.contains(aLine.value("upstream", ""));
  }
  return event.starts_with("dependency_") || event == "stopping" ||
         event == "stopped" || event == "started" || event == "not_ready" ||
         event.starts_with("policy_");
}

void
PrintLine(const json& aLine, int64_t aStart)
{
  std::cout << "  " << aLine.value("t_ms", int64_t{ 0 }) - aStart << " ms  "
            << aLine.value("process", "") << "  " << aLine.value("event", "");
  for (const auto& [key, value] : aLine.items()) {
    if (key != "t_ms" && key != "process" && key != "event" && key != "id") {
      std::cout << " " << key << "=" << TextOf(value);
    }
  }
  std::cout << "\n";
}

} // namespace

ExitCode
RunExplain(const std::vector<std::string>& aArguments)
{
  std::vector<std::string> words = aArguments;
  const bool asJson = std::erase(words, "--json") > 0;
  if (words.empty() || words.size() > 2) {
    throw UsageError("explain: expects ID [FILE]");
  }
  const std::string file = words.size() == 2 ? words[1] : "-";
  const std::vector<json> all = ReadLines(ReadInput(file));
  const Trail trail = Follow(all, words[0]);
  if (trail.mLines.empty()) {
    std::cerr << "no line of request " << words[0] << " among " << all.size()
              << "\n";
    return ExitCode::Refused;
  }
  std::vector<json> near;
  for (const json& line : all) {
    if (line.value("id", "") != words[0] && Bears(line, trail)) {
      near.push_back(line);
    }
  }
  if (asJson) {
    std::cout << json{ { "request", trail.mLines }, { "near", near } }.dump()
              << "\n";
    return ExitCode::Done;
  }
  std::cout << "request " << words[0] << "\n";
  for (const json& line : trail.mLines) {
    PrintLine(line, trail.mFirst);
  }
  std::cout << (near.empty() ? "nothing else near it\n" : "near it\n");
  for (const json& line : near) {
    PrintLine(line, trail.mFirst);
  }
  return ExitCode::Done;
}

} // namespace trefoilarchctl
