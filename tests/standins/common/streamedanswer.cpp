#include "streamedanswer.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace standin {

using nlohmann::json;

StreamedAnswer::StreamedAnswer(CompletionText aExpected)
  : mExpected(std::move(aExpected))
{
}

size_t
StreamedAnswer::Feed(std::string_view aBytes)
{
  const size_t before = mTokens;
  mBuffer.append(aBytes);
  size_t start = 0;
  size_t end = 0;
  while ((end = mBuffer.find("\n\n", start)) != std::string::npos) {
    HandleEvent(std::string_view(mBuffer).substr(start, end - start));
    start = end + 2;
  }
  mBuffer.erase(0, start);
  return mTokens - before;
}

void
StreamedAnswer::HandleEvent(std::string_view aEvent)
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
      mMismatch = true;
    }
    start = end + 1;
  }
  if (data.empty()) {
    return;
  }
  if (name == "error") {
    HandleError(data);
  } else {
    HandleData(data);
  }
}

void
StreamedAnswer::HandleData(const std::string& aData)
{
  if (mDone || !mErrorKind.empty()) {
    mMismatch = true;
  } else if (mTokens < mExpected.Tokens()) {
    mMismatch = mMismatch || aData != mExpected.TokenData(mTokens);
    ++mTokens;
  } else if (!mFinishReasonReceived) {
    mMismatch = mMismatch || aData != mExpected.EndData();
    mFinishReasonReceived = true;
  } else if (aData == kDoneData) {
    mDone = true;
  } else {
    mMismatch = mMismatch || aData != mExpected.UsageData();
  }
}

void
StreamedAnswer::HandleError(const std::string& aData)
{
  const json event = json::parse(aData, nullptr, false);
  if (mDone || !event.is_object() || !event.contains("error")) {
    mMismatch = true;
    return;
  }
  mErrorKind = event["error"].value("kind", "unnamed");
  mErrorRan = event["error"].value("ran", "");
}

bool
StreamedAnswer::IsWhole() const
{
  return mDone && !mMismatch && mErrorKind.empty() && mBuffer.empty();
}

} // namespace standin
