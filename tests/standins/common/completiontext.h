#pragma once

#include "answertext.h"

#include <cstddef>
#include <string>

namespace standin {

/**
 * A chat completion in the published form, byte for byte as an engine
 * stand-in gives it, streamed and whole. It carries no time of day, so its
 * bytes depend on the request alone.
 */
class CompletionText
{
public:
  CompletionText(AnswerText aAnswer, std::string aModel);

  const AnswerText& Answer() const { return mAnswer; }
  size_t Tokens() const { return mAnswer.mTokens.size(); }

  /** Data of the event that carries one token. */
  std::string TokenData(size_t aPlace) const;
  /** Data of the event that ends the choice. */
  std::string EndData() const;
  /** Data of the event that `include_usage` asks for. */
  std::string UsageData() const;
  /** The body where no stream is asked for. */
  std::string WholeBody() const;

private:
  AnswerText mAnswer;
  std::string mModel;
};

/** Data of the last event of every stream. */
inline constexpr const char* kDoneData = "[DONE]";

/** One server-sent event. */
std::string
EventOf(const std::string& aData);

} // namespace standin
