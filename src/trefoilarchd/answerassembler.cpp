#include "answerassembler.h"

#include <array>
#include <utility>

namespace trefoilarch {

namespace {

using nlohmann::ordered_json;

constexpr std::string_view kData = "data:";
constexpr std::array kHeadFields = { "id",
                                     "created",
                                     "model",
                                     "system_fingerprint",
                                     "service_tier" };

/** Adds a delta's text to the text that has come so far. */
void
Append(ordered_json& aTo, const ordered_json& aPart)
{
  if (aTo.is_string() && aPart.is_string()) {
    aTo = aTo.get<std::string>() + aPart.get<std::string>();
  } else if (!aPart.is_null()) {
    aTo = aPart;
  }
}

} // namespace

void
AnswerAssembler::Add(const std::string& aData)
{
  mRest += aData;
  size_t begin = 0;
  for (size_t end = mRest.find('\n'); end != std::string::npos;
       end = mRest.find('\n', begin)) {
    AddLine(mRest.substr(begin, end - begin));
    begin = end + 1;
  }
  mRest.erase(0, begin);
}

void
AnswerAssembler::AddLine(const std::string& aLine)
{
  if (aLine.rfind(kData, 0) != 0) {
    return;
  }
  size_t begin = kData.size();
  while (begin < aLine.size() && aLine[begin] == ' ') {
    ++begin;
  }
  std::string text = aLine.substr(begin);
  if (!text.empty() && text.back() == '\r') {
    text.pop_back();
  }
  if (text == "[DONE]") {
    mDone = true;
    return;
  }
  const auto event = ordered_json::parse(text, nullptr, false);
  if (event.is_object()) {
    AddEvent(event);
  }
}

void
AnswerAssembler::AddEvent(const ordered_json& aEvent)
{
  for (const char* field : kHeadFields) {
    const auto found = aEvent.find(field);
    if (found != aEvent.end() && !mHead.contains(field)) {
      mHead[field] = *found;
    }
  }
  const auto usage = aEvent.find("usage");
  if (usage != aEvent.end() && usage->is_object()) {
    mUsage = *usage;
  }
  const auto choices = aEvent.find("choices");
  if (choices == aEvent.end() || !choices->is_array()) {
    return;
  }
  for (const auto& part : *choices) {
    if (!part.is_object()) {
      continue;
    }
    Choice& choice = mChoices[part.value("index", int64_t(0))];
    if (part.contains("delta") && part["delta"].is_object()) {
      AddDelta(choice, part["delta"]);
    }
    if (part.contains("finish_reason") && !part["finish_reason"].is_null()) {
      choice.mFinishReason = part["finish_reason"];
    }
    if (part.contains("logprobs") && part["logprobs"].is_object()) {
      for (const auto& [name, list] : part["logprobs"].items()) {
        for (const auto& item : list) {
          choice.mLogprobs[name].push_back(item);
        }
      }
    }
  }
}

void
AnswerAssembler::AddDelta(Choice& aChoice, const ordered_json& aDelta)
{
  for (const auto& [name, value] : aDelta.items()) {
    if (name == "role") {
      aChoice.mMessage[name] = value;
    } else if (name == "tool_calls" && value.is_array()) {
      AddToolCalls(aChoice, value);
    } else {
      Append(aChoice.mMessage[name], value);
    }
  }
}

void
AnswerAssembler::AddToolCalls(Choice& aChoice, const ordered_json& aCalls)
{
  ordered_json& calls = aChoice.mMessage["tool_calls"];
  for (const auto& part : aCalls) {
    if (!part.is_object()) {
      continue;
    }
    const size_t index = part.value("index", size_t(0));
    while (calls.size() <= index && calls.size() < 1024) {
      calls.push_back(ordered_json::object());
    }
    if (index >= calls.size()) {
      continue;
    }
    for (const auto& [name, value] : part.items()) {
      if (name == "function" && value.is_object()) {
        for (const auto& [field, text] : value.items()) {
          Append(calls[index]["function"][field], text);
        }
      } else if (name != "index") {
        calls[index][name] = value;
      }
    }
  }
}

std::string
AnswerAssembler::Json() const
{
  ordered_json answer = mHead;
  answer["object"] = "chat.completion";
  answer["choices"] = ordered_json::array();
  for (const auto& [index, choice] : mChoices) {
    ordered_json message = choice.mMessage;
    if (!message.contains("role")) {
      message["role"] = "assistant";
    }
    if (!message.contains("content")) {
      message["content"] = nullptr;
    }
    ordered_json one = { { "index", index },
                         { "message", message },
                         { "finish_reason", choice.mFinishReason } };
    if (!choice.mLogprobs.is_null()) {
      one["logprobs"] = choice.mLogprobs;
    }
    answer["choices"].push_back(std::move(one));
  }
  if (!mUsage.is_null()) {
    answer["usage"] = mUsage;
  }
  return answer.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

} // namespace trefoilarch
