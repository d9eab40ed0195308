#include "eventsplitter.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace trefoilarch {

namespace {

constexpr const char* kDone = "data: [DONE]";
constexpr const char* kDelta = "\"delta\"";
constexpr const char* kUsage = "\"usage\":{";

/** Returns the end of the first blank line at or after aFrom, or npos. */
size_t
EndOfEvent(const std::string& aText, size_t aFrom)
{
  const size_t plain = aText.find("\n\n", aFrom);
  const size_t crlf = aText.find("\r\n\r\n", aFrom);
  const size_t plainEnd =
    plain == std::string::npos ? plain : plain + std::string("\n\n").size();
  const size_t crlfEnd =
    crlf == std::string::npos ? crlf : crlf + std::string("\r\n\r\n").size();
  return std::min(plainEnd, crlfEnd);
}

} // namespace

EventBatch
EventSplitter::Add(const std::string& aData)
{
  mRemainder += aData;
  EventBatch batch;
  size_t begin = 0;
  for (size_t end = EndOfEvent(mRemainder, 0); end != std::string::npos;
       end = EndOfEvent(mRemainder, begin)) {
    batch.mTokens += ReadEvent(mRemainder.substr(begin, end - begin));
    begin = end;
  }
  batch.mData = mRemainder.substr(0, begin);
  mRemainder.erase(0, begin);
  return batch;
}

uint32_t
EventSplitter::ReadEvent(const std::string& aEvent)
{
  if (aEvent.rfind(kDone, 0) == 0) {
    mDone = true;
    return 0;
  }
  if (aEvent.find(kUsage) != std::string::npos) {
    ReadUsage(aEvent);
  }
  return aEvent.find(kDelta) == std::string::npos ? 0 : 1;
}

void
EventSplitter::ReadUsage(const std::string& aEvent)
{
  const size_t begin = aEvent.find('{');
  const auto event =
    nlohmann::json::parse(aEvent.substr(begin), nullptr, false);
  if (!event.is_object()) {
    return;
  }
  const auto usage = event.find("usage");
  if (usage != event.end() && usage->is_object()) {
    mPromptTokens = usage->value("prompt_tokens", 0U);
    mOutputTokens = usage->value("completion_tokens", 0U);
  }
}

} // namespace trefoilarch
