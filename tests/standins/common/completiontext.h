#pragma once

#include "answertext.h"

#include <cstddef>
#include <string>

namespace standin {

/**
 * The exact bytes of an engine stand-in's chat completion in the OpenAI
 * format, streamed or as one body. Its creation time is fixed, so the bytes
 * depend on the request alone.
 */
class CompletionText
{
public:
  CompletionText(AnswerText aAnswer, std::string aModel);

  const AnswerText& Answer() const { return mAnswer; }
  size_t Tokens() const { return mAnswer.mTokens.size(); }

  /** Data of the event that carries one token. */
  std::string TokenData(size_t aIndex) const;
  /** Data of the event that ends the choice. */
  std::string EndData() const;
  /** Data of the event that `include_usage` requests. */
  std::string UsageData() const;
  /** The body of a response that is not streamed. */
  std::string WholeBody() const;

private:
  AnswerText mAnswer;
  std::string mModel;
};

/** Data of the last event of every stream. */
inline constexpr const char* kDoneData = "[DONE]";

/** Returns a server-sent event with aData. */
std::string
EventOf(const std::string& aData);

} // namespace standin
