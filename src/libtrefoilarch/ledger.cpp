#include "ledger.h"

#include <utility>

namespace trefoilarch {

Ledger::Ledger(LedgerOptions aOptions)
  : mOptions(aOptions)
{
}

void
Ledger::Close(const AttemptKey& aKey, const FinalMessage& aMessage, Millis aNow)
{
  const bool voided = std::holds_alternative<std::monostate>(aMessage);
  if (!mFinalMessages.emplace(aKey, aMessage).second) {
    return;
  }
  auto& order = voided ? mVoided : mStarted;
  order.push_back({ .mKey = aKey, .mClosedAt = aNow });
  Trim();
  Expire(aNow);
}

const FinalMessage*
Ledger::Find(const AttemptKey& aKey) const
{
  const auto found = mFinalMessages.find(aKey);
  return found == mFinalMessages.end() ? nullptr : &found->second;
}

void
Ledger::Expire(Millis aNow)
{
  const Millis oldest = aNow - mOptions.mRetention;
  while (!mVoided.empty() && mVoided.front().mClosedAt < oldest) {
    EraseOldestVoided();
  }
  while (!mStarted.empty() && mStarted.front().mClosedAt < oldest) {
    EraseOldestStarted();
  }
}

void
Ledger::Trim()
{
  while (mFinalMessages.size() > mOptions.mLimit && !mVoided.empty()) {
    EraseOldestVoided();
  }
  while (mFinalMessages.size() > mOptions.mLimit) {
    EraseOldestStarted();
  }
}

void
Ledger::EraseOldestVoided()
{
  mFinalMessages.erase(mVoided.front().mKey);
  mVoided.pop_front();
}

void
Ledger::EraseOldestStarted()
{
  mFinalMessages.erase(mStarted.front().mKey);
  mStarted.pop_front();
  ++mForgottenStarts;
}

} // namespace trefoilarch
