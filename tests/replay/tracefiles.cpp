#include "trace.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace replay {

using nlohmann::json;
using trefoilarch::RequestClass;

namespace {

constexpr const char* kColumns =
  "at_ms,class,workspace,prefix,prefix_tokens,prompt_tokens,output_tokens,"
  "idempotent";

std::filesystem::path
PathOf(const std::string& aFolder, const std::string& aName, const char* aKind)
{
  return std::filesystem::path(aFolder) / (aName + aKind);
}

json
ToJson(const RequestClass& aClass)
{
  return { { "name", aClass.mName },
           { "tier", aClass.mTier },
           { "floor", aClass.mFloor },
           { "first_token_ms", aClass.mFirstTokenTarget.Count() },
           { "between_token_ms", aClass.mBetweenTokenTarget.Count() },
           { "deadline_ms", aClass.mDeadline.Count() },
           { "idempotent", aClass.mIdempotent } };
}

RequestClass
ClassFrom(const json& aJson)
{
  RequestClass requestClass;
  requestClass.mName = aJson.at("name");
  requestClass.mTier = aJson.at("tier");
  requestClass.mFloor = aJson.at("floor");
  requestClass.mFirstTokenTarget = Millis(aJson.at("first_token_ms"));
  requestClass.mBetweenTokenTarget = Millis(aJson.at("between_token_ms"));
  requestClass.mDeadline = Millis(aJson.at("deadline_ms"));
  requestClass.mIdempotent = aJson.at("idempotent");
  return requestClass;
}

json
ToJson(const Trace& aTrace)
{
  json classes = json::array();
  for (const RequestClass& requestClass : aTrace.mClasses) {
    classes.push_back(ToJson(requestClass));
  }
  json faults = json::array();
  for (const TraceFault& fault : aTrace.mFaults) {
    faults.push_back({ { "at_ms", fault.mAt.Count() },
                       { "engine", fault.mEngine },
                       { "slow", fault.mSlowdown } });
  }
  json expectations = json::array();
  for (const Expectation& expectation : aTrace.mExpectations) {
    expectations.push_back(
      { { "class", expectation.mClass },
        { "least_attainment", expectation.mMinAttainment },
        { "least_completed", expectation.mMinCompleted } });
  }
  return { { "about", aTrace.mDescription },
           { "seed", aTrace.mSeed },
           { "entries", aTrace.mEntries },
           { "engines", aTrace.mEngines },
           { "repeat_after_ms", aTrace.mRetryDelay.Count() },
           { "repeats", aTrace.mMaxRetries },
           { "classes", std::move(classes) },
           { "faults", std::move(faults) },
           { "promised",
             { { "classes", std::move(expectations) },
               { "least_goodput", aTrace.mMinGoodput },
               { "most_waste", aTrace.mMaxWaste } } } };
}

std::ifstream
OpenFile(const std::filesystem::path& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    throw std::runtime_error("cannot read " + aPath.string());
  }
  return file;
}

void
ReadExpectations(const json& aExpected, Trace& aTrace)
{
  aTrace.mMinGoodput = aExpected.at("least_goodput");
  aTrace.mMaxWaste = aExpected.at("most_waste");
  for (const json& expectation : aExpected.at("classes")) {
    aTrace.mExpectations.push_back(
      { .mClass = expectation.at("class"),
        .mMinAttainment = expectation.at("least_attainment"),
        .mMinCompleted = expectation.at("least_completed") });
  }
}

TraceRequest
RequestFrom(const std::string& aLine)
{
  std::istringstream line(aLine);
  const auto field = [&line] {
    std::string text;
    if (!std::getline(line, text, ',')) {
      throw std::runtime_error("a request of the trace lacks a field");
    }
    return text;
  };
  TraceRequest request;
  request.mAt = Millis(std::stoll(field()));
  request.mClass = field();
  request.mWorkspace = field();
  request.mPrefix = std::stoull(field());
  request.mPrefixTokens = static_cast<uint32_t>(std::stoul(field()));
  request.mPromptTokens = static_cast<uint32_t>(std::stoul(field()));
  request.mOutputTokens = static_cast<uint32_t>(std::stoul(field()));
  request.mIdempotent = field() == "1";
  return request;
}

} // namespace

const RequestClass&
Trace::ClassOf(const TraceRequest& aRequest) const
{
  for (const RequestClass& requestClass : mClasses) {
    if (requestClass.mName == aRequest.mClass) {
      return requestClass;
    }
  }
  throw std::runtime_error("request of an unknown class: " + aRequest.mClass);
}

Millis
Trace::End() const
{
  return mRequests.empty() ? Millis() : mRequests.back().mAt;
}

void
WriteTrace(const Trace& aTrace, const std::string& aFolder)
{
  std::ofstream(PathOf(aFolder, aTrace.mName, ".json"))
    << ToJson(aTrace).dump(2) << '\n';
  std::ofstream rows(PathOf(aFolder, aTrace.mName, ".csv"));
  rows << kColumns << '\n';
  for (const TraceRequest& request : aTrace.mRequests) {
    rows << request.mAt.Count() << ',' << request.mClass << ','
         << request.mWorkspace << ',' << request.mPrefix << ','
         << request.mPrefixTokens << ',' << request.mPromptTokens << ','
         << request.mOutputTokens << ',' << request.mIdempotent << '\n';
  }
}

Trace
ReadTrace(const std::string& aFolder, const std::string& aName)
{
  const json head = json::parse(OpenFile(PathOf(aFolder, aName, ".json")));
  Trace trace;
  trace.mName = aName;
  trace.mDescription = head.at("about");
  trace.mSeed = head.at("seed");
  trace.mEntries = head.at("entries");
  trace.mEngines = head.at("engines");
  trace.mBatch = ReplayBatch();
  trace.mRetryDelay = Millis(head.at("repeat_after_ms"));
  trace.mMaxRetries = head.at("repeats");
  for (const json& requestClass : head.at("classes")) {
    trace.mClasses.push_back(ClassFrom(requestClass));
  }
  for (const json& fault : head.at("faults")) {
    trace.mFaults.push_back({ .mAt = Millis(fault.at("at_ms")),
                              .mEngine = fault.at("engine"),
                              .mSlowdown = fault.at("slow") });
  }
  ReadExpectations(head.at("promised"), trace);
  std::ifstream rows = OpenFile(PathOf(aFolder, aName, ".csv"));
  std::string line;
  if (!std::getline(rows, line) || line != kColumns) {
    throw std::runtime_error("unexpected column header in trace " + aName);
  }
  while (std::getline(rows, line)) {
    trace.mRequests.push_back(RequestFrom(line));
  }
  return trace;
}

std::vector<std::string>
TraceNames(const std::string& aFolder)
{
  std::vector<std::string> names;
  for (const auto& file : std::filesystem::directory_iterator(aFolder)) {
    if (file.path().extension() == ".csv") {
      names.push_back(file.path().stem());
    }
  }
  std::sort(names.begin(), names.end());
  return names;
}

} // namespace replay
