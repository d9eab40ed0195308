#include "completiontext.h"

#include <nlohmann/json.hpp>

namespace standin {

using nlohmann::json;

namespace {

constexpr int64_t kCreated = 1700000000;

json
Usage(const AnswerText& aAnswer)
{
  return { { "prompt_tokens", aAnswer.mPromptTokens },
           { "completion_tokens", aAnswer.mTokens.size() },
           { "total_tokens", aAnswer.mPromptTokens + aAnswer.mTokens.size() } };
}

json
Chunk(const AnswerText& aAnswer, const std::string& aModel, json aChoices)
{
  return { { "id", aAnswer.CompletionId() },
           { "object", "chat.completion.chunk" },
           { "created", kCreated },
           { "model", aModel },
           { "choices", std::move(aChoices) } };
}

json
Choice(json aDelta, json aFinishReason)
{
  return json::array({ { { "index", 0 },
                         { "delta", std::move(aDelta) },
                         { "finish_reason", std::move(aFinishReason) } } });
}

} // namespace

CompletionText::CompletionText(AnswerText aAnswer, std::string aModel)
  : mAnswer(std::move(aAnswer))
  , mModel(std::move(aModel))
{
}

std::string
CompletionText::TokenData(size_t aIndex) const
{
  json delta = { { "content", mAnswer.mTokens[aIndex] } };
  if (aIndex == 0) {
    delta["role"] = "assistant";
  }
  return Chunk(mAnswer, mModel, Choice(delta, nullptr)).dump();
}

std::string
CompletionText::EndData() const
{
  const json choice = Choice(json::object(), mAnswer.FinishReason());
  return Chunk(mAnswer, mModel, choice).dump();
}

std::string
CompletionText::UsageData() const
{
  json usage = Chunk(mAnswer, mModel, json::array());
  usage["usage"] = Usage(mAnswer);
  return usage.dump();
}

std::string
CompletionText::WholeBody() const
{
  const json message = { { "role", "assistant" },
                         { "content", mAnswer.Content() } };
  const json choice = { { "index", 0 },
                        { "message", message },
                        { "finish_reason", mAnswer.FinishReason() } };
  return json({ { "id", mAnswer.CompletionId() },
                { "object", "chat.completion" },
                { "created", kCreated },
                { "model", mModel },
                { "choices", json::array({ choice }) },
                { "usage", Usage(mAnswer) } })
    .dump();
}

std::string
EventOf(const std::string& aData)
{
  return "data: " + aData + "\n\n";
}

} // namespace standin
