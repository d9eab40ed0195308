#include "ledger.h"

#include <utility>

namespace trefoilarch {

Ledger::Ledger(LedgerOptions aOptions)
  : mOptions(aOptions)
{
}

void
Ledger::Close(const AttemptKey& aKey, const FinalMessage& aWord, Millis aNow)
{
  const bool voided = std::holds_alternative<std::monostate>(aWord);
  if (!mWords.emplace(aKey, aWord).second) {
    return;
  }
  auto& order = voided ? mVoided : mStarted;
  order.push_back({ .mKey = aKey, .mAt = aNow });
  Trim();
  Expire(aNow);
}

const FinalMessage*
Ledger::Find(const AttemptKey& aKey) const
{
  const auto found = mWords.find(aKey);
  return found == mWords.end() ? nullptr : &found->second;
}

void
Ledger::Expire(Millis aNow)
{
  const Millis oldest = aNow - mOptions.mRetention;
  while (!mVoided.empty() && mVoided.front().mAt < oldest) {
    ForgetVoided();
  }
  while (!mStarted.empty() && mStarted.front().mAt < oldest) {
    ForgetStarted();
  }
}

void
Ledger::Trim()
{
  while (mWords.size() > mOptions.mLimit && !mVoided.empty()) {
    ForgetVoided();
  }
  while (mWords.size() > mOptions.mLimit) {
    ForgetStarted();
  }
}

void
Ledger::ForgetVoided()
{
  mWords.erase(mVoided.front().mKey);
  mVoided.pop_front();
}

void
Ledger::ForgetStarted()
{
  mWords.erase(mStarted.front().mKey);
  mStarted.pop_front();
  ++mForgottenStarts;
}

} // namespace trefoilarch
