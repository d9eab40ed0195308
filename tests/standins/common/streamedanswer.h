#pragma once

#include "completiontext.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace standin {

/**
 * Reads a streamed chat completion and compares each event with the expected
 * one, byte for byte; comments are skipped, a usage event may or may not come.
 */
class StreamedAnswer
{
public:
  explicit StreamedAnswer(CompletionText aExpected);

  /** Takes the next bytes; how many tokens were whole in them. */
  size_t Feed(std::string_view aBytes);

  size_t Tokens() const { return mTokens; }
  /** Whether the client was told that the answer is over. */
  bool Done() const { return mDone; }
  /** Kind and `ran` of the terminal error event, if one came. */
  const std::string& ErrorKind() const { return mErrorKind; }
  const std::string& ErrorRan() const { return mErrorRan; }
  /** Whether anything came that is not the next part of the answer. */
  bool Wrong() const { return mWrong; }
  /** Whether it is all of the expected answer and nothing else. */
  bool IsWhole() const;

private:
  void TakeEvent(std::string_view aEvent);
  void TakeData(const std::string& aData);
  void TakeError(const std::string& aData);

  CompletionText mExpected;
  std::string mBuffer;
  std::string mErrorKind;
  std::string mErrorRan;
  size_t mTokens = 0;
  bool mEnded = false; /**< the finish reason has come */
  bool mDone = false;
  bool mWrong = false;
};

} // namespace standin
