#pragma once

#include "answertext.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace standin {

/**
 * Reads a streamed chat completion as a strict client would: server-sent
 * events, comments skipped, one id throughout, `[DONE]` last.
 */
class StreamedAnswer
{
public:
  /** Takes the next bytes; how many tokens were whole in them. */
  size_t Feed(std::string_view aBytes);

  const std::string& Content() const { return mContent; }
  size_t Tokens() const { return mTokens; }
  bool Done() const { return mDone; }
  /** Kind and `ran` of the terminal error event, if one came. */
  const std::string& ErrorKind() const { return mErrorKind; }
  const std::string& ErrorRan() const { return mErrorRan; }
  /** Whether anything came that no client should be sent. */
  bool Malformed() const { return mMalformed; }

  /** Whether it is all of the expected answer and nothing else. */
  bool IsWhole(const AnswerText& aExpected) const;
  /** Whether what has come so far is the beginning of the expected answer. */
  bool IsPrefix(const AnswerText& aExpected) const;

private:
  void TakeEvent(std::string_view aEvent);
  void TakeData(const std::string& aData);
  void TakeError(const std::string& aData);

  std::string mBuffer;
  std::string mContent;
  std::string mId;
  std::string mFinishReason;
  std::string mErrorKind;
  std::string mErrorRan;
  size_t mTokens = 0;
  bool mDone = false;
  bool mMalformed = false;
};

} // namespace standin
