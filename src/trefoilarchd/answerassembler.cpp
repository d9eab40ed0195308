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

/** Appends a text fragment, or replaces a value that is not text. */
void
AppendFragment(ordered_json& aTarget, const ordered_json& aFragment)
{
  if (aTarget.is_string() && aFragment.is_string()) {
    aTarget = aTarget.get<std::string>() + aFragment.get<std::string>();
  } else if (!aFragment.is_null()) {
    aTarget = aFragment;
  }
}

} // namespace

void
AnswerAssembler::Add(const std::string& aData)
{
  mIncompleteLine += aData;
  size_t begin = 0;
  for (size_t end = mIncompleteLine.find('\n'); end != std::string::npos;
       end = mIncompleteLine.find('\n', begin)) {
    AddLine(mIncompleteLine.substr(begin, end - begin));
    begin = end + 1;
  }
  mIncompleteLine.erase(0, begin);
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
    if (found != aEvent.end() && !mHeadFields.contains(field)) {
      mHeadFields[field] = *found;
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
  for (const auto& choiceDelta : *choices) {
    if (!choiceDelta.is_object()) {
      continue;
    }
    Choice& choice = mChoices[choiceDelta.value("index", int64_t(0))];
    if (choiceDelta.contains("delta") && choiceDelta["delta"].is_object()) {
      AddDelta(choice, choiceDelta["delta"]);
    }
    if (choiceDelta.contains("finish_reason") &&
        !choiceDelta["finish_reason"].is_null()) {
      choice.mFinishReason = choiceDelta["finish_reason"];
    }
    if (choiceDelta.contains("logprobs") &&
        choiceDelta["logprobs"].is_object()) {
      for (const auto& [name, list] : choiceDelta["logprobs"].items()) {
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
      AppendFragment(aChoice.mMessage[name], value);
    }
  }
}

void
AnswerAssembler::AddToolCalls(Choice& aChoice, const ordered_json& aCalls)
{
  ordered_json& calls = aChoice.mMessage["tool_calls"];
  for (const auto& callDelta : aCalls) {
    if (!callDelta.is_object()) {
      continue;
    }
    const size_t index = callDelta.value("index", size_t(0));
    while (calls.size() <= index && calls.size() < 1024) {
      calls.push_back(ordered_json::object());
    }
    if (index >= calls.size()) {
      continue;
    }
    for (const auto& [name, value] : callDelta.items()) {
      if (name == "function" && value.is_object()) {
        for (const auto& [field, text] : value.items()) {
          AppendFragment(calls[index]["function"][field], text);
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
  ordered_json answer = mHeadFields;
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
    ordered_json assembled = { { "index", index },
                               { "message", message },
                               { "finish_reason", choice.mFinishReason } };
    if (!choice.mLogprobs.is_null()) {
      assembled["logprobs"] = choice.mLogprobs;
    }
    answer["choices"].push_back(std::move(assembled));
  }
  if (!mUsage.is_null()) {
    answer["usage"] = mUsage;
  }
  return answer.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

} // namespace trefoilarch
