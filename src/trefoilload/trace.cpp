#include "trace.h"

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace trefoilload {

using nlohmann::json;

namespace {

json
ToJson(const TraceRequest& aRequest)
{
  return { { "at_ms", aRequest.mAt },
           { "workspace", aRequest.mWorkspace },
           { "class", aRequest.mClass },
           { "labels", aRequest.mLabels },
           { "model", aRequest.mModel },
           { "service", aRequest.mService },
           { "prefix", aRequest.mPrefix },
           { "prefix_tokens", aRequest.mPrefixTokens },
           { "prompt_tokens", aRequest.mPromptTokens },
           { "output_tokens", aRequest.mOutputTokens },
           { "stream", aRequest.mStream },
           { "idempotent", aRequest.mIdempotent } };
}

TraceRequest
FromJson(const json& aLine)
{
  return { .mAt = aLine.at("at_ms").get<int64_t>(),
           .mWorkspace = aLine.at("workspace").get<std::string>(),
           .mClass = aLine.at("class").get<std::string>(),
           .mLabels = aLine.value("labels", ""),
           .mModel = aLine.value("model", ""),
           .mService = aLine.value("service", ""),
           .mPrefix = aLine.value("prefix", ""),
           .mPrefixTokens = aLine.value("prefix_tokens", size_t(0)),
           .mPromptTokens = aLine.value("prompt_tokens", size_t(0)),
           .mOutputTokens = aLine.value("output_tokens", size_t(0)),
           .mStream = aLine.value("stream", false),
           .mIdempotent = aLine.value("idempotent", true) };
}

} // namespace

void
WriteTrace(std::ostream& aOut, const Trace& aTrace)
{
  aOut << json({ { "about", aTrace.mAbout } }).dump() << '\n';
  for (const TraceRequest& request : aTrace.mRequests) {
    aOut << ToJson(request).dump() << '\n';
  }
}

Trace
ReadTrace(std::istream& aIn)
{
  Trace trace;
  std::string line;
  size_t number = 0;
  try {
    while (std::getline(aIn, line)) {
      ++number;
      const json object = json::parse(line);
      if (object.contains("about")) {
        trace.mAbout = object["about"].get<std::string>();
      } else {
        trace.mRequests.push_back(FromJson(object));
      }
    }
  } catch (const json::exception& error) {
    throw std::runtime_error("line " + std::to_string(number) + ": " +
                             error.what());
  }
  return trace;
}

} // namespace trefoilload
