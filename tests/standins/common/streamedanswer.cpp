#include "streamedanswer.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace standin {

using nlohmann::json;

size_t
StreamedAnswer::Feed(std::string_view aBytes)
{
  const size_t before = mTokens;
  mBuffer.append(aBytes);
  size_t start = 0;
  size_t end = 0;
  while ((end = mBuffer.find("\n\n", start)) != std::string::npos) {
    TakeEvent(std::string_view(mBuffer).substr(start, end - start));
    start = end + 2;
  }
  mBuffer.erase(0, start);
  return mTokens - before;
}

void
StreamedAnswer::TakeEvent(std::string_view aEvent)
{
  std::string name;
  std::string data;
  size_t start = 0;
  while (start < aEvent.size()) {
    const size_t end = std::min(aEvent.find('\n', start), aEvent.size());
    const std::string_view line = aEvent.substr(start, end - start);
    if (line.starts_with("data: ")) {
      data += line.substr(6);
    } else if (line.starts_with("event: ")) {
      name = line.substr(7);
    } else if (!line.empty() && !line.starts_with(':')) {
      mMalformed = true;
    }
    start = end + 1;
  }
  if (data.empty()) {
    return;
  }
  if (name == "error") {
    TakeError(data);
  } else {
    TakeData(data);
  }
}

void
StreamedAnswer::TakeData(const std::string& aData)
{
  if (mDone || !mErrorKind.empty()) {
    mMalformed = true;
    return;
  }
  if (aData == "[DONE]") {
    mDone = true;
    return;
  }
  const json event = json::parse(aData, nullptr, false);
  const std::string id = event.is_object() ? event.value("id", "") : "";
  if (id.empty() || (!mId.empty() && id != mId)) {
    mMalformed = true;
    return;
  }
  mId = id;
  for (const json& choice : event.value("choices", json::array())) {
    const json delta = choice.value("delta", json::object());
    if (delta.contains("content") && delta["content"].is_string()) {
      mContent += delta["content"].get<std::string>();
      ++mTokens;
    }
    if (choice.contains("finish_reason") &&
        choice["finish_reason"].is_string()) {
      mFinishReason = choice["finish_reason"].get<std::string>();
    }
  }
}

void
StreamedAnswer::TakeError(const std::string& aData)
{
  const json event = json::parse(aData, nullptr, false);
  if (mDone || !event.is_object() || !event.contains("error")) {
    mMalformed = true;
    return;
  }
  mErrorKind = event["error"].value("kind", "unnamed");
  mErrorRan = event["error"].value("ran", "");
}

bool
StreamedAnswer::IsWhole(const AnswerText& aExpected) const
{
  return mDone && !mMalformed && mErrorKind.empty() && mBuffer.empty() &&
         mId == aExpected.CompletionId() &&
         mFinishReason == aExpected.FinishReason() &&
         mTokens == aExpected.mTokens.size() && mContent == aExpected.Content();
}

bool
StreamedAnswer::IsPrefix(const AnswerText& aExpected) const
{
  return !mMalformed && (mId.empty() || mId == aExpected.CompletionId()) &&
         aExpected.Content().starts_with(mContent);
}

} // namespace standin
