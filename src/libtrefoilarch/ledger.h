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
 * Remembers how attempts ended, for mRetention and up to mLimit of them.
 *
 * Beyond the limit the oldest voided attempts are dropped first. Losing them is
 * harmless, as only a granted attempt can start. Once a started attempt has
 * been dropped, an unknown key may belong to it. The ledger reports this for
 * the rest of the incarnation, during which no unknown key may be reported as
 * not run.
 */
class Ledger
{
public:
  explicit Ledger(LedgerOptions aOptions);

  /** Records the end of an attempt; the first record of a key stays. */
  void Close(const AttemptKey& aKey, const FinalMessage& aMessage, Millis aNow);

  /** How the attempt ended, or null if that is not known. */
  const FinalMessage* Find(const AttemptKey& aKey) const;

  /** Whether a started attempt may have been dropped. */
  bool HasForgottenStarts() const { return mForgottenStarts > 0; }

  /** Drops attempts older than the retention. */
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
