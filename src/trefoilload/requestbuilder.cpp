#include "requestbuilder.h"

#include "common/answertext.h"

#include <nlohmann/json.hpp>

namespace trefoilload {

using nlohmann::json;

namespace {

/** Deterministic text of about aTokens tokens, derived from the name. */
std::string
FillerText(const std::string& aName, size_t aTokens)
{
  const size_t length = aTokens * standin::kBytesPerToken;
  std::string text;
  for (size_t word = 0; text.size() < length; ++word) {
    text += aName + ' ' + std::to_string(word) + ' ';
  }
  text.resize(length);
  return text;
}

std::string
ChatBody(const TraceRequest& aRequest, const std::string& aMark)
{
  const std::string prompt =
    FillerText(aMark, aRequest.mPromptTokens) + "[[mark=" + aMark +
    "]] [[tokens=" + std::to_string(aRequest.mOutputTokens) + "]]";
  json messages = json::array();
  if (aRequest.mPrefixTokens != 0) {
    messages.push_back(
      { { "role", "system" },
        { "content", FillerText(aRequest.mPrefix, aRequest.mPrefixTokens) } });
  }
  messages.push_back({ { "role", "user" }, { "content", prompt } });
  return json({ { "model", aRequest.mModel },
                { "messages", messages },
                { "stream", aRequest.mStream } })
    .dump();
}

std::string
RequestPath(const TraceRequest& aRequest, const std::string& aMark)
{
  return aRequest.mService.empty()
           ? "/v1/chat/completions"
           : "/v1/services/" + aRequest.mService + "/calls/" + aMark;
}

} // namespace

trefoilio::HttpRequest
BuildRequest(const TraceRequest& aRequest,
             const std::string& aMark,
             const std::string& aEntry,
             const Tokens& aTokens)
{
  trefoilio::HttpRequest request;
  request.mMethod = "POST";
  request.mTarget = aEntry + RequestPath(aRequest, aMark);
  request.mHeaders = {
    { "Content-Type", "application/json" },
    { "X-Trefoilarch-Workspace", aRequest.mWorkspace },
    { "X-Trefoilarch-Class", aRequest.mClass },
    { "X-Trefoilarch-Idempotent", aRequest.mIdempotent ? "true" : "false" },
  };
  if (!aRequest.mLabels.empty()) {
    request.mHeaders.emplace_back("X-Trefoilarch-Labels", aRequest.mLabels);
  }
  if (!aRequest.mIdempotent) {
    request.mHeaders.emplace_back("Idempotency-Key", aMark);
  }
  if (const auto token = aTokens.find(aRequest.mWorkspace);
      token != aTokens.end()) {
    request.mHeaders.emplace_back("Authorization", "Bearer " + token->second);
  }
  request.mBody = aRequest.mService.empty()
                    ? ChatBody(aRequest, aMark)
                    : FillerText(aMark, aRequest.mPromptTokens);
  return request;
}

} // namespace trefoilload
