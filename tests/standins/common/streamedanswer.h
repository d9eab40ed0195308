#pragma once

#include "completiontext.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace standin {

/**
 * Parses a streamed chat completion and compares each event with the expected
 * one, byte for byte. Comments are skipped; a usage event is optional.
 */
class StreamedAnswer
{
public:
  explicit StreamedAnswer(CompletionText aExpected);

  /** Parses the next bytes; returns how many tokens they completed. */
  size_t Feed(std::string_view aBytes);

  size_t Tokens() const { return mTokens; }
  /** Returns whether the final event was received. */
  bool Done() const { return mDone; }
  /** Kind and `ran` of the terminal error event, if received. */
  const std::string& ErrorKind() const { return mErrorKind; }
  const std::string& ErrorRan() const { return mErrorRan; }
  /** Returns whether any received event was not the expected one. */
  bool Wrong() const { return mMismatch; }
  /** Returns whether the expected response was received, and no more. */
  bool IsWhole() const;

private:
  void HandleEvent(std::string_view aEvent);
  void HandleData(const std::string& aData);
  void HandleError(const std::string& aData);

  CompletionText mExpected;
  std::string mBuffer;
  std::string mErrorKind;
  std::string mErrorRan;
  size_t mTokens = 0;
  bool mFinishReasonReceived = false;
  bool mDone = false;
  bool mMismatch = false;
};

} // namespace standin
