#pragma once

#include "ids.h"
#include "messages.h"
#include "millis.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <variant>

namespace trefoilarch {

/** How an attempt ended; a voided one has no final message. */
using FinalMessage = std::variant<std::monostate, Finished, Failed>;

/** Bounds of a Ledger. */
struct LedgerOptions
{
  Millis mRetention{ 300000 };
  size_t mLimit = 100000;
};

/**
 * Remembers how attempts ended, for a span of time and up to a number.
 *
 * Beyond the number the oldest voided attempts are forgotten first: losing
 * one is harmless, since only a live grant lets an attempt start. Once an
 * attempt that had started is forgotten, an unknown key may be that one, and
 * the ledger says so for the rest of the incarnation: nobody may then report
 * an unknown key as not run.
 */
class Ledger
{
public:
  explicit Ledger(LedgerOptions aOptions);

  /** Keeps the end of an attempt; the first word on a key stands. */
  void Close(const AttemptKey& aKey, const FinalMessage& aMessage, Millis aNow);

  /** How the attempt ended, or nothing if that is not known. */
  const FinalMessage* Find(const AttemptKey& aKey) const;

  /** Whether an attempt that had started may have been forgotten. */
  bool HasForgottenStarts() const { return mForgottenStarts > 0; }

  /** Forgets what is older than the span. */
  void Expire(Millis aNow);

  size_t Size() const { return mFinalMessages.size(); }
  uint64_t ForgottenStarts() const { return mForgottenStarts; }

private:
  struct TimedKey
  {
    AttemptKey mKey;
    Millis mClosedAt;
  };

  void EraseOldestVoided();
  void EraseOldestStarted();
  void Trim();

  LedgerOptions mOptions;
  std::unordered_map<AttemptKey, FinalMessage> mFinalMessages;
  std::deque<TimedKey> mVoided;
  std::deque<TimedKey> mStarted;
  uint64_t mForgottenStarts = 0;
};

} // namespace trefoilarch
