#include "soakrun.h"

#include <map>

namespace soak {

using nlohmann::json;

namespace {

/** The runs of one stream. */
struct StreamRuns
{
  /** Of the last run that started at the first event; the stream began there.
   */
  int64_t mBegunAt = 0;
  std::string mVersion;
  std::vector<const json*> mContinuing;
};

} // namespace

void
CheckVersions(const std::vector<SoakRecord>& aRecords,
              const std::vector<json>& aRuns,
              std::vector<std::string>& aViolations)
{
  std::map<std::string, const SoakRecord*> requests;
  for (const SoakRecord& record : aRecords) {
    if (record.mKind == "stream" || record.mKind == "resume") {
      requests[record.mId] = &record;
    }
  }
  std::map<std::string, StreamRuns> streams;
  for (const json& run : aRuns) {
    const auto request = requests.find(run.at("id").get<std::string>());
    if (request == requests.end()) {
      continue;
    }
    const std::string& begunBy = request->second->mBegunBy;
    StreamRuns& runs = streams[begunBy.empty() ? request->first : begunBy];
    const auto startedAt = run.at("at_ms").get<int64_t>();
    if (run.at("headers").contains("Last-Event-Id")) {
      runs.mContinuing.push_back(&run);
    } else if (startedAt >= runs.mBegunAt) {
      runs.mBegunAt = startedAt;
      runs.mVersion = VersionOf(run.at("worker").get<size_t>());
    }
  }
  for (const auto& [id, runs] : streams) {
    for (const json* run : runs.mContinuing) {
      if (VersionOf(run->at("worker").get<size_t>()) != runs.mVersion) {
        const std::string request = run->at("id");
        aViolations.push_back("a stream must go on at the version that began "
                              "it: " +
                              request + " (gate " +
                              std::to_string(requests.at(request)->mGate) +
                              ")");
      }
    }
  }
}

} // namespace soak
